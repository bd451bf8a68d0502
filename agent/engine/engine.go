// Package engine is the client of a model engine: completions with or without
// streaming, cancel, resume, load reports and orders.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"lycheepond/agent/call"
	"lycheepond/core/ident"
	"lycheepond/core/wire"
)

// ErrTruncated reports an answer that ended before the engine finished it.
var ErrTruncated = errors.New("engine: the answer broke off: the engine failed or was stopped while it ran the request")

// ErrUnknown reports that the engine has no record of a request.
var ErrUnknown = errors.New("engine: request unknown: it ended long ago or never arrived")

// Engine is the client of the model engine that runs beside the agent.
type Engine struct {
	base string
	// callClient sends each request on its own connection, see call.NewClient.
	callClient *http.Client
	// controlClient sends what may be repeated safely, such as a cancel.
	controlClient *http.Client
}

// New returns a client of the engine at base, such as http://127.0.0.1:8000.
func New(base string, callClient, controlClient *http.Client) *Engine {
	return &Engine{base: base, callClient: callClient, controlClient: controlClient}
}

// maxResumes bounds how often one stream is resumed after it broke off.
const maxResumes = 3

// Run sends r once and passes the answer to sink. If a stream breaks off while
// the engine continues to run the request, Run resumes it after the last event,
// so that the caller gets the complete answer and nothing is computed twice.
func (e *Engine) Run(ctx context.Context, r *call.Request, sink call.Sink, p *call.Progress) call.Result {
	resp, sent, err := call.Do(ctx, e.callClient, e.base, r)
	if err != nil {
		return call.Result{Sent: sent, Err: err}
	}
	a := &relay{sink: sink, progress: p}
	res := a.readResponse(ctx, resp)
	for range maxResumes {
		if res.Err == nil || !a.isStream || ctx.Err() != nil {
			break
		}
		resumed := e.joinStream(ctx, r.ID, a)
		if errors.Is(resumed.Err, ErrUnknown) {
			break
		}
		res = resumed
	}
	return res
}

// Resume reads the stream of a request that the engine still runs, from its
// first event.
func (e *Engine) Resume(ctx context.Context, id ident.ID, sink call.Sink, p *call.Progress) call.Result {
	return e.joinStream(ctx, id, &relay{sink: sink, progress: p})
}

// joinStream reads the stream of a running request, starting after the events
// that a has already relayed. The result's error is ErrUnknown if the engine
// replies with a status other than 200.
func (e *Engine) joinStream(ctx context.Context, id ident.ID, a *relay) call.Result {
	url := fmt.Sprintf("%s/v1/requests/%s/stream?from=%d", e.base, id, a.relayedEvents)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return call.Result{Sent: true, Err: err}
	}
	resp, err := e.callClient.Do(req)
	if err != nil {
		return call.Result{Sent: true, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return call.Result{Sent: true, Status: resp.StatusCode, Err: ErrUnknown}
	}
	return a.readResponse(ctx, resp)
}

// relay passes one answer to its sink. The answer may come in several responses.
type relay struct {
	sink     call.Sink
	progress *call.Progress
	// relayedEvents counts the events of the stream that were passed to the sink.
	relayedEvents int
	// isStream is set when the answer is a stream, sawDone when its last event has
	// been read.
	isStream, sawDone bool
	usage             wire.Usage
}

func (a *relay) readResponse(ctx context.Context, resp *http.Response) call.Result {
	defer resp.Body.Close()
	res := call.NewResult(resp)
	a.sink.Head(resp.StatusCode, call.EndToEndHeaders(resp.Header))
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.isStream = true
		res.Err = a.readStream(ctx, resp.Body)
	} else {
		res.Err = a.readUnstreamed(ctx, resp)
	}
	res.Complete, res.Usage = res.Err == nil, a.usage
	a.progress.SetTimes(&res.Usage)
	return res
}

// maxParsedBytes is the size of the longest unstreamed answer whose JSON is checked
// for completeness and parsed for its usage.
const maxParsedBytes = 1 << 20

func (a *relay) readUnstreamed(ctx context.Context, resp *http.Response) error {
	var body []byte
	tooLong := false
	observe := func(b []byte) {
		tooLong = tooLong || len(body)+len(b) > maxParsedBytes
		if !tooLong {
			body = append(body, b...)
		}
	}
	if err := call.Copy(ctx, resp.Body, a.sink, a.progress, observe); err != nil {
		return err
	}
	if tooLong || resp.StatusCode != http.StatusOK {
		return nil
	}
	u, ok := parseUsage(body)
	if !ok && !json.Valid(body) {
		return ErrTruncated
	}
	a.usage = u
	return nil
}

// usageJSON is the part of an answer that holds its token counts.
type usageJSON struct {
	Usage *struct {
		PromptTokens     uint32 `json:"prompt_tokens"`
		CompletionTokens uint32 `json:"completion_tokens"`
		Details          struct {
			CachedTokens uint32 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func parseUsage(data []byte) (wire.Usage, bool) {
	var u usageJSON
	if json.Unmarshal(data, &u) != nil || u.Usage == nil {
		return wire.Usage{}, false
	}
	return wire.Usage{
		PromptTokens: u.Usage.PromptTokens, CachedTokens: u.Usage.Details.CachedTokens,
		OutputTokens: u.Usage.CompletionTokens,
	}, true
}

// maxCancelBytes bounds how much of the answer to a cancellation is read.
const maxCancelBytes = 64 << 10

// Cancel stops a request at the engine. It returns ErrUnknown if the engine has
// no record of the request.
func (e *Engine) Cancel(ctx context.Context, id ident.ID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/requests/"+id.String()+"/cancel", nil)
	if err != nil {
		return err
	}
	resp, err := e.controlClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return ErrUnknown
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("engine: cancel of %s answered with status %d: see the engine's log", id, resp.StatusCode)
	}
	// A longer body is no answer to a cancellation; it is left unread with its connection.
	_, err = io.CopyN(io.Discard, resp.Body, maxCancelBytes)
	if err == io.EOF {
		err = nil
	}
	return err
}

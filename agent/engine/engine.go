// Package engine calls a model engine: completions as streams or whole, cancel,
// resume, the load report and orders.
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

// ErrUnknown reports a request that the engine does not know.
var ErrUnknown = errors.New("engine: request unknown: it ended long ago or never came")

// Engine is one model engine beside the agent.
type Engine struct {
	base string
	// calls sends each request on its own connection, see call.Client.
	calls *http.Client
	// side carries what may be repeated: reports and cancels.
	side *http.Client
}

// New returns the engine at base, such as http://127.0.0.1:8000.
func New(base string, calls, side *http.Client) *Engine {
	return &Engine{base: base, calls: calls, side: side}
}

// maxRejoins is how often a stream that broke off is taken up again.
const maxRejoins = 3

// Run sends r once and gives the answer to sink. When a stream breaks off while
// the engine goes on, it is taken up again where it broke, so that the caller
// gets the whole answer and nothing is computed twice.
func (e *Engine) Run(ctx context.Context, r *call.Request, sink call.Sink, p *call.Progress) call.Result {
	resp, sent, err := call.Do(ctx, e.calls, e.base, r)
	if err != nil {
		return call.Result{Sent: sent, Err: err}
	}
	a := &relay{sink: sink, progress: p}
	res := a.read(ctx, resp)
	for range maxRejoins {
		if res.Err == nil || !a.streamed || ctx.Err() != nil {
			break
		}
		again := e.join(ctx, r.ID, a)
		if errors.Is(again.Err, ErrUnknown) {
			break
		}
		res = again
	}
	return res
}

// Resume takes up the stream of a request that the engine is still running,
// from its first event.
func (e *Engine) Resume(ctx context.Context, id ident.ID, sink call.Sink, p *call.Progress) call.Result {
	return e.join(ctx, id, &relay{sink: sink, progress: p})
}

// join reads the stream of a request from the first event that a lacks.
func (e *Engine) join(ctx context.Context, id ident.ID, a *relay) call.Result {
	url := fmt.Sprintf("%s/v1/requests/%s/stream?from=%d", e.base, id, a.events)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return call.Result{Sent: true, Err: err}
	}
	resp, err := e.calls.Do(req)
	if err != nil {
		return call.Result{Sent: true, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return call.Result{Sent: true, Status: resp.StatusCode, Err: ErrUnknown}
	}
	return a.read(ctx, resp)
}

// relay carries one answer to its sink, over one response or several.
type relay struct {
	sink     call.Sink
	progress *call.Progress
	// events is how many events of a stream have been given to the sink.
	events int
	// streamed is set when the answer is a stream, done when it has ended.
	streamed, done bool
	usage          wire.Usage
}

func (a *relay) read(ctx context.Context, resp *http.Response) call.Result {
	defer resp.Body.Close()
	res := call.Result{Sent: true, Status: resp.StatusCode}
	a.sink.Head(resp.StatusCode, call.Fields(resp.Header))
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.streamed = true
		res.Err = a.stream(ctx, resp.Body)
	} else {
		res.Err = a.whole(ctx, resp)
	}
	res.Whole, res.Usage = res.Err == nil, a.usage
	a.progress.Fill(&res.Usage)
	return res
}

// maxParsed is the longest whole answer that is read for its usage and checked
// for being complete JSON beyond what its framing says.
const maxParsed = 1 << 20

func (a *relay) whole(ctx context.Context, resp *http.Response) error {
	var body []byte
	over := false
	seen := func(b []byte) {
		over = over || len(body)+len(b) > maxParsed
		if !over {
			body = append(body, b...)
		}
	}
	if err := call.Copy(ctx, resp.Body, a.sink, a.progress, seen); err != nil {
		return err
	}
	if over || resp.StatusCode != http.StatusOK {
		return nil
	}
	u, ok := usageOf(body)
	if !ok && !json.Valid(body) {
		return ErrTruncated
	}
	a.usage = u
	return nil
}

// usageJSON is the part of an answer that tells its cost.
type usageJSON struct {
	Usage *struct {
		PromptTokens     uint32 `json:"prompt_tokens"`
		CompletionTokens uint32 `json:"completion_tokens"`
		Details          struct {
			CachedTokens uint32 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func usageOf(data []byte) (wire.Usage, bool) {
	var u usageJSON
	if json.Unmarshal(data, &u) != nil || u.Usage == nil {
		return wire.Usage{}, false
	}
	return wire.Usage{
		PromptTokens: u.Usage.PromptTokens, CachedTokens: u.Usage.Details.CachedTokens,
		OutputTokens: u.Usage.CompletionTokens,
	}, true
}

// Cancel stops a request at the engine.
func (e *Engine) Cancel(ctx context.Context, id ident.ID) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/requests/"+id.String()+"/cancel", nil)
	if err != nil {
		return err
	}
	resp, err := e.side.Do(req)
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
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

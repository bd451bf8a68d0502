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

// Run sends r once and gives the answer to sink.
func (e *Engine) Run(ctx context.Context, r *call.Request, sink call.Sink, p *call.Progress) call.Result {
	resp, sent, err := call.Do(ctx, e.calls, e.base, r)
	if err != nil {
		return call.Result{Sent: sent, Err: err}
	}
	defer resp.Body.Close()
	return relay(ctx, resp, sink, p)
}

// Resume takes up the stream of a request that the engine is still running,
// from its first event.
func (e *Engine) Resume(ctx context.Context, id ident.ID, sink call.Sink, p *call.Progress) call.Result {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/v1/requests/"+id.String()+"/stream?from=0", nil)
	if err != nil {
		return call.Result{Err: err}
	}
	resp, err := e.calls.Do(req)
	if err != nil {
		return call.Result{Sent: true, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return call.Result{Sent: true, Status: resp.StatusCode, Err: ErrUnknown}
	}
	return relay(ctx, resp, sink, p)
}

func relay(ctx context.Context, resp *http.Response, sink call.Sink, p *call.Progress) call.Result {
	res := call.Result{Sent: true, Status: resp.StatusCode}
	sink.Head(resp.StatusCode, call.Fields(resp.Header))
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		res.Usage, res.Err = stream(ctx, resp.Body, sink, p)
	} else {
		res.Usage, res.Err = whole(ctx, resp, sink, p)
	}
	res.Whole = res.Err == nil
	p.Fill(&res.Usage)
	return res
}

// maxParsed is the longest whole answer that is read for its usage and checked
// for being complete JSON beyond what its framing says.
const maxParsed = 1 << 20

func whole(ctx context.Context, resp *http.Response, sink call.Sink, p *call.Progress) (wire.Usage, error) {
	var body []byte
	over := false
	seen := func(b []byte) {
		over = over || len(body)+len(b) > maxParsed
		if !over {
			body = append(body, b...)
		}
	}
	if err := call.Copy(ctx, resp.Body, sink, p, seen); err != nil {
		return wire.Usage{}, err
	}
	if over || resp.StatusCode != http.StatusOK {
		return wire.Usage{}, nil
	}
	u, ok := usageOf(body)
	if !ok && !json.Valid(body) {
		return u, ErrTruncated
	}
	return u, nil
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

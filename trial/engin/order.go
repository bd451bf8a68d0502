package engin

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lycheepond/trial/serve"
)

// Order tells an engine what to serve.
type Order struct {
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

type orderRefusal struct {
	Fence int64 `json:"fence"`
}

const (
	// plainLoad is how long loading takes without a weight store.
	plainLoad = 200 * time.Millisecond
	// weightRetry is the pause after the weight store refused.
	weightRetry = 200 * time.Millisecond
)

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !serve.ReadJSON(w, r, &o) || !e.thawed(r) {
		return
	}
	e.mu.Lock()
	fence := e.served.fence
	if e.cfg.ChecksFence && o.Fence < fence {
		e.mu.Unlock()
		serve.WriteJSON(w, http.StatusConflict, orderRefusal{Fence: fence})
		return
	}
	e.served.fence = max(fence, o.Fence)
	e.records = append(e.records, &Record{
		ID: strconv.FormatInt(o.Fence, 10), Kind: KindOrder, StartedMS: time.Since(e.start).Milliseconds(),
		Finished: true, Fence: o.Fence, Version: o.Version,
	})
	e.mu.Unlock()
	select {
	case e.orders <- o:
		serve.WriteJSON(w, http.StatusOK, orderRefusal{Fence: o.Fence})
	default:
		http.Error(w, "too many orders wait", http.StatusTooManyRequests)
	}
}

// loader carries orders out one after the other.
func (e *Engine) loader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-e.orders:
			e.obey(ctx, o)
		}
	}
}

func (e *Engine) obey(ctx context.Context, o Order) {
	e.mu.Lock()
	now := e.served
	e.mu.Unlock()
	model, version := o.Model, o.Version
	if model == "" {
		model = now.model
	}
	if version == "" {
		version = now.version
	}
	fresh := model != now.model || version != now.version
	if fresh && !e.fetch(ctx, model, version) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served.model, e.served.version, e.served.adapter = model, version, o.Adapter
	if o.Role != "" {
		e.served.role = o.Role
	}
	e.flush = e.flush || fresh
}

// fetch loads weights, again and again while the store is at its rate or away.
func (e *Engine) fetch(ctx context.Context, model, version string) bool {
	if e.cfg.Platform == "" {
		return serve.Sleep(ctx, plainLoad)
	}
	u := "http://" + e.cfg.Platform + "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	for ctx.Err() == nil {
		if get(ctx, u) {
			return true
		}
		serve.Sleep(ctx, weightRetry)
	}
	return false
}

func get(ctx context.Context, u string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

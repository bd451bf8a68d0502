package simeng

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lycheepond/trial/serve"
)

// Order is an order to serve a model. Empty fields leave the current value
// unchanged, except for Adapter.
type Order struct {
	// Fence is the fencing number of the order.
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
}

// orderAnswer is the answer to an order. Fence is the fencing number of the
// order if it was accepted, and the highest accepted one if it was refused.
type orderAnswer struct {
	Fence int64 `json:"fence"`
}

const (
	// localLoadTime is the time that loading takes without a weight store.
	localLoadTime = 200 * time.Millisecond
	// weightRetryInterval is the pause before a failed read from the weight
	// store is retried.
	weightRetryInterval = 200 * time.Millisecond
)

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !serve.ReadJSON(w, r, &o) || !e.waitUnfrozen(r) {
		return
	}
	e.mu.Lock()
	fence := e.serving.fence
	if e.cfg.ChecksFence && o.Fence < fence {
		e.mu.Unlock()
		serve.WriteJSON(w, http.StatusConflict, orderAnswer{Fence: fence})
		return
	}
	e.serving.fence = max(fence, o.Fence)
	e.records = append(e.records, &Record{
		ID: strconv.FormatInt(o.Fence, 10), Kind: KindOrder, StartedMS: time.Since(e.start).Milliseconds(),
		Finished: true, Fence: o.Fence, Version: o.Version,
	})
	e.mu.Unlock()
	select {
	case e.orderQueue <- o:
		serve.WriteJSON(w, http.StatusOK, orderAnswer{Fence: o.Fence})
	default:
		http.Error(w, "too many orders wait", http.StatusTooManyRequests)
	}
}

// applyOrders applies the accepted orders one after the other until ctx ends.
func (e *Engine) applyOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-e.orderQueue:
			e.applyOrder(ctx, o)
		}
	}
}

// applyOrder loads the weights that the order requires, if they are not loaded,
// and then serves them. If ctx ends before, nothing changes.
func (e *Engine) applyOrder(ctx context.Context, o Order) {
	e.mu.Lock()
	current := e.serving
	e.mu.Unlock()
	model, version := o.Model, o.Version
	if model == "" {
		model = current.model
	}
	if version == "" {
		version = current.version
	}
	weightsChanged := model != current.model || version != current.version
	if weightsChanged && !e.fetchWeights(ctx, model, version) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serving.model, e.serving.version, e.serving.adapter = model, version, o.Adapter
	if o.Role != "" {
		e.serving.role = o.Role
	}
	e.flushCache = e.flushCache || weightsChanged
}

// fetchWeights loads weights, and retries while the weight store refuses the
// read or can't be reached. It returns false if ctx ends before.
func (e *Engine) fetchWeights(ctx context.Context, model, version string) bool {
	if e.cfg.Platform == "" {
		return serve.Sleep(ctx, localLoadTime)
	}
	u := "http://" + e.cfg.Platform + "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	for ctx.Err() == nil {
		if getOK(ctx, u) {
			return true
		}
		serve.Sleep(ctx, weightRetryInterval)
	}
	return false
}

// getOK sends a GET request and reports whether it was answered with 200.
func getOK(ctx context.Context, u string) bool {
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

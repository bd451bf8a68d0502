package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"lycheepond/agent/call"
)

// ErrFenced reports an engine that has seen a newer order.
var ErrFenced = errors.New("engine: the engine has seen a newer order: this one is dropped until newer news comes")

// Order tells an engine what to serve.
type Order struct {
	// Fence is the version of the assignment object.
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	// Guard holds the order back once its lease has run out.
	Guard *call.Guard `json:"-"`
}

// Give sends an order. The engine answers when it has taken it, not when it
// has carried it out.
func (e *Engine) Give(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(o.Guard.With(ctx), http.MethodPost, e.base+"/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.calls.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrFenced
	}
	return fmt.Errorf("engine: order answered with status %d: see the engine's log", resp.StatusCode)
}

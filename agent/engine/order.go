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
var ErrFenced = errors.New("engine: the engine has seen a newer order: this one is dropped until a newer assignment arrives")

// Order tells an engine what to serve.
type Order struct {
	// Fence is the fencing number: the version of the assignment object.
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	// Guard stops the order if the lease on its assignment has expired.
	Guard *call.Guard `json:"-"`
}

// SendOrder sends an order. The engine replies when it has accepted the order,
// before it has carried it out. SendOrder returns ErrFenced if the engine has seen
// a newer order.
func (e *Engine) SendOrder(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(o.Guard.NewContext(ctx), http.MethodPost, e.base+"/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.callClient.Do(req)
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

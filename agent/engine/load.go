package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Load is an endpoint's report of itself. It lags.
type Load struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	KVUsed  int64  `json:"kv_used"`
	KVTotal int64  `json:"kv_total"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
	AsOfMS  int64  `json:"as_of_ms"`
}

// Age returns how old the report was when it was given.
func (l Load) Age() time.Duration { return time.Duration(l.AsOfMS) * time.Millisecond }

// maxReport is the longest load report in bytes.
const maxReport = 64 << 10

// Report asks the endpoint at base for its load. Plain services give it too.
func Report(ctx context.Context, hc *http.Client, base string) (Load, error) {
	var l Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/load", nil)
	if err != nil {
		return l, err
	}
	resp, err := hc.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("engine: load report answered with status %d: check endpoint.address", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil {
		return l, err
	}
	return l, json.Unmarshal(data, &l)
}

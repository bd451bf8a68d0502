package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Load is an endpoint's load report. It describes the endpoint as it was AsOfMS
// milliseconds before the report was sent.
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

// Age returns how old the report was when the endpoint sent it.
func (l Load) Age() time.Duration { return time.Duration(l.AsOfMS) * time.Millisecond }

// ErrNoLoadReport reports an endpoint that answers but offers no load report.
var ErrNoLoadReport = errors.New("engine: the endpoint offers no load report: the agent relies on its own measurements")

// ErrConnectionRefused reports that no connection to the endpoint could be opened.
var ErrConnectionRefused = errors.New("engine: the endpoint accepts no connection: check that it runs and that endpoint.address names it")

// maxReportBytes bounds the length of a load report in bytes.
const maxReportBytes = 64 << 10

// FetchLoad fetches the load report of the endpoint at base. Plain services may
// offer one too. FetchLoad returns ErrConnectionRefused if no connection could be
// opened, and ErrNoLoadReport if the endpoint offers no load report.
func FetchLoad(ctx context.Context, client *http.Client, base string) (Load, error) {
	var l Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/load", nil)
	if err != nil {
		return l, err
	}
	resp, err := client.Do(req)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" && !opErr.Timeout() {
		return l, errors.Join(ErrConnectionRefused, err)
	}
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return l, err
	}
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("%w: status %d", ErrNoLoadReport, resp.StatusCode)
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return l, fmt.Errorf("%w: %w", ErrNoLoadReport, err)
	}
	return l, nil
}

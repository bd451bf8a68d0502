package exper

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"lycheepond/trial/fleet"
)

// traceInterval is the time between two samples of a trace.
const traceInterval = 250 * time.Millisecond

// traceLine is the state of one entry's pools at one time.
type traceLine struct {
	// MS is the time since the start of the trace in milliseconds.
	MS    int64           `json:"ms"`
	Entry string          `json:"entry"`
	Pools json.RawMessage `json:"pools"`
}

// writeTrace writes the status of every entry's pools to w until ctx ends. It helps
// to explain a figure that misses its goal.
func (r *runner) writeTrace(ctx context.Context, w io.Writer) {
	start, enc := time.Now(), json.NewEncoder(w)
	t := time.NewTicker(traceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, e := range r.fleet.Entries() {
			line := traceLine{MS: time.Since(start).Milliseconds(), Entry: e.Name}
			var s struct {
				Pools json.RawMessage `json:"pools"`
			}
			// The error of an entry that is down is ignored: its line has no pools.
			_ = fleet.CallJSON(ctx, http.MethodGet, "http://"+e.AdminAddr+"/status", fleet.AdminToken, nil, &s)
			line.Pools = s.Pools
			if enc.Encode(line) != nil {
				return
			}
		}
	}
}

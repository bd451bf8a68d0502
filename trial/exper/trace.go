package exper

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"lycheepond/trial/fleet"
)

// traceEvery is the pause between two lines of a trace.
const traceEvery = 250 * time.Millisecond

// traceLine is what one entry knew at one time.
type traceLine struct {
	MS    int64           `json:"ms"`
	Entry string          `json:"entry"`
	Pools json.RawMessage `json:"pools"`
}

// trace writes the status of every entry's pools to w until ctx ends, so that
// a figure that is not reached can be explained.
func (r *runner) trace(ctx context.Context, w io.Writer) {
	start, enc := time.Now(), json.NewEncoder(w)
	t := time.NewTicker(traceEvery)
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
			// An entry that is down at the moment leaves a line without pools.
			_ = fleet.CallJSON(ctx, http.MethodGet, "http://"+e.Admin+"/status", fleet.AdminToken, nil, &s)
			line.Pools = s.Pools
			if enc.Encode(line) != nil {
				return
			}
		}
	}
}

// Package probe fetches the endpoint's load report periodically, which also
// shows whether the endpoint is reachable.
package probe

import (
	"context"
	"net/http"
	"time"

	"lycheepond/agent/engine"
)

const (
	// Interval is the time between two probes. Two reports a second take well
	// under a hundredth of a core.
	Interval = 500 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
)

// Run probes the endpoint at base until ctx ends and passes each load report, or
// the error that prevented it, to report. It also returns when report fails.
func Run(ctx context.Context, base string, client *http.Client, report func(context.Context, engine.Load, error) error) error {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		load, err := fetchReport(ctx, base, client)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := report(ctx, load, err); err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func fetchReport(ctx context.Context, base string, client *http.Client) (engine.Load, error) {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	return engine.FetchLoad(ctx, client, base)
}

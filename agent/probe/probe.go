// Package probe asks the endpoint for its load report and tells whether it is
// there at all.
package probe

import (
	"context"
	"net/http"
	"time"

	"lycheepond/agent/engine"
)

// Figures of the probe. They are chosen: two reports a second cost the agent
// well under a hundredth of a core.
const (
	Every   = 500 * time.Millisecond
	timeout = time.Second
)

// Run asks the endpoint at base until ctx ends and hands each report to take.
func Run(ctx context.Context, base string, hc *http.Client, take func(context.Context, engine.Load, error) error) error {
	tick := time.NewTicker(Every)
	defer tick.Stop()
	for {
		l, err := once(ctx, base, hc)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := take(ctx, l, err); err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func once(ctx context.Context, base string, hc *http.Client) (engine.Load, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	return engine.Report(ctx, hc, base)
}

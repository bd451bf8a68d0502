package record

import (
	"context"
	"time"
)

// Loop runs a check at intervals, and at once when Wake is called.
type Loop struct{ wake chan struct{} }

// NewLoop returns a loop that does nothing before Run is called.
func NewLoop() *Loop { return &Loop{wake: make(chan struct{}, 1)} }

// Wake requests a check as soon as possible, for example after a new link.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run calls check at the given interval and after each Wake until ctx ends.
func (l *Loop) Run(ctx context.Context, interval time.Duration, check func(context.Context)) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-l.wake:
		}
		check(ctx)
	}
}

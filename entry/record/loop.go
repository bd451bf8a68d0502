package record

import (
	"context"
	"time"
)

// Loop looks at something now and then, and at once when it is woken.
type Loop struct{ wake chan struct{} }

// NewLoop returns a loop that does nothing until Run.
func NewLoop() *Loop { return &Loop{wake: make(chan struct{}, 1)} }

// Wake has the next look made now, as after a new link.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run looks every so often until ctx ends.
func (l *Loop) Run(ctx context.Context, every time.Duration, look func(context.Context)) error {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-l.wake:
		}
		look(ctx)
	}
}

package follow

import (
	"context"
	"time"
)

// maxReadings bounds the first readings of a list beside each other: one that may
// be long, and one that is sent when the first may have been swallowed.
const maxReadings = 2

// list reads the list for the first time; its error is that of ctx. The list may be
// long and all entries may have started at once, so a reading without an answer is
// not given up as early as a look: another one is sent beside it by then.
func (f *Follower[T]) list(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer f.drain()
	defer stop()
	f.first(ctx)
	timer := time.NewTimer(f.limit())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-f.answers:
			f.flying--
			if a.err == nil {
				f.listed(a)
				return nil
			}
			f.bad(ctx, a.err)
			timer.Reset(time.Until(f.retry))
		case <-timer.C:
			if f.flying < maxReadings {
				f.first(ctx)
			}
			timer.Reset(f.limit())
		}
	}
}

// first sends a reading that may be the first one.
func (f *Follower[T]) first(ctx context.Context) { f.call(ctx, answer[T]{}, 0, listTime) }

// listed takes in the first list.
func (f *Follower[T]) listed(a answer[T]) {
	f.good(a.sent)
	f.since, f.at = a.revision, a.revision
	f.keep(a.changes)
	f.holds = max(f.holds, f.cfg.Listed(a.changes, a.revision))
	f.looked(a.sent)
}

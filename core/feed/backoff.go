package feed

import (
	"context"
	"time"
)

// Pauses between calls after a failure. The longest pause bounds how late a process
// notices that the platform is available again; a change of the configuration must be
// in force after at most 9 s. The jitter prevents 420 entries from calling all at once
// when an outage ends.
const (
	minPause = 100 * time.Millisecond
	maxPause = 5 * time.Second
)

// backoff is the exponential backoff of one loop. Its zero value is ready to use.
type backoff struct{ pause time.Duration }

func (b *backoff) reset() { b.pause = 0 }

// next returns the next pause, between half and all of a length that doubles with
// each call up to maxPause. random is in [0,1).
func (b *backoff) next(random float64) time.Duration {
	b.pause = min(max(2*b.pause, minPause), maxPause)
	return b.pause/2 + time.Duration(random*float64(b.pause/2))
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

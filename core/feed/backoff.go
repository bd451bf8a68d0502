package feed

import (
	"context"
	"time"
)

// Pauses between calls after a failure. The longest bounds how late a process
// notices that the platform is back; the configuration has to be in force 9 s
// after a change. The jitter keeps 420 entries from asking all at once when an
// outage ends.
const (
	firstPause   = 100 * time.Millisecond
	longestPause = 5 * time.Second
)

// backoff is the pause of one loop; its zero value is ready.
type backoff struct{ next time.Duration }

func (b *backoff) reset() { b.next = 0 }

// take returns the next pause, between half and all of a doubling length.
func (b *backoff) take(random float64) time.Duration {
	b.next = min(max(2*b.next, firstPause), longestPause)
	return b.next/2 + time.Duration(random*float64(b.next/2))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

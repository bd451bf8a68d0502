package door

import (
	"context"
	"time"

	"lycheepond/core/meter"
)

// lagInterval is the time between two measurements of the lag.
const lagInterval = 20 * time.Millisecond

// watchLag measures the lag of the process until ctx ends: how much later than it is due a goroutine
// runs. A request that has just arrived waits as long before it is read.
func (s *Server) watchLag(ctx context.Context) error {
	lag := s.cfg.Metrics.Histogram("lag_ms")
	for timer := time.NewTimer(lagInterval); ; timer.Reset(lagInterval) {
		due := time.Now().Add(lagInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		meter.UpdateMS(lag, max(time.Since(due), 0))
	}
}

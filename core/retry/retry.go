// Package retry limits the load that retries add.
//
// It is designed for outages, in which every request fails and is retried. With
// three attempts per request, the endpoints that remain, or that have just come
// back, would get three times the load that they could not carry before, and
// the outage would outlast its cause. The retry budget is a token bucket that
// is credited by first attempts. In normal operation it always has enough
// tokens; in an outage retries add at most a tenth to the load. Backoff spreads
// the remaining retries over time, so that the retries caused by one lost link
// do not arrive together.
//
// The default ratio of a tenth is the margin between the required goodput under
// overload and the capacity. The default burst of 64 is the number of requests
// in flight at one endpoint, so that the loss of one endpoint does not cause a
// refusal.
package retry

import "time"

// Config configures a Budget.
type Config struct {
	// Ratio is the number of retries that each first attempt earns. Zero means
	// DefaultRatio.
	Ratio float64
	// Burst is the maximum number of retries in the budget. Zero means
	// DefaultBurst.
	Burst int
}

// Defaults of Config.
const (
	DefaultRatio = 0.1
	DefaultBurst = 64
)

// Budget is a token bucket for retries. One goroutine owns it.
type Budget struct {
	cfg Config
	// available is the number of retries in the budget, from 0 to cfg.Burst.
	available float64
}

// New returns a full budget.
func New(cfg Config) *Budget {
	if cfg.Ratio <= 0 {
		cfg.Ratio = DefaultRatio
	}
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	return &Budget{cfg: cfg, available: float64(cfg.Burst)}
}

// Credit credits the budget for n first attempts.
func (b *Budget) Credit(n int) {
	b.available = min(float64(b.cfg.Burst), b.available+float64(max(n, 0))*b.cfg.Ratio)
}

// Spend takes one retry from the budget and reports whether one was available.
func (b *Budget) Spend() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Refund returns a retry that was taken by Spend but not used.
func (b *Budget) Refund() { b.available = min(float64(b.cfg.Burst), b.available+1) }

const (
	// backoffBase is the longest wait before the first retry, a few round trips
	// to an agent. It doubles with each retry up to backoffMax, which is less
	// than the three heartbeats after which a peer is considered dead.
	backoffBase = 10 * time.Millisecond
	backoffMax  = 2 * time.Second
	// maxDoublings is the number of doublings from backoffBase to at least
	// backoffMax.
	maxDoublings = 8
)

// Backoff returns the time to wait before a retry, a random time between half
// and all of a limit that doubles with each attempt. The first retry is attempt
// zero. rnd must be a fresh random number.
func Backoff(attempt int, rnd uint64) time.Duration {
	limit := min(backoffMax, backoffBase<<min(max(attempt, 0), maxDoublings))
	return limit/2 + time.Duration(rnd%uint64(limit/2+1))
}

// Package retry bounds how much work retries add.
//
// The load it answers is an outage: every request fails, and each is tried
// again. With three tries each the endpoints that are left, or that just came
// back, get three times the load that they could not carry before, and the
// outage outlives its cause. A budget that first tries earn bounds the sum:
// in calm there is always enough of it, in an outage retries are a tenth of the
// load at most. Backoff spreads the retries that are left, so that those of one
// lost link do not arrive together.
//
// Grounds of the figures: a ratio of a tenth is what overload leaves between
// the goodput to reach and the capacity; a burst of 64 is the work in flight of
// one lost endpoint, so that losing one costs no refusal. Both are to be
// measured in the churn scenario.
package retry

import "time"

// Config says how much may be retried.
type Config struct {
	// Ratio is how many retries each first try earns; zero means DefaultRatio.
	Ratio float64
	// Burst is how many retries may be saved up; zero means DefaultBurst.
	Burst int
}

// Defaults of Config.
const (
	DefaultRatio = 0.1
	DefaultBurst = 64
)

// Budget is a budget of retries. One goroutine owns it.
type Budget struct {
	cfg Config
	// saved is never negative and never above cfg.Burst.
	saved float64
}

// New returns a full budget.
func New(cfg Config) *Budget {
	if cfg.Ratio <= 0 {
		cfg.Ratio = DefaultRatio
	}
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	return &Budget{cfg: cfg, saved: float64(cfg.Burst)}
}

// Earn credits the budget for n first tries.
func (b *Budget) Earn(n int) {
	b.saved = min(float64(b.cfg.Burst), b.saved+float64(max(n, 0))*b.cfg.Ratio)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Return gives back a retry that was taken and not used.
func (b *Budget) Return() { b.saved = min(float64(b.cfg.Burst), b.saved+1) }

const (
	// backoffBase is the longest wait before the first retry, a few times the
	// way to an agent and back; it doubles up to backoffMax, which is less
	// than the three heartbeats after which a peer is taken for dead.
	backoffBase = 10 * time.Millisecond
	backoffMax  = 2 * time.Second
	// doublings is how often backoffBase fits into backoffMax when doubled.
	doublings = 8
)

// Backoff returns how long to wait before the attempt-th retry, counted from
// zero: between half and all of a time that doubles with each attempt. rnd is
// a fresh random number.
func Backoff(attempt int, rnd uint64) time.Duration {
	limit := min(backoffMax, backoffBase<<min(max(attempt, 0), doublings))
	return limit/2 + time.Duration(rnd%uint64(limit/2+1))
}

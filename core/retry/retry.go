// Package retry bounds how much work retries add.
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
	DefaultBurst = 20
)

// Budget is a budget of retries. One goroutine owns it.
type Budget struct {
	cfg Config
	// tokens is never negative and never above cfg.Burst.
	tokens float64
}

// New returns a full budget.
func New(cfg Config) *Budget {
	if cfg.Ratio <= 0 {
		cfg.Ratio = DefaultRatio
	}
	if cfg.Burst <= 0 {
		cfg.Burst = DefaultBurst
	}
	return &Budget{cfg: cfg, tokens: float64(cfg.Burst)}
}

// Earn credits the budget for n first tries.
func (b *Budget) Earn(n int) {
	b.tokens = min(float64(b.cfg.Burst), b.tokens+float64(n)*b.cfg.Ratio)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// Backoff returns how long to wait before the attempt-th retry, counted from
// zero. rnd is a fresh random number.
func Backoff(attempt int, rnd uint64) time.Duration {
	limit := backoffMax
	if attempt < 7 {
		limit = min(backoffMax, backoffBase<<max(attempt, 0))
	}
	return time.Duration(rnd % uint64(limit+1))
}

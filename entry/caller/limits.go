package caller

import (
	"sync"
	"time"

	"lycheepond/core/spec"
	"lycheepond/entry/fault"
)

// burstSeconds is the size of a customer's token bucket, in seconds of its limit of
// requests per second.
const burstSeconds = 1.0

// limits enforces the customers' limits at this entry. It holds state only for
// customers that have limits.
type limits struct {
	mu        sync.Mutex
	customers map[string]*usage
}

// usage is the state of one customer with limits.
type usage struct {
	// tokens is the number of tokens in the customer's bucket; each request takes
	// one. refilledAt is when tokens were last added.
	tokens     float64
	refilledAt time.Duration
	// running counts the customer's requests that are being served. It never
	// exceeds the Concurrent limit.
	running int
}

func newLimits() *limits { return &limits{customers: make(map[string]*usage)} }

// noRelease is the release function of a request without limits.
func noRelease() {}

// acquire admits a request of a customer and returns the function to call when the
// request has ended.
func (l *limits) acquire(customer string, limit spec.Limits, now time.Duration) (func(), *fault.Error) {
	if limit.RequestsPerSecond <= 0 && limit.Concurrent <= 0 {
		return noRelease, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.customers[customer]
	if u == nil {
		u = &usage{tokens: max(1, limit.RequestsPerSecond*burstSeconds), refilledAt: now}
		l.customers[customer] = u
	}
	if limit.Concurrent > 0 && u.running >= limit.Concurrent {
		return nil, fault.New(fault.CustomerLimit, "the customer's limit of concurrent requests is reached: wait for one to end, or ask the operator for a higher limit").WithRetryAfter(time.Second)
	}
	if wait := u.takeToken(limit.RequestsPerSecond, now); wait > 0 {
		return nil, fault.New(fault.CustomerLimit, "the customer's limit of requests per second is reached: send slower, or ask the operator for a higher limit").WithRetryAfter(wait)
	}
	u.running++
	return func() { l.release(u) }, nil
}

// takeToken takes a token and returns zero. If there is none, it returns the time
// until there is.
func (u *usage) takeToken(rate float64, now time.Duration) time.Duration {
	if rate <= 0 {
		return 0
	}
	u.tokens = min(u.tokens+rate*(now-u.refilledAt).Seconds(), max(1, rate*burstSeconds))
	u.refilledAt = now
	if u.tokens >= 1 {
		u.tokens--
		return 0
	}
	return time.Duration((1 - u.tokens) / rate * float64(time.Second))
}

func (l *limits) release(u *usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.running--
}

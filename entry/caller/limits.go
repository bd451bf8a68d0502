package caller

import (
	"sync"
	"time"

	"lycheepond/core/spec"
	"lycheepond/entry/fault"
)

// burstSeconds is how many seconds of its rate a customer may use at once.
const burstSeconds = 1.0

// limits enforces customers' own limits at this entry. Customers without
// limits leave nothing here, so it stays small.
type limits struct {
	mu    sync.Mutex
	known map[string]*usage
}

type usage struct {
	// tokens may be spent on requests; filled is when they were last added to.
	tokens float64
	filled time.Duration
	// running never exceeds the customer's Concurrent limit.
	running int
}

func newLimits() *limits { return &limits{known: make(map[string]*usage)} }

func nothing() {}

// enter admits a request of a customer and returns what to call at its end.
func (l *limits) enter(customer string, lim spec.Limits, now time.Duration) (func(), *fault.Error) {
	if lim.RequestsPerSecond <= 0 && lim.Concurrent <= 0 {
		return nothing, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.known[customer]
	if u == nil {
		u = &usage{tokens: max(1, lim.RequestsPerSecond*burstSeconds), filled: now}
		l.known[customer] = u
	}
	if lim.Concurrent > 0 && u.running >= lim.Concurrent {
		return nil, fault.New(fault.CustomerLimit, "the customer's limit of concurrent requests is reached: wait for one to end, or ask the operator for a higher limit").After(time.Second)
	}
	if wait := u.spend(lim.RequestsPerSecond, now); wait > 0 {
		return nil, fault.New(fault.CustomerLimit, "the customer's limit of requests per second is reached: send slower, or ask the operator for a higher limit").After(wait)
	}
	u.running++
	return func() { l.leave(u) }, nil
}

// spend takes a token, or returns how long until there is one.
func (u *usage) spend(rate float64, now time.Duration) time.Duration {
	if rate <= 0 {
		return 0
	}
	u.tokens = min(u.tokens+rate*(now-u.filled).Seconds(), max(1, rate*burstSeconds))
	u.filled = now
	if u.tokens >= 1 {
		u.tokens--
		return 0
	}
	return time.Duration((1 - u.tokens) / rate * float64(time.Second))
}

func (l *limits) leave(u *usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.running--
}

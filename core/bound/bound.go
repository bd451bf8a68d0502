package bound

import (
	"time"

	"lycheepond/core/spec"
)

// Config says within which limits the bound is sought.
type Config struct {
	// Min and Max are the least and the largest bound; zero means DefaultMin
	// and DefaultMax.
	Min, Max int
}

// Defaults of Config, and where the search begins.
const (
	DefaultMin = 1
	DefaultMax = 256
	coldStart  = 6
)

// Sample is what one request showed, when it had its first byte, while it ran
// or at its end. A request may give several.
type Sample struct {
	// First is the time from handing the request to the endpoint to its first
	// byte, in one sample of a request only. Between is the mean time between
	// tokens since the request's last sample; over fewer than about eight
	// tokens it says little and is better left out. Zero means not seen.
	First, Between time.Duration
	// FirstTarget is what was left of the class's first-token target when the
	// request was handed over, BetweenTarget the class's target; zero means
	// none.
	FirstTarget, BetweenTarget               time.Duration
	PromptTokens, CachedTokens, OutputTokens int
	// InFlight is how many requests were in flight when what was sampled
	// happened, this one included.
	InFlight int
}

// Report is what the endpoint says of itself, Age ago.
type Report struct {
	Running, Waiting int
	// KVUsed and KVTotal are in any unit, as blocks; zero means unknown.
	KVUsed, KVTotal int64
	Age             time.Duration
}

// Running sums up the requests in flight.
type Running struct {
	Count int
	// LongCount is how many of them were Long when they were dispatched.
	LongCount int
	// Tokens is the sum of their Work.Tokens.
	Tokens int64
}

// Work is the request that may be dispatched next.
type Work struct {
	Tier uint8
	// Tokens is the estimate of prompt and output together.
	Tokens int64
	Cost   time.Duration
}

// Answer tells whether there is room.
type Answer uint8

const (
	// Yes means that the work may be dispatched.
	Yes Answer = iota
	// NoPlace means that nothing may be dispatched.
	NoPlace
	// LongFull means that the places for long work are taken.
	LongFull
	// NoMemory means that the work might not fit into the KV memory.
	NoMemory
)

// Bound is the in-flight bound of one endpoint. One goroutine owns it.
type Bound struct {
	find   search
	pace   pace
	memory memory
	// long tells long work by tier.
	long  [spec.Tiers]lengths
	short places
}

// New returns a bound at its cold start.
func New(cfg Config) *Bound {
	if cfg.Min <= 0 {
		cfg.Min = DefaultMin
	}
	if cfg.Max <= 0 {
		cfg.Max = DefaultMax
	}
	cfg.Max = max(cfg.Min, cfg.Max)
	return &Bound{find: newSearch(cfg), memory: newMemory()}
}

// Limit returns the number of requests that may be in flight. A slow endpoint
// gets a probe's worth, from which its recovery shows.
func (b *Bound) Limit() int {
	if b.pace.slow {
		return min(b.find.cfg.Min, b.find.limit())
	}
	return b.find.limit()
}

// Observe takes in what a request showed.
func (b *Bound) Observe(now time.Duration, s Sample) {
	wasSlow := b.pace.slow
	b.pace.observe(now, s)
	switch {
	case wasSlow && !b.pace.slow:
		b.find.restart(now)
	case !b.pace.slow:
		b.find.observe(now, s, &b.pace)
	}
}

// Silence tells for how long the endpoint has been giving nothing although it
// has work, so that one that stopped in the middle of its streams is noticed
// before a request ends.
func (b *Bound) Silence(d time.Duration) { b.pace.silence(d) }

// Report takes in what the endpoint says of itself.
func (b *Bound) Report(now time.Duration, r Report) {
	b.find.report(now, r)
	b.memory.report(now, r)
}

// Long reports whether w is so long beside the work of its and higher tiers
// that it counts against the places for long work. It is called once, when w is
// dispatched.
func (b *Bound) Long(w Work) bool {
	tier := min(w.Tier, spec.Tiers-1)
	for t := tier; t < spec.Tiers; t++ {
		b.long[t].learn(w.Cost)
	}
	return b.long[tier].isLong(w.Cost)
}

// Fit tells whether next may be dispatched now.
func (b *Bound) Fit(now time.Duration, r Running, next Work) Answer {
	b.memory.note(now, r.Tokens)
	b.short.observe(now, r.Count-r.LongCount)
	limit := b.Limit()
	if r.Count >= limit {
		return NoPlace
	}
	long := &b.long[min(next.Tier, spec.Tiers-1)]
	if long.isLong(next.Cost) && r.LongCount >= limit-long.reserve(limit, next.Tier, b.short.taken) {
		return LongFull
	}
	if r.Count > 0 && !b.memory.room(r.Tokens+next.Tokens) {
		return NoMemory
	}
	return Yes
}

// Room reports whether next may be dispatched now.
func (b *Bound) Room(now time.Duration, r Running, next Work) bool { return b.Fit(now, r, next) == Yes }

// Slow reports whether the endpoint is far below its own usual pace.
func (b *Bound) Slow() bool { return b.pace.slow }

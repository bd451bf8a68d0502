package bound

import (
	"time"

	"lycheepond/core/spec"
)

// Config limits the search for the bound.
type Config struct {
	// Min and Max are the smallest and the largest bound. Zero means DefaultMin
	// and DefaultMax.
	Min, Max int
}

// Defaults of Config, and the first value of the bound.
const (
	DefaultMin   = 1
	DefaultMax   = 256
	initialBound = 6
)

// Sample holds what was observed of one request at its first byte, while it
// ran, or at its end. A request may give several samples.
type Sample struct {
	// FirstToken is the time from handing the request to the endpoint to its
	// first byte; it is set in only one sample of a request. BetweenTokens is
	// the mean time between tokens since the previous sample of the request.
	// Over fewer than about eight tokens it is not meaningful and should be
	// left out. Zero means not observed.
	FirstToken, BetweenTokens time.Duration
	// FirstTokenTarget is the time that was left of the class's first-token
	// target when the request was handed over. BetweenTokensTarget is the
	// class's target. Zero means that there is no target.
	FirstTokenTarget, BetweenTokensTarget    time.Duration
	PromptTokens, CachedTokens, OutputTokens int
	// InFlight is the number of requests in flight at the time of the
	// observation, including this one.
	InFlight int
}

// Report is the state that the endpoint reports of itself. Running and Waiting
// are numbers of requests. Age is the time since the report was made.
type Report struct {
	Running, Waiting int
	// KVUsed and KVTotal are in any common unit, such as blocks. Zero means
	// unknown.
	KVUsed, KVTotal int64
	Age             time.Duration
}

// InFlight sums up the requests in flight.
type InFlight struct {
	Count int
	// LongCount is the number of requests that RecordDispatch classified as
	// long.
	LongCount int
	// Tokens is the sum of their Work.Tokens.
	Tokens int64
}

// Work describes a request that may be dispatched next.
type Work struct {
	Tier uint8
	// Tokens is the estimated number of prompt and output tokens together.
	Tokens int64
	Cost   time.Duration
}

// Fit says whether a request may be dispatched.
type Fit uint8

const (
	// Fits means that the request may be dispatched.
	Fits Fit = iota
	// NoSlot means that no request may be dispatched.
	NoSlot
	// NoLongSlot means that the slots available to long work are taken.
	NoLongSlot
	// NoMemory means that the request might not fit into the KV memory.
	NoMemory
)

// Bound is the in-flight bound of one endpoint. One goroutine owns it.
type Bound struct {
	search search
	pace   pace
	memory memory
	// lengths separates long from short work for each tier.
	lengths    [spec.Tiers]lengths
	shortSlots slotUsage
}

// New returns a Bound with its initial value.
func New(cfg Config) *Bound {
	if cfg.Min <= 0 {
		cfg.Min = DefaultMin
	}
	if cfg.Max <= 0 {
		cfg.Max = DefaultMax
	}
	cfg.Max = max(cfg.Min, cfg.Max)
	return &Bound{search: newSearch(cfg), memory: newMemory()}
}

// Limit returns the number of requests that may be in flight. For a slow
// endpoint it is Config.Min, just enough to detect its recovery.
func (b *Bound) Limit() int {
	if b.pace.slow {
		return min(b.search.cfg.Min, b.search.limit())
	}
	return b.search.limit()
}

// Observe updates the bound from a sample.
func (b *Bound) Observe(now time.Duration, s Sample) {
	wasSlow := b.pace.slow
	b.pace.observe(now, s)
	switch {
	case wasSlow && !b.pace.slow:
		b.search.restart(now)
	case !b.pace.slow:
		b.search.observe(now, s, &b.pace)
	}
}

// ObserveSilence records for how long the endpoint has sent nothing although it
// has work. It detects an endpoint that stopped in the middle of its streams
// before any request ends.
func (b *Bound) ObserveSilence(d time.Duration) { b.pace.observeSilence(d) }

// ObserveReport updates the bound from a report of the endpoint.
func (b *Bound) ObserveReport(now time.Duration, r Report) {
	b.search.observeReport(now, r)
	b.memory.observeReport(now, r)
}

// RecordDispatch records that w is dispatched and reports whether it is long
// compared with the other work of its tier and of higher tiers. Long work
// counts against the slots available to long work. It must be called exactly
// once per dispatch.
func (b *Bound) RecordDispatch(w Work) bool {
	tier := min(w.Tier, spec.Tiers-1)
	for t := tier; t < spec.Tiers; t++ {
		b.lengths[t].learn(w.Cost)
	}
	return b.lengths[tier].isLong(w.Cost)
}

// CheckFit says whether next may be dispatched now.
func (b *Bound) CheckFit(now time.Duration, inFlight InFlight, next Work) Fit {
	b.memory.recordTokens(now, inFlight.Tokens)
	b.shortSlots.observe(now, inFlight.Count-inFlight.LongCount)
	limit := b.Limit()
	if inFlight.Count >= limit {
		return NoSlot
	}
	lengths := &b.lengths[min(next.Tier, spec.Tiers-1)]
	if lengths.isLong(next.Cost) && inFlight.LongCount >= limit-lengths.reservedSlots(limit, next.Tier, b.shortSlots.average) {
		return NoLongSlot
	}
	if inFlight.Count > 0 && !b.memory.fits(inFlight.Tokens+next.Tokens) {
		return NoMemory
	}
	return Fits
}

// CanDispatch reports whether next may be dispatched now.
func (b *Bound) CanDispatch(now time.Duration, inFlight InFlight, next Work) bool {
	return b.CheckFit(now, inFlight, next) == Fits
}

// Slow reports whether the endpoint is far below its own usual pace.
func (b *Bound) Slow() bool { return b.pace.slow }

// Package bound finds how many requests an endpoint may have in flight.
package bound

import "time"

// Config says within which limits the bound is sought.
type Config struct {
	// Min and Max are the least and the largest bound; zero means 1 and 256.
	Min, Max int
}

// Sample is what one finished request showed.
type Sample struct {
	// First is the time from handing the request to the endpoint to its first
	// byte, Between the mean time between tokens; zero means not seen.
	First, Between time.Duration
	// FirstTarget is what was left of the class's first-token target when the
	// request was handed over, BetweenTarget the class's target; zero means
	// none.
	FirstTarget, BetweenTarget               time.Duration
	PromptTokens, CachedTokens, OutputTokens int
	// InFlight is how many requests were in flight when this one was handed
	// over, itself included.
	InFlight int
}

// Report is what the endpoint says of itself, Age ago.
type Report struct {
	Running, Waiting int
	// KVUsed and KVTotal are in tokens; zero means unknown.
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

// Bound is the in-flight bound of one endpoint. One goroutine owns it.
type Bound struct {
	cfg    Config
	limit  int
	report Report
}

// New returns a bound at its cold start.
func New(cfg Config) *Bound {
	if cfg.Min <= 0 {
		cfg.Min = 1
	}
	if cfg.Max <= 0 {
		cfg.Max = 256
	}
	return &Bound{cfg: cfg, limit: min(max(cfg.Min, 4), cfg.Max)}
}

// Limit returns the number of requests that may be in flight.
func (b *Bound) Limit() int { return b.limit }

// Observe takes in what a finished request showed.
func (b *Bound) Observe(_ time.Duration, s Sample) {
	if (s.FirstTarget > 0 && s.First > s.FirstTarget) || (s.BetweenTarget > 0 && s.Between > s.BetweenTarget) {
		b.limit = max(b.cfg.Min, b.limit*9/10)
		return
	}
	if s.InFlight >= b.limit {
		b.limit = min(b.cfg.Max, b.limit+1)
	}
}

// Report takes in what the endpoint says of itself.
func (b *Bound) Report(_ time.Duration, r Report) { b.report = r }

// Long reports whether w is so long beside the usual work that it counts
// against the places for long work.
func (b *Bound) Long(_ Work) bool { return false }

// Room reports whether next may be dispatched now.
func (b *Bound) Room(_ time.Duration, r Running, next Work) bool {
	if r.Count >= b.limit {
		return false
	}
	if r.Count > 0 && b.report.KVTotal > 0 && r.Tokens+next.Tokens > b.report.KVTotal*9/10 {
		return false
	}
	return true
}

// Slow reports whether the endpoint is far below its own usual pace.
func (b *Bound) Slow() bool { return false }

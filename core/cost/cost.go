// Package cost estimates what a request will cost before it has run.
package cost

import "time"

// Config says how estimates are made.
type Config struct {
	// MaxEntries bounds how many pairs of class and customer are remembered;
	// zero means DefaultMaxEntries.
	MaxEntries int
}

// DefaultMaxEntries is enough for 21,000 customers with one or two classes.
const DefaultMaxEntries = 32768

// Estimate is what a request is expected to cost.
type Estimate struct {
	PromptTokens, OutputTokens int
	// Work is the time that the request occupies its place in an endpoint.
	Work time.Duration
}

// Usage is what a finished request did cost.
type Usage struct {
	Prompt, Cached, Output int
	// Work is the time from dispatch to the last byte.
	Work time.Duration
}

// Model learns costs. One goroutine owns it.
type Model struct {
	cfg  Config
	work time.Duration
}

// New returns a model that knows nothing yet.
func New(cfg Config) *Model { return &Model{cfg: cfg, work: time.Second} }

// Estimate returns the expected cost of a request. maxTokens is the caller's
// own limit of the output, zero if it gave none.
func (m *Model) Estimate(_, _ string, promptBytes, maxTokens int) Estimate {
	out := 256
	if maxTokens > 0 {
		out = min(out, maxTokens)
	}
	return Estimate{PromptTokens: promptBytes/4 + 1, OutputTokens: out, Work: m.work}
}

// Learn takes in what a finished request did cost.
func (m *Model) Learn(_, _ string, _ int, u Usage) { m.work += (u.Work - m.work) / 16 }

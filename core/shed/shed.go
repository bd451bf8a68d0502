// Package shed decides which work a pool admits.
package shed

import "time"

// Tiers is the number of tiers; tier 0 is the highest.
const Tiers = 4

// Why tells why a request was refused.
type Why uint8

// The reasons of a verdict.
const (
	// Admitted means that the request is admitted.
	Admitted Why = iota
	// Level means that the pool serves only higher tiers at present.
	Level
	// Late means that the request would miss its target in its customer's fair share.
	Late
)

// String returns the reason as logs spell it.
func (w Why) String() string {
	switch w {
	case Admitted:
		return "admitted"
	case Level:
		return "shed-level"
	case Late:
		return "bound-to-be-late"
	}
	return "unknown"
}

// Config says how a pool is measured.
type Config struct {
	// Customers bounds how many customers with a backlog are told apart; zero
	// means DefaultCustomers.
	Customers int
}

// DefaultCustomers is the default of Config.Customers.
const DefaultCustomers = 32768

// Ask is a request that wants admission.
type Ask struct {
	Tier     uint8
	Customer string
	// Work is the estimated time that it occupies its place.
	Work time.Duration
	// Target is the time from now within which it must be done or, when only a
	// first token is promised, within which it must be dispatched; zero means
	// that nothing is promised.
	Target time.Duration
}

// View is what the entry knows of the whole pool.
type View struct {
	// LowerServed is set while work of a lower tier than the request's is
	// queued or running anywhere in the pool, and while that is unknown.
	LowerServed bool
	// Places is the sum of the in-flight bounds of the agents in reach, and
	// Peers how many entries share them, this one included; zero is unknown.
	Places, Peers int
}

// Verdict is the decision on a request.
type Verdict struct {
	Admit bool
	// RetryAfter is when the caller may try again; it is set on a refusal.
	RetryAfter time.Duration
	Why        Why
}

// Pool decides for one pool at one entry. One goroutine owns it.
type Pool struct {
	cfg   Config
	level uint8
}

// New returns a pool that admits everything.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, level: Tiers - 1} }

// Arrived records that admitted work waits.
func (p *Pool) Arrived(_ time.Duration, _ uint8, _ string, _ time.Duration) {}

// Started records that waiting work was granted.
func (p *Pool) Started(_ time.Duration, _ uint8, _ string, _ time.Duration) {}

// Left records that waiting work was withdrawn or refused after all.
func (p *Pool) Left(_ time.Duration, _ uint8, _ string, _ time.Duration) {}

// Decide says whether a request is admitted.
func (p *Pool) Decide(_ time.Duration, _ Ask, _ View) Verdict { return Verdict{Admit: true} }

// Level returns the lowest tier, the largest number, that is admitted now.
func (p *Pool) Level(_ time.Duration) uint8 { return p.level }

// Peer takes in the level that another entry of the pool has in force for the
// next hold.
func (p *Pool) Peer(_ time.Duration, _ uint8, _ time.Duration) {}

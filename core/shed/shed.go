// Package shed decides which work a pool admits.
//
// The load it answers is overload: for a minute or an hour more work arrives
// than the pool can run. Without admission every queue grows until everything
// that runs has already missed its target, and goodput falls to nothing while
// all endpoints are busy; the refusals that callers get are timeouts.
//
// What is bound to be late is refused at once, with the time after which the
// measured drain rate will have made room. How late it would be follows from
// the entry's own backlog: what a request waits for is the work of higher
// tiers, and of its own tier only what the other customers are served while
// its customer gets its fair share. A customer that sends ten times as much as
// the others therefore waits for itself, and is refused for its own backlog
// only. The drain rate is measured in the same estimates as the backlog, so an
// estimate that is wrong by ten times cancels out.
//
// Tiers are shed from the bottom up. A request that would be late is refused
// only when nothing of a lower tier is queued or running in the pool; until
// then it is admitted, and the pool's level falls, step by step, so that lower
// tiers leave. The level falls at once and rises slowly, a tier at a time, and
// more slowly when it just had to fall again: lower tiers that flicker would
// take places that higher ones need a moment later. It rises sooner while
// places are free and nothing waits, since endpoints would idle.
//
// Grounds of the figures: the margin of 0.7 leaves room for waits that differ
// from the prediction, and is corrected by what callers then get; 32 starts
// make a drain rate good to about a fifth; docs/design/decisions.md has what was
// measured.
package shed

import (
	"time"

	"lycheepond/core/spec"
)

// Why tells why a request was refused.
type Why uint8

// The reasons of a verdict.
const (
	// Admitted means that the request is admitted.
	Admitted Why = iota
	// Level means that the pool serves only higher tiers at present.
	Level
	// Late means that the request would miss its target in its customer's fair
	// share.
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

// Config says how a pool sheds.
type Config struct {
	// Hold is how long the level stays before it rises; zero means
	// DefaultHold.
	Hold time.Duration
}

// DefaultHold is the default of Config.Hold.
const DefaultHold = 2 * time.Second

// Ask is a request that wants admission.
type Ask struct {
	Tier     uint8
	Customer string
	// Work is the estimated time that it occupies its place.
	Work time.Duration
	// Target is the time from now within which it must start to keep its
	// target; zero means that nothing is promised.
	Target time.Duration
}

// View is what the entry knows of the whole pool.
type View struct {
	// LowerServed is set while work of a lower tier than the request's is
	// queued or running anywhere in the pool, and while that is unknown.
	LowerServed bool
	// Served has bit t set while work of tier t is queued or running anywhere
	// in the pool, and while that is unknown. Zero leaves it to LowerServed.
	Served uint8
	// Free is the number of places in reach that are free and for which
	// nothing is queued, as far as is known.
	Free int
	// Places is the sum of the in-flight bounds of the agents in reach, and
	// Peers how many entries share them, this one included; zero is unknown.
	Places, Peers int
}

// lower reports whether work of a lower tier than tier may be served.
func (v *View) lower(tier uint8) bool { return v.LowerServed || v.Served>>(tier+1) != 0 }

// Verdict is the decision on a request.
type Verdict struct {
	Admit bool
	// RetryAfter is when the caller may try again; it is set on a refusal.
	RetryAfter time.Duration
	Why        Why
	// Wait is the predicted wait.
	Wait time.Duration
}

const lowest = spec.Tiers - 1

const (
	// noTarget is the wait that is allowed to work without a target.
	noTarget = time.Minute
	// doubt is how many times its own measured rate a tier is taken to get at
	// most. The rate of one tier is noisy, and matters only where it is far
	// below what the others leave.
	doubt = 1.5
	// leastWait is a wait that is never taken for late: predictions are no
	// better than that, and a target shorter than the work itself would
	// otherwise shed every lower tier for nothing.
	leastWait = 100 * time.Millisecond
	// leastRetry and mostRetry bound Retry-After. Half of mostRetry bounds the
	// wait that it rests on, and the other half the spread.
	leastRetry = 100 * time.Millisecond
	mostRetry  = 30 * time.Second
)

// Pool decides for one pool at one entry. One goroutine owns it.
type Pool struct {
	tiers [spec.Tiers]tier
	drain drain
	level level
	// waiting is the number of admitted requests that were not granted yet.
	waiting int
}

// New returns a pool that admits everything until it has seen work wait.
func New(cfg Config) *Pool {
	if cfg.Hold <= 0 {
		cfg.Hold = DefaultHold
	}
	p := &Pool{level: newLevel(cfg.Hold)}
	for i := range p.tiers {
		p.tiers[i] = newTier()
	}
	return p
}

// pass lets the measured rates pass the time until now.
func (p *Pool) pass(now time.Duration) {
	p.drain.pass(now, p.waiting > 0)
	for i := range p.tiers {
		p.tiers[i].drain.pass(now, len(p.tiers[i].accounts) > 0)
	}
}

func clamp(t uint8) uint8 { return min(t, lowest) }

// Arrived records that admitted work waits.
func (p *Pool) Arrived(now time.Duration, tier uint8, customer string, work time.Duration) {
	p.pass(now)
	p.waiting++
	p.tiers[clamp(tier)].add(now, customer, work.Seconds())
}

// Started records that waiting work was granted.
func (p *Pool) Started(now time.Duration, tier uint8, customer string, work time.Duration) {
	p.pass(now)
	if t := &p.tiers[clamp(tier)]; t.remove(customer, work.Seconds()) {
		p.waiting--
		p.drain.start(now, work.Seconds())
		t.drain.start(now, work.Seconds())
	}
}

// Left records that waiting work was withdrawn or refused after all.
func (p *Pool) Left(now time.Duration, tier uint8, customer string, work time.Duration) {
	p.pass(now)
	if p.tiers[clamp(tier)].remove(customer, work.Seconds()) {
		p.waiting--
	}
}

// Ended records whether admitted work kept its target, to correct the margin
// of the predictions.
func (p *Pool) Ended(_ time.Duration, tier uint8, within bool) {
	p.tiers[clamp(tier)].ended(within)
}

// Decide says whether a request is admitted. It changes nothing in the
// backlog; Arrived does.
func (p *Pool) Decide(now time.Duration, a Ask, v View) Verdict {
	a.Tier = clamp(a.Tier)
	p.pass(now)
	p.level.see(a.Tier, v)
	p.level.idle = p.waiting == 0 && v.Free > 0
	wait, limit := p.wait(now, a, v), p.limit(a)
	late := wait > limit && !p.hasPlace(now, a.Tier, v)
	if late {
		p.level.fall(now, a.Tier)
	}
	excluded := a.Tier > p.level.inForce(now)
	if v.lower(a.Tier) || (!late && !excluded) {
		return Verdict{Admit: true, Wait: wait}
	}
	return p.refusal(now, a, v, wait-limit, excluded)
}

// hasPlace reports whether a place is free for work of a tier. Places that are
// free while work of the tier has been waiting for some time are of no use to
// it: what it lacks is memory, or a place for long work.
func (p *Pool) hasPlace(now time.Duration, tier uint8, v View) bool {
	return p.waiting < v.Free && !p.tiers[tier].drain.stuck(now)
}

// limit is the longest wait that a request may be admitted to.
func (p *Pool) limit(a Ask) time.Duration {
	target := a.Target
	if target == 0 {
		target = noTarget
	}
	return max(time.Duration(float64(target)*p.tiers[a.Tier].margin), leastWait)
}

// wait predicts how long a request would wait for its start.
func (p *Pool) wait(now time.Duration, a Ask, v View) time.Duration {
	if p.waiting == 0 {
		return 0
	}
	rate := p.drain.rate(v)
	if rate == 0 {
		return 0
	}
	work, left := 0.0, rate
	for t := range p.tiers[:a.Tier] {
		work += p.tiers[t].work
		left -= p.tiers[t].arriving(now)
	}
	t := &p.tiers[a.Tier]
	ahead := t.ahead(a.Customer, a.Work.Seconds())
	wait := (work + ahead) / max(left, rate*leastLeft)
	if t.drain.sure() {
		// The tier may get less than what the others leave, as long work does
		// that memory holds back while short work of other tiers passes it.
		wait = max(wait, ahead/max(doubt*t.drain.present(now), rate*leastLeft))
	}
	return seconds(wait)
}

// refusal makes the verdict on a request that is refused. Those refused before
// it will come back too; it is told to come behind them, or all of them would
// return at the same moment. When more was refused than the pool can run within
// the spread, the times begin anew and are still spread evenly.
func (p *Pool) refusal(now time.Duration, a Ask, v View, over time.Duration, excluded bool) Verdict {
	why, after := Late, max(over, 0)
	if excluded {
		why, after = Level, max(over, p.level.holds(now))
	}
	after = min(after, mostRetry/2)
	if rate := p.drain.rate(v); rate > 0 {
		turn := seconds(p.tiers[a.Tier].turnAway(now, a.Work.Seconds(), rate) / rate)
		after += turn % (mostRetry / 2)
	}
	return Verdict{RetryAfter: max(after, leastRetry), Why: why, Wait: over}
}

// Level returns the lowest tier, the largest number, that this entry still
// admits. It is what the entry tells the agents.
func (p *Pool) Level(now time.Duration) uint8 {
	p.level.idle = p.level.idle && p.waiting == 0
	p.level.rise(now)
	return p.level.own
}

// Peer takes in the level that another entry of the pool has in force for the
// next hold. It limits what is admitted here but not what Level returns:
// otherwise two entries would keep each other's level down for ever.
func (p *Pool) Peer(now time.Duration, level uint8, hold time.Duration) {
	p.level.peer(now, clamp(level), hold)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}

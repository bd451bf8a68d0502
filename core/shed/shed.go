// Package shed decides which requests a pool admits.
//
// It is designed for overload, in which for a minute or an hour more work
// arrives than the pool can run. Without admission control the queues grow
// until everything that runs has already missed its target: goodput falls to
// zero while all endpoints are busy, and callers see timeouts instead of
// refusals.
//
// A request that is predicted to be late is refused at once, with the time
// after which the measured drain rate will have made room. The prediction is
// based on the entry's own backlog. A request waits for all work of higher
// tiers; of its own tier it waits for its customer's backlog and for what the
// other customers are served while its customer gets its fair share. A customer
// that sends ten times as much as the others therefore waits for its own
// requests and is refused only because of its own backlog. The drain rate is
// measured in the same estimates as the backlog, so estimates that are all
// wrong by a factor of ten cancel out.
//
// Tiers are shed from the lowest up. A request that would be late is refused
// only when no work of a lower tier is queued or running in the pool. Until
// then it is admitted, and the shed level of the pool falls one tier at a time
// so that lower tiers are drained. The level falls at once and rises slowly,
// one tier at a time, and more slowly if it had to fall again shortly after a
// rise: lower tiers that are admitted and shed in quick alternation would take
// slots that higher tiers need a moment later. It rises sooner while slots are
// free and nothing waits, because endpoints would otherwise be idle.
//
// The initial margin of 0.7 allows for waits that differ from the prediction;
// it is then corrected by whether requests met their targets. A drain rate
// measured over 32 starts is accurate to about a fifth. Measurements are in
// docs/design/decisions.md.
package shed

import (
	"time"

	"lycheepond/core/spec"
)

// Reason says why a request was refused.
type Reason uint8

// The reasons of a Decision.
const (
	// Admitted means that the request was admitted.
	Admitted Reason = iota
	// TierShed means that the pool currently serves only higher tiers.
	TierShed
	// PredictedLate means that the request would miss its target even with its
	// customer's fair share.
	PredictedLate
)

// String returns the reason as it appears in logs and refusals.
func (r Reason) String() string {
	switch r {
	case Admitted:
		return "admitted"
	case TierShed:
		return "shed-level"
	case PredictedLate:
		return "bound-to-be-late"
	}
	return "unknown"
}

// Config configures a Pool.
type Config struct {
	// Hold is how long the shed level stays before it rises. Zero means
	// DefaultHold.
	Hold time.Duration
}

// DefaultHold is the default of Config.Hold.
const DefaultHold = 2 * time.Second

// Request is a request that asks for admission.
type Request struct {
	Tier     uint8
	Customer string
	// Work is the estimated time for which it will occupy a slot.
	Work time.Duration
	// MaxWait is the time from now within which it must start to meet its
	// target. Zero means that it has no target.
	MaxWait time.Duration
}

// View is what the entry knows about the whole pool.
type View struct {
	// LowerServed is set while work of a lower tier than the request's is
	// queued or running anywhere in the pool, or while that is unknown.
	LowerServed bool
	// ServedTiers has bit t set while work of tier t is queued or running
	// anywhere in the pool, or while that is unknown. If it is zero, only
	// LowerServed counts.
	ServedTiers uint8
	// FreeSlots is the number of reachable slots that are known to be free and
	// for which nothing is queued.
	FreeSlots int
	// Slots is the sum of the in-flight bounds of the reachable agents. Entries
	// is the number of entries that share them, including this one. Zero means
	// unknown.
	Slots, Entries int
}

// servesBelow reports whether work of a tier lower than the given one may be
// queued or running.
func (v *View) servesBelow(tier uint8) bool { return v.LowerServed || v.ServedTiers>>(tier+1) != 0 }

// Decision is the result of Decide.
type Decision struct {
	Admit bool
	// RetryAfter is the time after which the caller may retry. It is set only
	// on a refusal.
	RetryAfter time.Duration
	Reason     Reason
	// Wait is the predicted wait of an admitted request. On a refusal it is the
	// predicted wait less the longest wait that is allowed.
	Wait time.Duration
}

// lowestTier is the largest tier number.
const lowestTier = spec.Tiers - 1

const (
	// defaultMaxWait is the MaxWait of requests without a target.
	defaultMaxWait = time.Minute
	// tierRateTolerance is the factor by which a tier's own measured rate is
	// raised before it limits a prediction. The rate of a single tier is noisy
	// and matters only where it is far below what the higher tiers leave.
	tierRateTolerance = 1.5
	// minWaitLimit is the smallest limit on the predicted wait. Predictions are
	// not more accurate than this, and a target shorter than the work itself
	// would otherwise shed every lower tier without any benefit.
	minWaitLimit = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound Retry-After. One half of
	// maxRetryAfter bounds the predicted wait that it includes, the other half
	// the time over which retries are spread.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Pool makes the admission decisions of one entry for one pool. One goroutine
// owns it.
type Pool struct {
	tiers [spec.Tiers]tier
	drain drainRate
	level level
	// waiting is the number of admitted requests that have not been granted
	// yet.
	waiting int
}

// New returns a Pool. It admits all requests until it has seen work wait.
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

// advance updates the measured rates to now.
func (p *Pool) advance(now time.Duration) {
	p.drain.advance(now, p.waiting > 0)
	for i := range p.tiers {
		p.tiers[i].drain.advance(now, len(p.tiers[i].backlogs) > 0)
	}
}

func clampTier(t uint8) uint8 { return min(t, lowestTier) }

// RecordArrival records an admitted request that now waits. work is its
// estimated time in a slot.
func (p *Pool) RecordArrival(now time.Duration, tier uint8, customer string, work time.Duration) {
	p.advance(now)
	p.waiting++
	p.tiers[clampTier(tier)].add(now, customer, work.Seconds())
}

// RecordStart records that a waiting request was granted.
func (p *Pool) RecordStart(now time.Duration, tier uint8, customer string, work time.Duration) {
	p.advance(now)
	if t := &p.tiers[clampTier(tier)]; t.remove(customer, work.Seconds()) {
		p.waiting--
		p.drain.recordStart(now, work.Seconds())
		t.drain.recordStart(now, work.Seconds())
	}
}

// RecordWithdrawal records that a waiting request was withdrawn, or refused
// after its admission.
func (p *Pool) RecordWithdrawal(now time.Duration, tier uint8, customer string, work time.Duration) {
	p.advance(now)
	if p.tiers[clampTier(tier)].remove(customer, work.Seconds()) {
		p.waiting--
	}
}

// RecordEnd records whether an admitted request met its target. This corrects
// the margin of later predictions.
func (p *Pool) RecordEnd(_ time.Duration, tier uint8, onTime bool) {
	p.tiers[clampTier(tier)].adjustMargin(onTime)
}

// Decide decides whether a request is admitted. It does not add the request to
// the backlog; RecordArrival does.
func (p *Pool) Decide(now time.Duration, req Request, v View) Decision {
	req.Tier = clampTier(req.Tier)
	p.advance(now)
	p.level.observeServed(req.Tier, v)
	p.level.slotsIdle = p.waiting == 0 && v.FreeSlots > 0
	wait, limit := p.predictWait(now, req, v), p.waitLimit(req)
	late := wait > limit && !p.hasFreeSlot(now, req.Tier, v)
	if late {
		p.level.lowerTo(now, req.Tier)
	}
	excluded := req.Tier > p.level.effective(now)
	if v.servesBelow(req.Tier) || (!late && !excluded) {
		return Decision{Admit: true, Wait: wait}
	}
	return p.refuse(now, req, v, wait-limit, excluded)
}

// hasFreeSlot reports whether a slot is free for work of a tier. Free slots
// don't count if work of the tier has been waiting for longer than stuckAfter:
// that work lacks memory or a slot for long work instead.
func (p *Pool) hasFreeSlot(now time.Duration, tier uint8, v View) bool {
	return p.waiting < v.FreeSlots && !p.tiers[tier].drain.isStuck(now)
}

// waitLimit returns the longest predicted wait with which a request is
// admitted.
func (p *Pool) waitLimit(req Request) time.Duration {
	maxWait := req.MaxWait
	if maxWait == 0 {
		maxWait = defaultMaxWait
	}
	return max(time.Duration(float64(maxWait)*p.tiers[req.Tier].margin), minWaitLimit)
}

// predictWait predicts how long a request would wait for its start. It returns
// zero if nothing waits or if no rate is known.
func (p *Pool) predictWait(now time.Duration, req Request, v View) time.Duration {
	if p.waiting == 0 {
		return 0
	}
	rate := p.drain.rate(v)
	if rate == 0 {
		return 0
	}
	higherWork, rateLeft := 0.0, rate
	for t := range p.tiers[:req.Tier] {
		higherWork += p.tiers[t].work
		rateLeft -= p.tiers[t].currentArrivalRate(now)
	}
	t := &p.tiers[req.Tier]
	workAhead := t.workAhead(req.Customer, req.Work.Seconds())
	wait := (higherWork + workAhead) / max(rateLeft, rate*minRateShare)
	if t.drain.isReliable() {
		// The tier may get less than the higher tiers leave to it. An example
		// is long work that waits for memory while short work of other tiers
		// overtakes it.
		wait = max(wait, workAhead/max(tierRateTolerance*t.drain.currentRate(now), rate*minRateShare))
	}
	return seconds(wait)
}

// refuse returns the decision for a request that is refused, and adds it to the
// refused work of its tier. Requests refused earlier will be retried as well,
// so this one is told to retry after them; otherwise all of them would return
// at the same moment. When the refused work is more than the pool can run
// within maxRetryAfter/2, the retry times wrap around and are still spread
// evenly.
func (p *Pool) refuse(now time.Duration, req Request, v View, excess time.Duration, excluded bool) Decision {
	reason, after := PredictedLate, max(excess, 0)
	if excluded {
		reason, after = TierShed, max(excess, p.level.remainingHold(now))
	}
	after = min(after, maxRetryAfter/2)
	if rate := p.drain.rate(v); rate > 0 {
		spread := seconds(p.tiers[req.Tier].addRefused(now, req.Work.Seconds(), rate) / rate)
		after += spread % (maxRetryAfter / 2)
	}
	return Decision{RetryAfter: max(after, minRetryAfter), Reason: reason, Wait: excess}
}

// Level returns the lowest tier, that is the largest tier number, that this
// entry still admits. The entry sends it to the agents. Level also raises the
// level when its hold has passed, so the owner must call it regularly.
func (p *Pool) Level(now time.Duration) uint8 {
	p.level.slotsIdle = p.level.slotsIdle && p.waiting == 0
	p.level.tryRise(now)
	return p.level.ownLevel
}

// SetPeerLevel records the level that another entry of the pool has in force.
// It is valid for validFor. It limits which requests are admitted here but does
// not change what Level returns: otherwise two entries would keep each other's
// level down forever.
func (p *Pool) SetPeerLevel(now time.Duration, level uint8, validFor time.Duration) {
	p.level.setPeerLevel(now, clampTier(level), validFor)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}

package slot

import (
	"time"

	"lycheepond/core/bound"
	"lycheepond/core/wire"
)

// displaceLeadTime is how long before the latest start of a waiting request another
// run is stopped for it. In this time the engine must cancel the run and the entry
// must grant the waiting request.
const displaceLeadTime = 200 * time.Millisecond

// displaceFor frees a slot for r if r would otherwise be late. It stops a running
// request of a lower tier that may be repeated and whose answer has not begun. The
// slot is free when that run has ended.
func (o *Owner) displaceFor(now time.Duration, r *record) {
	sum, _ := o.committedWork(int(r.offer.Tier))
	if o.bound.CheckFit(now, sum, r.work) == bound.NoLongSlot {
		// Short requests of a lower tier occupy slots that r could not use.
		return
	}
	if !o.mustStartNow(now, r) || o.displacingCount() >= o.queuedAtOrAbove(r.offer.Tier) {
		return
	}
	if v := o.displacementVictim(r); v != nil {
		o.stopRun(v, wire.ReasonDisplaced)
	}
}

// displacementVictim returns the running request to stop for r, or nil. It chooses
// the lowest tier, and within it the run that started last, because it loses the
// least work. A run whose answer has begun is never chosen: its caller would see
// the answer break off.
func (o *Owner) displacementVictim(r *record) *record {
	var victim *record
	for _, v := range o.running {
		if v.offer == nil || !v.offer.Repeatable || v.key != nil || v.stopReason != wire.ReasonNone ||
			v.offer.Tier <= r.offer.Tier || v.answer.HasHead() {
			continue
		}
		if victim == nil || v.offer.Tier > victim.offer.Tier || (v.offer.Tier == victim.offer.Tier && v.startedAt > victim.startedAt) {
			victim = v
		}
	}
	return victim
}

// mustStartNow reports whether r misses its target unless a slot becomes free now.
// It does not predict when a running request will end: such estimates are often
// wrong, the bound may grow, and another agent has the offer too. Until the last
// moment r may therefore get a slot without any loss of work. mustStartNow returns
// false for a request that is already late: it runs next anyway, and stopping
// another one would lose work without meeting the target.
func (o *Owner) mustStartNow(now time.Duration, r *record) bool {
	firstByteAt := now + o.meanFirstByte
	return r.startBy > 0 && firstByteAt <= r.startBy && firstByteAt+displaceLeadTime > r.startBy
}

// displacingCount returns the number of runs that are being stopped for requests
// of a higher tier.
func (o *Owner) displacingCount() int {
	n := 0
	for _, v := range o.running {
		if v.stopReason == wire.ReasonDisplaced {
			n++
		}
	}
	return n
}

// queuedAtOrAbove returns the number of queued requests of the given tier and
// higher tiers.
func (o *Owner) queuedAtOrAbove(tier uint8) int {
	n := 0
	for _, v := range o.waiting {
		if v.state == stateQueued && v.offer.Tier <= tier {
			n++
		}
	}
	return n
}

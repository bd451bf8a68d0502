package slot

import (
	"time"

	"lycheepond/core/bound"
	"lycheepond/core/wire"
)

// displace makes room for r at the cost of work of a lower tier and reports
// whether a place came free at once. In this order: what was granted and has
// not started, what was claimed, and, when r would be late otherwise, what
// runs, may be run again, and has shown nothing to its caller.
func (o *Owner) displace(now time.Duration, r *rec) bool {
	if o.bound.Fit(now, o.committed(true), r.work) == bound.LongFull {
		// Short work of a lower tier holds places that r would not get.
		return false
	}
	if v := o.waitingVictim(r); v != nil {
		o.giveBack(now, v, wire.ReasonDisplaced)
		return true
	}
	if !o.wouldBeLate(now, r) || o.halting() >= o.waitingAbove(r.offer.Tier) {
		return false
	}
	if v := o.runningVictim(r); v != nil {
		o.halt(v, wire.ReasonDisplaced)
	}
	return false
}

func (o *Owner) waitingVictim(r *rec) *rec {
	var worst *rec
	for _, v := range o.waiting {
		if (v.state != ready && v.state != claimed) || v.offer.Tier <= r.offer.Tier {
			continue
		}
		if worst == nil || v.offer.Tier > worst.offer.Tier || (v.offer.Tier == worst.offer.Tier && v.state > worst.state) {
			worst = v
		}
	}
	return worst
}

// runningVictim chooses the lowest tier and in it what began last, which has
// the least work to lose. An answer that has begun is spared: its caller would
// see it break off.
func (o *Owner) runningVictim(r *rec) *rec {
	var worst *rec
	for _, v := range o.running {
		if v.offer == nil || !v.offer.Repeatable || v.key != nil || v.stopped != wire.ReasonNone ||
			v.offer.Tier <= r.offer.Tier || v.log.Headed() {
			continue
		}
		if worst == nil || v.offer.Tier > worst.offer.Tier || (v.offer.Tier == worst.offer.Tier && v.started > worst.started) {
			worst = v
		}
	}
	return worst
}

// wouldBeLate reports whether r misses its target if it waits for the next
// run to end by itself. A run that outlasts its estimate may end any moment,
// so it delays the decision only until the time to first byte is all that is
// left.
func (o *Owner) wouldBeLate(now time.Duration, r *rec) bool {
	if r.due == 0 {
		return false
	}
	soonest := time.Duration(-1)
	for _, v := range o.running {
		left := max(v.work.Cost-(now-v.started), 0)
		if soonest < 0 || left < soonest {
			soonest = left
		}
	}
	return now+max(soonest, 0)+o.firstMean > r.due
}

// halting counts the runs that are being stopped to make room.
func (o *Owner) halting() int {
	n := 0
	for _, v := range o.running {
		if v.stopped == wire.ReasonDisplaced {
			n++
		}
	}
	return n
}

// waitingAbove counts queued requests of the tier and those above it.
func (o *Owner) waitingAbove(tier uint8) int {
	n := 0
	for _, v := range o.waiting {
		if v.state == queued && v.offer.Tier <= tier {
			n++
		}
	}
	return n
}

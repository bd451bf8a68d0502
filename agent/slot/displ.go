package slot

import (
	"time"

	"lycheepond/core/bound"
	"lycheepond/core/wire"
)

// displaceAhead is how long before the last moment a run is stopped: the engine
// has to notice, and the entry to grant. To be measured.
const displaceAhead = 200 * time.Millisecond

// displace makes room for r, which would be late otherwise, by stopping work
// of a lower tier that runs, may be run again, and has shown nothing to its
// caller. The place comes free when the run has ended.
func (o *Owner) displace(now time.Duration, r *rec) {
	sum, _ := o.committed(int(r.offer.Tier))
	if o.bound.Fit(now, sum, r.work) == bound.LongFull {
		// Short work of a lower tier holds places that r would not get.
		return
	}
	if !o.wouldBeLate(now, r) || o.halting() >= o.waitingAbove(r.offer.Tier) {
		return
	}
	if v := o.runningVictim(r); v != nil {
		o.halt(v, wire.ReasonDisplaced)
	}
}

// runningVictim chooses the lowest tier and in it what began last, which has
// the least work to lose. An answer that has begun is spared: its caller would
// see it break off.
func (o *Owner) runningVictim(r *rec) *rec {
	var worst *rec
	for _, v := range o.running {
		if v.offer == nil || !v.offer.Repeatable || v.key != nil || v.stopped != wire.ReasonNone ||
			v.offer.Tier <= r.offer.Tier || v.log.HasHead() {
			continue
		}
		if worst == nil || v.offer.Tier > worst.offer.Tier || (v.offer.Tier == worst.offer.Tier && v.started > worst.started) {
			worst = v
		}
	}
	return worst
}

// wouldBeLate reports whether r misses its target unless a place comes free
// now. It does not ask when a run will end by itself: estimates of that are
// often wrong, the bound may grow, and another agent holds the offer too, so
// until the last moment the place may come without any loss. For a request
// that is late already nothing is stopped: it runs next, and the work would be
// lost for no target.
func (o *Owner) wouldBeLate(now time.Duration, r *rec) bool {
	first := now + o.firstMean
	return r.due > 0 && first <= r.due && first+displaceAhead > r.due
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

package shed

import (
	"math"
	"time"
)

const (
	// windowStarts is the number of starts over which a rate is measured.
	windowStarts = 32
	// minWindow and maxWindow bound the time over which a rate is measured.
	minWindow, maxWindow = 2 * time.Second, time.Minute
	// saturationDelay is how long work must have been waiting before the pool
	// counts as saturated. A shorter wait is only the round trip to an agent.
	saturationDelay = 50 * time.Millisecond
	// maxGapRatio is the ratio of the time since the last start to the mean
	// time between starts above which the rate is lowered. If starts are
	// random, one gap in 400 is longer.
	maxGapRatio = 6
	// stuckAfter is how long work must have been waiting before free slots are
	// considered unusable for it.
	stuckAfter = 250 * time.Millisecond
	// staleAfter is the time since the pool was last saturated after which the
	// measured rate is discounted, because the endpoints may have changed
	// since.
	staleAfter = time.Minute
	// priorSeconds is the weight of the rate that is assumed from the known
	// slots while few starts have been measured, in seconds of saturation.
	priorSeconds = 1.0
	// minRateShare is the minimum share of the pool's rate that predictions
	// assume for a tier.
	minRateShare = 0.02
)

// drainRate measures the rate at which the pool starts work of this entry, in
// seconds of estimated work per second. It measures only while work waits: at
// other times the work started shows what arrives, not what the pool could run.
type drainRate struct {
	// startedWork is the estimated work in seconds and starts the number of
	// requests started during saturatedSeconds of saturation. All three decay
	// exponentially.
	startedWork, starts, saturatedSeconds float64
	// waitingSince is the time at which work began to wait. lastUpdate is the
	// time of the last call of advance.
	waitingSince, lastUpdate time.Duration
	waiting                  bool
	// lastSaturated is the last time at which the pool was saturated.
	lastSaturated time.Duration
	// lastStart is the time at which work was last started.
	lastStart time.Duration
}

// advance updates the measurement to now. waiting says whether work has been
// waiting since the last call.
func (d *drainRate) advance(now time.Duration, waiting bool) {
	last := d.lastUpdate
	d.lastUpdate = now
	if !waiting {
		d.waiting = false
		return
	}
	if !d.waiting {
		d.waiting, d.waitingSince = true, last
	}
	from := max(last, d.waitingSince+saturationDelay)
	if now <= from {
		return
	}
	if from-d.lastSaturated > staleAfter {
		d.discount()
	}
	d.lastSaturated = now
	dt := (now - from).Seconds()
	decay := math.Exp(-dt / d.window())
	d.startedWork, d.starts, d.saturatedSeconds = d.startedWork*decay, d.starts*decay, d.saturatedSeconds*decay+dt
}

// discount reduces the weight of the measurement to a quarter.
func (d *drainRate) discount() {
	d.startedWork, d.starts, d.saturatedSeconds = d.startedWork/4, d.starts/4, d.saturatedSeconds/4
}

// window returns the decay time in seconds: the time that it takes to start
// windowStarts requests, between minWindow and maxWindow.
func (d *drainRate) window() float64 {
	if d.starts == 0 {
		return maxWindow.Seconds()
	}
	return min(max(windowStarts*d.saturatedSeconds/d.starts, minWindow.Seconds()), maxWindow.Seconds())
}

// recordStart records that work, in estimated seconds, was started.
func (d *drainRate) recordStart(now time.Duration, work float64) {
	d.lastStart = now
	if !d.waiting || now-d.waitingSince < saturationDelay {
		return
	}
	d.startedWork += work
	d.starts++
}

// rate returns the measured rate. While there are fewer than windowStarts/2
// starts, it mixes in this entry's share of the slots known from v. It returns
// zero if nothing is known.
func (d *drainRate) rate(v View) float64 {
	work, busy := d.startedWork, d.saturatedSeconds
	if d.starts < windowStarts/2 && v.Slots > 0 {
		prior := priorSeconds * (1 - d.starts/(windowStarts/2))
		work += prior * float64(v.Slots) / float64(max(v.Entries, 1))
		busy += prior
	}
	if work == 0 || busy == 0 {
		return 0
	}
	return work / busy
}

// currentRate returns rate, or less if the time since the last start is longer
// than that rate makes likely. Work that is starved by higher tiers must be
// detected before the measured rate has decayed.
func (d *drainRate) currentRate(now time.Duration) float64 {
	rate := d.rate(View{})
	gap := (now - max(d.lastStart, d.waitingSince)).Seconds()
	if gap <= 0 || d.starts == 0 {
		return rate
	}
	return min(rate, maxGapRatio*d.startedWork/d.starts/gap)
}

// isReliable reports whether the rate is based on enough starts or on a long
// enough time of saturation.
func (d *drainRate) isReliable() bool {
	return d.starts >= windowStarts/4 || d.saturatedSeconds >= minWindow.Seconds()
}

// isStuck reports whether work has been waiting for longer than stuckAfter.
func (d *drainRate) isStuck(now time.Duration) bool {
	return d.waiting && now-d.waitingSince > stuckAfter
}

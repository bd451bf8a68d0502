package shed

import (
	"math"
	"time"
)

const (
	// goodStarts is the number of starts that a rate is measured over.
	goodStarts = 32
	// leastWindow and mostWindow bound the time that it is measured over.
	leastWindow, mostWindow = 2 * time.Second, time.Minute
	// grace is how long work must have been waiting for the pool to count as
	// saturated: less is the way to an agent and back.
	grace = 50 * time.Millisecond
	// patience is how many times the usual time between two starts may pass
	// before the rate counts as lower. Of random starts one in 400 comes later.
	patience = 6
	// stuckAfter is how long work must have been waiting for free places to be
	// of no use to it.
	stuckAfter = 250 * time.Millisecond
	// stale is how long ago the pool was last saturated for its rate to count
	// for little, because the endpoints may have been changed since.
	stale = time.Minute
	// priorFor is how much time the known places stand for as long as there
	// are few starts.
	priorFor = 1.0
	// leastLeft is the least part of the rate that a tier is taken to get.
	leastLeft = 0.02
)

// drain measures the work that the pool takes from this entry, in estimated
// seconds a second. It does so only while work waits: at other times the work
// started says what arrives, not what could run.
type drain struct {
	// work was started in starts starts within busy seconds of saturation, all
	// three decayed.
	work, starts, busy float64
	// since is when work began to wait, and last when pass was last called.
	since, last time.Duration
	waiting     bool
	saturated   time.Duration
	// started is when work was last started.
	started time.Duration
}

// pass lets time pass until now; waiting tells whether work was waiting since
// the last call.
func (d *drain) pass(now time.Duration, waiting bool) {
	last := d.last
	d.last = now
	if !waiting {
		d.waiting = false
		return
	}
	if !d.waiting {
		d.waiting, d.since = true, last
	}
	from := max(last, d.since+grace)
	if now <= from {
		return
	}
	if from-d.saturated > stale {
		d.forget()
	}
	d.saturated = now
	dt := (now - from).Seconds()
	fade := math.Exp(-dt / d.window())
	d.work, d.starts, d.busy = d.work*fade, d.starts*fade, d.busy*fade+dt
}

// forget keeps a quarter of what was measured.
func (d *drain) forget() { d.work, d.starts, d.busy = d.work/4, d.starts/4, d.busy/4 }

// window is the time over which the rate is measured: as long as it takes to
// start goodStarts requests.
func (d *drain) window() float64 {
	if d.starts == 0 {
		return mostWindow.Seconds()
	}
	return min(max(goodStarts*d.busy/d.starts, leastWindow.Seconds()), mostWindow.Seconds())
}

// start records that work was started.
func (d *drain) start(now time.Duration, work float64) {
	d.started = now
	if !d.waiting || now-d.since < grace {
		return
	}
	d.work += work
	d.starts++
}

// rate returns the measured rate, with the share of the known places standing
// in while there are few starts; zero if nothing is known.
func (d *drain) rate(v View) float64 {
	work, busy := d.work, d.busy
	if d.starts < goodStarts/2 && v.Places > 0 {
		prior := priorFor * (1 - d.starts/(goodStarts/2))
		work += prior * float64(v.Places) / float64(max(v.Peers, 1))
		busy += prior
	}
	if work == 0 || busy == 0 {
		return 0
	}
	return work / busy
}

// present is rate, less when nothing was started for longer than that rate
// lets expect: work that is starved by higher tiers must be found so before the
// rate has faded.
func (d *drain) present(now time.Duration) float64 {
	rate := d.rate(View{})
	gap := (now - max(d.started, d.since)).Seconds()
	if gap <= 0 || d.starts == 0 {
		return rate
	}
	return min(rate, patience*d.work/d.starts/gap)
}

// sure reports whether the rate rests on more than a few starts or on a long
// wait.
func (d *drain) sure() bool {
	return d.starts >= goodStarts/4 || d.busy >= leastWindow.Seconds()
}

// stuck reports whether work has been waiting for long.
func (d *drain) stuck(now time.Duration) bool { return d.waiting && now-d.since > stuckAfter }

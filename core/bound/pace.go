package bound

import (
	"math"
	"time"
)

const (
	// slowRatio is how many times its usual an endpoint takes that is slow, and
	// fairRatio that of one that is no longer.
	slowRatio, fairRatio = 4, 2
	// recentWeight is the weight of a sample in the recent ratio: one sample of
	// an endpoint at an eighth of its pace is enough to find it slow.
	recentWeight = 0.45
	// usualFor is how long the usual pace remembers, and doubt the weight of a
	// sample that would make it slow: little enough not to take slowness for
	// usual at once, and enough to take an endpoint as it is that stays so.
	usualFor = time.Minute
	doubt    = 0.02
	// bestFor is how long the best pace is remembered, so that the best of
	// yesterday's engine is forgotten.
	bestFor = 5 * time.Minute
	// promptOverhead is the length in tokens that stands for what a first
	// token costs besides its prompt.
	promptOverhead = 64
	// minSamples is how many samples make a usual pace.
	minSamples = 8
	// leastSilence is the shortest silence that can make an endpoint slow.
	leastSilence = time.Second
)

// track follows one kind of time, in seconds, by how many were in flight.
type track struct {
	samples int
	// best is the shortest time seen of late, and ratio how many times the
	// usual one it takes recently.
	best, ratio float64
	// The sums of a decayed linear regression of the time v on the number in
	// flight n: weight, n, v, n*n and n*v.
	w, n, v, nn, nv float64
	last            time.Duration
}

// add takes in the time v that was seen with n in flight.
func (t *track) add(now time.Duration, n, v float64) {
	t.samples++
	if t.samples == 1 {
		t.best, t.ratio, t.last = v, 1, now
	}
	since := (now - t.last).Seconds()
	t.best = min(v, t.best*math.Exp(since/bestFor.Seconds()))
	weight := 1.0
	if t.samples > minSamples {
		r := v / t.usual(n)
		t.ratio += (r - t.ratio) * recentWeight
		if r > slowRatio {
			weight = doubt
		}
	}
	fade := math.Exp(-since / usualFor.Seconds())
	t.last = now
	t.w, t.n, t.v = t.w*fade+weight, t.n*fade+weight*n, t.v*fade+weight*v
	t.nn, t.nv = t.nn*fade+weight*n*n, t.nv*fade+weight*n*v
}

// usual returns the time that is usual with n in flight.
func (t *track) usual(n float64) float64 {
	if t.w == 0 {
		return 0
	}
	meanN, meanV := t.n/t.w, t.v/t.w
	spread := t.nn/t.w - meanN*meanN
	slope := 0.0
	if spread > 0.25 {
		slope = max(0, (t.nv/t.w-meanN*meanV)/spread)
	}
	return max(meanV+slope*(n-meanN), meanV/slowRatio, t.best)
}

// pace knows how fast the endpoint usually is.
type pace struct {
	// first is the time to the first token for each token of the prompt that
	// was not cached, and between the time between tokens.
	first, between track
	slow           bool
}

// uncached is the length of the prompt that had to be computed.
func (m *Sample) uncached() float64 {
	return float64(max(m.PromptTokens-m.CachedTokens, 0) + promptOverhead)
}

func (p *pace) observe(now time.Duration, m Sample) {
	n := float64(m.InFlight)
	if m.First > 0 {
		p.first.add(now, n, m.First.Seconds()/m.uncached())
	}
	if m.Between > 0 {
		p.between.add(now, n, m.Between.Seconds())
	}
	// Times to the first token vary with the company much more than those
	// between tokens, so they decide only where there are no others.
	ratio := p.between.ratio
	if p.between.samples == 0 {
		ratio = p.first.ratio
	}
	if p.slow {
		p.slow = ratio > fairRatio
		return
	}
	p.slow = ratio > slowRatio
}

// silence marks the endpoint slow when it gives nothing for much longer than
// usual.
func (p *pace) silence(d time.Duration) {
	if p.between.samples+p.first.samples < minSamples || d < leastSilence {
		return
	}
	usual := p.between.usual(1)
	if p.between.samples == 0 {
		usual = p.first.usual(1) * promptOverhead
	}
	if d.Seconds() > 2*slowRatio*usual {
		p.slow = true
		p.between.ratio = max(p.between.ratio, slowRatio)
		p.first.ratio = max(p.first.ratio, slowRatio)
	}
}

// load returns how much of its target a sample used, the worse of first token
// and between tokens; zero if it says nothing.
func (p *pace) load(m Sample) float64 {
	return max(p.firstLoad(m), p.betweenLoad(m))
}

func (p *pace) firstLoad(m Sample) float64 {
	if m.First == 0 || p.first.samples < 2 {
		return 0
	}
	company := m.First.Seconds() / (p.first.best * m.uncached())
	if m.FirstTarget == 0 {
		return company / ownCompany
	}
	load := m.First.Seconds() / m.FirstTarget.Seconds()
	if load > 1 && company < guilt {
		return 0
	}
	return min(load, company/guilt)
}

// headway returns the load by which the bound may grow, which is more than
// load for a first token: a queue inside the endpoint shows there first, long
// before a report of it comes or a target is missed. It slows growth, and does
// not hold it up.
func (p *pace) headway(m Sample, load float64) float64 {
	first := p.firstLoad(m)
	return max(load, min(first*caution, roomy-0.01))
}

func (p *pace) betweenLoad(m Sample) float64 {
	if m.Between == 0 {
		return 0
	}
	if m.BetweenTarget > 0 {
		return m.Between.Seconds() / m.BetweenTarget.Seconds()
	}
	return m.Between.Seconds() / (p.between.best * ownCompany)
}

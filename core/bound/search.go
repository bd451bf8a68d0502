package bound

import (
	"math"
	"time"
)

const (
	// lateWeight is the weight of one sample in the share of late ones.
	lateWeight = 1.0 / 16
	// overWeight is that of a late one in how late they are.
	overWeight = 1.0 / 4
	// lateWanted is the share of late samples below which the bound grows and
	// lateTooMany that above which it shrinks.
	lateWanted  = 0.03
	lateTooMany = 0.08
	// nearLimit is the part of the bound that must be in use for a sample to
	// tell that there is room for more.
	nearLimit = 0.8
	// light and fair are the parts of the target below which the bound may
	// grow by half and by a sixth; up to roomy it grows by one. The time
	// between tokens grows no faster than the batch, so that no step from
	// below can pass the target by much.
	light, fair, roomy      = 0.5, 0.75, 0.92
	lightGrowth, fairGrowth = 1.5, 1.17
	leastGrowth             = 1
	// leastCut and mostCut bound what the bound keeps when it shrinks.
	leastCut, mostCut = 0.95, 0.5
	// settle is how long after a change samples between tokens still tell of
	// the time before it.
	settle = 500 * time.Millisecond
	// probeEvery is how often a bound that was cut is tried above where it
	// stands, and probeLight how often when the targets are far off.
	probeEvery = 30 * time.Second
	probeLight = 10 * time.Second
	// ownCompany is how many times its own best an endpoint without a target
	// may take.
	ownCompany = 4
	// caution is how many times as much a first token counts for growth.
	caution = 2
	// guilt is how many times its own best the first token must take for a
	// late one to be due to the company it had, and not to its own prompt or
	// to waiting before it came here.
	guilt = 2
)

// search finds the bound from late and timely samples.
type search struct {
	cfg Config
	// size is the bound before rounding, within cfg's limits.
	size float64
	// ceiling is the largest bound below the last one that was too large, zero
	// if none was. Without it the search would go one too far every few
	// rounds, which at a small bound makes most answers late. probe is the
	// next step above it.
	ceiling, probe float64
	// late is the share of late samples seen at the present bound, and over
	// the part of the target that late ones used of late, at least one.
	late, over float64
	// changed is when size last changed. Since then there were samples of a
	// nearly used bound, fresh of them of a first token. load is the sum of the
	// parts of their targets that all used, and freshLoad that of the fresh.
	changed         time.Duration
	samples, fresh  int
	load, freshLoad float64
	// queued counts reports in a row that show a queue inside the endpoint, and
	// cutAt is when the last cut was made.
	queued int
	cutAt  time.Duration
}

func newSearch(cfg Config) search {
	return search{cfg: cfg, size: float64(min(max(cfg.Min, coldStart), cfg.Max)), probe: leastGrowth, over: 1}
}

func (s *search) limit() int { return int(s.size) }

func (s *search) set(now time.Duration, size float64) {
	s.size = min(max(size, float64(s.cfg.Min)), float64(s.cfg.Max))
	s.changed, s.samples, s.fresh = now, 0, 0
	s.load, s.freshLoad = 0, 0
}

// restart begins anew from the cold start, after a slow endpoint recovered.
func (s *search) restart(now time.Duration) {
	s.late, s.over, s.queued = 0, 1, 0
	s.set(now, min(s.size, float64(max(s.cfg.Min, coldStart))))
}

// observe moves the bound after one sample.
func (s *search) observe(now time.Duration, m Sample, p *pace) {
	load := p.load(m)
	if load == 0 || s.stale(now, m) {
		return
	}
	s.late += (share(load > 1) - s.late) * lateWeight
	if load > 1 {
		s.over += (load - s.over) * overWeight
	}
	if load > 1 && s.late > lateTooMany {
		s.cut(now)
		return
	}
	s.count(m, p.headway(m, load))
	if s.samples >= s.limit() && s.fresh > 0 && s.late < lateWanted {
		s.grow(now)
	}
}

func (s *search) cut(now time.Duration) {
	keep := min(max(1/s.over, mostCut), leastCut)
	s.late, s.over, s.cutAt = lateWanted, 1, now
	s.probe, s.ceiling = leastGrowth, max(math.Floor(s.size)-leastGrowth, float64(s.cfg.Min))
	s.set(now, min(s.size*keep, s.size-leastGrowth))
}

// stale reports whether a sample tells of the time before the last change.
// Without this a cut would be followed by others for the same late answers,
// and growth by more before its effect was seen.
func (s *search) stale(now time.Duration, m Sample) bool {
	if m.First > 0 {
		return now-m.First < s.changed
	}
	return now-settle < s.changed || float64(m.InFlight) > s.size+1
}

func (s *search) count(m Sample, load float64) {
	if float64(m.InFlight) < nearLimit*float64(s.limit()) {
		return
	}
	s.samples++
	s.load += load
	if m.First > 0 {
		s.fresh++
		s.freshLoad += load
	}
}

func share(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// grow makes the bound larger by what the samples since its last change allow.
func (s *search) grow(now time.Duration) {
	size, wait := s.size+leastGrowth, probeLight
	load := max(s.load/float64(s.samples), s.freshLoad/float64(s.fresh))
	switch {
	case load >= roomy:
		return
	case load < light:
		size = max(size, s.size*lightGrowth)
	case load < fair:
		size = max(size, s.size*fairGrowth)
	default:
		wait = probeEvery
	}
	switch {
	case s.ceiling == 0 || size <= s.ceiling:
		s.set(now, size)
	case s.size < s.ceiling:
		s.set(now, s.ceiling)
	case now-s.changed >= wait:
		// The last step above the ceiling has stood, so the next is larger.
		s.ceiling = min(s.size+s.probe, max(size, s.size+leastGrowth))
		s.probe *= 2
		s.set(now, s.ceiling)
	}
}

// report cuts the bound to what runs when the endpoint shows a queue of its
// own. One report of one that waits may just have met it on its way in. A
// report from before the bound last grew is good evidence all the same, and one
// from before it was cut is none.
func (s *search) report(now time.Duration, r Report) {
	if r.Waiting == 0 || now-r.Age < s.cutAt {
		s.queued = 0
		return
	}
	s.queued++
	if (s.queued < 2 && r.Waiting < 2) || float64(r.Running) >= s.size {
		return
	}
	s.queued, s.probe, s.ceiling = 0, leastGrowth, float64(max(r.Running, s.cfg.Min))
	s.cutAt = now
	s.set(now, s.ceiling)
}

package bound

import (
	"math"
	"time"
)

const (
	// lateShareWeight is the weight of one sample in the share of late samples.
	lateShareWeight = 1.0 / 16
	// overshootWeight is the weight of one late sample in search.overshoot.
	overshootWeight = 1.0 / 4
	// growLateShare is the share of late samples below which the bound may
	// grow, and cutLateShare the share above which it is cut.
	growLateShare = 0.03
	cutLateShare  = 0.08
	// minLimitUse is the part of the bound that must be in use for a sample to
	// show that the bound may grow.
	minLimitUse = 0.8
	// lightUse and moderateUse are the fractions of the target below which the
	// bound may grow by a half and by a sixth. Up to maxGrowUse it grows by
	// one. The time between tokens grows at most in proportion to the batch, so
	// that no step from below exceeds the target by much.
	lightUse, moderateUse, maxGrowUse = 0.5, 0.75, 0.92
	lightGrowth, moderateGrowth       = 1.5, 1.17
	// minStep is the smallest step of the bound, in requests.
	minStep = 1
	// maxKeep and minKeep limit the part of the bound that is kept when it is
	// cut.
	maxKeep, minKeep = 0.95, 0.5
	// settleTime is the time after a change during which samples between tokens
	// still describe the time before it.
	settleTime = 500 * time.Millisecond
	// probeInterval is the time after which a bound that was cut is increased
	// above its ceiling. lightProbeInterval applies when the use of the targets
	// is below moderateUse.
	probeInterval      = 30 * time.Second
	lightProbeInterval = 10 * time.Second
	// noTargetRatio replaces the target of requests without one: the allowed
	// ratio to the endpoint's own best time.
	noTargetRatio = 4
	// firstTokenCaution is the factor by which the used fraction of the
	// first-token target is multiplied when growth is decided.
	firstTokenCaution = 2
	// crowdedRatio is the ratio to the endpoint's own best time that a late
	// first token must reach to be attributed to the other requests in flight.
	// Below it, the request was late because of its own prompt or because it
	// had waited before it was handed over.
	crowdedRatio = 2
)

// search finds the bound from the late and timely samples.
type search struct {
	cfg Config
	// size is the bound before rounding. It is within the limits of cfg.
	size float64
	// ceiling is the largest bound below the last one that was too large, or
	// zero if there was none. Without it the search would exceed the right
	// bound every few rounds, which makes most answers late if the bound is
	// small. probeStep is the next step above the ceiling.
	ceiling, probeStep float64
	// lateShare is the recent share of late samples at the current bound.
	// overshoot is the mean targetUse of recent late samples, at least one.
	lateShare, overshoot float64
	// lastChange is when size last changed. samples counts the samples since
	// then that had at least minLimitUse of the bound in flight, and
	// firstTokenSamples those of them with a first token. useSum and
	// firstTokenUseSum are the sums of their growthUse.
	lastChange                 time.Duration
	samples, firstTokenSamples int
	useSum, firstTokenUseSum   float64
	// queueReports is the number of reports in a row that show a queue inside
	// the endpoint. lastCut is when the bound was last cut.
	queueReports int
	lastCut      time.Duration
}

func newSearch(cfg Config) search {
	return search{cfg: cfg, size: float64(min(max(cfg.Min, initialBound), cfg.Max)), probeStep: minStep, overshoot: 1}
}

func (s *search) limit() int { return int(s.size) }

func (s *search) set(now time.Duration, size float64) {
	s.size = min(max(size, float64(s.cfg.Min)), float64(s.cfg.Max))
	s.lastChange, s.samples, s.firstTokenSamples = now, 0, 0
	s.useSum, s.firstTokenUseSum = 0, 0
}

// restart begins the search again, at most at the initial bound, after a slow
// endpoint has recovered.
func (s *search) restart(now time.Duration) {
	s.lateShare, s.overshoot, s.queueReports = 0, 1, 0
	s.set(now, min(s.size, float64(max(s.cfg.Min, initialBound))))
}

// observe adjusts the bound after one sample.
func (s *search) observe(now time.Duration, sample Sample, p *pace) {
	use := p.targetUse(sample)
	if use == 0 || s.isStale(now, sample) {
		return
	}
	s.lateShare += (indicator(use > 1) - s.lateShare) * lateShareWeight
	if use > 1 {
		s.overshoot += (use - s.overshoot) * overshootWeight
	}
	if use > 1 && s.lateShare > cutLateShare {
		s.cut(now)
		return
	}
	s.addSample(sample, p.growthUse(sample, use))
	if s.samples >= s.limit() && s.firstTokenSamples > 0 && s.lateShare < growLateShare {
		s.grow(now)
	}
}

func (s *search) cut(now time.Duration) {
	keep := min(max(1/s.overshoot, minKeep), maxKeep)
	s.lateShare, s.overshoot, s.lastCut = growLateShare, 1, now
	s.probeStep, s.ceiling = minStep, max(math.Floor(s.size)-minStep, float64(s.cfg.Min))
	s.set(now, min(s.size*keep, s.size-minStep))
}

// isStale reports whether a sample describes the time before the last change.
// Such samples are ignored: otherwise the same late answers would cause several
// cuts, and growth would be followed by more growth before its effect was seen.
func (s *search) isStale(now time.Duration, sample Sample) bool {
	if sample.FirstToken > 0 {
		return now-sample.FirstToken < s.lastChange
	}
	return now-settleTime < s.lastChange || float64(sample.InFlight) > s.size+1
}

func (s *search) addSample(sample Sample, use float64) {
	if float64(sample.InFlight) < minLimitUse*float64(s.limit()) {
		return
	}
	s.samples++
	s.useSum += use
	if sample.FirstToken > 0 {
		s.firstTokenSamples++
		s.firstTokenUseSum += use
	}
}

// indicator returns 1 if cond is true and 0 otherwise.
func indicator(cond bool) float64 {
	if cond {
		return 1
	}
	return 0
}

// grow increases the bound as far as the samples since its last change allow.
func (s *search) grow(now time.Duration) {
	size, probeAfter := s.size+minStep, lightProbeInterval
	meanUse := max(s.useSum/float64(s.samples), s.firstTokenUseSum/float64(s.firstTokenSamples))
	switch {
	case meanUse >= maxGrowUse:
		return
	case meanUse < lightUse:
		size = max(size, s.size*lightGrowth)
	case meanUse < moderateUse:
		size = max(size, s.size*moderateGrowth)
	default:
		probeAfter = probeInterval
	}
	switch {
	case s.ceiling == 0 || size <= s.ceiling:
		s.set(now, size)
	case s.size < s.ceiling:
		s.set(now, s.ceiling)
	case now-s.lastChange >= probeAfter:
		// The previous step above the ceiling was not cut, so the next step is
		// larger.
		s.ceiling = min(s.size+s.probeStep, max(size, s.size+minStep))
		s.probeStep *= 2
		s.set(now, s.ceiling)
	}
}

// observeReport cuts the bound to the number of running requests when the
// endpoint reports a queue. A single report of one waiting request is ignored,
// because that request may just have arrived. Reports from before the last
// growth of the bound count, reports from before the last cut do not.
func (s *search) observeReport(now time.Duration, r Report) {
	if r.Waiting == 0 || now-r.Age < s.lastCut {
		s.queueReports = 0
		return
	}
	s.queueReports++
	if (s.queueReports < 2 && r.Waiting < 2) || float64(r.Running) >= s.size {
		return
	}
	s.queueReports, s.probeStep, s.ceiling = 0, minStep, float64(max(r.Running, s.cfg.Min))
	s.lastCut = now
	s.set(now, s.ceiling)
}

package bound

import (
	"math"
	"time"
)

const (
	// slowRatio is the ratio to the expected time above which an endpoint is
	// marked slow. recoveredRatio is the ratio up to which a slow endpoint
	// counts as recovered.
	slowRatio, recoveredRatio = 4, 2
	// recentWeight is the weight of a sample in the recent ratio. One sample of
	// an endpoint at an eighth of its pace is enough to mark it slow.
	recentWeight = 0.45
	// usualWindow is the time over which the usual pace is averaged.
	usualWindow = time.Minute
	// slowSampleWeight is the weight in that average of a sample above
	// slowRatio. It is small enough that a sudden slowdown is not learnt as
	// usual at once, and large enough that the pace of an endpoint that stays
	// slow becomes its usual pace.
	slowSampleWeight = 0.02
	// bestWindow is the decay time of the best pace, so that the best pace of
	// yesterday's engine is forgotten.
	bestWindow = 5 * time.Minute
	// promptOverheadTokens represents the part of the time to the first token
	// that does not depend on the prompt, as a number of tokens.
	promptOverheadTokens = 64
	// minSamples is the number of samples that are needed to know the usual
	// pace.
	minSamples = 8
	// minSilence is the shortest silence after which an endpoint can be marked
	// slow.
	minSilence = time.Second
)

// latencyTrack follows one kind of latency, in seconds, as a function of the
// number of requests in flight.
type latencyTrack struct {
	samples int
	// best is the shortest recent time. recentRatio is the decayed mean of the
	// ratio of the observed to the expected time.
	best, recentRatio float64
	// These are the sums of an exponentially decayed linear regression of the
	// time v on the number in flight n: of the weights, n, v, n*n and n*v.
	w, n, v, nn, nv float64
	lastSample      time.Duration
}

// add adds the time v, observed with n requests in flight.
func (t *latencyTrack) add(now time.Duration, n, v float64) {
	t.samples++
	if t.samples == 1 {
		t.best, t.recentRatio, t.lastSample = v, 1, now
	}
	elapsed := (now - t.lastSample).Seconds()
	t.best = min(v, t.best*math.Exp(elapsed/bestWindow.Seconds()))
	weight := 1.0
	if t.samples > minSamples {
		ratio := v / t.expected(n)
		t.recentRatio += (ratio - t.recentRatio) * recentWeight
		if ratio > slowRatio {
			weight = slowSampleWeight
		}
	}
	decay := math.Exp(-elapsed / usualWindow.Seconds())
	t.lastSample = now
	t.w, t.n, t.v = t.w*decay+weight, t.n*decay+weight*n, t.v*decay+weight*v
	t.nn, t.nv = t.nn*decay+weight*n*n, t.nv*decay+weight*n*v
}

// expected returns the usual time with n requests in flight.
func (t *latencyTrack) expected(n float64) float64 {
	if t.w == 0 {
		return 0
	}
	meanN, meanV := t.n/t.w, t.v/t.w
	variance := t.nn/t.w - meanN*meanN
	slope := 0.0
	if variance > 0.25 {
		slope = max(0, (t.nv/t.w-meanN*meanV)/variance)
	}
	return max(meanV+slope*(n-meanN), meanV/slowRatio, t.best)
}

// pace tracks the usual pace of the endpoint and whether the endpoint is slow
// now.
type pace struct {
	// firstToken is the time to the first token per uncached token of the
	// prompt. betweenTokens is the time between tokens.
	firstToken, betweenTokens latencyTrack
	slow                      bool
}

// uncachedTokens returns the number of prompt tokens that had to be computed,
// plus promptOverheadTokens.
func (s *Sample) uncachedTokens() float64 {
	return float64(max(s.PromptTokens-s.CachedTokens, 0) + promptOverheadTokens)
}

func (p *pace) observe(now time.Duration, s Sample) {
	n := float64(s.InFlight)
	if s.FirstToken > 0 {
		p.firstToken.add(now, n, s.FirstToken.Seconds()/s.uncachedTokens())
	}
	if s.BetweenTokens > 0 {
		p.betweenTokens.add(now, n, s.BetweenTokens.Seconds())
	}
	// Times to the first token depend much more on the other requests in flight
	// than times between tokens, so they decide only if there are no others.
	ratio := p.betweenTokens.recentRatio
	if p.betweenTokens.samples == 0 {
		ratio = p.firstToken.recentRatio
	}
	if p.slow {
		p.slow = ratio > recoveredRatio
		return
	}
	p.slow = ratio > slowRatio
}

// observeSilence marks the endpoint slow if it has sent nothing for much longer
// than usual.
func (p *pace) observeSilence(d time.Duration) {
	if p.betweenTokens.samples+p.firstToken.samples < minSamples || d < minSilence {
		return
	}
	expected := p.betweenTokens.expected(1)
	if p.betweenTokens.samples == 0 {
		expected = p.firstToken.expected(1) * promptOverheadTokens
	}
	if d.Seconds() > 2*slowRatio*expected {
		p.slow = true
		p.betweenTokens.recentRatio = max(p.betweenTokens.recentRatio, slowRatio)
		p.firstToken.recentRatio = max(p.firstToken.recentRatio, slowRatio)
	}
}

// targetUse returns the fraction of its target that a sample used, the larger
// of those for the first token and between tokens. It is above one for a late
// sample, and zero if the sample does not count.
func (p *pace) targetUse(s Sample) float64 {
	return max(p.firstTokenUse(s), p.betweenTokensUse(s))
}

func (p *pace) firstTokenUse(s Sample) float64 {
	if s.FirstToken == 0 || p.firstToken.samples < 2 {
		return 0
	}
	bestRatio := s.FirstToken.Seconds() / (p.firstToken.best * s.uncachedTokens())
	if s.FirstTokenTarget == 0 {
		return bestRatio / noTargetRatio
	}
	use := s.FirstToken.Seconds() / s.FirstTokenTarget.Seconds()
	if use > 1 && bestRatio < crowdedRatio {
		return 0
	}
	return min(use, bestRatio/crowdedRatio)
}

// growthUse returns the used fraction of the target on which growth of the bound
// is decided. use is the targetUse of the sample. The fraction for a first token
// is increased: a queue inside the endpoint shows there first, long before it is
// reported or a target is missed. This slows growth but does not prevent it.
func (p *pace) growthUse(s Sample, use float64) float64 {
	firstTokenUse := p.firstTokenUse(s)
	return max(use, min(firstTokenUse*firstTokenCaution, maxGrowUse-0.01))
}

func (p *pace) betweenTokensUse(s Sample) float64 {
	if s.BetweenTokens == 0 {
		return 0
	}
	if s.BetweenTokensTarget > 0 {
		return s.BetweenTokens.Seconds() / s.BetweenTokensTarget.Seconds()
	}
	return s.BetweenTokens.Seconds() / (p.betweenTokens.best * noTargetRatio)
}

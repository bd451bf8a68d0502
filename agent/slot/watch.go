package slot

import (
	"time"

	"lycheepond/core/bound"
	"lycheepond/core/wire"
)

const (
	// sampleTokens is over how many tokens the time between two of them is
	// worth a sample.
	sampleTokens = 16
	// midStream is from how many tokens a stream has begun.
	midStream = 2
	// lateFactor is how many times its target a first byte may be late before
	// the bound hears of it without waiting for the byte.
	lateFactor = 2
	// firstWeight is the weight of one sample in the mean time to first byte.
	firstWeight = 8
)

// watchRuns shows the bound what runs look like while they last. A straggler
// ends its runs late and a frozen endpoint never, so without this it would
// look as good as before for as long as its requests take.
func (o *Owner) watchRuns(now time.Duration) {
	alive, streams := time.Duration(0), false
	for _, r := range o.running {
		if r.offer == nil || r.stopped != wire.ReasonNone {
			continue
		}
		if r.progress.First.Load() != 0 {
			if r.progress.Tokens.Load() >= midStream {
				streams = true
				alive = max(alive, r.started+time.Duration(r.progress.Last.Load()))
			}
			if !r.firstSeen || r.progress.Tokens.Load()-r.tokens >= sampleTokens {
				o.observe(now, r, wire.Usage{})
			}
			continue
		}
		if target := ms(r.offer.FirstMS); target > 0 && !r.firstSeen && now-r.started > lateFactor*target {
			o.observe(now, r, wire.Usage{})
		}
	}
	if streams {
		// Only streams that have begun tell: the first byte of a long prompt
		// may take seconds on the best of endpoints.
		o.bound.Silence(now - alive)
	}
}

// observe shows the bound what r has been like since the last time.
func (o *Owner) observe(now time.Duration, r *rec, u wire.Usage) {
	if r.offer == nil || r.stopped != wire.ReasonNone {
		return
	}
	s := bound.Sample{
		BetweenTarget: ms(r.offer.BetweenMS), PromptTokens: int(u.PromptTokens), CachedTokens: int(u.CachedTokens),
		OutputTokens: int(u.OutputTokens), InFlight: len(o.running),
	}
	if s.PromptTokens == 0 {
		s.PromptTokens = int(r.offer.PromptTokens)
	}
	if !r.firstSeen {
		r.firstSeen = true
		s.First, s.FirstTarget = o.first(now, r), o.firstTarget(r)
	}
	tokens, last := r.progress.Tokens.Load(), r.progress.Last.Load()
	if n := tokens - r.tokens; n >= sampleTokens {
		if r.tokens > 0 {
			s.Between = time.Duration((last - r.lastToken) / n)
		} else {
			s.Between = r.progress.Between()
		}
		r.tokens, r.lastToken = tokens, last
	}
	if s.First > 0 || s.Between > 0 {
		o.bound.Observe(now, s)
	}
}

// first returns the time that r took to its first byte, so far if it has not
// come.
func (o *Owner) first(now time.Duration, r *rec) time.Duration {
	first := time.Duration(r.progress.First.Load())
	if first == 0 {
		return now - r.started
	}
	o.firstMean += (first - o.firstMean) / firstWeight
	return first
}

// firstTarget returns what was left of the target when r was handed over.
func (o *Owner) firstTarget(r *rec) time.Duration {
	if r.offer.FirstMS == 0 {
		return 0
	}
	return max(ms(r.offer.FirstMS)-ms(r.offer.WaitedMS)-(r.started-r.arrived), time.Millisecond)
}

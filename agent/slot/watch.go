package slot

import (
	"time"

	"lycheepond/core/bound"
	"lycheepond/core/wire"
)

const (
	// minSampleTokens is the number of new tokens that a sample of the token
	// interval needs.
	minSampleTokens = 16
	// minStreamTokens is the minimum number of tokens of a stream that counts as
	// begun.
	minStreamTokens = 2
	// overdueFactor is the multiple of the first-byte target after which a sample
	// is taken although the first byte has not arrived.
	overdueFactor = 2
	// streamSampleValidity is how long unstreamed answers are not sampled after a
	// sample of a stream.
	streamSampleValidity = 10 * time.Second
	// meanSamples is the number of samples over which the moving mean averages.
	meanSamples = 8
)

// sampleRuns passes samples of running streams to the bound. A slow endpoint ends
// its runs late, and a frozen one never ends them. Samples that are taken only at
// the end of a run would therefore show the problem too late.
func (o *Owner) sampleRuns(now time.Duration) {
	lastTokenAt, hasStream := time.Duration(0), false
	for _, r := range o.running {
		if r.offer == nil || r.stopReason != wire.ReasonNone || !r.isStream {
			continue
		}
		first, tokens := r.progress.FirstNS.Load(), r.progress.Tokens.Load()
		if tokens >= minStreamTokens {
			hasStream = true
			lastTokenAt = max(lastTokenAt, r.startedAt+time.Duration(r.progress.LastNS.Load()))
		}
		target := ms(r.offer.FirstTargetMS)
		isOverdue := first == 0 && target > 0 && now-r.startedAt > overdueFactor*target
		if !r.firstByteSampled && (first != 0 || isOverdue) || tokens-r.sampledTokens >= minSampleTokens {
			o.observe(now, r, wire.Usage{})
		}
	}
	if hasStream {
		// Only streams that have begun are considered: the first byte of a long
		// prompt may take seconds on a healthy endpoint.
		o.bound.ObserveSilence(now - lastTokenAt)
	}
}

// observe passes a sample of what r has done since its last sample to the bound.
func (o *Owner) observe(now time.Duration, r *record, u wire.Usage) {
	if r.offer == nil || r.stopReason != wire.ReasonNone {
		return
	}
	s := bound.Sample{
		PromptTokens: int(u.PromptTokens), CachedTokens: int(u.CachedTokens),
		OutputTokens: int(u.OutputTokens), InFlight: len(o.running),
	}
	if r.state == stateEnded {
		s.InFlight++
	}
	if s.PromptTokens == 0 {
		s.PromptTokens = int(r.offer.PromptTokens)
	}
	switch {
	case r.isStream:
		o.sampleStream(now, r, &s)
	case u.OutputTokens > 0:
		o.sampleUnstreamed(now, r, &s)
	default:
		o.sampleServiceCall(r, &s)
	}
	if s.FirstToken > 0 || s.BetweenTokens > 0 {
		o.bound.Observe(now, s)
	}
}

// sampleStream fills in the sample of a streamed answer.
func (o *Owner) sampleStream(now time.Duration, r *record, s *bound.Sample) {
	if !r.firstByteSampled {
		r.firstByteSampled = true
		s.FirstToken, s.FirstTokenTarget = o.firstByteTime(now, r), firstTarget(r)
	}
	tokens, last := r.progress.Tokens.Load(), r.progress.LastNS.Load()
	n := tokens - r.sampledTokens
	if n < minSampleTokens {
		return
	}
	if r.sampledTokens > 0 {
		s.BetweenTokens = time.Duration((last - r.sampledLastNS) / n)
	} else {
		s.BetweenTokens = r.progress.MeanInterval()
	}
	s.BetweenTokensTarget, o.lastStreamSampleAt = betweenTarget(r), now
	r.sampledTokens, r.sampledLastNS = tokens, last
}

// sampleUnstreamed fills in the sample of a model's unstreamed answer. Its first
// byte arrives at the end, so the time to it is not the time to the first
// token. If it were used as such, every longer answer would look late, and the
// bound would fall to its minimum. Samples of streams are used instead while there
// are any; otherwise the mean time per token takes the place of the time to the
// first token.
func (o *Owner) sampleUnstreamed(now time.Duration, r *record, s *bound.Sample) {
	if o.lastStreamSampleAt > 0 && now-o.lastStreamSampleAt < streamSampleValidity {
		return
	}
	tokens := time.Duration(s.OutputTokens)
	s.FirstToken, s.FirstTokenTarget = time.Duration(r.progress.LastNS.Load())/tokens, completeTarget(r)/tokens
	s.PromptTokens, s.CachedTokens = 0, 0
}

// sampleServiceCall fills in the sample of a call to a plain service. Calls differ
// in length as prompts do, so the estimated cost in milliseconds takes the place of
// the number of prompt tokens.
func (o *Owner) sampleServiceCall(r *record, s *bound.Sample) {
	s.FirstToken, s.FirstTokenTarget = time.Duration(r.progress.LastNS.Load()), completeTarget(r)
	s.PromptTokens = int(r.offer.CostMS)
}

// firstByteTime returns the time from the start of r to its first byte, or to now
// if it has not arrived.
func (o *Owner) firstByteTime(now time.Duration, r *record) time.Duration {
	first := time.Duration(r.progress.FirstNS.Load())
	if first == 0 {
		return now - r.startedAt
	}
	o.meanFirstByte += (first - o.meanFirstByte) / meanSamples
	return first
}

// firstTarget returns the part of the first-byte target that was left when r was
// passed to the endpoint, but at least half of the target. Time that a request
// spent waiting says nothing about the endpoint. If it counted, the bound would
// fall, the queue would grow, and more requests would be late.
func firstTarget(r *record) time.Duration {
	target := ms(r.offer.FirstTargetMS)
	if target == 0 {
		return completeTarget(r)
	}
	return max(target-ms(r.offer.WaitedMS)-(r.startedAt-r.arrivedAt), target/2)
}

// betweenTarget returns the target for the time between two tokens: the class's
// target, or the share of one token in completeTarget if there is none.
func betweenTarget(r *record) time.Duration {
	if r.offer.BetweenTargetMS == 0 && r.offer.OutputTokens > 0 {
		return completeTarget(r) / time.Duration(r.offer.OutputTokens)
	}
	return ms(r.offer.BetweenTargetMS)
}

// completeTarget returns the target for the endpoint's time for a complete answer:
// half of the request's target, or a quarter of the time until the deadline if
// there is no target. The other half of the target is left for waiting.
func completeTarget(r *record) time.Duration {
	if r.offer.CompleteTargetMS > 0 {
		return ms(r.offer.CompleteTargetMS) / 2
	}
	return (r.deadline - r.arrivedAt) / 4
}

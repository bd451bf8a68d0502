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
	// streamsTell is how long samples of streams make others unnecessary.
	streamsTell = 10 * time.Second
	// meanWeight is how many samples make a mean.
	meanWeight = 8
)

// watchRuns shows the bound what streams look like while they last. A
// straggler ends its runs late and a frozen endpoint never, so without this it
// would look as good as before for as long as its requests take.
func (o *Owner) watchRuns(now time.Duration) {
	alive, begun := time.Duration(0), false
	for _, r := range o.running {
		if r.offer == nil || r.stopped != wire.ReasonNone || !r.stream {
			continue
		}
		first, tokens := r.progress.FirstNS.Load(), r.progress.Tokens.Load()
		if tokens >= midStream {
			begun = true
			alive = max(alive, r.started+time.Duration(r.progress.LastNS.Load()))
		}
		target := ms(r.offer.FirstMS)
		overdue := first == 0 && target > 0 && now-r.started > lateFactor*target
		if !r.firstSeen && (first != 0 || overdue) || tokens-r.tokens >= sampleTokens {
			o.observe(now, r, wire.Usage{})
		}
	}
	if begun {
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
		PromptTokens: int(u.PromptTokens), CachedTokens: int(u.CachedTokens),
		OutputTokens: int(u.OutputTokens), InFlight: len(o.running),
	}
	if r.state == ended {
		s.InFlight++
	}
	if s.PromptTokens == 0 {
		s.PromptTokens = int(r.offer.PromptTokens)
	}
	switch {
	case r.stream:
		o.pieces(now, r, &s)
	case u.OutputTokens > 0:
		o.inOne(now, r, &s)
	default:
		o.plain(r, &s)
	}
	if s.First > 0 || s.Between > 0 {
		o.bound.Observe(now, s)
	}
}

// pieces fills in what is seen of an answer that comes piece by piece.
func (o *Owner) pieces(now time.Duration, r *rec, s *bound.Sample) {
	if !r.firstSeen {
		r.firstSeen = true
		s.First, s.FirstTarget = o.first(now, r), firstTarget(r)
	}
	tokens, last := r.progress.Tokens.Load(), r.progress.LastNS.Load()
	n := tokens - r.tokens
	if n < sampleTokens {
		return
	}
	if r.tokens > 0 {
		s.Between = time.Duration((last - r.lastToken) / n)
	} else {
		s.Between = r.progress.MeanInterval()
	}
	s.BetweenTarget, o.streamed = betweenTarget(r), now
	r.tokens, r.lastToken = tokens, last
}

// inOne fills in what can be told of a model's answer that comes in one piece.
// Its only byte comes at the end, so the time to it says nothing of the first
// token: taken for that it would make every longer answer look late, and the
// bound would fall to its least. While there are streams, they tell enough;
// without them the time for one token stands for the time to the first.
func (o *Owner) inOne(now time.Duration, r *rec, s *bound.Sample) {
	if o.streamed > 0 && now-o.streamed < streamsTell {
		return
	}
	tokens := time.Duration(s.OutputTokens)
	s.First, s.FirstTarget = time.Duration(r.progress.LastNS.Load())/tokens, wholeTarget(r)/tokens
	s.PromptTokens, s.CachedTokens = 0, 0
}

// plain fills in what is seen of a call to a plain service. Calls differ as
// much as prompts do, so their estimated cost stands for the length.
func (o *Owner) plain(r *rec, s *bound.Sample) {
	s.First, s.FirstTarget = time.Duration(r.progress.LastNS.Load()), wholeTarget(r)
	s.PromptTokens = int(r.offer.CostMS)
}

// first returns the time that r took to its first byte, so far if it has not
// come.
func (o *Owner) first(now time.Duration, r *rec) time.Duration {
	first := time.Duration(r.progress.FirstNS.Load())
	if first == 0 {
		return now - r.started
	}
	o.firstMean += (first - o.firstMean) / meanWeight
	return first
}

// firstTarget returns what was left of the target when r was handed over, but
// no less than half of it. That a request was late before it came to the
// endpoint says nothing about the endpoint: taken for its fault it would lower
// the bound, the queue would grow and make more requests late.
func firstTarget(r *rec) time.Duration {
	target := ms(r.offer.FirstMS)
	if target == 0 {
		return wholeTarget(r)
	}
	return max(target-ms(r.offer.WaitedMS)-(r.started-r.arrived), target/2)
}

// betweenTarget returns the time between two tokens that the class allows.
func betweenTarget(r *rec) time.Duration {
	if r.offer.BetweenMS == 0 && r.offer.OutputTokens > 0 {
		return wholeTarget(r) / time.Duration(r.offer.OutputTokens)
	}
	return ms(r.offer.BetweenMS)
}

// wholeTarget returns how long the endpoint may take for the whole answer: half
// of the target, or of half the deadline, which leaves the other half to wait.
func wholeTarget(r *rec) time.Duration {
	if r.offer.CompleteMS > 0 {
		return ms(r.offer.CompleteMS) / 2
	}
	return (r.deadline - r.arrived) / 4
}

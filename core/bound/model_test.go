package bound

import (
	"math/rand/v2"
	"time"
)

const (
	tick          = 10 * time.Millisecond
	firstTarget   = 1500 * time.Millisecond
	betweenTarget = 49 * time.Millisecond
	sampleEvery   = 500 * time.Millisecond
	reportLag     = 500 * time.Millisecond
)

// engine is a small model of an engine with continuous batching. Every sequence
// gets slower as the batch grows, prompts are computed in order of arrival, and
// when memory runs out the newest sequence is moved back to the queue and its
// work is lost.
type engine struct {
	// tokenInterval is the time between tokens of a sequence that runs alone.
	// slope is the part of it that each further sequence adds. prefillRate is in
	// prompt tokens per second, and speed is relative to the engine's normal
	// speed.
	tokenInterval time.Duration
	slope         float64
	slots         int
	prefillRate   float64
	kvTokens      int64
	speed         float64

	now                      time.Duration
	batch, queue             []*job
	reports                  []Report
	wastedPrefill, prefilled float64
	// onTimeTokens and totalTokens count the output tokens of answers within
	// target and of all answers.
	onTimeTokens, totalTokens float64
	done                      []*job
}

// job is a request in the model. The numbers of tokens are fractional, because a
// tick may compute a part of a token.
type job struct {
	prompt, out          float64
	prefilled, generated float64
	start, firstTokenAt  time.Duration
	sampledAt            time.Duration
	sampledTokens        float64
	inFlight             int
	work                 Work
}

func (e *engine) used() (n int64) {
	for _, j := range e.batch {
		n += int64(j.prefilled + j.generated)
	}
	return n
}

// step advances the engine by one tick and passes to b what the agent would
// observe.
func (e *engine) step(b *Bound) {
	e.now += tick
	for len(e.queue) > 0 && len(e.batch) < e.slots && e.used()+int64(e.queue[0].prompt) <= e.kvTokens {
		e.batch, e.queue = append(e.batch, e.queue[0]), e.queue[1:]
	}
	prefillBudget := e.prefillRate * e.speed * tick.Seconds()
	tokensEach := tick.Seconds() * e.speed / (e.tokenInterval.Seconds() * (1 + e.slope*float64(len(e.batch)-1)))
	var unfinished []*job
	for _, j := range e.batch {
		computed := min(prefillBudget, j.prompt-j.prefilled)
		prefillBudget -= computed
		j.prefilled += computed
		if j.prefilled < j.prompt {
			unfinished = append(unfinished, j)
			continue
		}
		j.generated = min(j.generated+tokensEach, j.out)
		e.sample(b, j)
		if j.generated < j.out {
			unfinished = append(unfinished, j)
		}
	}
	e.batch = unfinished
	for e.used() > e.kvTokens {
		last := e.batch[len(e.batch)-1]
		e.wastedPrefill += last.prefilled
		last.prefilled, last.generated = 0, 0
		e.batch = e.batch[:len(e.batch)-1]
		e.queue = append([]*job{last}, e.queue...)
	}
	e.report(b)
}

func (e *engine) inFlight() int { return len(e.batch) + len(e.queue) }

func (e *engine) sample(b *Bound, j *job) {
	s := Sample{FirstTokenTarget: firstTarget, BetweenTokensTarget: betweenTarget, PromptTokens: int(j.prompt), OutputTokens: int(j.generated), InFlight: e.inFlight()}
	switch {
	case j.firstTokenAt == 0 && j.generated > 0:
		j.firstTokenAt, j.sampledAt, j.sampledTokens = e.now, e.now, j.generated
		s.FirstToken = e.now - j.start
	case j.generated == j.out || (e.now-j.sampledAt >= sampleEvery && j.generated-j.sampledTokens >= 8):
		if j.generated-j.sampledTokens >= 8 {
			s.BetweenTokens = time.Duration(float64(e.now-j.sampledAt) / (j.generated - j.sampledTokens))
		}
		j.sampledAt, j.sampledTokens = e.now, j.generated
	default:
		return
	}
	b.Observe(e.now, s)
	if j.generated < j.out {
		return
	}
	e.prefilled += j.prompt
	e.totalTokens += j.out
	e.done = append(e.done, j)
	mean := time.Duration(float64(e.now-j.firstTokenAt) / j.out)
	if j.firstTokenAt-j.start <= firstTarget && mean <= betweenTarget {
		e.onTimeTokens += j.out
	}
}

func (e *engine) report(b *Bound) {
	e.reports = append(e.reports, Report{Running: len(e.batch), Waiting: len(e.queue), KVUsed: e.used() / 16, KVTotal: e.kvTokens / 16, Age: reportLag})
	if lag := int(reportLag / tick); len(e.reports) > lag {
		if e.now%(500*time.Millisecond) == 0 {
			b.ObserveReport(e.now, e.reports[0])
		}
		e.reports = e.reports[1:]
	}
}

// drive keeps the engine busy for d with jobs from next, as far as canDispatch
// allows.
func (e *engine) drive(b *Bound, d time.Duration, canDispatch func(InFlight, Work) bool, next func() *job) {
	var waiting *job
	for end := e.now + d; e.now < end; e.step(b) {
		for {
			if waiting == nil {
				waiting = next()
			}
			var r InFlight
			for _, j := range append(append([]*job(nil), e.batch...), e.queue...) {
				r.Count++
				r.Tokens += j.work.Tokens
			}
			if !canDispatch(r, waiting.work) {
				break
			}
			waiting.start = e.now
			e.queue = append(e.queue, waiting)
			waiting = nil
		}
	}
}

func (e *engine) withinBound(b *Bound) func(InFlight, Work) bool {
	return func(r InFlight, w Work) bool { return b.CanDispatch(e.now, r, w) }
}

// jobs returns a source of jobs of about the given sizes, whose tokens are
// estimated correctly on average.
func jobs(prompt, out float64) func() *job { return jobsEstimatedAt(prompt, out, 1) }

// jobsEstimatedAt is like jobs, but the estimates are the given factor times
// the true mean.
func jobsEstimatedAt(prompt, out, estimateFactor float64) func() *job {
	rnd := rand.New(rand.NewPCG(1, 2))
	return func() *job {
		j := &job{prompt: prompt * (0.5 + rnd.Float64()), out: out * (0.5 + rnd.Float64())}
		j.work = Work{Tier: 1, Tokens: int64((prompt + out) * estimateFactor), Cost: time.Duration(j.out) * 20 * time.Millisecond}
		return j
	}
}

// bestConstantBound returns the best constant bound that wastes at most 2% of
// the prefill, and its goodput in tokens per second.
func bestConstantBound(e engine, d time.Duration, prompt, out float64) (rate float64, limit int) {
	for n := 1; n <= e.slots; n += 1 + n/8 {
		trial := e
		trial.drive(New(Config{}), d, func(r InFlight, _ Work) bool { return r.Count < n }, jobs(prompt, out))
		if got := trial.onTimeTokens / d.Seconds(); got > rate && trial.wastedShare() <= 0.02 {
			rate, limit = got, n
		}
	}
	return rate, limit
}

// wastedShare returns the share of the prefill that was discarded.
func (e *engine) wastedShare() float64 { return e.wastedPrefill / (e.prefilled + e.wastedPrefill + 1) }

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

// engine is a small model of an engine that batches continuously: every
// sequence of the batch gets slower with its size, prompts are computed in
// order of arrival, and memory that runs out throws the newest sequence back.
type engine struct {
	// between is the time between the tokens of a sequence that runs alone and
	// slope how much of it each further sequence adds.
	between time.Duration
	slope   float64
	slots   int
	prefill float64
	kv      int64
	speed   float64

	now              time.Duration
	batch, queue     []*job
	reports          []Report
	wasted, prompted float64
	// good and total count output tokens of answers within target and of all.
	good, total float64
	done        []*job
}

type job struct {
	prompt, out    float64
	seen, made     float64
	start, firstAt time.Duration
	sampledAt      time.Duration
	sampled        float64
	inFlight       int
	work           Work
}

func (e *engine) used() (n int64) {
	for _, j := range e.batch {
		n += int64(j.seen + j.made)
	}
	return n
}

// step advances the engine and tells b what the agent would see.
func (e *engine) step(b *Bound) {
	e.now += tick
	for len(e.queue) > 0 && len(e.batch) < e.slots && e.used()+int64(e.queue[0].prompt) <= e.kv {
		e.batch, e.queue = append(e.batch, e.queue[0]), e.queue[1:]
	}
	budget := e.prefill * e.speed * tick.Seconds()
	each := tick.Seconds() * e.speed / (e.between.Seconds() * (1 + e.slope*float64(len(e.batch)-1)))
	var left []*job
	for _, j := range e.batch {
		n := min(budget, j.prompt-j.seen)
		budget -= n
		j.seen += n
		if j.seen < j.prompt {
			left = append(left, j)
			continue
		}
		j.made = min(j.made+each, j.out)
		e.sample(b, j)
		if j.made < j.out {
			left = append(left, j)
		}
	}
	e.batch = left
	for e.used() > e.kv {
		last := e.batch[len(e.batch)-1]
		e.wasted += last.seen
		last.seen, last.made = 0, 0
		e.batch = e.batch[:len(e.batch)-1]
		e.queue = append([]*job{last}, e.queue...)
	}
	e.report(b)
}

func (e *engine) inFlight() int { return len(e.batch) + len(e.queue) }

func (e *engine) sample(b *Bound, j *job) {
	s := Sample{FirstTarget: firstTarget, BetweenTarget: betweenTarget, PromptTokens: int(j.prompt), OutputTokens: int(j.made), InFlight: e.inFlight()}
	switch {
	case j.firstAt == 0 && j.made > 0:
		j.firstAt, j.sampledAt, j.sampled = e.now, e.now, j.made
		s.First = e.now - j.start
	case j.made == j.out || (e.now-j.sampledAt >= sampleEvery && j.made-j.sampled >= 8):
		if j.made-j.sampled >= 8 {
			s.Between = time.Duration(float64(e.now-j.sampledAt) / (j.made - j.sampled))
		}
		j.sampledAt, j.sampled = e.now, j.made
	default:
		return
	}
	b.Observe(e.now, s)
	if j.made < j.out {
		return
	}
	e.prompted += j.prompt
	e.total += j.out
	e.done = append(e.done, j)
	mean := time.Duration(float64(e.now-j.firstAt) / j.out)
	if j.firstAt-j.start <= firstTarget && mean <= betweenTarget {
		e.good += j.out
	}
}

func (e *engine) report(b *Bound) {
	e.reports = append(e.reports, Report{Running: len(e.batch), Waiting: len(e.queue), KVUsed: e.used() / 16, KVTotal: e.kv / 16, Age: reportLag})
	if lag := int(reportLag / tick); len(e.reports) > lag {
		if e.now%(500*time.Millisecond) == 0 {
			b.Report(e.now, e.reports[0])
		}
		e.reports = e.reports[1:]
	}
}

// load keeps the engine busy with jobs from next, within the bound, for d.
func (e *engine) load(b *Bound, d time.Duration, room func(Running, Work) bool, next func() *job) {
	var waiting *job
	for end := e.now + d; e.now < end; e.step(b) {
		for {
			if waiting == nil {
				waiting = next()
			}
			var r Running
			for _, j := range append(append([]*job(nil), e.batch...), e.queue...) {
				r.Count++
				r.Tokens += j.work.Tokens
			}
			if !room(r, waiting.work) {
				break
			}
			waiting.start = e.now
			e.queue = append(e.queue, waiting)
			waiting = nil
		}
	}
}

func (e *engine) bounded(b *Bound) func(Running, Work) bool {
	return func(r Running, w Work) bool { return b.Room(e.now, r, w) }
}

// drafts returns jobs of about the given sizes, whose tokens are estimated
// right.
func drafts(prompt, out float64) func() *job { return guessed(prompt, out, 1) }

// guessed returns jobs whose tokens are estimated at so many times the truth.
func guessed(prompt, out, times float64) func() *job {
	rnd := rand.New(rand.NewPCG(1, 2))
	return func() *job {
		j := &job{prompt: prompt * (0.5 + rnd.Float64()), out: out * (0.5 + rnd.Float64())}
		j.work = Work{Tier: 1, Tokens: int64((prompt + out) * times), Cost: time.Duration(j.out) * 20 * time.Millisecond}
		return j
	}
}

// best returns the goodput a second of the best constant bound that throws at
// most 2% of the prefill away.
func best(e engine, d time.Duration, prompt, out float64) (rate float64, limit int) {
	for n := 1; n <= e.slots; n += 1 + n/8 {
		try := e
		try.load(New(Config{}), d, func(r Running, _ Work) bool { return r.Count < n }, drafts(prompt, out))
		if got := try.good / d.Seconds(); got > rate && try.waste() <= 0.02 {
			rate, limit = got, n
		}
	}
	return rate, limit
}

// waste returns the part of the prefill that was thrown away.
func (e *engine) waste() float64 { return e.wasted / (e.prompted + e.wasted + 1) }

package sched

import (
	"context"
	"time"

	"lycheepond/core/cost"
	"lycheepond/core/once"
	"lycheepond/core/poison"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
	"lycheepond/entry/answer"
	"lycheepond/entry/fault"
)

const (
	// fullRetry is when to ask again at an entry whose memory is full.
	fullRetry = time.Second
	// attachWait is how long an agent that holds a granted request may be away
	// before the caller hears outcome unknown.
	attachWait = 10 * time.Second
	// repeatWait is the same for a request that may be run again elsewhere: as
	// long as an agent needs to miss its heartbeats, no longer.
	repeatWait = 2 * time.Second
	// gapWait is how long the missing pieces of an ended answer may take
	// before they are asked for again.
	gapWait = 500 * time.Millisecond
	// maxAsks is how often missing pieces are asked for.
	maxAsks = 3
)

// waitFor is what a flight's timer stands for.
type waitFor uint8

const (
	waitNothing waitFor = iota
	// waitOffer: no agent holds the offer; place it again.
	waitOffer
	// waitAttach: the granted agent is away.
	waitAttach
	// waitGap: pieces of the answer are missing.
	waitGap
)

// flight is one request from admission to its answer. Everything but mail
// and held is owned by the goroutine in run; est is written by the pool while
// run waits for its reply.
type flight struct {
	s    *Sched
	job  *Job
	sink *Sink
	pool *pool
	// fingerprint identifies the request, zero for one with an idempotency key.
	fingerprint poison.Fingerprint
	mail        *mailbox
	once        *once.Request
	ans         answer.Answer
	est         cost.Estimate
	// held are the agents that the present ID was offered to.
	held holders
	// holder is the agent that the grant was written to.
	holder *agents.Peer
	// headed is set once the head of the present attempt arrived.
	headed bool
	status int
	header []wire.Field
	// early are pieces that overtook the head, at most maxEarly.
	early []*event
	// body holds an answer back until it is whole; full is set once it would
	// outgrow maxWhole.
	body []byte
	full bool
	// shed is set when an agent sent the last offer back because of a level.
	shed bool
	// wait says what the timer stands for and until when it runs.
	wait  waitFor
	until time.Duration
	timer *time.Timer
	// asks counts the pieces asked for again in this attempt and retries how
	// often the request was placed again.
	asks, retries int
	// homeTries is how often the home of the key was away or could not act.
	homeTries int
	reply     chan choice
	trace     *Trace
	res       Result
	// last is when the last piece arrived, granted when the grant was written.
	last, granted time.Duration
	done          bool
}

func newFlight(s *Sched, j *Job, sink *Sink) *flight {
	return &flight{
		s: s, job: j, sink: sink, pool: s.pool(j.Pool), fingerprint: j.fingerprint(), mail: newMailbox(),
		once: once.New(j.ID, j.Repeatable), reply: make(chan choice, 1),
		trace: s.trail.open(j),
	}
}

func (f *flight) now() time.Duration { return f.s.cfg.Now() }

// run owns the flight until it has ended. Everything that it reacts to comes
// through the mailbox, timers and the caller's hang-up too: to wait on four
// channels for each token costs more than the token.
func (f *flight) run(ctx context.Context) Result {
	post := func(kind eventKind) func() { return func() { f.mail.put(event{kind: kind}) } }
	defer context.AfterFunc(ctx, post(eventGone))()
	f.timer = time.AfterFunc(f.job.Deadline, post(eventWake))
	defer f.timer.Stop()
	defer time.AfterFunc(f.job.Accepted+f.job.Deadline-f.now(), post(eventDeadline)).Stop()
	f.place(true)
	var spare []event
	for !f.done {
		<-f.mail.ready
		spare = f.drain(spare)
	}
	f.pool.tell(note{op: opEnd, f: f, res: &f.res})
	f.trace.close(f)
	return f.res
}

// drain reacts to all that waits and pushes the answer on once.
func (f *flight) drain(spare []event) []event {
	events, over := f.mail.take(spare)
	before := f.ans.Bytes()
	for i := range events {
		if f.done {
			break
		}
		f.react(&events[i])
		events[i] = event{}
	}
	if over && !f.done {
		f.cancel(wire.ReasonTooLong)
		f.finish(fault.New(fault.SlowCaller, "the answer waits for the caller, which reads too slowly: read faster or ask without streaming"))
	}
	if f.sink.Direct && f.ans.Bytes() != before {
		f.sink.Flush()
	}
	return events
}

func (f *flight) react(e *event) {
	switch e.kind {
	case eventEvict:
		f.evict()
		return
	case eventUp:
		f.linkUp(e.peer)
		return
	case eventDown:
		f.linkDown(e.peer, once.Agent{Name: e.peer.Name(), Incarnation: e.inc})
		return
	case eventWider:
		f.widen(e.peer)
		return
	case eventWake:
		f.wake()
		return
	case eventDeadline:
		f.expire()
		return
	case eventGone:
		f.hangUp()
		return
	}
	a := once.Agent{Name: e.peer.Name(), Incarnation: e.inc}
	switch m := e.msg.(type) {
	case *wire.Chunk:
		if f.from(e.peer) && !f.overtook(e) {
			f.chunk(m)
		}
	case *wire.Head:
		f.head(e.peer, m)
	case *wire.End:
		if f.from(e.peer) && (!m.Complete || !f.overtook(e)) {
			f.end(m)
		}
	case *wire.Claim:
		f.claim(e.peer, a, m)
	case *wire.Return:
		f.returned(e.peer, a, m)
	case *wire.KeyStatus:
		f.known(e.peer, a, m)
	}
}

// sleep sets the flight's only timer.
func (f *flight) sleep(why waitFor, d time.Duration) {
	f.wait, f.until = why, f.now()+d
	f.timer.Reset(d)
}

func (f *flight) wake() {
	if f.now() < f.until {
		// The timer was set anew after it had gone off.
		return
	}
	why := f.wait
	f.wait = waitNothing
	switch why {
	case waitOffer:
		f.place(false)
	case waitAttach:
		f.lose("its agent stayed away")
	case waitGap:
		f.ask()
	}
}

// expire ends the request at its caller's deadline.
func (f *flight) expire() {
	f.withdraw()
	f.cancel(wire.ReasonDeadline)
	f.finish(fault.New(fault.Deadline, "the deadline passed: allow more time with Lychee-Deadline, or ask again when the load is lower"))
}

// evict gives the request up in favour of a higher tier, unless it was granted
// meanwhile.
func (f *flight) evict() {
	if f.once.State() != once.Offered {
		return
	}
	f.step("evicted", "", "memory of the entry")
	f.finish(fullEntry())
}

func fullEntry() *fault.Error {
	return fault.New(fault.Overloaded, "this entry holds as many requests as its memory allows: ask again, or start more entries").After(fullRetry)
}

// hangUp ends the request after its caller has gone.
func (f *flight) hangUp() {
	f.withdraw()
	f.cancel(wire.ReasonCallerGone)
	f.finish(fault.New(fault.CallerGone, "the caller hung up"))
}

// cancel stops the granted attempt at the endpoint, if there is one. What may
// not be cancelled is left to run to its end: half a filing would be worse, and
// a retry under its key finds the answer.
func (f *flight) cancel(why wire.Reason) {
	if f.job.Cancellable && f.holder != nil && f.once.State() == once.Granted {
		f.holder.Send(&wire.Cancel{ID: f.once.ID(), Reason: why})
	}
}

// finish ends the flight with e, and says of its dispatch what is true.
func (f *flight) finish(e *fault.Error) {
	f.done = true
	f.withdraw()
	f.res.Outcome = f.once.Outcome()
	if e != nil {
		f.res.Fault = e.With(f.res.Outcome)
	}
	f.res.Total = f.now() - f.job.Accepted
}

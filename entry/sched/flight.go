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
	// memoryRetryAfter is the Retry-After while the entry's memory is full.
	memoryRetryAfter = time.Second
	// attachTimeout is how long an agent that holds a granted request may be away
	// before the request ends with outcome unknown.
	attachTimeout = 10 * time.Second
	// repeatableAttachTimeout is the same for a request that may run again
	// elsewhere. It is no longer than it takes to detect that the agent's
	// heartbeats are missing.
	repeatableAttachTimeout = 2 * time.Second
	// gapTimeout is how long the missing pieces of an answer may take before they
	// are requested again.
	gapTimeout = 500 * time.Millisecond
	// maxResumes is how often missing pieces are requested.
	maxResumes = 3
)

// timerReason is what a flight's timer waits for.
type timerReason uint8

const (
	timerNone timerReason = iota
	// timerOffer: no agent holds the offer; request placement again.
	timerOffer
	// timerAttach: the granted agent is away.
	timerAttach
	// timerGap: pieces of the answer are missing.
	timerGap
)

// flight is one request from admission to its answer. The goroutine of run owns
// everything except mailbox and offeredTo. The pool writes estimate while run waits
// for its reply.
type flight struct {
	s    *Sched
	job  *Job
	sink *Sink
	pool *pool
	// suspect identifies the request in quarantines. hasPassed is set once the current
	// attempt has got past its beginning.
	suspect   poison.Request
	hasPassed bool
	mailbox   *mailbox
	once      *once.Request
	answer    answer.Answer
	estimate  cost.Estimate
	// offeredTo holds the agents that have an offer with the current ID.
	offeredTo peerSet
	// holder is the agent to which the grant was sent, or that relays the answer of
	// an earlier run with the same key; nil without one.
	holder *agents.Peer
	// hasHead is set once the head of the current attempt's answer has arrived.
	hasHead bool
	// status and header are those of the head.
	status int
	header []wire.Field
	// earlyEvents holds pieces that arrived before the head, at most
	// maxEarlyPieces.
	earlyEvents []*event
	// body buffers an answer until it is complete. isTooLarge is set once it would
	// exceed maxBufferedAnswer.
	body       []byte
	isTooLarge bool
	// wasShed is set if an agent returned the last offer because of a shed level.
	wasShed bool
	// timerReason says what the timer waits for, timerAt when it expires.
	timerReason timerReason
	timerAt     time.Duration
	timer       *time.Timer
	// resumes counts the requests for missing pieces in this attempt. retries
	// counts how often another placement of the request was scheduled.
	resumes, retries int
	// homeFailures counts the failed offers to the home of the key.
	homeFailures int
	poolReply    chan decision
	trace        *Trace
	result       Result
	// lastPieceAt is when the last piece arrived, grantedAt when the grant was
	// sent.
	lastPieceAt, grantedAt time.Duration
	// firstPieceAt is when the first piece of the current attempt arrived, zero before.
	firstPieceAt time.Duration
	done         bool
}

func newFlight(s *Sched, j *Job, sink *Sink) *flight {
	return &flight{
		s: s, job: j, sink: sink, pool: s.pool(j.Pool), suspect: j.suspect(), mailbox: newMailbox(),
		once: once.New(j.ID, j.Repeatable), poolReply: make(chan decision, 1),
		trace: s.traces.newTrace(j),
	}
}

func (f *flight) now() time.Duration { return f.s.cfg.Now() }

// run serves the flight until it has ended. All its events arrive through the
// mailbox, including timers and the caller's hang-up, because waiting on four
// channels for each token would cost more than the token itself.
func (f *flight) run(ctx context.Context) Result {
	post := func(kind eventKind) func() { return func() { f.mailbox.put(event{kind: kind}) } }
	defer context.AfterFunc(ctx, post(eventCallerGone))()
	f.timer = time.AfterFunc(f.job.Deadline, post(eventTimer))
	defer f.timer.Stop()
	defer time.AfterFunc(f.job.AcceptedAt+f.job.Deadline-f.now(), post(eventDeadline)).Stop()
	f.requestOffers(true)
	var buf []event
	for !f.done {
		<-f.mailbox.ready
		buf = f.handleEvents(buf)
	}
	f.pool.send(poolMessage{op: opEnd, f: f, res: &f.result})
	f.trace.close(f)
	return f.result
}

// handleEvents handles all waiting events and flushes the answer once. It passes buf
// to the mailbox for reuse and returns the slice to pass next.
func (f *flight) handleEvents(buf []event) []event {
	events, overflowed := f.mailbox.take(buf)
	before := f.answer.Bytes()
	for i := range events {
		if f.done {
			break
		}
		f.handleEvent(&events[i])
		events[i] = event{}
	}
	if overflowed && !f.done {
		f.cancel(wire.ReasonTooLong)
		f.finish(fault.New(fault.SlowCaller, "the answer waits for the caller, which reads too slowly: read faster or ask without streaming"))
	}
	if f.sink.IsStreaming && f.answer.Bytes() != before {
		f.sink.Flush()
	}
	return events
}

func (f *flight) handleEvent(e *event) {
	switch e.kind {
	case eventEvict:
		f.handleEviction()
		return
	case eventLinkUp:
		f.handleLinkUp(e.peer)
		return
	case eventLinkDown:
		f.handleLinkDown(e.peer, once.Agent{Name: e.peer.Name(), Incarnation: e.incarnation})
		return
	case eventExtraOffer:
		f.offerExtra(e.peer)
		return
	case eventTimer:
		f.handleTimer()
		return
	case eventDeadline:
		f.handleDeadline()
		return
	case eventCallerGone:
		f.handleHangUp()
		return
	}
	a := once.Agent{Name: e.peer.Name(), Incarnation: e.incarnation}
	switch m := e.msg.(type) {
	case *wire.Chunk:
		if f.acceptFrom(e.peer) && !f.deferEarly(e) {
			f.handleChunk(m)
		}
	case *wire.Head:
		f.handleHead(e.peer, m)
	case *wire.End:
		if f.acceptFrom(e.peer) && (!m.Complete || !f.deferEarly(e)) {
			f.handleEnd(m)
		}
	case *wire.Claim:
		f.handleClaim(e.peer, a, m)
	case *wire.Return:
		f.handleReturn(e.peer, a, m)
	case *wire.KeyStatus:
		f.handleKeyStatus(e.peer, a, m)
	}
}

// setTimer sets the flight's only timer.
func (f *flight) setTimer(reason timerReason, d time.Duration) {
	f.timerReason, f.timerAt = reason, f.now()+d
	f.timer.Reset(d)
}

// handleTimer handles the expiry of the timer according to timerReason.
func (f *flight) handleTimer() {
	if f.now() < f.timerAt {
		// The timer was reset after it had expired.
		return
	}
	reason := f.timerReason
	f.timerReason = timerNone
	switch reason {
	case timerOffer:
		f.requestOffers(false)
	case timerAttach:
		f.abandonHolder("its agent stayed away")
	case timerGap:
		f.requestMissing()
	}
}

// handleDeadline ends the request at its caller's deadline.
func (f *flight) handleDeadline() {
	f.withdrawOffers()
	f.cancel(wire.ReasonDeadline)
	f.finish(fault.New(fault.Deadline, "the deadline passed: allow more time with Lychee-Deadline, or ask again when the load is lower"))
}

// handleEviction ends the request to free memory for a higher tier, unless it was
// granted meanwhile.
func (f *flight) handleEviction() {
	if f.once.State() != once.Offered {
		return
	}
	f.recordStep("evicted", "", "memory of the entry")
	f.finish(memoryFull())
}

// memoryFull returns the error of a request that the entry has no memory for.
func memoryFull() *fault.Error {
	return fault.New(fault.Overloaded, "this entry holds as many requests as its memory allows: ask again, or start more entries").WithRetryAfter(memoryRetryAfter)
}

// handleHangUp ends the request after its caller has gone.
func (f *flight) handleHangUp() {
	f.withdrawOffers()
	f.cancel(wire.ReasonCallerGone)
	f.finish(fault.New(fault.CallerGone, "the caller hung up"))
}

// cancel cancels the granted attempt at the endpoint, if there is one. A request
// that is not cancellable runs to its end, because an operation carried out by half
// would be worse, and a retry with its key gets the answer.
func (f *flight) cancel(reason wire.Reason) {
	if f.job.Cancellable && f.holder != nil && f.once.State() == once.Granted {
		f.holder.Send(&wire.Cancel{ID: f.once.ID(), Reason: reason})
	}
}

// finish ends the flight with e, or successfully if e is nil. The outcome is that of
// the dispatch, whatever e says.
func (f *flight) finish(e *fault.Error) {
	f.done = true
	f.withdrawOffers()
	f.result.Outcome = f.once.Outcome()
	if e != nil {
		f.result.Fault = e.WithOutcome(f.result.Outcome)
	}
	f.result.Total = f.now() - f.job.AcceptedAt
}

package sched

import (
	"time"

	"lycheepond/core/once"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
	"lycheepond/entry/answer"
	"lycheepond/entry/fault"
)

// maxEarly bounds the pieces that may overtake the head of an answer.
const maxEarly = 64

// maxWhole bounds an answer that is kept until its end.
const maxWhole = 16 << 20

// from reports whether an answer's frame belongs to the present attempt, and
// notes that the holder is back.
func (f *flight) from(p *agents.Peer) bool {
	if p != f.holder || f.once.State() != once.Granted {
		return false
	}
	if f.wait == waitAttach {
		f.wait = waitNothing
	}
	f.once.Begin()
	return true
}

func (f *flight) head(p *agents.Peer, m *wire.Head) {
	if !f.from(p) || f.headed {
		return
	}
	f.headed, f.status, f.header = true, int(m.Status), m.Header
	early := f.early
	f.early = nil
	for _, e := range early {
		if !f.done {
			f.react(e)
		}
	}
}

// overtook keeps a piece of an answer whose head is not here yet, and reports
// whether it did. Without the head the status of the answer is unknown, so
// nothing of it can be passed on. What does not fit is asked for again.
func (f *flight) overtook(e *event) bool {
	if f.headed {
		return false
	}
	if len(f.early) < maxEarly {
		c := *e
		f.early = append(f.early, &c)
	}
	f.gap()
	return true
}

func (f *flight) chunk(m *wire.Chunk) {
	switch f.ans.Push(m.Seq, m.Data, f.pass) {
	case answer.Whole:
		f.whole()
	case answer.Gap:
		f.gap()
	case answer.Broken:
		f.broken()
	}
	if f.full {
		f.cancel(wire.ReasonTooLong)
		f.once.Fail()
		f.finish(fault.New(fault.TooLarge, "the answer is larger than is kept for an answer that is not streamed: ask with stream true, or for less"))
	}
}

// pass takes the next bytes of the answer in order.
func (f *flight) pass(data []byte) {
	now := f.now()
	if f.res.First == 0 {
		f.res.First = now - f.job.Accepted
	} else if f.last > 0 {
		f.res.Between = max(f.res.Between, now-f.last)
	}
	f.last = now
	if !f.sink.Direct || f.status >= 300 {
		f.keep(data)
		return
	}
	f.give()
	f.sink.Data(data)
}

// keep holds the bytes back until the answer is whole.
func (f *flight) keep(data []byte) {
	if len(f.body)+len(data) > maxWhole {
		f.full = true
		return
	}
	f.body = append(f.body, data...)
}

// give passes the head on; from here the answer can't be taken back.
func (f *flight) give() {
	if f.once.Given() {
		return
	}
	f.once.Give()
	f.sink.Head(f.status, f.header)
}

func (f *flight) end(m *wire.End) {
	switch f.ans.Finish(m) {
	case answer.Whole:
		f.whole()
	case answer.Gap:
		f.gap()
	case answer.Broken:
		f.broken()
	}
}

// whole ends the request with its complete answer.
func (f *flight) whole() {
	f.once.End()
	f.s.poison.ended(f)
	f.give()
	if len(f.body) > 0 {
		f.sink.Data(f.body)
	}
	f.res.Usage, f.res.Status = f.ans.End().Usage, f.status
	f.finish(nil)
	f.step("complete", f.holder.Name(), "")
}

// broken gives up on the present attempt's answer.
func (f *flight) broken() {
	why := "its answer was damaged"
	if e := f.ans.End(); e != nil && !e.Complete {
		why = "it ended with " + e.Reason.String()
	}
	f.s.poison.ended(f)
	f.once.Fail()
	f.renew(why)
}

func (f *flight) gap() {
	if f.wait == waitNothing {
		f.sleep(waitGap, gapWait)
	}
}

// ask has the holder send the answer again from the first missing piece on.
func (f *flight) ask() {
	if f.once.State() != once.Granted {
		return
	}
	if f.asks++; f.asks > maxAsks {
		f.lose("pieces of its answer are missing")
		return
	}
	f.attach()
}

func (f *flight) attach() {
	f.ans.Resume()
	f.holder.Send(&wire.Attach{
		ID: f.once.ID(), NextSeq: f.ans.Next(), Stream: f.job.Stream, AgentIncarnation: f.once.Holder().Incarnation,
	})
	f.sleep(waitAttach, f.patience())
}

// patience is how long a lost holder is waited for.
func (f *flight) patience() time.Duration {
	if f.job.Repeatable && !f.once.Given() {
		return repeatWait
	}
	return attachWait
}

func (f *flight) linkUp(p *agents.Peer) {
	if p != f.holder || f.once.State() != once.Granted {
		return
	}
	f.step("attach", p.Name(), "")
	f.attach()
}

func (f *flight) linkDown(p *agents.Peer, a once.Agent) {
	switch f.once.State() {
	case once.Offered:
		if f.once.Drop(a) {
			f.step("link-lost", p.Name(), "offer dropped")
			f.forget(p)
			f.bare()
		}
	case once.Granted:
		if p == f.holder && f.wait != waitAttach {
			f.step("link-lost", p.Name(), "grant in doubt")
			f.sleep(waitAttach, f.patience())
		}
	}
}

// lose gives up on the holder.
func (f *flight) lose(why string) {
	f.step("lost", f.holder.Name(), why)
	f.cancel(wire.ReasonDeadline)
	f.once.Fail()
	f.renew(why)
}

// fresh forgets the answer of an attempt that came to nothing.
func (f *flight) fresh() {
	f.ans = answer.Answer{}
	f.headed, f.status, f.header, f.early, f.body = false, 0, nil, nil, f.body[:0]
	f.holder, f.asks, f.last = nil, 0, 0
	f.res.First, f.res.Between = 0, 0
	f.held.clear()
}

// known takes a home agent's word about an idempotency key.
func (f *flight) known(p *agents.Peer, a once.Agent, m *wire.KeyStatus) {
	if m.ID != f.once.ID() || f.once.State() != once.Offered {
		return
	}
	f.step("known", p.Name(), "")
	switch m.State {
	case wire.KeyJoined:
		if f.once.Join(m.ID, a) {
			f.forget(p)
			f.holder = p
		}
	case wire.KeyMismatch:
		f.finish(fault.New(fault.KeyMismatch, "this idempotency key was used with another request: use a new key for each request"))
	case wire.KeyAnswerDropped:
		f.once.Taint()
		f.finish(fault.New(fault.UnknownFate, "a request with this idempotency key has run to its end and its answer is no longer kept: look up its effect"))
	default:
		f.once.Taint()
		f.finish(fault.New(fault.UnknownFate, "a request with this idempotency key may have run and its record is lost: look up its effect before using a new key"))
	}
}

package sched

import (
	"time"

	"lycheepond/core/once"
	"lycheepond/core/poison"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
	"lycheepond/entry/answer"
	"lycheepond/entry/fault"
)

// maxEarlyPieces bounds the pieces of an answer that are kept until its head
// arrives.
const maxEarlyPieces = 64

// maxBufferedAnswer bounds the bytes of an answer that is buffered until it is
// complete.
const maxBufferedAnswer = 16 << 20

// acceptFrom reports whether a message about the answer belongs to the current
// attempt, and records that the holder is back.
func (f *flight) acceptFrom(p *agents.Peer) bool {
	if p != f.holder || f.once.State() != once.Granted {
		return false
	}
	if f.timerReason == timerAttach {
		f.timerReason = timerNone
	}
	f.once.RecordAnswerStart()
	return true
}

func (f *flight) handleHead(p *agents.Peer, m *wire.Head) {
	if !f.acceptFrom(p) || f.hasHead {
		return
	}
	f.hasHead, f.status, f.header = true, int(m.Status), m.Header
	events := f.earlyEvents
	f.earlyEvents = nil
	for _, e := range events {
		if !f.done {
			f.handleEvent(e)
		}
	}
}

// deferEarly reports whether the head of the answer is missing, and keeps the piece
// in e then. Without the head the status of the answer is unknown, so no part of it
// can be passed on. Pieces beyond maxEarlyPieces are requested again.
func (f *flight) deferEarly(e *event) bool {
	if f.hasHead {
		return false
	}
	if len(f.earlyEvents) < maxEarlyPieces {
		c := *e
		f.earlyEvents = append(f.earlyEvents, &c)
	}
	f.startGapTimer()
	return true
}

func (f *flight) handleChunk(m *wire.Chunk) {
	switch f.answer.Push(m.Seq, m.Data, f.handleData) {
	case answer.Complete:
		f.finishComplete()
	case answer.Gap:
		f.startGapTimer()
	case answer.Broken:
		f.handleBroken()
	}
	if f.isTooLarge {
		f.cancel(wire.ReasonTooLong)
		f.once.Fail()
		f.finish(fault.New(fault.TooLarge, "the answer is larger than is kept for an answer that is not streamed: ask with stream true, or for less"))
	}
}

// handleData handles the next bytes of the answer in order.
func (f *flight) handleData(data []byte) {
	now := f.now()
	if f.result.FirstByte == 0 {
		f.result.FirstByte = now - f.job.AcceptedAt
	} else if f.lastPieceAt > 0 {
		f.result.LongestPause = max(f.result.LongestPause, now-f.lastPieceAt)
	}
	f.lastPieceAt = now
	f.recordPassed(now)
	if !f.sink.IsStreaming || f.status >= 300 {
		f.bufferData(data)
		return
	}
	f.sendHead()
	f.sink.Data(data)
}

// recordPassed records that the current attempt has got past its beginning if it has gone on for
// long enough after the first piece of its answer.
func (f *flight) recordPassed(now time.Duration) {
	if f.firstPieceAt == 0 {
		f.firstPieceAt = now
	}
	if f.hasPassed || now-f.firstPieceAt < poison.PassTime {
		return
	}
	f.hasPassed = true
	f.s.quarantine.recordPassed(f)
}

// bufferData keeps bytes until the answer is complete.
func (f *flight) bufferData(data []byte) {
	if len(f.body)+len(data) > maxBufferedAnswer {
		f.isTooLarge = true
		return
	}
	f.body = append(f.body, data...)
}

// sendHead sends the head to the caller. After that the answer can't be retracted.
func (f *flight) sendHead() {
	if f.once.AnswerDelivered() {
		return
	}
	f.once.RecordDelivery()
	f.sink.Head(f.status, f.header)
}

func (f *flight) handleEnd(m *wire.End) {
	switch f.answer.Finish(m) {
	case answer.Complete:
		f.finishComplete()
	case answer.Gap:
		f.startGapTimer()
	case answer.Broken:
		f.handleBroken()
	}
}

// finishComplete ends the request with its complete answer.
func (f *flight) finishComplete() {
	f.once.End()
	f.s.quarantine.recordEnd(f)
	f.sendHead()
	if len(f.body) > 0 {
		f.sink.Data(f.body)
	}
	f.result.Usage, f.result.Status = f.answer.End().Usage, f.status
	f.finish(nil)
	f.recordStep("complete", f.holder.Name(), "")
}

// handleBroken gives up the current attempt's answer.
func (f *flight) handleBroken() {
	reason := "its answer was damaged"
	if e := f.answer.End(); e != nil && !e.Complete {
		reason = "it ended with " + e.Reason.String()
	}
	f.s.quarantine.recordEnd(f)
	f.once.Fail()
	f.startNextAttempt(reason)
}

// startGapTimer starts the wait for missing pieces, unless another wait is running.
func (f *flight) startGapTimer() {
	if f.timerReason == timerNone {
		f.setTimer(timerGap, gapTimeout)
	}
}

// requestMissing requests the answer from the holder again, from the first missing
// piece on. After maxResumes it gives up the holder.
func (f *flight) requestMissing() {
	if f.once.State() != once.Granted {
		return
	}
	if f.resumes++; f.resumes > maxResumes {
		f.abandonHolder("pieces of its answer are missing")
		return
	}
	f.sendAttach()
}

// sendAttach requests the answer from the holder, from the first missing piece on,
// and waits for it up to holderTimeout.
func (f *flight) sendAttach() {
	f.answer.Resume()
	f.holder.Send(&wire.Attach{
		ID: f.once.ID(), NextSeq: f.answer.Next(), Stream: f.job.Stream, AgentIncarnation: f.once.Holder().Incarnation,
	})
	f.setTimer(timerAttach, f.holderTimeout())
}

// holderTimeout returns how long to wait for a holder that is away.
func (f *flight) holderTimeout() time.Duration {
	if f.job.Repeatable && !f.once.AnswerDelivered() {
		return repeatableAttachTimeout
	}
	return attachTimeout
}

func (f *flight) handleLinkUp(p *agents.Peer) {
	if p != f.holder || f.once.State() != once.Granted {
		return
	}
	f.recordStep("attach", p.Name(), "")
	f.sendAttach()
}

func (f *flight) handleLinkDown(p *agents.Peer, a once.Agent) {
	switch f.once.State() {
	case once.Offered:
		if f.once.DropOffer(a) {
			f.recordStep("link-lost", p.Name(), "offer dropped")
			f.removeOffer(p)
			f.placeIfNotOffered()
		}
	case once.Granted:
		if p == f.holder && f.timerReason != timerAttach {
			f.recordStep("link-lost", p.Name(), "grant in doubt")
			f.setTimer(timerAttach, f.holderTimeout())
		}
	}
}

// abandonHolder gives up the holder's answer and starts the next attempt.
func (f *flight) abandonHolder(reason string) {
	f.recordStep("lost", f.holder.Name(), reason)
	f.cancel(wire.ReasonDeadline)
	f.once.Fail()
	f.startNextAttempt(reason)
}

// resetAnswer discards the answer of a failed attempt.
func (f *flight) resetAnswer() {
	f.answer = answer.Answer{}
	f.hasHead, f.status, f.header, f.earlyEvents, f.body = false, 0, nil, nil, f.body[:0]
	f.holder, f.resumes, f.lastPieceAt, f.firstPieceAt, f.hasPassed = nil, 0, 0, 0, false
	f.result.FirstByte, f.result.LongestPause = 0, 0
	f.offeredTo.clear()
}

// handleKeyStatus handles the reply of a key's home that it already knows the key.
func (f *flight) handleKeyStatus(p *agents.Peer, a once.Agent, m *wire.KeyStatus) {
	if m.ID != f.once.ID() || f.once.State() != once.Offered {
		return
	}
	f.recordStep("known", p.Name(), "")
	switch m.State {
	case wire.KeyJoined:
		if f.once.JoinAnswer(m.ID, a) {
			f.removeOffer(p)
			f.holder = p
		}
	case wire.KeyMismatch:
		f.finish(fault.New(fault.KeyMismatch, "this idempotency key was used with another request: use a new key for each request"))
	case wire.KeyAnswerDropped:
		f.once.MarkMayHaveRun()
		f.finish(fault.New(fault.UnknownOutcome, "a request with this idempotency key has run to its end and its answer is no longer kept: look up its effect"))
	default:
		f.once.MarkMayHaveRun()
		f.finish(fault.New(fault.UnknownOutcome, "a request with this idempotency key may have run and its record is lost: look up its effect before using a new key"))
	}
}

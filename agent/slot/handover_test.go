package slot

import (
	"testing"
	"time"

	"lycheepond/agent/call"
	"lycheepond/core/homes"
	"lycheepond/core/ident"
	"lycheepond/core/meter"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

const successorIncarnation = 78

// movedTable returns a table in which all slots have moved from the harness's agent
// to its successor.
func movedTable(epoch int64) spec.Homes {
	t := homesTable(epoch, startWallMS+time.Hour.Milliseconds())
	t.Owners[0] = spec.HomeOwner{Name: "n", Incarnation: successorIncarnation}
	t.PreviousOwners = []spec.HomeOwner{{Name: "a", Incarnation: selfIncarnation}}
	for i := range t.Slots {
		t.Slots[i].PreviousOwner = 1
	}
	return t
}

// newSuccessor returns the harness of the agent that takes the slots over.
func newSuccessor(t *testing.T) *harness {
	h := newHarness(t, testBound)
	cfg := h.o.cfg
	cfg.Self, cfg.Stats = spec.HomeOwner{Name: "n", Incarnation: successorIncarnation}, NewStats(meter.New())
	ctx := h.o.taskCtx
	h.o = New(cfg)
	h.o.taskCtx = ctx
	return h
}

// runToEnd runs one request with an idempotency key to its end.
func (p *testLink) runToEnd(n uint64, key string, chunks ...string) {
	p.h.t.Helper()
	p.startRequest(keyedOffer(n, key, 1)).finish(chunks...)
	receive[*wire.End](p)
}

// relayHandover passes the parts of a handover from p to q and the acknowledgements
// back, up to the last part. It returns the number of parts.
func relayHandover(p, q *testLink) (parts int) {
	for last := false; !last; parts++ {
		m := receive[*wire.Handover](p)
		q.send(m)
		p.send(receive[*wire.HandoverAck](q))
		last = m.Last
	}
	return parts
}

// An agent makes a planned stop and hands its key records over. Its successor must
// reply to requests with those keys as the agent would have: with the same answer,
// with a mismatch if the key was used for another request, or with the status that
// the answer is no longer kept.
func TestSuccessorRepliesLikeFormerOwner(t *testing.T) {
	h, successor := newHarness(t, testBound), newSuccessor(t)
	p, q := h.newLink(entryIncarnation), successor.newLink(entryIncarnation)
	p.sendConfirmedTable(homesTable(1, 0))
	p.runToEnd(1, "kept", "fi", "led")
	p.runToEnd(2, "gone", "x")
	h.o.keys["gone"].answer.DropChunks()
	for n := range uint64(2 * wire.MaxRecords) {
		p.runToEnd(100+n, "more"+ident.Make(1, n).String(), "y")
	}
	h.apply(leaveEvent{})
	h.applyUntil(func() bool { return h.o.taskCount == 0 })
	h.advance(tickInterval)
	if h.o.leaveComplete() {
		t.Fatal("the stop is complete while the table still names the agent")
	}
	p.sendTable(movedTable(2))
	if h.o.leaveComplete() {
		t.Fatal("the stop is complete as soon as the slots have moved")
	}
	successor.o.homeViews[testPool] = homes.NewView(successor.o.cfg.Self)
	q.sendConfirmedTable(movedTable(2))
	q.send(keyedOffer(500, "kept", 2))
	if r := receive[*wire.Return](q); r.Reason != wire.ReasonNoLease {
		t.Fatalf("before the handover: %+v", r)
	}
	h.advance(tickInterval)
	if h.o.leaveComplete() {
		t.Fatal("the stop is complete before the records were handed over")
	}
	if parts := relayHandover(p, q); parts != 3 {
		t.Errorf("%d parts", parts)
	}
	h.applyUntil(h.o.leaveComplete)
	q.send(keyedOffer(501, "kept", 2))
	if k := receive[*wire.KeyStatus](q); k.State != wire.KeyJoined || k.FirstID != newOffer(1).ID {
		t.Fatalf("key status %+v", k)
	}
	if head := receive[*wire.Head](q); head.Status != 200 {
		t.Fatalf("head %+v", head)
	}
	if ch := receive[*wire.Chunk](q); string(ch.Data) != "filed" {
		t.Fatalf("chunk %+v", ch)
	}
	if e := receive[*wire.End](q); !e.Complete || e.Bytes != 5 {
		t.Fatalf("end %+v", e)
	}
	otherOffer := keyedOffer(502, "kept", 2)
	otherOffer.Digest++
	q.send(otherOffer)
	if k := receive[*wire.KeyStatus](q); k.State != wire.KeyMismatch {
		t.Fatalf("key status %+v", k)
	}
	q.send(keyedOffer(503, "gone", 2))
	if k := receive[*wire.KeyStatus](q); k.State != wire.KeyAnswerDropped {
		t.Fatalf("key status %+v", k)
	}
	q.startRequest(keyedOffer(504, "never used", 2))
}

// The entry between the two agents loses some parts and repeats others. In the end
// no record may be missing, and the successor may act only after the last part.
func TestHandoverPartsLostAndRepeated(t *testing.T) {
	h, successor := newHarness(t, testBound), newSuccessor(t)
	p, q := h.newLink(entryIncarnation), successor.newLink(entryIncarnation)
	p.sendConfirmedTable(homesTable(1, 0))
	for n := range uint64(wire.MaxRecords + 1) {
		p.runToEnd(n+1, ident.Make(1, n).String())
	}
	h.apply(leaveEvent{})
	p.sendTable(movedTable(2))
	h.advance(tickInterval)
	firstPart := receive[*wire.Handover](p)
	q.sendConfirmedTable(homesTable(1, 0))
	q.send(firstPart)
	expectNone[*wire.HandoverAck](q)
	q.sendConfirmedTable(movedTable(2))
	h.advance(partRetryInterval)
	repeatedPart := receive[*wire.Handover](p)
	if repeatedPart.Seq != 0 {
		t.Fatalf("part %d before part 0 was imported", repeatedPart.Seq)
	}
	q.send(repeatedPart)
	q.send(firstPart)
	ack := receive[*wire.HandoverAck](q)
	receive[*wire.HandoverAck](q)
	p.send(ack)
	p.send(ack)
	lastPart := receive[*wire.Handover](p)
	if !lastPart.Last || len(lastPart.Records) != 1 {
		t.Fatalf("part %d with %d records", lastPart.Seq, len(lastPart.Records))
	}
	skippedPart := *lastPart
	skippedPart.Seq++
	q.send(&skippedPart)
	expectNone[*wire.HandoverAck](q)
	q.send(keyedOffer(900, "k", 2))
	if r := receive[*wire.Return](q); r.Reason != wire.ReasonNoLease {
		t.Fatalf("acts before the last part: %+v", r)
	}
	q.send(lastPart)
	p.send(receive[*wire.HandoverAck](q))
	if len(successor.o.keys) != wire.MaxRecords+1 {
		t.Fatalf("%d records", len(successor.o.keys))
	}
	h.applyUntil(h.o.leaveComplete)
}

// A request with an idempotency key still runs when the planned stop begins. Its
// record must be part of the handover, or a retry would run it again.
func TestHandoverWaitsForKeyedWork(t *testing.T) {
	h, successor := newHarness(t, testBound), newSuccessor(t)
	p, q := h.newLink(entryIncarnation), successor.newLink(entryIncarnation)
	p.sendConfirmedTable(homesTable(1, 0))
	r := p.startRequest(keyedOffer(1, "k", 1))
	h.apply(leaveEvent{})
	p.sendTable(movedTable(2))
	q.sendConfirmedTable(movedTable(2))
	h.advance(handoverTimeout + tickInterval)
	expectNone[*wire.Handover](p)
	r.finish("filed")
	receive[*wire.End](p)
	h.advance(tickInterval)
	relayHandover(p, q)
	q.send(keyedOffer(2, "k", 2))
	if ch := receive[*wire.Chunk](q); string(ch.Data) != "filed" {
		t.Fatalf("chunk %+v", ch)
	}
	successor.expectIdle()
}

// The successor stops replying after the first part. The agent must still complete
// its stop, and the successor may run only keys that were created after the end of
// the lease, as if the agent had crashed.
func TestInterruptedHandover(t *testing.T) {
	h, successor := newHarness(t, testBound), newSuccessor(t)
	p, q := h.newLink(entryIncarnation), successor.newLink(entryIncarnation)
	p.sendConfirmedTable(homesTable(1, 0))
	for n := range uint64(wire.MaxRecords + 1) {
		p.runToEnd(n+1, ident.Make(1, n).String())
	}
	h.apply(leaveEvent{})
	p.sendTable(movedTable(2))
	q.sendConfirmedTable(movedTable(2))
	h.advance(tickInterval)
	q.send(receive[*wire.Handover](p))
	h.advance(handoverTimeout)
	h.applyUntil(h.o.leaveComplete)
	successor.advance(homes.TakeoverDelay(testLease))
	q.confirmEpoch(2, 0)
	q.send(keyedOffer(900, "k", 2))
	if k := receive[*wire.KeyStatus](q); k.State != wire.KeyUnknown {
		t.Fatalf("key status %+v", k)
	}
}

// The answer of a request with an idempotency key broke off at the endpoint. A
// retry at the successor must get the same reason, and not a complete answer.
func TestHandoverOfBrokenAnswer(t *testing.T) {
	h, successor := newHarness(t, testBound), newSuccessor(t)
	p, q := h.newLink(entryIncarnation), successor.newLink(entryIncarnation)
	p.sendConfirmedTable(homesTable(1, 0))
	r := p.startRequest(keyedOffer(1, "k", 1))
	r.sink.Head(200, nil)
	r.result <- call.Result{Sent: true, Err: errLeaseExpired}
	endBefore := receive[*wire.End](p)
	h.apply(leaveEvent{})
	p.sendTable(movedTable(2))
	q.sendConfirmedTable(movedTable(2))
	h.advance(tickInterval)
	relayHandover(p, q)
	q.send(keyedOffer(2, "k", 2))
	if e := receive[*wire.End](q); e.Complete || e.Reason != endBefore.Reason {
		t.Fatalf("end %+v, before %+v", e, endBefore)
	}
}

// The successor already holds maxKeys records. If it imported the part, it would
// evict records of its own, and it could no longer run or answer their keys.
func TestHandoverBeyondMaxKeysIsRefused(t *testing.T) {
	successor := newSuccessor(t)
	q := successor.newLink(entryIncarnation)
	q.sendConfirmedTable(movedTable(2))
	for n := range uint64(maxKeys) {
		id := ident.Make(1, n)
		successor.o.keys[id.String()] = &keyRecord{firstID: id}
	}
	q.send(&wire.Handover{
		Pool: testPool, From: wire.AgentProcess{Name: "a", Incarnation: selfIncarnation}, To: agentProcess(successor.o.cfg.Self), Epoch: 2,
		Records: wire.KeyRecords{{Key: []byte("k")}}, Last: true, Slots: wire.HandoverSlots{{}, {Slot: 1}, {Slot: 2}, {Slot: 3}},
	})
	expectNone[*wire.HandoverAck](q)
	if len(successor.o.keys) != maxKeys || successor.o.homeViews[testPool].LostBefore([]byte("k")) == 0 {
		t.Errorf("%d records", len(successor.o.keys))
	}
}

// The agent that stops has evicted key records. Its successor must not run keys
// from that time, although it has got every record that is left.
func TestHandoverIncludesEvictionTime(t *testing.T) {
	h, successor := newHarness(t, testBound), newSuccessor(t)
	p, q := h.newLink(entryIncarnation), successor.newLink(entryIncarnation)
	p.sendConfirmedTable(homesTable(1, 0))
	h.o.evictedBeforeMS = startWallMS + 500
	h.apply(leaveEvent{})
	p.sendTable(movedTable(2))
	q.sendConfirmedTable(movedTable(2))
	h.advance(tickInterval)
	relayHandover(p, q)
	m := keyedOffer(1, "forgotten", 2)
	m.KeyCreatedMS = startWallMS + 400
	q.send(m)
	if k := receive[*wire.KeyStatus](q); k.State != wire.KeyUnknown {
		t.Fatalf("key status %+v", k)
	}
}

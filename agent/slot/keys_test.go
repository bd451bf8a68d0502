package slot

import (
	"encoding/json"
	"testing"
	"time"

	"lycheepond/agent/call"
	"lycheepond/core/homes"
	"lycheepond/core/ident"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

const testLease = 10 * time.Second

// homesTable returns a table of homes in which all slots belong to the harness's
// agent.
func homesTable(epoch, since int64) spec.Homes {
	t := spec.Homes{
		Epoch: epoch, Lease: spec.Duration(testLease),
		Owners: []spec.HomeOwner{{Name: "a", Incarnation: selfIncarnation}, {Name: "b", Incarnation: 1}},
		Slots:  make([]spec.HomeSlot, 4),
	}
	for i := range t.Slots {
		t.Slots[i] = spec.HomeSlot{LostBefore: since, OwnedSinceEpoch: epoch}
	}
	return t
}

// sendConfirmedTable sends the table to the agent and confirms its epoch.
func (p *testLink) sendConfirmedTable(t spec.Homes) {
	p.h.t.Helper()
	p.sendTable(t)
	p.confirmEpoch(t.Epoch, 0)
}

func (p *testLink) sendTable(t spec.Homes) {
	data, err := json.Marshal(t)
	if err != nil {
		p.h.t.Fatal(err)
	}
	p.send(&wire.ObjectUpdate{ObjectKind: spec.KindHomes, Name: testPool, Version: t.Epoch, Data: data})
}

// confirmEpoch replies to the agent's next lease request.
func (p *testLink) confirmEpoch(epoch int64, age time.Duration) {
	p.h.t.Helper()
	p.h.o.nextLeaseRoundAt = 0
	p.h.advance(0)
	a := receive[*wire.LeaseRequest](p)
	p.send(&wire.LeaseReply{Seq: a.Seq, Pool: a.Pool, Epoch: epoch, AgeMS: uint32(age.Milliseconds()), Confirmed: true})
}

func keyedOffer(n uint64, key string, epoch int64) *wire.Offer {
	m := newOffer(n)
	m.KeyHash, m.Epoch, m.Digest, m.Repeatable, m.Cancellable = []byte(key), epoch, 1, false, false
	return m
}

// The entry that accepted a request crashes. The caller repeats the request through
// another entry, once while the first run lasts and once after its end. The request
// must run once, and each retry must get the same answer.
func TestRetryJoinsFirstRun(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	p.sendConfirmedTable(homesTable(1, 0))
	firstOffer := keyedOffer(1, "k", 1)
	r := p.startRequest(firstOffer)
	h.apply(linkDownEvent{p.Peer})
	q := h.newLink(entryIncarnation + 1)
	q.send(keyedOffer(2, "k", 1))
	if k := receive[*wire.KeyStatus](q); k.State != wire.KeyJoined || k.FirstID != firstOffer.ID {
		t.Fatalf("key status %+v", k)
	}
	r.finish("filed")
	if c := receive[*wire.Chunk](q); string(c.Data) != "filed" || c.ID != newOffer(2).ID {
		t.Fatalf("chunk %+v", c)
	}
	if e := receive[*wire.End](q); !e.Complete {
		t.Fatalf("end %+v", e)
	}
	q.send(keyedOffer(3, "k", 1))
	if c := receive[*wire.Chunk](q); string(c.Data) != "filed" || c.ID != newOffer(3).ID {
		t.Fatalf("chunk %+v", c)
	}
	h.expectIdle()
}

// Two requests with the same key arrive through two entries before either is
// granted. Only one may run, and both callers must get its answer. When the first
// entry denies the claim, the other entry's request takes its place.
func TestRacingRetriesRunOnce(t *testing.T) {
	h := newHarness(t, testBound)
	p, q := h.newLink(entryIncarnation), h.newLink(entryIncarnation+1)
	p.sendConfirmedTable(homesTable(1, 0))
	p.send(keyedOffer(1, "k", 1))
	receive[*wire.Claim](p)
	q.send(keyedOffer(2, "k", 1))
	expectNone[*wire.Claim](q)
	p.send(&wire.Deny{ID: newOffer(1).ID})
	if c := receive[*wire.Claim](q); c.ID != newOffer(2).ID {
		t.Fatalf("claim %+v", c)
	}
	p.send(keyedOffer(3, "k", 1))
	q.send(newGrant(newOffer(2)))
	h.nextRun().finish("filed")
	if k := receive[*wire.KeyStatus](p); k.State != wire.KeyJoined {
		t.Fatalf("key status %+v", k)
	}
	if c := receive[*wire.Chunk](p); string(c.Data) != "filed" {
		t.Fatalf("chunk %+v", c)
	}
	receive[*wire.End](p)
	h.expectIdle()
}

// A key is used again with a different request. The reply must be a mismatch and
// not the answer of the first request.
func TestKeyOfDifferentRequestIsRefused(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	p.sendConfirmedTable(homesTable(1, 0))
	p.startRequest(keyedOffer(1, "k", 1)).finish("x")
	otherOffer := keyedOffer(2, "k", 1)
	otherOffer.Digest = 2
	p.send(otherOffer)
	if k := receive[*wire.KeyStatus](p); k.State != wire.KeyMismatch {
		t.Fatalf("key status %+v", k)
	}
}

// The home of a key is lost, and another agent takes over. A request whose key may
// have run before must not run: its caller gets "unknown". A request whose key is
// certainly newer than the takeover runs.
func TestTakenOverKeysAreNotRun(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	since := startWallMS + homes.TakeoverDelay(testLease).Milliseconds()
	p.sendConfirmedTable(homesTable(2, since))
	p.send(keyedOffer(1, "k", 2))
	if r := receive[*wire.Return](p); r.Reason != wire.ReasonNoLease {
		t.Fatalf("return while the old lease may run: %+v", r)
	}
	h.advance(homes.TakeoverDelay(testLease))
	p.confirmEpoch(2, 0)
	oldOffer := keyedOffer(2, "k", 2)
	oldOffer.KeyCreatedMS = since - 1
	p.send(oldOffer)
	if k := receive[*wire.KeyStatus](p); k.State != wire.KeyUnknown {
		t.Fatalf("key status %+v", k)
	}
	p.send(keyedOffer(3, "opaque", 2))
	if k := receive[*wire.KeyStatus](p); k.State != wire.KeyUnknown {
		t.Fatalf("key status %+v", k)
	}
	h.expectIdle()
	h.advance(homes.MaxClockSkew + time.Millisecond)
	p.confirmEpoch(2, 0)
	newerOffer := keyedOffer(4, "young", 2)
	newerOffer.KeyCreatedMS = startWallMS + h.now.Milliseconds()
	p.startRequest(newerOffer)
}

// A home agent is paused beyond the end of its lease with a grant in its socket,
// and another agent takes its slots over. The paused agent must not run the request
// when it resumes, because the request may have run at the new home.
func TestExpiredLeaseStopsGrantedRequest(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	p.sendConfirmedTable(homesTable(1, 0))
	h.advance(testLease - time.Second)
	p.send(keyedOffer(1, "k", 1))
	receive[*wire.Claim](p)
	h.now += time.Second
	p.send(newGrant(newOffer(1)))
	if r := receive[*wire.Return](p); r.Reason != wire.ReasonNoLease {
		t.Fatalf("return %+v", r)
	}
	h.expectIdle()
	// The guard detects a pause between the decision and the first byte.
	p.confirmEpoch(1, 0)
	r := p.startRequest(keyedOffer(2, "k2", 1))
	if err := r.req.Guard.Check(); err != nil {
		t.Fatal(err)
	}
	h.now += testLease
	if err := r.req.Guard.Check(); err == nil {
		t.Fatal("the guard permits a request after the end of the lease")
	}
	h.now -= testLease
}

// The endpoint refuses the connection for a request with an idempotency key. The
// request did not run, so the caller's retry with the key must be able to run.
func TestKeyOfUnsentRequestMayRunAgain(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	p.sendConfirmedTable(homesTable(1, 0))
	r := p.startRequest(keyedOffer(1, "k", 1))
	r.result <- call.Result{Err: call.ErrUnreachable}
	receive[*wire.Return](p)
	h.o.markEndpointUp()
	p.startRequest(keyedOffer(2, "k", 1))
}

// The caller of a request with an idempotency key hangs up. The run must continue,
// because a retry must get its answer.
func TestCancelDoesNotStopKeyedRun(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	p.sendConfirmedTable(homesTable(1, 0))
	r := p.startRequest(keyedOffer(1, "k", 1))
	p.send(&wire.Cancel{ID: newOffer(1).ID, Reason: wire.ReasonCallerGone})
	if h.o.records[newOffer(1).ID].stopReason != wire.ReasonNone {
		t.Fatal("the run was cancelled")
	}
	r.finish("filed")
	p.send(keyedOffer(2, "k", 1))
	if c := receive[*wire.Chunk](p); c.ID != newOffer(2).ID || string(c.Data) != "filed" {
		t.Fatalf("chunk %+v", c)
	}
}

// The kept answer was dropped to save memory. A retry must not run the request
// again.
func TestRequestWithDroppedAnswerIsNotRunAgain(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	p.sendConfirmedTable(homesTable(1, 0))
	p.startRequest(keyedOffer(1, "k", 1)).finish("filed")
	receive[*wire.End](p)
	h.o.records[newOffer(1).ID].answer.DropChunks()
	p.send(keyedOffer(2, "k", 1))
	if k := receive[*wire.KeyStatus](p); k.State != wire.KeyAnswerDropped {
		t.Fatalf("key status %+v", k)
	}
	h.expectIdle()
}

// Offers with a key are returned when the agent has no table, no valid lease, or an
// older epoch than the entry.
func TestOffersWithoutValidHomeAreReturned(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	p.send(keyedOffer(1, "k", 1))
	if r := receive[*wire.Return](p); r.Reason != wire.ReasonNotHome {
		t.Fatalf("return without a table: %+v", r)
	}
	table := homesTable(1, 0)
	p.sendTable(table)
	p.send(keyedOffer(2, "k", 1))
	if r := receive[*wire.Return](p); r.Reason != wire.ReasonNoLease {
		t.Fatalf("return without a lease: %+v", r)
	}
	p.confirmEpoch(1, testLease)
	p.send(keyedOffer(3, "k", 1))
	if r := receive[*wire.Return](p); r.Reason != wire.ReasonNoLease {
		t.Fatalf("return on an old confirmation: %+v", r)
	}
	p.confirmEpoch(1, 0)
	p.send(keyedOffer(4, "k", 2))
	if r := receive[*wire.Return](p); r.Reason != wire.ReasonNotHome {
		t.Fatalf("return under a newer epoch: %+v", r)
	}
	if r := h.o.records[ident.Make(entryIncarnation, 4)]; r != nil {
		t.Fatal("a record of the returned offer was kept")
	}
}

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

// table returns a table whose slots all belong to the bench's agent.
func table(epoch, since int64) spec.Homes {
	t := spec.Homes{
		Epoch: epoch, Lease: spec.Duration(testLease),
		Owners: []spec.HomeOwner{{Name: "a", Incarnation: selfInc}, {Name: "b", Incarnation: 1}},
		Slots:  make([]spec.HomeSlot, 4),
	}
	for i := range t.Slots {
		t.Slots[i] = spec.HomeSlot{Since: since, Took: epoch}
	}
	return t
}

// learn sends the table and confirms its epoch.
func (p *peer) learn(t spec.Homes) {
	p.b.t.Helper()
	p.tell(t)
	p.confirm(t.Epoch, 0)
}

func (p *peer) tell(t spec.Homes) {
	data, err := json.Marshal(t)
	if err != nil {
		p.b.t.Fatal(err)
	}
	p.send(&wire.News{Object: spec.KindHomes, Name: pool, Version: t.Epoch, Data: data})
}

// confirm answers the agent's next question about the pool.
func (p *peer) confirm(epoch int64, age time.Duration) {
	p.b.t.Helper()
	p.b.o.askNext = 0
	p.b.after(0)
	a := next[*wire.LeaseAsk](p)
	p.send(&wire.LeaseAck{Seq: a.Seq, Pool: a.Pool, Epoch: epoch, AgeMS: uint32(age.Milliseconds()), Fresh: true})
}

func keyed(n uint64, key string, epoch int64) *wire.Offer {
	m := offerOf(n)
	m.Key, m.Epoch, m.Digest, m.Repeatable, m.Cancellable = []byte(key), epoch, 1, false, false
	return m
}

// The entry that accepted a submission dies, and the caller repeats it through
// another entry while the first still runs, and again when it has ended. The
// register must see it once, and each time the caller gets the same answer.
func TestRetryJoinsTheFirstRun(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	p.learn(table(1, 0))
	first := keyed(1, "k", 1)
	r := p.started(first)
	b.do(linkDown{p.Peer})
	q := b.link(entryInc + 1)
	q.send(keyed(2, "k", 1))
	if k := next[*wire.Known](q); k.State != wire.KeyJoined || k.First != first.ID {
		t.Fatalf("known %+v", k)
	}
	r.answer("filed")
	if c := next[*wire.Chunk](q); string(c.Data) != "filed" || c.ID != offerOf(2).ID {
		t.Fatalf("chunk %+v", c)
	}
	if e := next[*wire.End](q); !e.Whole {
		t.Fatalf("end %+v", e)
	}
	q.send(keyed(3, "k", 1))
	if c := next[*wire.Chunk](q); string(c.Data) != "filed" || c.ID != offerOf(3).ID {
		t.Fatalf("chunk %+v", c)
	}
	b.idle()
}

// Two retries race through two entries. Both hold an offer here before either
// has its grant; only one may run and both callers get its answer. When the
// first entry then gives up, the other's request takes its place.
func TestRacingRetriesRunOnce(t *testing.T) {
	b := newBench(t, testBound)
	p, q := b.link(entryInc), b.link(entryInc+1)
	p.learn(table(1, 0))
	p.send(keyed(1, "k", 1))
	next[*wire.Claim](p)
	q.send(keyed(2, "k", 1))
	none[*wire.Claim](q)
	p.send(&wire.Deny{ID: offerOf(1).ID})
	if c := next[*wire.Claim](q); c.ID != offerOf(2).ID {
		t.Fatalf("claim %+v", c)
	}
	p.send(keyed(3, "k", 1))
	q.send(grantOf(offerOf(2)))
	b.run().answer("filed")
	if k := next[*wire.Known](p); k.State != wire.KeyJoined {
		t.Fatalf("known %+v", k)
	}
	if c := next[*wire.Chunk](p); string(c.Data) != "filed" {
		t.Fatalf("chunk %+v", c)
	}
	next[*wire.End](p)
	b.idle()
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	p.learn(table(1, 0))
	p.started(keyed(1, "k", 1)).answer("x")
	other := keyed(2, "k", 1)
	other.Digest = 2
	p.send(other)
	if k := next[*wire.Known](p); k.State != wire.KeyMismatch {
		t.Fatalf("known %+v", k)
	}
}

// The home of a key was lost and another agent took over. A key that may have
// run before must not run again: its caller hears "unknown" and looks at the
// register. A key that is certainly younger runs.
func TestTakenOverKeysAreNotRun(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	since := startWall + homes.Margin(testLease).Milliseconds()
	p.learn(table(2, since))
	p.send(keyed(1, "k", 2))
	if r := next[*wire.Return](p); r.Reason != wire.ReasonNoLease {
		t.Fatalf("return while the old lease may run: %+v", r)
	}
	b.after(homes.Margin(testLease))
	p.confirm(2, 0)
	old := keyed(2, "k", 2)
	old.KeyMade = since - 1
	p.send(old)
	if k := next[*wire.Known](p); k.State != wire.KeyUnknown {
		t.Fatalf("known %+v", k)
	}
	p.send(keyed(3, "opaque", 2))
	if k := next[*wire.Known](p); k.State != wire.KeyUnknown {
		t.Fatalf("known %+v", k)
	}
	b.idle()
	b.after(homes.Skew + time.Millisecond)
	p.confirm(2, 0)
	young := keyed(4, "young", 2)
	young.KeyMade = startWall + b.clock.Milliseconds()
	p.started(young)
}

// A home agent is paused past its lease with a grant in its socket, while
// another agent has taken its slots over. When it wakes it must not run the
// request, which may have run at the new home.
func TestLapsedLeaseHoldsTheGrantBack(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	p.learn(table(1, 0))
	b.after(testLease - time.Second)
	p.send(keyed(1, "k", 1))
	next[*wire.Claim](p)
	b.clock += time.Second
	p.send(grantOf(offerOf(1)))
	if r := next[*wire.Return](p); r.Reason != wire.ReasonNoLease {
		t.Fatalf("return %+v", r)
	}
	b.idle()
	// A pause between the decision and the first byte is caught by the guard.
	p.confirm(1, 0)
	r := p.started(keyed(2, "k2", 1))
	if err := r.req.Guard.Check(); err != nil {
		t.Fatal(err)
	}
	b.clock += testLease
	if err := r.req.Guard.Check(); err == nil {
		t.Fatal("the guard lets a request pass after the lease")
	}
	b.clock -= testLease
}

// The endpoint refuses the connection of a keyed request. Nothing ran, so the
// key must be free for the caller's retry.
func TestKeyOfUnsentRequestIsFree(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	p.learn(table(1, 0))
	r := p.started(keyed(1, "k", 1))
	r.end <- call.Result{Err: call.ErrUnreachable}
	next[*wire.Return](p)
	b.o.endpointUp()
	p.started(keyed(2, "k", 1))
}

// The caller of a keyed request hangs up. Its retry is to find the answer, so
// the run goes on.
func TestCancelLeavesKeyedRunAlone(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	p.learn(table(1, 0))
	r := p.started(keyed(1, "k", 1))
	p.send(&wire.Cancel{ID: offerOf(1).ID, Reason: wire.ReasonCallerGone})
	if b.o.recs[offerOf(1).ID].stopped != wire.ReasonNone {
		t.Fatal("the run was cancelled")
	}
	r.answer("filed")
	p.send(keyed(2, "k", 1))
	if c := next[*wire.Chunk](p); c.ID != offerOf(2).ID || string(c.Data) != "filed" {
		t.Fatalf("chunk %+v", c)
	}
}

// The kept answer was given up for want of memory. The request must not run
// again although its answer is gone.
func TestForgottenAnswerIsNotRunAgain(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	p.learn(table(1, 0))
	p.started(keyed(1, "k", 1)).answer("filed")
	next[*wire.End](p)
	b.o.recs[offerOf(1).ID].log.DropChunks()
	p.send(keyed(2, "k", 1))
	if k := next[*wire.Known](p); k.State != wire.KeyForgotAnswer {
		t.Fatalf("known %+v", k)
	}
	b.idle()
}

func TestOffersOutsideTheHomeAreReturned(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	p.send(keyed(1, "k", 1))
	if r := next[*wire.Return](p); r.Reason != wire.ReasonNotHome {
		t.Fatalf("return without a table: %+v", r)
	}
	tab := table(1, 0)
	p.tell(tab)
	p.send(keyed(2, "k", 1))
	if r := next[*wire.Return](p); r.Reason != wire.ReasonNoLease {
		t.Fatalf("return without a lease: %+v", r)
	}
	p.confirm(1, testLease)
	p.send(keyed(3, "k", 1))
	if r := next[*wire.Return](p); r.Reason != wire.ReasonNoLease {
		t.Fatalf("return on an old confirmation: %+v", r)
	}
	p.confirm(1, 0)
	p.send(keyed(4, "k", 2))
	if r := next[*wire.Return](p); r.Reason != wire.ReasonNotHome {
		t.Fatalf("return under a newer epoch: %+v", r)
	}
	if r := b.o.recs[ident.Make(entryInc, 4)]; r != nil {
		t.Fatal("a record was left behind")
	}
}

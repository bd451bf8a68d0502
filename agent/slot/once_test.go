package slot

import (
	"errors"
	"hash/crc32"
	"testing"
	"time"

	"lycheepond/agent/call"
	"lycheepond/agent/engine"
	"lycheepond/core/wire"
)

func TestOfferClaimGrantAnswer(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	m := offerOf(1)
	r := p.started(m)
	if load := b.o.Load(); load.InFlight != 1 || load.Running != 1 {
		t.Fatalf("load %+v", load)
	}
	r.answer("one", "two")
	if h := next[*wire.Head](p); h.ID != m.ID || h.Status != 200 {
		t.Fatalf("head %+v", h)
	}
	for i, want := range []string{"one", "two"} {
		if c := next[*wire.Chunk](p); string(c.Data) != want || c.Seq != uint32(i) {
			t.Fatalf("chunk %+v", c)
		}
	}
	e := next[*wire.End](p)
	sum := crc32.Checksum([]byte("onetwo"), crc32.MakeTable(crc32.Castagnoli))
	if !e.Whole || e.Chunks != 2 || e.Bytes != 6 || e.CRC != sum || e.Load.InFlight != 0 {
		t.Fatalf("end %+v", e)
	}
}

// The proxy between entry and agent repeats frames, or an old link delivers
// them late. If a repeated grant were taken, the swap would be confirmed twice
// and two officials would come.
func TestRepeatedFramesRunOnce(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	m := offerOf(1)
	r := p.started(m)
	p.send(grantOf(m))
	p.send(m)
	p.send(grantOf(m))
	if len(b.o.running) != 1 || b.o.queue.Len() != 0 {
		t.Fatalf("%d running, %d queued", len(b.o.running), b.o.queue.Len())
	}
	r.answer("x")
	next[*wire.End](p)
	p.send(grantOf(m))
	p.send(m)
	none[*wire.Claim](p)
	b.idle()
}

// A grant comes for a request that was never claimed here, because it was sent
// to the wrong agent or survived a restart. The entry must hear that it did
// not run, and it must not run.
func TestStrayGrantIsReturned(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	p.send(grantOf(offerOf(1)))
	if r := next[*wire.Return](p); r.Reason != wire.ReasonNeverGranted {
		t.Fatalf("return %+v", r)
	}
	p.send(offerOf(1))
	if r := next[*wire.Return](p); r.Reason != wire.ReasonNeverGranted {
		t.Fatalf("return of a dead ID %+v", r)
	}
	b.idle()
}

// The entry is paused between the claim and its grant, or the agent is. The
// place must not stay reserved, and the grant that comes at last must not run,
// because the entry may have been told otherwise meanwhile.
func TestLateGrantIsReturned(t *testing.T) {
	for _, paused := range []string{"entry", "agent"} {
		b := newBench(t, testBound)
		p := b.link(entryInc)
		m := offerOf(1)
		p.send(m)
		next[*wire.Claim](p)
		if paused == "entry" {
			b.after(claimTimeout + time.Millisecond)
		} else {
			// The agent wakes with the grant before its timer.
			b.clock += claimTimeout + time.Millisecond
		}
		p.send(grantOf(m))
		if r := next[*wire.Return](p); r.ID != m.ID || r.Reason != wire.ReasonNeverGranted {
			t.Fatalf("%s paused: return %+v", paused, r)
		}
		b.idle()
	}
}

func TestWithdrawnAndDeniedOffersDoNotRun(t *testing.T) {
	b := newBench(t, 1)
	p := b.link(entryInc)
	r := p.started(offerOf(1))
	p.send(offerOf(2))
	p.send(&wire.Withdraw{ID: offerOf(2).ID})
	r.answer()
	next[*wire.End](p)
	none[*wire.Claim](p)
	p.send(offerOf(3))
	next[*wire.Claim](p)
	p.send(&wire.Deny{ID: offerOf(3).ID})
	p.send(grantOf(offerOf(3)))
	if r := next[*wire.Return](p); r.Reason != wire.ReasonNeverGranted {
		t.Fatalf("return %+v", r)
	}
	b.idle()
}

// The endpoint was restarted and takes no connection yet. The caller hears of
// a request that was not run, or another endpoint runs it.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	r := p.started(offerOf(1))
	p.send(offerOf(2))
	r.end <- call.Result{Err: call.ErrUnreachable}
	got := next[*wire.Return](p)
	if got.ID != offerOf(1).ID || got.Reason != wire.ReasonUnreachable {
		t.Fatalf("return %+v", got)
	}
	p.send(offerOf(3))
	if got := next[*wire.Return](p); got.Reason != wire.ReasonUnreachable {
		t.Fatalf("return %+v", got)
	}
	b.do(report{engine.Load{}, nil})
	p.started(offerOf(4))
}

// The engine fails while it runs a request. Its first byte was written, so
// nobody may say that it did not run.
func TestBrokenAnswerIsNotReturned(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	r := p.started(offerOf(1))
	r.end <- call.Result{Sent: true, Err: errors.New("reset")}
	if e := next[*wire.End](p); e.Whole || e.Reason != wire.ReasonBroken {
		t.Fatalf("end %+v", e)
	}
	none[*wire.Return](p)
}

// The link breaks in the middle of an answer. The caller must get the rest
// over the new link, without a gap and without a second run.
func TestAttachGetsTheRest(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	m := offerOf(1)
	r := p.started(m)
	r.sink.Head(200, nil)
	_ = r.sink.Chunk(r.ctx, []byte("one"))
	next[*wire.Chunk](p)
	q := b.link(entryInc)
	b.do(linkDown{p.Peer})
	q.send(&wire.Attach{ID: m.ID, Next: 1, Agent: selfInc})
	_ = r.sink.Chunk(r.ctx, []byte("two"))
	if c := next[*wire.Chunk](q); c.Seq != 1 || string(c.Data) != "two" {
		t.Fatalf("chunk %+v", c)
	}
	r.end <- call.Result{Sent: true, Complete: true}
	if e := next[*wire.End](q); !e.Whole || e.Chunks != 2 || e.Bytes != 6 {
		t.Fatalf("end %+v", e)
	}
	// The same again after the end, from the first piece.
	q.send(&wire.Attach{ID: m.ID, Agent: selfInc})
	if c := next[*wire.Chunk](q); c.Seq != 0 || string(c.Data) != "one" {
		t.Fatalf("chunk %+v", c)
	}
}

// The link breaks while the grant is on its way. The agent knows that it never
// came, so the caller may be served elsewhere; a copy of the grant that turns
// up on the old link must not run.
func TestAttachOfLostGrantIsReturned(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	m := offerOf(1)
	p.send(m)
	next[*wire.Claim](p)
	q := b.link(entryInc)
	q.send(&wire.Attach{ID: m.ID, Agent: selfInc})
	if r := next[*wire.Return](q); r.Reason != wire.ReasonNeverGranted {
		t.Fatalf("return %+v", r)
	}
	p.send(grantOf(m))
	b.do(linkDown{p.Peer})
	b.idle()
}

// A claim was never answered and its link breaks. When the entry offers the
// request anew, only the grant for the new claim counts: the one that the old
// link still delivers is nobody's promise any more.
func TestGrantCountsOnItsOwnLinkOnly(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	m := offerOf(1)
	p.send(m)
	next[*wire.Claim](p)
	q := b.link(entryInc)
	q.send(m)
	next[*wire.Claim](q)
	p.send(grantOf(m))
	b.idle()
	q.send(grantOf(m))
	b.run()
}

// The agent did not get an answer to its claim, and the entry asks later what
// became of the grant. The answer is the same whether the timer came first.
func TestAttachAfterUnansweredClaim(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	p.send(offerOf(1))
	next[*wire.Claim](p)
	b.after(claimTimeout + time.Millisecond)
	p.send(&wire.Attach{ID: offerOf(1).ID, Agent: selfInc})
	if r := next[*wire.Return](p); r.Reason != wire.ReasonNeverGranted {
		t.Fatalf("return %+v", r)
	}
}

// The request was granted to this agent's predecessor, and a copy of the offer
// was claimed here in vain. That nothing was granted here says nothing about
// the predecessor, so the caller must not hear that its request did not run.
func TestClaimSaysNothingOfAnotherIncarnation(t *testing.T) {
	for _, tombstone := range []bool{false, true} {
		b := newBench(t, testBound)
		p := b.link(entryInc)
		m := offerOf(1)
		p.send(m)
		next[*wire.Claim](p)
		if tombstone {
			b.after(claimTimeout + time.Millisecond)
		}
		p.send(&wire.Attach{ID: m.ID, Agent: selfInc + 1})
		if e := next[*wire.End](p); e.Whole || e.Reason != wire.ReasonForgotten {
			t.Fatalf("end %+v", e)
		}
		none[*wire.Return](p)
		p.send(grantOf(m))
		b.idle()
	}
}

// The agent restarted after the grant. It cannot know what its predecessor
// did, so it never says "not run": it takes the stream up at the engine, or
// the caller hears that the outcome is unknown.
func TestAttachAfterRestart(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	m := offerOf(1)
	p.send(&wire.Attach{ID: m.ID, Next: 1, Stream: true, Agent: selfInc + 1})
	r := <-b.resumes
	r.answer("one", "two")
	if c := next[*wire.Chunk](p); c.Seq != 1 || string(c.Data) != "two" {
		t.Fatalf("chunk %+v", c)
	}
	if e := next[*wire.End](p); !e.Whole || e.Chunks != 2 {
		t.Fatalf("end %+v", e)
	}
	p.send(&wire.Attach{ID: offerOf(2).ID, Stream: true, Agent: selfInc + 1})
	r = <-b.resumes
	r.end <- call.Result{Sent: true, Err: engine.ErrUnknown}
	if e := next[*wire.End](p); e.Whole || e.Reason != wire.ReasonForgotten {
		t.Fatalf("end %+v", e)
	}
	p.send(&wire.Attach{ID: offerOf(3).ID, Agent: selfInc + 1})
	if e := next[*wire.End](p); e.Whole || e.Reason != wire.ReasonForgotten {
		t.Fatalf("end %+v", e)
	}
	none[*wire.Return](p)
}

// An entry dies while its work runs. Work that may be cancelled is stopped
// after a while so that it does not hold a place for nobody; a register
// submission is never cut short.
func TestLostEntryCancelsOrphanedWork(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	p.started(offerOf(1))
	once := offerOf(2)
	once.Repeatable, once.Cancellable = false, false
	p.started(once)
	b.do(linkDown{p.Peer})
	b.after(sessionGrace - time.Millisecond)
	if len(b.cancels) != 0 {
		t.Fatal("cancelled before the grace time")
	}
	b.after(time.Millisecond)
	if id := <-b.cancels; id != offerOf(1).ID {
		t.Fatalf("cancelled %s", id)
	}
	b.pump(func() bool { return len(b.o.running) == 1 })
	if b.o.running[once.ID] == nil {
		t.Fatal("the request that must not be cancelled was cut short")
	}
}

func TestCancelReachesTheEndpoint(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	m := offerOf(1)
	p.started(m)
	p.send(&wire.Cancel{ID: m.ID, Reason: wire.ReasonCallerGone})
	if id := <-b.cancels; id != m.ID {
		t.Fatalf("cancelled %s", id)
	}
	if e := next[*wire.End](p); e.Whole || e.Reason != wire.ReasonCallerGone {
		t.Fatalf("end %+v", e)
	}
}

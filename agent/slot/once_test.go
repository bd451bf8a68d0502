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

// A request goes through offer, claim and grant, and its answer arrives complete
// and in order.
func TestOfferClaimGrantAnswer(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	m := newOffer(1)
	r := p.startRequest(m)
	if load := h.o.Load(); load.InFlight != 1 || load.RunningTiers != 1 {
		t.Fatalf("load %+v", load)
	}
	r.finish("one", "two")
	if head := receive[*wire.Head](p); head.ID != m.ID || head.Status != 200 {
		t.Fatalf("head %+v", head)
	}
	for i, want := range []string{"one", "two"} {
		if c := receive[*wire.Chunk](p); string(c.Data) != want || c.Seq != uint32(i) {
			t.Fatalf("chunk %+v", c)
		}
	}
	e := receive[*wire.End](p)
	sum := crc32.Checksum([]byte("onetwo"), crc32.MakeTable(crc32.Castagnoli))
	if !e.Complete || e.Chunks != 2 || e.Bytes != 6 || e.CRC != sum || e.Load.InFlight != 0 {
		t.Fatalf("end %+v", e)
	}
}

// A proxy between entry and agent repeats frames, or an old link delivers them
// late. If a repeated grant were accepted, the request would run twice.
func TestRepeatedFramesRunRequestOnce(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	m := newOffer(1)
	r := p.startRequest(m)
	p.send(newGrant(m))
	p.send(m)
	p.send(newGrant(m))
	if len(h.o.running) != 1 || h.o.queue.Len() != 0 {
		t.Fatalf("%d running, %d queued", len(h.o.running), h.o.queue.Len())
	}
	r.finish("x")
	receive[*wire.End](p)
	p.send(newGrant(m))
	p.send(m)
	expectNone[*wire.Claim](p)
	h.expectIdle()
}

// A grant arrives for a request that was never claimed here, because it was sent
// to the wrong agent or before a restart. The request must not run, and the entry
// must get a Return.
func TestStrayGrantIsReturned(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	p.send(newGrant(newOffer(1)))
	if r := receive[*wire.Return](p); r.Reason != wire.ReasonNeverGranted {
		t.Fatalf("return %+v", r)
	}
	p.send(newOffer(1))
	if r := receive[*wire.Return](p); r.Reason != wire.ReasonNeverGranted {
		t.Fatalf("return of an ID with a tombstone %+v", r)
	}
	h.expectIdle()
}

// The entry or the agent is paused between the claim and the grant. The slot must
// not stay reserved, and the late grant must not run the request, because the agent
// may already have reported to the entry that the request did not run.
func TestLateGrantIsReturned(t *testing.T) {
	for _, paused := range []string{"entry", "agent"} {
		h := newHarness(t, testBound)
		p := h.newLink(entryIncarnation)
		m := newOffer(1)
		p.send(m)
		receive[*wire.Claim](p)
		if paused == "entry" {
			h.advance(claimTimeout + time.Millisecond)
		} else {
			// The agent resumes and reads the grant before its timer fires.
			h.now += claimTimeout + time.Millisecond
		}
		p.send(newGrant(m))
		if r := receive[*wire.Return](p); r.ID != m.ID || r.Reason != wire.ReasonNeverGranted {
			t.Fatalf("%s paused: return %+v", paused, r)
		}
		h.expectIdle()
	}
}

// A request must not run after its entry has withdrawn the offer or denied the
// claim.
func TestWithdrawnAndDeniedOffersDoNotRun(t *testing.T) {
	h := newHarness(t, 1)
	p := h.newLink(entryIncarnation)
	r := p.startRequest(newOffer(1))
	p.send(newOffer(2))
	p.send(&wire.Withdraw{ID: newOffer(2).ID})
	r.finish()
	receive[*wire.End](p)
	expectNone[*wire.Claim](p)
	p.send(newOffer(3))
	receive[*wire.Claim](p)
	p.send(&wire.Deny{ID: newOffer(3).ID})
	p.send(newGrant(newOffer(3)))
	if r := receive[*wire.Return](p); r.Reason != wire.ReasonNeverGranted {
		t.Fatalf("return %+v", r)
	}
	h.expectIdle()
}

// The endpoint was restarted and does not accept connections yet. The request must
// be returned as not run, so that another endpoint can run it.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	r := p.startRequest(newOffer(1))
	p.send(newOffer(2))
	r.result <- call.Result{Err: call.ErrUnreachable}
	got := receive[*wire.Return](p)
	if got.ID != newOffer(1).ID || got.Reason != wire.ReasonUnreachable {
		t.Fatalf("return %+v", got)
	}
	p.send(newOffer(3))
	if got := receive[*wire.Return](p); got.Reason != wire.ReasonUnreachable {
		t.Fatalf("return %+v", got)
	}
	h.apply(reportEvent{engine.Load{}, nil})
	p.startRequest(newOffer(4))
}

// The engine fails while it runs a request. The first byte of the request was
// written, so it must not be reported as not run.
func TestBrokenAnswerIsNotReturned(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	r := p.startRequest(newOffer(1))
	r.result <- call.Result{Sent: true, Err: errors.New("reset")}
	if e := receive[*wire.End](p); e.Complete || e.Reason != wire.ReasonBroken {
		t.Fatalf("end %+v", e)
	}
	expectNone[*wire.Return](p)
}

// The link breaks in the middle of an answer. The caller must get the remaining
// chunks on the new link, without a gap and without a second run.
func TestAttachGetsRemainingChunks(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	m := newOffer(1)
	r := p.startRequest(m)
	r.sink.Head(200, nil)
	_ = r.sink.Chunk(r.ctx, []byte("one"))
	receive[*wire.Chunk](p)
	q := h.newLink(entryIncarnation)
	h.apply(linkDownEvent{p.Peer})
	q.send(&wire.Attach{ID: m.ID, NextSeq: 1, AgentIncarnation: selfIncarnation})
	_ = r.sink.Chunk(r.ctx, []byte("two"))
	if c := receive[*wire.Chunk](q); c.Seq != 1 || string(c.Data) != "two" {
		t.Fatalf("chunk %+v", c)
	}
	r.result <- call.Result{Sent: true, Complete: true}
	if e := receive[*wire.End](q); !e.Complete || e.Chunks != 2 || e.Bytes != 6 {
		t.Fatalf("end %+v", e)
	}
	// Attach again after the end, from the first chunk.
	q.send(&wire.Attach{ID: m.ID, AgentIncarnation: selfIncarnation})
	if c := receive[*wire.Chunk](q); c.Seq != 0 || string(c.Data) != "one" {
		t.Fatalf("chunk %+v", c)
	}
}

// The link breaks while the grant is on its way. The agent knows that the grant
// never arrived, so the request may run elsewhere. A copy of the grant that still
// arrives on the old link must not run it here.
func TestAttachOfLostGrantIsReturned(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	m := newOffer(1)
	p.send(m)
	receive[*wire.Claim](p)
	q := h.newLink(entryIncarnation)
	q.send(&wire.Attach{ID: m.ID, AgentIncarnation: selfIncarnation})
	if r := receive[*wire.Return](q); r.Reason != wire.ReasonNeverGranted {
		t.Fatalf("return %+v", r)
	}
	p.send(newGrant(m))
	h.apply(linkDownEvent{p.Peer})
	h.expectIdle()
}

// A claim is unanswered when its link breaks, and the entry offers the request
// again. Only a grant for the new claim may count; a grant that the old link still
// delivers is void.
func TestGrantOnOldLinkIsIgnored(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	m := newOffer(1)
	p.send(m)
	receive[*wire.Claim](p)
	q := h.newLink(entryIncarnation)
	q.send(m)
	receive[*wire.Claim](q)
	p.send(newGrant(m))
	h.expectIdle()
	q.send(newGrant(m))
	h.nextRun()
}

// The agent got no grant for its claim, and the entry asks later what became of the
// grant. The reply must be the same after the claim has timed out.
func TestAttachAfterUnansweredClaim(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	p.send(newOffer(1))
	receive[*wire.Claim](p)
	h.advance(claimTimeout + time.Millisecond)
	p.send(&wire.Attach{ID: newOffer(1).ID, AgentIncarnation: selfIncarnation})
	if r := receive[*wire.Return](p); r.Reason != wire.ReasonNeverGranted {
		t.Fatalf("return %+v", r)
	}
}

// The request was granted to an earlier incarnation of this agent, and a copy of
// the offer was claimed here without a grant. The missing grant proves nothing
// about the earlier incarnation, so the request must not be reported as not run.
func TestClaimProvesNothingAboutEarlierIncarnation(t *testing.T) {
	for _, tombstone := range []bool{false, true} {
		h := newHarness(t, testBound)
		p := h.newLink(entryIncarnation)
		m := newOffer(1)
		p.send(m)
		receive[*wire.Claim](p)
		if tombstone {
			h.advance(claimTimeout + time.Millisecond)
		}
		p.send(&wire.Attach{ID: m.ID, AgentIncarnation: selfIncarnation + 1})
		if e := receive[*wire.End](p); e.Complete || e.Reason != wire.ReasonForgotten {
			t.Fatalf("end %+v", e)
		}
		expectNone[*wire.Return](p)
		p.send(newGrant(m))
		h.expectIdle()
	}
}

// The agent restarted after the grant. It cannot know what the earlier incarnation
// did, so it must never report the request as not run. It resumes the stream at the
// engine, or reports that the outcome is unknown.
func TestAttachAfterRestart(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	m := newOffer(1)
	p.send(&wire.Attach{ID: m.ID, NextSeq: 1, Stream: true, AgentIncarnation: selfIncarnation + 1})
	r := <-h.resumes
	r.finish("one", "two")
	if c := receive[*wire.Chunk](p); c.Seq != 1 || string(c.Data) != "two" {
		t.Fatalf("chunk %+v", c)
	}
	if e := receive[*wire.End](p); !e.Complete || e.Chunks != 2 {
		t.Fatalf("end %+v", e)
	}
	p.send(&wire.Attach{ID: newOffer(2).ID, Stream: true, AgentIncarnation: selfIncarnation + 1})
	r = <-h.resumes
	r.result <- call.Result{Sent: true, Err: engine.ErrUnknown}
	if e := receive[*wire.End](p); e.Complete || e.Reason != wire.ReasonForgotten {
		t.Fatalf("end %+v", e)
	}
	p.send(&wire.Attach{ID: newOffer(3).ID, AgentIncarnation: selfIncarnation + 1})
	if e := receive[*wire.End](p); e.Complete || e.Reason != wire.ReasonForgotten {
		t.Fatalf("end %+v", e)
	}
	expectNone[*wire.Return](p)
}

// An entry crashes while its requests run. Cancellable requests are stopped after
// linkLossGrace, so that they do not occupy slots for nobody. Requests that must
// not be cancelled are never stopped.
func TestRequestsOfLostEntryAreCancelled(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	p.startRequest(newOffer(1))
	notCancellable := newOffer(2)
	notCancellable.Repeatable, notCancellable.Cancellable = false, false
	p.startRequest(notCancellable)
	h.apply(linkDownEvent{p.Peer})
	h.advance(linkLossGrace - time.Millisecond)
	if len(h.cancels) != 0 {
		t.Fatal("cancelled before the grace time")
	}
	h.advance(time.Millisecond)
	if id := <-h.cancels; id != newOffer(1).ID {
		t.Fatalf("cancelled %s", id)
	}
	h.applyUntil(func() bool { return len(h.o.running) == 1 })
	if h.o.running[notCancellable.ID] == nil {
		t.Fatal("the request that must not be cancelled was stopped")
	}
}

// An entry cancels a running request. The cancel must reach the endpoint, and
// the answer must end with the entry's reason.
func TestCancelReachesEndpoint(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	m := newOffer(1)
	p.startRequest(m)
	p.send(&wire.Cancel{ID: m.ID, Reason: wire.ReasonCallerGone})
	if id := <-h.cancels; id != m.ID {
		t.Fatalf("cancelled %s", id)
	}
	if e := receive[*wire.End](p); e.Complete || e.Reason != wire.ReasonCallerGone {
		t.Fatalf("end %+v", e)
	}
}

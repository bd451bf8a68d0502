package slot

import (
	"testing"
	"time"

	"lycheepond/agent/engine"
	"lycheepond/core/wire"
)

func tieredOffer(n uint64, tier uint8) *wire.Offer {
	m := newOffer(n)
	m.Tier, m.CostMS = tier, 5000
	return m
}

// The pool is overloaded and entries refuse lower tiers. Requests of these tiers
// that wait here must be returned, or they would run while entries refuse the same
// or a higher tier.
func TestLevelReturnsWaitingRequests(t *testing.T) {
	h := newHarness(t, 1)
	p := h.newLink(entryIncarnation)
	p.startRequest(tieredOffer(1, 2))
	p.send(tieredOffer(2, 1))
	p.send(tieredOffer(3, 3))
	p.send(&wire.ShedLevel{Pool: testPool, Level: 1, HoldMS: 5000})
	if r := receive[*wire.Return](p); r.ID != tieredOffer(3, 3).ID || r.Reason != wire.ReasonShed || r.Load.ShedLevel != 1 {
		t.Fatalf("return %+v", r)
	}
	p.send(tieredOffer(4, 2))
	if r := receive[*wire.Return](p); r.ID != tieredOffer(4, 2).ID || r.Reason != wire.ReasonShed {
		t.Fatalf("return %+v", r)
	}
	if h.o.queue.Len() != 1 {
		t.Fatalf("%d queued", h.o.queue.Len())
	}
	h.advance(5 * time.Second)
	p.send(tieredOffer(5, 3))
	expectNone[*wire.Return](p)
}

// One entry lowers the shed level. Entries may refuse a higher tier only when this
// agent has confirmed the level. Without an immediate confirmation, the requests of
// a whole heartbeat interval would be admitted and be late.
func TestLevelIsConfirmedAtOnce(t *testing.T) {
	h := newHarness(t, testBound)
	p, other := h.newLink(entryIncarnation), h.newLink(entryIncarnation+1)
	p.send(&wire.ShedLevel{Pool: testPool, Level: 1, HoldMS: 5000})
	for _, e := range []*testLink{p, other} {
		if m := receive[*wire.Heartbeat](e); m.Load.ShedLevel != 1 {
			t.Fatalf("level %d confirmed", m.Load.ShedLevel)
		}
	}
	p.send(&wire.ShedLevel{Pool: testPool, Level: 1, HoldMS: 5000})
	expectNone[*wire.Heartbeat](p)
}

// The level falls while the grant of a request of a lower tier is on its way. The
// request must be returned and must not run.
func TestLevelReturnsClaimedRequests(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	p.send(tieredOffer(1, 3))
	receive[*wire.Claim](p)
	p.send(&wire.ShedLevel{Pool: testPool, Level: 2, HoldMS: 5000})
	if r := receive[*wire.Return](p); r.Reason != wire.ReasonShed {
		t.Fatalf("return %+v", r)
	}
	p.send(newGrant(tieredOffer(1, 3)))
	receive[*wire.Return](p)
	h.expectIdle()
}

// Two entries report different levels. While one refuses a tier, no request of a
// lower tier may be accepted here.
func TestStrictestLevelIsInForce(t *testing.T) {
	h := newHarness(t, testBound)
	p, q := h.newLink(entryIncarnation), h.newLink(entryIncarnation+1)
	p.send(&wire.ShedLevel{Pool: testPool, Level: 1, HoldMS: 60000})
	q.send(&wire.ShedLevel{Pool: testPool, Level: 3, HoldMS: 60000})
	q.send(tieredOffer(1, 2))
	if r := receive[*wire.Return](q); r.Reason != wire.ReasonShed {
		t.Fatalf("return %+v", r)
	}
	p.send(&wire.ShedLevel{Pool: testPool, Level: 2, HoldMS: 60000})
	q.send(tieredOffer(2, 2))
	receive[*wire.Claim](q)
}

// A request of the highest tier arrives right after the only slot was claimed for
// one of the lowest tier. The higher tier must get the slot. The lower tier waits
// for the next slot and is returned when none becomes free in time.
func TestHigherTierTakesClaimedSlot(t *testing.T) {
	h := newHarness(t, 1)
	p := h.newLink(entryIncarnation)
	p.send(tieredOffer(1, 3))
	receive[*wire.Claim](p)
	p.send(tieredOffer(2, 0))
	if c := receive[*wire.Claim](p); c.ID != tieredOffer(2, 0).ID {
		t.Fatalf("claim %+v", c)
	}
	p.send(newGrant(tieredOffer(2, 0)))
	if r := h.nextRun(); r.id != tieredOffer(2, 0).ID {
		t.Fatalf("run %s", r.id)
	}
	p.send(newGrant(tieredOffer(1, 3)))
	h.advance(maxReadyWait)
	expectNone[*wire.Return](p)
	h.advance(time.Millisecond)
	if r := receive[*wire.Return](p); r.ID != tieredOffer(1, 3).ID || r.Reason != wire.ReasonDisplaced {
		t.Fatalf("return %+v", r)
	}
}

// Both grants arrive before the slot is free. The higher tier must start first,
// although its grant arrived last.
func TestHigherTierStartsFirst(t *testing.T) {
	h := newHarness(t, 1)
	p := h.newLink(entryIncarnation)
	firstRun := p.startRequest(tieredOffer(1, 3))
	lowTier := tieredOffer(2, 3)
	lowTier.CostMS = 100
	p.send(lowTier)
	receive[*wire.Claim](p)
	p.send(newGrant(lowTier))
	highTier := tieredOffer(3, 0)
	highTier.CostMS = 100
	p.send(highTier)
	receive[*wire.Claim](p)
	p.send(newGrant(highTier))
	firstRun.finish()
	h.applyUntil(func() bool { return h.o.running[highTier.ID] != nil })
	if r := h.o.records[lowTier.ID]; r.state != stateReady {
		t.Fatalf("the request of the lower tier is in state %d", r.state)
	}
}

// Requests of lower tiers occupy all slots. A request of the highest tier waits
// while its target allows it. Then one run is stopped for it: the one that started
// last among those of the lowest possible tier. Requests that must not be repeated
// and runs whose answer has begun must not be stopped.
func TestHigherTierCancelsRunningWork(t *testing.T) {
	h := newHarness(t, 4)
	p := h.newLink(entryIncarnation)
	p.startRequest(tieredOffer(5, 2))
	notRepeatable := tieredOffer(1, 3)
	notRepeatable.Repeatable = false
	p.startRequest(notRepeatable)
	p.startRequest(tieredOffer(2, 3)).sink.Head(200, nil)
	h.advance(time.Millisecond)
	p.startRequest(tieredOffer(3, 2))
	highTier := tieredOffer(4, 0)
	highTier.FirstTargetMS = 8000
	p.send(highTier)
	if len(h.cancels) != 0 {
		t.Fatal("a run was cancelled although the request could wait")
	}
	h.advance(5 * time.Second)
	expectNone[*wire.End](p)
	h.advance(3*time.Second - displaceLeadTime + time.Millisecond)
	h.advance(time.Millisecond)
	if id := <-h.cancels; id != tieredOffer(3, 2).ID {
		t.Fatalf("cancelled %s", id)
	}
	// The claim may be sent before the end of the answer, which another goroutine
	// sends.
	h.applyUntil(func() bool { return h.o.claimCount == 1 })
	if r := h.o.records[highTier.ID]; r.state != stateClaimed {
		t.Fatalf("the request of the highest tier is in state %d", r.state)
	}
	if e := receive[*wire.End](p); e.ID != tieredOffer(3, 2).ID || e.Complete || e.Reason != wire.ReasonDisplaced {
		t.Fatalf("end %+v", e)
	}
	h.advance(time.Minute)
	if len(h.cancels) != 0 {
		t.Fatal("more runs were cancelled than slots were needed")
	}
}

// A request has waited beyond its target. Stopping a run of a lower tier would no
// longer help it and would lose the work of that run.
func TestLateRequestStopsNoRun(t *testing.T) {
	h := newHarness(t, 1)
	p := h.newLink(entryIncarnation)
	p.startRequest(tieredOffer(1, 3))
	lateOffer := tieredOffer(2, 0)
	lateOffer.FirstTargetMS, lateOffer.WaitedMS = 1000, 1001
	p.send(lateOffer)
	// A cost estimate beyond the target must not make a request look late.
	costlyOffer := tieredOffer(3, 0)
	costlyOffer.CompleteTargetMS, costlyOffer.CostMS = 60000, 600000
	p.send(costlyOffer)
	h.advance(time.Second)
	if n := h.o.displacingCount(); n != 0 {
		t.Fatalf("%d runs stopped", n)
	}
}

// A planned stop begins. Entries must be informed at once, waiting requests must be
// returned, and running requests must end normally.
func TestLeaveFinishesRunningRequests(t *testing.T) {
	h := newHarness(t, 1)
	p := h.newLink(entryIncarnation)
	r := p.startRequest(tieredOffer(1, 1))
	p.send(tieredOffer(2, 1))
	h.apply(leaveEvent{})
	if heartbeat := receive[*wire.Heartbeat](p); !heartbeat.Load.Leaving {
		t.Fatalf("heartbeat %+v", heartbeat)
	}
	if got := receive[*wire.Return](p); got.ID != tieredOffer(2, 1).ID || got.Reason != wire.ReasonLeaving || !got.Load.Leaving {
		t.Fatalf("return %+v", got)
	}
	p.send(tieredOffer(3, 0))
	if got := receive[*wire.Return](p); got.Reason != wire.ReasonLeaving {
		t.Fatalf("return %+v", got)
	}
	h.advance(time.Second)
	if h.o.leaveComplete() {
		t.Fatal("the stop is complete while a request runs")
	}
	r.finish("all")
	if e := receive[*wire.End](p); !e.Complete {
		t.Fatalf("end %+v", e)
	}
	h.applyUntil(h.o.leaveComplete)
}

// A request that still runs after the stop grace is stopped.
func TestLeaveStopsRunsAfterGrace(t *testing.T) {
	h := newHarness(t, 1)
	p := h.newLink(entryIncarnation)
	p.startRequest(tieredOffer(1, 1))
	h.apply(leaveEvent{})
	h.advance(time.Minute + time.Millisecond)
	if e := receive[*wire.End](p); e.Complete || e.Reason != wire.ReasonLeaving {
		t.Fatalf("end %+v", e)
	}
	h.applyUntil(h.o.leaveComplete)
}

// An engine freezes and sends no load reports either. Offers must not be claimed
// for it, so that other agents can claim them.
func TestStalledEndpointClaimsNothing(t *testing.T) {
	h := newHarness(t, testBound)
	p := h.newLink(entryIncarnation)
	p.send(tieredOffer(2, 0))
	receive[*wire.Claim](p)
	for range maxMissedReports {
		h.apply(reportEvent{err: errLeaseExpired})
	}
	p.send(tieredOffer(1, 0))
	expectNone[*wire.Claim](p)
	// The request that was claimed just before is granted now. It is returned
	// without a start.
	p.send(newGrant(tieredOffer(2, 0)))
	h.expectIdle()
	h.advance(maxReadyWait + time.Millisecond)
	if r := receive[*wire.Return](p); r.ID != tieredOffer(2, 0).ID || r.Reason != wire.ReasonDisplaced {
		t.Fatalf("return %+v", r)
	}
	if !h.o.Load().Slow {
		t.Fatal("the load does not report the endpoint as slow")
	}
	h.apply(reportEvent{engine.Load{}, nil})
	receive[*wire.Claim](p)
}

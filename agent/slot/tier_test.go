package slot

import (
	"testing"
	"time"

	"lycheepond/agent/engine"
	"lycheepond/core/wire"
)

func tiered(n uint64, tier uint8) *wire.Offer {
	m := offerOf(n)
	m.Tier, m.CostMS = tier, 5000
	return m
}

// The pool is overloaded and entries refuse the lower tiers. What waits of
// them here must not be served before what was refused elsewhere.
func TestLevelReturnsWhatWaits(t *testing.T) {
	b := newBench(t, 1)
	p := b.link(entryInc)
	p.started(tiered(1, 2))
	p.send(tiered(2, 1))
	p.send(tiered(3, 3))
	p.send(&wire.ShedLevel{Pool: pool, Level: 1, HoldMS: 5000})
	if r := next[*wire.Return](p); r.ID != tiered(3, 3).ID || r.Reason != wire.ReasonShed || r.Load.ShedLevel != 1 {
		t.Fatalf("return %+v", r)
	}
	p.send(tiered(4, 2))
	if r := next[*wire.Return](p); r.ID != tiered(4, 2).ID || r.Reason != wire.ReasonShed {
		t.Fatalf("return %+v", r)
	}
	if b.o.queue.Len() != 1 {
		t.Fatalf("%d queued", b.o.queue.Len())
	}
	b.after(5 * time.Second)
	p.send(tiered(5, 3))
	none[*wire.Return](p)
}

// One entry lowers the level. Until this agent says so, no entry may refuse a
// higher tier, and a whole heartbeat of such requests would come in late.
func TestLevelIsConfirmedAtOnce(t *testing.T) {
	b := newBench(t, testBound)
	p, other := b.link(entryInc), b.link(entryInc+1)
	p.send(&wire.ShedLevel{Pool: pool, Level: 1, HoldMS: 5000})
	for _, e := range []*peer{p, other} {
		if m := next[*wire.Heartbeat](e); m.Load.ShedLevel != 1 {
			t.Fatalf("level %d confirmed", m.Load.ShedLevel)
		}
	}
	p.send(&wire.ShedLevel{Pool: pool, Level: 1, HoldMS: 5000})
	none[*wire.Heartbeat](p)
}

// The level falls while the grant of a lower tier is on its way.
func TestLevelReturnsWhatIsClaimed(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	p.send(tiered(1, 3))
	next[*wire.Claim](p)
	p.send(&wire.ShedLevel{Pool: pool, Level: 2, HoldMS: 5000})
	if r := next[*wire.Return](p); r.Reason != wire.ReasonShed {
		t.Fatalf("return %+v", r)
	}
	p.send(grantOf(tiered(1, 3)))
	next[*wire.Return](p)
	b.idle()
}

// Two entries see the pool differently. As long as one refuses a tier, no work
// below it is taken here.
func TestStrictestLevelCounts(t *testing.T) {
	b := newBench(t, testBound)
	p, q := b.link(entryInc), b.link(entryInc+1)
	p.send(&wire.ShedLevel{Pool: pool, Level: 1, HoldMS: 60000})
	q.send(&wire.ShedLevel{Pool: pool, Level: 3, HoldMS: 60000})
	q.send(tiered(1, 2))
	if r := next[*wire.Return](q); r.Reason != wire.ReasonShed {
		t.Fatalf("return %+v", r)
	}
	p.send(&wire.ShedLevel{Pool: pool, Level: 2, HoldMS: 60000})
	q.send(tiered(2, 2))
	next[*wire.Claim](q)
}

// A swap comes right after a place was claimed for a season slate. The swap
// takes the place; the slate waits for the next one and, when that does not
// come, goes back to be run elsewhere.
func TestHigherTierTakesClaimedPlace(t *testing.T) {
	b := newBench(t, 1)
	p := b.link(entryInc)
	p.send(tiered(1, 3))
	next[*wire.Claim](p)
	p.send(tiered(2, 0))
	if c := next[*wire.Claim](p); c.ID != tiered(2, 0).ID {
		t.Fatalf("claim %+v", c)
	}
	p.send(grantOf(tiered(2, 0)))
	if r := b.run(); r.id != tiered(2, 0).ID {
		t.Fatalf("run %s", r.id)
	}
	p.send(grantOf(tiered(1, 3)))
	b.after(readyPatience)
	none[*wire.Return](p)
	b.after(time.Millisecond)
	if r := next[*wire.Return](p); r.ID != tiered(1, 3).ID || r.Reason != wire.ReasonDisplaced {
		t.Fatalf("return %+v", r)
	}
}

// Both grants arrive before the place is free. The higher tier starts first,
// whichever came first.
func TestHigherTierStartsFirst(t *testing.T) {
	b := newBench(t, 1)
	p := b.link(entryInc)
	first := p.started(tiered(1, 3))
	slate := tiered(2, 3)
	slate.CostMS = 100
	p.send(slate)
	next[*wire.Claim](p)
	p.send(grantOf(slate))
	swap := tiered(3, 0)
	swap.CostMS = 100
	p.send(swap)
	next[*wire.Claim](p)
	p.send(grantOf(swap))
	first.answer()
	b.pump(func() bool { return b.o.running[swap.ID] != nil })
	if r := b.o.recs[slate.ID]; r.state != ready {
		t.Fatalf("the slate is in state %d", r.state)
	}
}

// The same with slates that run already. The swap waits while its target
// allows it, then the slate that began last is cancelled and goes elsewhere;
// work that must not be repeated and answers that have begun are spared.
func TestHigherTierCancelsRunningWork(t *testing.T) {
	b := newBench(t, 4)
	p := b.link(entryInc)
	p.started(tiered(5, 2))
	once := tiered(1, 3)
	once.Repeatable = false
	p.started(once)
	p.started(tiered(2, 3)).sink.Head(200, nil)
	b.after(time.Millisecond)
	p.started(tiered(3, 2))
	swap := tiered(4, 0)
	swap.FirstTargetMS = 8000
	p.send(swap)
	if len(b.cancels) != 0 {
		t.Fatal("cancelled although the swap could wait")
	}
	b.after(5 * time.Second)
	none[*wire.End](p)
	b.after(3*time.Second - displaceAhead + time.Millisecond)
	b.after(time.Millisecond)
	if id := <-b.cancels; id != tiered(3, 2).ID {
		t.Fatalf("cancelled %s", id)
	}
	// The claim may leave before the end of the answer, which has a goroutine
	// of its own.
	b.pump(func() bool { return b.o.claims == 1 })
	if r := b.o.recs[swap.ID]; r.state != claimed {
		t.Fatalf("the swap is in state %d", r.state)
	}
	if e := next[*wire.End](p); e.ID != tiered(3, 2).ID || e.Complete || e.Reason != wire.ReasonDisplaced {
		t.Fatalf("end %+v", e)
	}
	b.after(time.Minute)
	if len(b.cancels) != 0 {
		t.Fatal("more was cancelled than places were needed")
	}
}

// A swap has waited past its target. Stopping a slate would not help it any
// more, and the slate's caller would lose its work for nothing.
func TestLateWorkCancelsNothing(t *testing.T) {
	b := newBench(t, 1)
	p := b.link(entryInc)
	p.started(tiered(1, 3))
	swap := tiered(2, 0)
	swap.FirstTargetMS, swap.WaitedMS = 1000, 1001
	p.send(swap)
	// An estimate of the swap's own cost beyond its target makes it no later.
	long := tiered(3, 0)
	long.CompleteTargetMS, long.CostMS = 60000, 600000
	p.send(long)
	b.after(time.Second)
	if n := b.o.halting(); n != 0 {
		t.Fatalf("%d runs stopped", n)
	}
}

// A planned stop begins. Entries must hear of it at once, what waits must be
// free to go elsewhere, and what runs must come to its end.
func TestLeaveFinishesWhatRuns(t *testing.T) {
	b := newBench(t, 1)
	p := b.link(entryInc)
	r := p.started(tiered(1, 1))
	p.send(tiered(2, 1))
	b.do(leave{})
	if beat := next[*wire.Heartbeat](p); !beat.Load.Leaving {
		t.Fatalf("beat %+v", beat)
	}
	if got := next[*wire.Return](p); got.ID != tiered(2, 1).ID || got.Reason != wire.ReasonLeaving || !got.Load.Leaving {
		t.Fatalf("return %+v", got)
	}
	p.send(tiered(3, 0))
	if got := next[*wire.Return](p); got.Reason != wire.ReasonLeaving {
		t.Fatalf("return %+v", got)
	}
	b.after(time.Second)
	if b.o.left() {
		t.Fatal("left while a request runs")
	}
	r.answer("all")
	if e := next[*wire.End](p); !e.Complete {
		t.Fatalf("end %+v", e)
	}
	b.pump(b.o.left)
}

func TestLeaveEndsAfterItsGrace(t *testing.T) {
	b := newBench(t, 1)
	p := b.link(entryInc)
	p.started(tiered(1, 1))
	b.do(leave{})
	b.after(time.Minute + time.Millisecond)
	if e := next[*wire.End](p); e.Complete || e.Reason != wire.ReasonLeaving {
		t.Fatalf("end %+v", e)
	}
	b.pump(b.o.left)
}

// An engine freezes and answers nothing, its load report included. Offers must
// be left for other agents instead of being claimed for it.
func TestStalledEndpointClaimsNothing(t *testing.T) {
	b := newBench(t, testBound)
	p := b.link(entryInc)
	p.send(tiered(2, 0))
	next[*wire.Claim](p)
	for range missedReports {
		b.do(report{err: errLease})
	}
	p.send(tiered(1, 0))
	none[*wire.Claim](p)
	// What was claimed just before is granted now. It goes back unstarted.
	p.send(grantOf(tiered(2, 0)))
	b.idle()
	b.after(readyPatience + time.Millisecond)
	if r := next[*wire.Return](p); r.ID != tiered(2, 0).ID || r.Reason != wire.ReasonDisplaced {
		t.Fatalf("return %+v", r)
	}
	if !b.o.Load().Slow {
		t.Fatal("the load does not tell")
	}
	b.do(report{engine.Load{}, nil})
	next[*wire.Claim](p)
}

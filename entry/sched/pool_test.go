package sched

import (
	"net"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/place"
	"lycheepond/core/plat"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
)

// linked returns the members of a pool of n agents that an entry is linked to,
// each with the load that it reported.
func linked(tb testing.TB, n int, load wire.Load) *agents.Members {
	tb.Helper()
	m := new(agents.Members)
	for i := range n {
		name := "agent-" + strconv.Itoa(i)
		p := agents.NewPeer(&plat.Instance{Name: name, Zone: "z" + strconv.Itoa(i%3), State: plat.StateLive})
		near, far := net.Pipe()
		tb.Cleanup(func() { near.Close(); far.Close() })
		p.Connect(wire.New(near, wire.Hello{Name: name, Incarnation: 1}, wire.Config{}), &wire.Heartbeat{Load: load})
		m.Peers = append(m.Peers, p)
	}
	return m
}

func testPool(m *agents.Members) *pool {
	return newPool("p", Config{
		Zone: "z0", Now: func() time.Duration { return time.Second }, Entries: func() int { return 1 },
		Pool: func(string) *agents.Members { return m }, Log: zap.NewNop(),
	})
}

// A higher tier may be refused only if it is certain that nothing lower is
// served. What another entry has queued is seen through the agents' loads; an
// agent without a link might serve anything.
func TestLowerServed(t *testing.T) {
	low := uint8(1 << (spec.Tiers - 1))
	for _, c := range []struct {
		name   string
		load   wire.Load
		beyond int
		tier   uint8
		want   bool
	}{
		{"idle", wire.Load{}, 0, 0, false},
		{"lower runs", wire.Load{RunningTiers: low}, 0, 0, true},
		{"lower waits", wire.Load{WaitingTiers: low}, 0, 2, true},
		{"same runs", wire.Load{RunningTiers: 1 << 1}, 0, 1, false},
		{"higher runs", wire.Load{RunningTiers: 1}, 0, 1, false},
		{"unlinked agent", wire.Load{}, 1, 0, true},
		{"lowest tier", wire.Load{RunningTiers: low}, 1, spec.Tiers - 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := *linked(t, 2, c.load)
			m.Beyond = c.beyond
			if got := testPool(&m).lowerServed(c.tier); got != c.want {
				t.Errorf("got %t", got)
			}
		})
	}
}

// An entry that has granted work of a lower tier a moment ago has not yet
// heard of it from the agent.
func TestOwnLowerWorkCounts(t *testing.T) {
	p := testPool(linked(t, 1, wire.Load{}))
	p.running[spec.Tiers-1] = 1
	if !p.lowerServed(0) {
		t.Error("own running work of the lowest tier was overlooked")
	}
}

// BenchmarkPlace chooses agents for a request among as many as an entry links
// to at the target's size.
func BenchmarkPlace(b *testing.B) {
	p := testPool(linked(b, 115, wire.Load{InFlightBound: 16, InFlight: 9, Queued: 3, QueuedCostMS: 500}))
	f := &flight{job: &Job{Class: spec.Class{Tier: 1}}, trace: &Trace{prefix: place.Fingerprint(make([]byte, 4096))}}
	b.ReportAllocs()
	for b.Loop() {
		p.pick(time.Second, f, firstOffers)
	}
}

// The pool is full and nothing of a lower tier is known to run, but one agent
// has not yet said that it takes none. Another entry's lower work may start
// there this very moment; a caller of a higher tier that is refused now would
// have been shed for it.
func TestUnconfirmedLevelRefusesNothingHigher(t *testing.T) {
	m := linked(t, 2, wire.Load{ShedLevel: 1})
	p := testPool(m)
	for tier, want := range []bool{false, true, true, true} {
		if got := p.confirmed(uint8(tier)); got != want {
			t.Errorf("tier %d: confirmed %t", tier, got)
		}
	}
	m.Peers = append(m.Peers, linked(t, 1, wire.Load{ShedLevel: spec.Tiers - 1}).Peers...)
	for tier, want := range []bool{false, false, false, true} {
		if got := p.confirmed(uint8(tier)); got != want {
			t.Errorf("tier %d with an agent that has not heard: confirmed %t", tier, got)
		}
	}
}

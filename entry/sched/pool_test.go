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

// linkedMembers returns the members of a pool of n agents that an entry is linked
// to, each with the given reported load.
func linkedMembers(tb testing.TB, n int, load wire.Load) *agents.Members {
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
		Zone: "z0", Now: func() time.Duration { return time.Second }, EntryCount: func() int { return 1 },
		Pool: func(string) *agents.Members { return m }, Log: zap.NewNop(),
	})
}

// A request of a higher tier may be refused only if it is certain that no lower tier
// is served. The agents' loads include the requests of other entries, and an agent
// without a link might serve anything.
func TestLowerTierServed(t *testing.T) {
	low := uint8(1 << (spec.Tiers - 1))
	for _, c := range []struct {
		name     string
		load     wire.Load
		unlinked int
		tier     uint8
		want     bool
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
			m := *linkedMembers(t, 2, c.load)
			m.UnlinkedLive = c.unlinked
			if got := testPool(&m).lowerServed(c.tier); got != c.want {
				t.Errorf("got %t", got)
			}
		})
	}
}

// An entry has just granted a request of a lower tier, and the agent's load doesn't
// include it yet. The request must still count as served.
func TestOwnLowerTierRequestsCount(t *testing.T) {
	p := testPool(linkedMembers(t, 1, wire.Load{}))
	p.running[spec.Tiers-1] = 1
	if !p.lowerServed(0) {
		t.Error("the entry's own running request of the lowest tier does not count")
	}
}

// BenchmarkPickAgents picks agents for a request among as many as an entry links to
// in a fleet of the target size.
func BenchmarkPickAgents(b *testing.B) {
	p := testPool(linkedMembers(b, 115, wire.Load{InFlightBound: 16, InFlight: 9, Queued: 3, QueuedCostMS: 500}))
	f := &flight{job: &Job{Class: spec.Class{Tier: 1}}, trace: &Trace{prefix: place.Fingerprint(make([]byte, 4096))}}
	b.ReportAllocs()
	for b.Loop() {
		p.pickAgents(time.Second, f, initialOffers)
	}
}

// The pool is full and no request of a lower tier is known to run, but one agent
// has not yet confirmed that it accepts none. Another entry's request of a lower
// tier may start there at this moment. If a request of a higher tier were refused
// now, it would be shed while the lower one is served.
func TestUnconfirmedLevelRefusesNoHigherTier(t *testing.T) {
	m := linkedMembers(t, 2, wire.Load{ShedLevel: 1})
	p := testPool(m)
	for tier, want := range []bool{false, true, true, true} {
		if got := p.levelConfirmed(uint8(tier)); got != want {
			t.Errorf("tier %d: confirmed %t", tier, got)
		}
	}
	m.Peers = append(m.Peers, linkedMembers(t, 1, wire.Load{ShedLevel: spec.Tiers - 1}).Peers...)
	for tier, want := range []bool{false, false, false, true} {
		if got := p.levelConfirmed(uint8(tier)); got != want {
			t.Errorf("tier %d with an agent that has not received the level: confirmed %t", tier, got)
		}
	}
}

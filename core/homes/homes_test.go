package homes

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheepond/core/spec"
)

const wall = int64(1_800_000_000_000)

func owners(names ...string) []spec.HomeOwner {
	var out []spec.HomeOwner
	for _, n := range names {
		out = append(out, spec.HomeOwner{Name: n, Incarnation: 1})
	}
	return out
}

func TestCreateSpreadsSlots(t *testing.T) {
	tab, changed := Takeover(spec.Homes{}, owners("b", "a", "c"), wall)
	if !changed || tab.Epoch != 1 || len(tab.Slots) != Slots {
		t.Fatalf("epoch %d, %d slots", tab.Epoch, len(tab.Slots))
	}
	counts := make([]int, 3)
	for _, s := range tab.Slots {
		counts[s.Owner]++
		if s.LostBefore != 0 {
			t.Fatal("a new table says that records are lost")
		}
	}
	for _, n := range counts {
		if n < Slots/3 || n > Slots/3+1 {
			t.Fatalf("counts %v", counts)
		}
	}
	if _, changed := Takeover(tab, owners("a", "b", "c", "d"), wall); changed {
		t.Fatal("a new agent moved slots")
	}
}

// An agent is lost. Only its keys may become unknown: were others moved, every
// failure would refuse retries all over the pool.
func TestTakeoverMovesOnlyOrphans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := make([]spec.HomeOwner, rapid.IntRange(2, 12).Draw(t, "agents"))
		for i := range all {
			all[i] = spec.HomeOwner{Name: fmt.Sprintf("a%02d", i), Incarnation: 1}
		}
		tab, _ := Takeover(spec.Homes{}, all, wall)
		now := wall
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			now += rapid.Int64Range(1, 100_000).Draw(t, "later")
			i := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
			all[i].Incarnation++
			next, changed := Takeover(tab, all, now)
			if changed != (next.Epoch == tab.Epoch+1) {
				t.Fatalf("changed %v from epoch %d to %d", changed, tab.Epoch, next.Epoch)
			}
			for s := range tab.Slots {
				before, after := tab.Owners[tab.Slots[s].Owner], next.Owners[next.Slots[s].Owner]
				if before.Name != all[i].Name && (before != after || tab.Slots[s] != next.Slots[s] && tab.Slots[s].LostBefore != next.Slots[s].LostBefore) {
					t.Fatalf("slot %d moved from %v to %v", s, before, after)
				}
				if before != after && next.Slots[s].LostBefore < now+tab.Lease.Std().Milliseconds() {
					t.Fatalf("slot %d may be used before the old lease ran out", s)
				}
			}
			tab = next
		}
	})
}

// Two entries decide at the same time from the same lists in another order.
// One write wins; the other must not find a reason to change it again.
func TestTakeoverIsTheSameForAll(t *testing.T) {
	tab, _ := Takeover(spec.Homes{}, owners("a", "b", "c"), wall)
	one, _ := Takeover(tab, owners("c", "a"), wall)
	two, _ := Takeover(tab, owners("a", "c"), wall)
	for i := range one.Slots {
		if one.Slots[i] != two.Slots[i] {
			t.Fatalf("slot %d differs", i)
		}
	}
	if _, changed := Takeover(one, owners("c", "a"), wall+1); changed {
		t.Fatal("the result is changed again")
	}
	if same, changed := Takeover(tab, nil, wall); changed || same.Epoch != 1 {
		t.Fatal("a table without live agents was changed")
	}
}

// holders drives agents through takeovers, pauses and late confirmations. At
// no moment may two of them act for the same key.
func TestNeverTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := owners("a", "b", "c")
		tab, _ := Takeover(spec.Homes{}, names, wall)
		holders := []*Holder{NewHolder(names[0]), NewHolder(names[1]), NewHolder(names[2])}
		// confirmed is the last time at which an entry saw the epoch at the
		// platform, on the clock of all.
		now, confirmed := time.Duration(0), time.Duration(0)
		key := make([]byte, 8)
		for range 60 {
			now += time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "later"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				confirmed = now
			case 1:
				alive := owners("a", "b", "c")
				i := rapid.IntRange(0, 2).Draw(t, "thought dead")
				tab, _ = Takeover(tab, append(alive[:i], alive[i+1:]...), wall+now.Milliseconds())
				confirmed = now
			case 2:
				holders[rapid.IntRange(0, 2).Draw(t, "learner")].Learn(now, tab)
			case 3:
				h := holders[rapid.IntRange(0, 2).Draw(t, "asker")]
				h.Confirm(now, now-confirmed, tab.Epoch)
			}
			binary.BigEndian.PutUint64(key, rapid.Uint64Range(0, Slots-1).Draw(t, "slot"))
			n := 0
			for _, h := range holders {
				if h.Owns(now, key, h.Table().Epoch) == Owned {
					n++
				}
			}
			if n > 1 {
				t.Fatalf("%d owners of slot %d", n, Slot(key, Slots))
			}
		}
	})
}

// An entry's answer to the question for the lease is late, or rests on an old
// confirmation. The lease counts from the asking, less that age.
func TestLeaseCountsFromAsking(t *testing.T) {
	tab, _ := Takeover(spec.Homes{}, owners("a"), wall)
	h := NewHolder(tab.Owners[0])
	h.Learn(0, tab)
	key := []byte("k")
	if v := h.Owns(0, key, 1); v != NoLease {
		t.Fatalf("verdict %d without a lease", v)
	}
	h.Confirm(time.Second, 3*time.Second, 1)
	until := DefaultLease - 2*time.Second
	if h.Owns(until-1, key, 1) != Owned || h.Owns(until, key, 1) != NoLease {
		t.Fatalf("lease until %v", h.Lease())
	}
	resized := spec.Homes{Epoch: 2, Lease: tab.Lease, Owners: tab.Owners, Slots: tab.Slots[1:]}
	if h.Learn(4*time.Second, resized) {
		t.Fatal("a table with another number of slots was taken")
	}
	h.Confirm(5*time.Second, 0, 2)
	if h.Lease() != until {
		t.Fatal("the confirmation of another epoch counted")
	}
	if h.Owns(0, key, 2) != NotHome {
		t.Fatal("acted under an epoch that is not known")
	}
}

// A restarted agent has none of the records of the process before, so it must
// not act for its slots until they are given to it anew.
func TestRestartedAgentOwnsNothing(t *testing.T) {
	tab, _ := Takeover(spec.Homes{}, owners("a"), wall)
	self := spec.HomeOwner{Name: "a", Incarnation: 2}
	h := NewHolder(self)
	h.Learn(0, tab)
	h.Confirm(0, 0, 1)
	if h.Owns(0, []byte("k"), 1) != NotHome {
		t.Fatal("acts on the records of the process before")
	}
	next, _ := Takeover(tab, []spec.HomeOwner{self}, wall)
	h.Learn(time.Second, next)
	begin := time.Second + Margin(DefaultLease)
	h.Confirm(begin-time.Second, 0, 2)
	if h.Owns(begin-1, []byte("k"), 2) != NoLease || h.Owns(begin, []byte("k"), 2) != Owned {
		t.Fatal("does not wait for the lease before it")
	}
	if h.Since([]byte("k")) == 0 {
		t.Fatal("the table hides that records were lost")
	}
}

func TestUsable(t *testing.T) {
	skew, retention := Skew.Milliseconds(), Retention.Milliseconds()
	for _, c := range []struct {
		name        string
		made, since int64
		want        bool
	}{
		{"opaque, nothing lost", 0, 0, true},
		{"opaque, records lost", 0, wall - retention, false},
		{"opaque, long after the loss", 0, wall - retention - 1, true},
		{"young", wall, wall - skew, true},
		{"too near the loss for the clocks", wall, wall - skew + 1, false},
		{"older than the loss", wall - 10*skew, wall - 5*skew, false},
		{"older than any record is kept", wall - retention, 0, false},
		{"clock ahead within the skew", wall + skew, wall, true},
		{"clock far ahead hides the age", wall + 1000*skew, wall - 1, false},
	} {
		if got := Usable(c.made, c.since, wall); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A damaged table, or one of a future version, must not come into force: a
// lease that overflows would end in the past, and the next owner would begin
// while the old one still acts.
func TestCheckRefusesWhatWouldBreakTheRules(t *testing.T) {
	good, _ := Takeover(spec.Homes{}, owners("a", "b"), wall)
	if err := Check(good); err != nil {
		t.Fatal(err)
	}
	next, _ := Takeover(good, owners("b"), wall)
	if err := Check(next); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*spec.Homes){
		"no epoch":        func(h *spec.Homes) { h.Epoch = 0 },
		"endless lease":   func(h *spec.Homes) { h.Lease = 1 << 62 },
		"no lease":        func(h *spec.Homes) { h.Lease = 0 },
		"no slots":        func(h *spec.Homes) { h.Slots = nil },
		"unknown owner":   func(h *spec.Homes) { h.Slots[3].Owner = 2 },
		"unknown left":    func(h *spec.Homes) { h.Slots[3].PreviousOwner = 1 },
		"taken in future": func(h *spec.Homes) { h.Slots[3].OwnedSinceEpoch = 2 },
	} {
		bad, _ := Takeover(spec.Homes{}, owners("a", "b"), wall)
		spoil(&bad)
		if Check(bad) == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

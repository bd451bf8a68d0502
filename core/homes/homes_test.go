package homes

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheepond/core/spec"
)

// startMillis is the time at which the tests begin, in Unix milliseconds.
const startMillis = int64(1_800_000_000_000)

// owners returns the first incarnation of each named agent.
func owners(names ...string) []spec.HomeOwner {
	var out []spec.HomeOwner
	for _, n := range names {
		out = append(out, spec.HomeOwner{Name: n, Incarnation: 1})
	}
	return out
}

// A new table must spread its slots evenly and report no lost records. A new
// agent must not move any slot.
func TestNewTableSpreadsSlots(t *testing.T) {
	table, changed := ReassignSlots(spec.Homes{}, owners("b", "a", "c"), startMillis)
	if !changed || table.Epoch != 1 || len(table.Slots) != DefaultSlots {
		t.Fatalf("epoch %d, %d slots", table.Epoch, len(table.Slots))
	}
	counts := make([]int, 3)
	for _, s := range table.Slots {
		counts[s.Owner]++
		if s.LostBefore != 0 {
			t.Fatal("a new table reports lost records")
		}
	}
	for _, n := range counts {
		if n < DefaultSlots/3 || n > DefaultSlots/3+1 {
			t.Fatalf("counts %v", counts)
		}
	}
	if _, changed := ReassignSlots(table, owners("a", "b", "c", "d"), startMillis); changed {
		t.Fatal("slots moved to a new agent")
	}
}

// An agent is lost and restarts. Only the outcomes of its own keys may become
// unknown. If other slots moved as well, every failure would cause retries to be
// refused in the whole pool.
func TestReassignSlotsMovesOnlyOrphans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := make([]spec.HomeOwner, rapid.IntRange(2, 12).Draw(t, "agents"))
		for i := range agents {
			agents[i] = spec.HomeOwner{Name: fmt.Sprintf("a%02d", i), Incarnation: 1}
		}
		table, _ := ReassignSlots(spec.Homes{}, agents, startMillis)
		now := startMillis
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			now += rapid.Int64Range(1, 100_000).Draw(t, "elapsed")
			i := rapid.IntRange(0, len(agents)-1).Draw(t, "lost")
			agents[i].Incarnation++
			next, changed := ReassignSlots(table, agents, now)
			if changed != (next.Epoch == table.Epoch+1) {
				t.Fatalf("changed %v from epoch %d to %d", changed, table.Epoch, next.Epoch)
			}
			for s := range table.Slots {
				before, after := table.Owners[table.Slots[s].Owner], next.Owners[next.Slots[s].Owner]
				if before.Name != agents[i].Name && (before != after || table.Slots[s] != next.Slots[s] && table.Slots[s].LostBefore != next.Slots[s].LostBefore) {
					t.Fatalf("slot %d moved from %v to %v", s, before, after)
				}
				if before != after && next.Slots[s].LostBefore < now+table.Lease.Std().Milliseconds() {
					t.Fatalf("slot %d may be used before the old lease expired", s)
				}
			}
			table = next
		}
	})
}

// Two entries decide at the same time from the same lists in a different order.
// One write succeeds; the other entry must not find a reason to change the
// table again.
func TestReassignSlotsIsDeterministic(t *testing.T) {
	table, _ := ReassignSlots(spec.Homes{}, owners("a", "b", "c"), startMillis)
	first, _ := ReassignSlots(table, owners("c", "a"), startMillis)
	second, _ := ReassignSlots(table, owners("a", "c"), startMillis)
	for i := range first.Slots {
		if first.Slots[i] != second.Slots[i] {
			t.Fatalf("slot %d differs", i)
		}
	}
	if _, changed := ReassignSlots(first, owners("c", "a"), startMillis+1); changed {
		t.Fatal("the result was changed again")
	}
	if same, changed := ReassignSlots(table, nil, startMillis); changed || same.Epoch != 1 {
		t.Fatal("a table without live agents was changed")
	}
}

// The test runs agents through reassignments, pauses and delayed confirmations.
// No two agents may act for the same key at the same time.
func TestNeverTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := owners("a", "b", "c")
		table, _ := ReassignSlots(spec.Homes{}, names, startMillis)
		views := []*View{NewView(names[0]), NewView(names[1]), NewView(names[2])}
		// confirmed is the last time at which an entry confirmed the epoch at
		// the platform. All clocks agree.
		now, confirmed := time.Duration(0), time.Duration(0)
		key := make([]byte, 8)
		for range 60 {
			now += time.Duration(rapid.Int64Range(0, int64(8*time.Second)).Draw(t, "elapsed"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				confirmed = now
			case 1:
				alive := owners("a", "b", "c")
				i := rapid.IntRange(0, 2).Draw(t, "considered dead")
				table, _ = ReassignSlots(table, append(alive[:i], alive[i+1:]...), startMillis+now.Milliseconds())
				confirmed = now
			case 2:
				views[rapid.IntRange(0, 2).Draw(t, "receiver of the table")].Update(now, table)
			case 3:
				v := views[rapid.IntRange(0, 2).Draw(t, "lease holder")]
				v.ExtendLease(now, now-confirmed, table.Epoch)
			}
			binary.BigEndian.PutUint64(key, rapid.Uint64Range(0, DefaultSlots-1).Draw(t, "slot"))
			n := 0
			for _, v := range views {
				if v.CheckOwnership(now, key, v.Table().Epoch) == Owned {
					n++
				}
			}
			if n > 1 {
				t.Fatalf("%d owners of slot %d", n, Slot(key, DefaultSlots))
			}
		}
	})
}

// An entry's answer to the request for a lease is late, or is based on an old
// confirmation. The lease must count from the request, less the age of that
// confirmation.
func TestLeaseCountsFromRequest(t *testing.T) {
	table, _ := ReassignSlots(spec.Homes{}, owners("a"), startMillis)
	v := NewView(table.Owners[0])
	v.Update(0, table)
	key := []byte("k")
	if got := v.CheckOwnership(0, key, 1); got != NoLease {
		t.Fatalf("ownership %d without a lease", got)
	}
	v.ExtendLease(time.Second, 3*time.Second, 1)
	until := DefaultLease - 2*time.Second
	if v.CheckOwnership(until-1, key, 1) != Owned || v.CheckOwnership(until, key, 1) != NoLease {
		t.Fatalf("lease until %v", v.LeaseEnd())
	}
	resized := spec.Homes{Epoch: 2, Lease: table.Lease, Owners: table.Owners, Slots: table.Slots[1:]}
	if v.Update(4*time.Second, resized) {
		t.Fatal("a table with a different number of slots was accepted")
	}
	v.ExtendLease(5*time.Second, 0, 2)
	if v.LeaseEnd() != until {
		t.Fatal("the confirmation of another epoch extended the lease")
	}
	if v.CheckOwnership(0, key, 2) != NotHome {
		t.Fatal("acts for a key offered under an unknown epoch")
	}
}

// A restarted agent has no records of its previous process, so it must not act
// for its slots until they are assigned to it again.
func TestRestartedAgentOwnsNothing(t *testing.T) {
	table, _ := ReassignSlots(spec.Homes{}, owners("a"), startMillis)
	self := spec.HomeOwner{Name: "a", Incarnation: 2}
	v := NewView(self)
	v.Update(0, table)
	v.ExtendLease(0, 0, 1)
	if v.CheckOwnership(0, []byte("k"), 1) != NotHome {
		t.Fatal("acts for the slots of its previous process")
	}
	next, _ := ReassignSlots(table, []spec.HomeOwner{self}, startMillis)
	v.Update(time.Second, next)
	takeoverAt := time.Second + TakeoverDelay(DefaultLease)
	v.ExtendLease(takeoverAt-time.Second, 0, 2)
	if v.CheckOwnership(takeoverAt-1, []byte("k"), 2) != NoLease || v.CheckOwnership(takeoverAt, []byte("k"), 2) != Owned {
		t.Fatal("does not wait until the previous lease has expired")
	}
	if v.LostBefore([]byte("k")) == 0 {
		t.Fatal("the table does not show that records were lost")
	}
}

// A key must be run only if no lost or expired record can have had it, whatever
// the clocks of clients and agents show within the allowed skew.
func TestMayRun(t *testing.T) {
	skew, retention := MaxClockSkew.Milliseconds(), Retention.Milliseconds()
	for _, c := range []struct {
		name                            string
		createdMillis, lostBeforeMillis int64
		want                            bool
	}{
		{"key without a time, nothing lost", 0, 0, true},
		{"key without a time, records lost", 0, startMillis - retention, false},
		{"key without a time, long after the loss", 0, startMillis - retention - 1, true},
		{"new key", startMillis, startMillis - skew, true},
		{"too close to the loss for the clock skew", startMillis, startMillis - skew + 1, false},
		{"older than the loss", startMillis - 10*skew, startMillis - 5*skew, false},
		{"older than the retention of records", startMillis - retention, 0, false},
		{"clock ahead within the skew", startMillis + skew, startMillis, true},
		{"clock far ahead hides the age", startMillis + 1000*skew, startMillis - 1, false},
	} {
		if got := MayRun(c.createdMillis, c.lostBeforeMillis, startMillis); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A damaged table, or one written by a future version, must not be used. For
// example, a lease that overflows would end in the past, and the next owner
// would act while the old one still does.
func TestValidateRejectsUnsafeTables(t *testing.T) {
	good, _ := ReassignSlots(spec.Homes{}, owners("a", "b"), startMillis)
	if err := Validate(good); err != nil {
		t.Fatal(err)
	}
	next, _ := ReassignSlots(good, owners("b"), startMillis)
	if err := Validate(next); err != nil {
		t.Fatal(err)
	}
	for name, damage := range map[string]func(*spec.Homes){
		"no epoch":                   func(h *spec.Homes) { h.Epoch = 0 },
		"lease that overflows":       func(h *spec.Homes) { h.Lease = 1 << 62 },
		"no lease":                   func(h *spec.Homes) { h.Lease = 0 },
		"no slots":                   func(h *spec.Homes) { h.Slots = nil },
		"unknown owner":              func(h *spec.Homes) { h.Slots[3].Owner = 2 },
		"unknown previous owner":     func(h *spec.Homes) { h.Slots[3].PreviousOwner = 1 },
		"owned since a future epoch": func(h *spec.Homes) { h.Slots[3].OwnedSinceEpoch = 2 },
	} {
		bad, _ := ReassignSlots(spec.Homes{}, owners("a", "b"), startMillis)
		damage(&bad)
		if Validate(bad) == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

package homes

import (
	"encoding/binary"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheepond/core/spec"
)

// cluster simulates a few agents that share one table. Their clocks agree.
type cluster struct {
	t     *rapid.T
	table spec.Homes
	now   time.Duration
	// confirmedAt is the last time at which an entry confirmed the epoch at the
	// platform.
	confirmedAt time.Duration
	// views holds a view for every process so far. stopped marks the processes
	// that have promised not to act again.
	views   []*View
	stopped map[*View]bool
	// inTransit holds the handovers that were sent. They may be lost, delayed
	// or delivered several times.
	inTransit []sentHandover
}

type sentHandover struct {
	from     spec.HomeOwner
	handover Handover
}

func (s *cluster) draw(name string) *View {
	return s.views[rapid.IntRange(0, len(s.views)-1).Draw(s.t, name)]
}

// alive returns the newest incarnation of each agent that has not stopped. It
// may leave out one agent, which an entry considers dead, rightly or wrongly.
func (s *cluster) alive() []spec.HomeOwner {
	newest := make(map[string]spec.HomeOwner)
	for _, h := range s.views {
		if h.self.Incarnation > newest[h.self.Name].Incarnation {
			newest[h.self.Name] = h.self
		}
		if s.stopped[h] && newest[h.self.Name] == h.self {
			delete(newest, h.self.Name)
		}
	}
	delete(newest, rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(s.t, "thought dead"))
	var out []spec.HomeOwner
	for _, o := range newest {
		out = append(out, o)
	}
	return out
}

func (s *cluster) step() {
	s.now += rapid.SampledFrom([]time.Duration{0, 0, 0, 200 * time.Millisecond, time.Second, 12 * time.Second}).Draw(s.t, "later")
	switch rapid.IntRange(0, 7).Draw(s.t, "what") {
	case 0:
		s.confirmedAt = s.now
	case 1:
		s.table, _ = ReassignSlots(s.table, s.alive(), startMillis+s.now.Milliseconds())
		s.confirmedAt = s.now
	case 2, 3:
		s.draw("view to update").Update(s.now, s.table)
	case 4:
		s.draw("view to extend").ExtendLease(s.now, s.now-s.confirmedAt, s.table.Epoch)
	case 5:
		h := s.draw("view to stop")
		if !s.stopped[h] {
			s.stopped[h] = true
			s.views = append(s.views, NewView(spec.HomeOwner{Name: h.self.Name, Incarnation: h.self.Incarnation + 1}))
		}
	case 6:
		if h := s.draw("view to hand over"); s.stopped[h] {
			for _, g := range h.Handovers(s.now) {
				s.inTransit = append(s.inTransit, sentHandover{h.self, g})
			}
		}
	case 7:
		if len(s.inTransit) > 0 {
			l := s.inTransit[rapid.IntRange(0, len(s.inTransit)-1).Draw(s.t, "handover")]
			for _, h := range s.views {
				if h.self == l.handover.To {
					h.AcceptHandover(l.from, l.handover.Epoch, l.handover.Slots)
				}
			}
		}
	}
}

// Agents are restarted as planned, considered dead while they are alive, and
// paused. Handovers are lost, delayed and repeated. If two agents acted for the
// same slot at the same time, a submission could run twice.
func TestNeverTwoOwnersWithHandovers(t *testing.T) {
	actingAfterHandover := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &cluster{t: t, stopped: make(map[*View]bool)}
		for _, o := range owners("a", "b", "c") {
			s.views = append(s.views, NewView(o))
		}
		s.table, _ = ReassignSlots(s.table, owners("a", "b", "c"), startMillis)
		s.table.Slots = s.table.Slots[:6]
		key := make([]byte, 8)
		for range 300 {
			s.step()
			for slot := range s.table.Slots {
				binary.BigEndian.PutUint64(key, uint64(slot))
				n := 0
				for _, h := range s.views {
					if !s.stopped[h] && h.CheckOwnership(s.now, key, h.Table().Epoch) == Owned {
						n++
						if _, ok := h.receivedLostBefore[slot]; ok {
							actingAfterHandover++
						}
					}
				}
				if n > 1 {
					t.Fatalf("%d owners of slot %d", n, slot)
				}
			}
		}
	})
	t.Logf("%d checks found an owner that acts because of a handover", actingAfterHandover)
	if actingAfterHandover == 0 {
		t.Error("no generated history had an owner that acts because of a handover")
	}
}

// viewsBeforeHandover returns the views of an agent that stops and of its
// successor, both with the new table, and that table.
func viewsBeforeHandover(lostBefore int64) (old, successor *View, table spec.Homes) {
	names := owners("a", "b")
	table, _ = ReassignSlots(spec.Homes{}, names, startMillis)
	for i := range table.Slots {
		table.Slots[i].LostBefore = lostBefore
	}
	old, successor = NewView(names[0]), NewView(names[1])
	old.Update(0, table)
	successor.Update(0, table)
	table, _ = ReassignSlots(table, names[1:], startMillis)
	old.Update(time.Second, table)
	successor.Update(time.Second, table)
	successor.ExtendLease(time.Second, 0, table.Epoch)
	return old, successor, table
}

// An agent is stopped as planned. Its successor must serve the keys at once and
// have all records. When the slot is handed over again, the LostBefore of the
// first handover must be passed on.
func TestHandoverTakesEffectAtOnce(t *testing.T) {
	const lostBefore = startMillis - 1000
	old, successor, table := viewsBeforeHandover(lostBefore)
	key := make([]byte, 8)
	if successor.CheckOwnership(time.Second, key, table.Epoch) != NoLease || successor.RecordsSince(key) <= startMillis {
		t.Fatal("acts before the records were received")
	}
	handovers := old.Handovers(time.Second)
	if len(handovers) != 1 || handovers[0].To != successor.self || len(handovers[0].Slots) != DefaultSlots/2 {
		t.Fatalf("%d handovers", len(handovers))
	}
	successor.AcceptHandover(old.self, handovers[0].Epoch, handovers[0].Slots)
	if successor.CheckOwnership(time.Second, key, table.Epoch) != Owned || successor.RecordsSince(key) != lostBefore {
		t.Fatalf("owns %d, LostBefore %d", successor.CheckOwnership(time.Second, key, table.Epoch), successor.RecordsSince(key))
	}
	table.Epoch++
	successor.Update(time.Second, table)
	successor.ExtendLease(time.Second, 0, table.Epoch)
	if successor.CheckOwnership(time.Second, key, table.Epoch) != Owned || successor.RecordsSince(key) != lostBefore {
		t.Fatal("a new epoch without a change of the slot undoes the handover")
	}
	third := owners("c")
	table, _ = ReassignSlots(table, third, startMillis+5000)
	successor.Update(2*time.Second, table)
	for _, s := range successor.Handovers(2 * time.Second)[0].Slots {
		if s.Since != lostBefore {
			t.Fatalf("slot %d is handed over again with LostBefore %d", s.Slot, s.Since)
		}
	}
}

// A handover comes from a process other than the table's previous owner, or
// belongs to another change of the table. It must not let any agent act.
func TestUnexpectedHandoversAreIgnored(t *testing.T) {
	old, successor, table := viewsBeforeHandover(0)
	g := old.Handovers(time.Second)[0]
	successor.AcceptHandover(spec.HomeOwner{Name: "a", Incarnation: 2}, g.Epoch, g.Slots)
	successor.AcceptHandover(old.self, g.Epoch+1, g.Slots)
	successor.AcceptHandover(old.self, g.Epoch, []SlotHandover{{Slot: -1}, {Slot: DefaultSlots}, {Slot: 1}})
	if key := make([]byte, 8); successor.CheckOwnership(time.Second, key, table.Epoch) != NoLease {
		t.Fatal("acts because of an unexpected handover")
	}
}

// The table must name previous owners only for a limited time. Otherwise it
// would grow with every restart until it exceeds the platform's size limit.
func TestTableForgetsPreviousOwners(t *testing.T) {
	tab, _ := ReassignSlots(spec.Homes{}, owners("a", "b", "c"), startMillis)
	tab, _ = ReassignSlots(tab, owners("b", "c"), startMillis)
	if len(tab.FormerOwners) != 1 {
		t.Fatalf("previous owners %v", tab.FormerOwners)
	}
	later := startMillis + TakeoverDelay(DefaultLease).Milliseconds() + keepPreviousMillis + 1
	tab, _ = ReassignSlots(tab, owners("c"), later)
	if len(tab.FormerOwners) != 1 || tab.FormerOwners[0].Name != "b" {
		t.Fatalf("previous owners %v", tab.FormerOwners)
	}
}

// An agent is considered dead while it is only disconnected. The agent that
// took over its slots is stopped before the lease of the first one has expired.
// Its handover says nothing about the first agent, so no other agent may act
// because of it.
func TestNoHandoverBeforeOwnerMayAct(t *testing.T) {
	names := owners("a", "b", "c")
	tab, _ := ReassignSlots(spec.Homes{}, names, startMillis)
	first, second, third := NewView(names[0]), NewView(names[1]), NewView(names[2])
	for _, h := range []*View{first, second, third} {
		h.Update(0, tab)
		h.ExtendLease(0, 0, tab.Epoch)
	}
	tab, _ = ReassignSlots(tab, names[1:], startMillis)
	second.Update(time.Second, tab)
	tab, _ = ReassignSlots(tab, names[2:], startMillis)
	second.Update(2*time.Second, tab)
	third.Update(2*time.Second, tab)
	third.ExtendLease(2*time.Second, 0, tab.Epoch)
	for _, g := range second.Handovers(2 * time.Second) {
		third.AcceptHandover(names[1], g.Epoch, g.Slots)
	}
	key := make([]byte, 8)
	for slot := range DefaultSlots {
		binary.BigEndian.PutUint64(key, uint64(slot))
		if first.CheckOwnership(2*time.Second, key, 1) == Owned && third.CheckOwnership(2*time.Second, key, tab.Epoch) == Owned {
			t.Fatalf("two owners of slot %d", slot)
		}
	}
}

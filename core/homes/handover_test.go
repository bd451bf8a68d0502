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
	// confirmed is the last time at which an entry confirmed the epoch at the
	// platform.
	confirmed time.Duration
	// views holds the view of every process that was ever started. stopped
	// marks the processes that have promised never to act again.
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

// draw returns the view of a random process.
func (c *cluster) draw(name string) *View {
	return c.views[rapid.IntRange(0, len(c.views)-1).Draw(c.t, name)]
}

// alive returns the newest incarnation of each agent that has not stopped. It
// may leave out one agent that an entry considers dead, rightly or wrongly.
func (c *cluster) alive() []spec.HomeOwner {
	newest := make(map[string]spec.HomeOwner)
	for _, v := range c.views {
		if v.self.Incarnation > newest[v.self.Name].Incarnation {
			newest[v.self.Name] = v.self
		}
		if c.stopped[v] && newest[v.self.Name] == v.self {
			delete(newest, v.self.Name)
		}
	}
	delete(newest, rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(c.t, "considered dead"))
	var out []spec.HomeOwner
	for _, o := range newest {
		out = append(out, o)
	}
	return out
}

// step advances the time and performs one random action.
func (c *cluster) step() {
	c.now += rapid.SampledFrom([]time.Duration{0, 0, 0, 200 * time.Millisecond, time.Second, 12 * time.Second}).Draw(c.t, "elapsed")
	switch rapid.IntRange(0, 7).Draw(c.t, "action") {
	case 0:
		c.confirmed = c.now
	case 1:
		c.table, _ = ReassignSlots(c.table, c.alive(), startMillis+c.now.Milliseconds())
		c.confirmed = c.now
	case 2, 3:
		c.draw("receiver of the table").Update(c.now, c.table)
	case 4:
		c.draw("lease holder").ExtendLease(c.now, c.now-c.confirmed, c.table.Epoch)
	case 5:
		v := c.draw("stopping agent")
		if !c.stopped[v] {
			c.stopped[v] = true
			c.views = append(c.views, NewView(spec.HomeOwner{Name: v.self.Name, Incarnation: v.self.Incarnation + 1}))
		}
	case 6:
		if v := c.draw("sender"); c.stopped[v] {
			for _, handover := range v.Handovers(c.now) {
				c.inTransit = append(c.inTransit, sentHandover{v.self, handover})
			}
		}
	case 7:
		if len(c.inTransit) > 0 {
			sent := c.inTransit[rapid.IntRange(0, len(c.inTransit)-1).Draw(c.t, "handover")]
			for _, v := range c.views {
				if v.self == sent.handover.To {
					v.AcceptHandover(sent.from, sent.handover.Epoch, sent.handover.Slots)
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
		c := &cluster{t: t, stopped: make(map[*View]bool)}
		for _, o := range owners("a", "b", "c") {
			c.views = append(c.views, NewView(o))
		}
		c.table, _ = ReassignSlots(c.table, owners("a", "b", "c"), startMillis)
		c.table.Slots = c.table.Slots[:6]
		key := make([]byte, 8)
		for range 300 {
			c.step()
			for slot := range c.table.Slots {
				binary.BigEndian.PutUint64(key, uint64(slot))
				n := 0
				for _, v := range c.views {
					if !c.stopped[v] && v.CheckOwnership(c.now, key, v.Table().Epoch) == Owned {
						n++
						if _, ok := v.receivedLostBefore[slot]; ok {
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
// successor, both with the new table, and that table. lostBefore is the value
// that all slots have before the change, in Unix milliseconds.
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

// An agent is stopped as planned and hands its records over. Its successor must
// act for the keys at once and consider no further records lost. When it hands
// the slots over in turn, it must pass on the LostBefore that it received.
func TestHandoverTakesEffectAtOnce(t *testing.T) {
	const lostBefore = startMillis - 1000
	old, successor, table := viewsBeforeHandover(lostBefore)
	key := make([]byte, 8)
	if successor.CheckOwnership(time.Second, key, table.Epoch) != NoLease || successor.LostBefore(key) <= startMillis {
		t.Fatal("acts before the records were received")
	}
	handovers := old.Handovers(time.Second)
	if len(handovers) != 1 || handovers[0].To != successor.self || len(handovers[0].Slots) != DefaultSlots/2 {
		t.Fatalf("%d handovers", len(handovers))
	}
	successor.AcceptHandover(old.self, handovers[0].Epoch, handovers[0].Slots)
	if successor.CheckOwnership(time.Second, key, table.Epoch) != Owned || successor.LostBefore(key) != lostBefore {
		t.Fatalf("ownership %d, LostBefore %d", successor.CheckOwnership(time.Second, key, table.Epoch), successor.LostBefore(key))
	}
	table.Epoch++
	successor.Update(time.Second, table)
	successor.ExtendLease(time.Second, 0, table.Epoch)
	if successor.CheckOwnership(time.Second, key, table.Epoch) != Owned || successor.LostBefore(key) != lostBefore {
		t.Fatal("a new epoch without a change of the slot undoes the handover")
	}
	third := owners("c")
	table, _ = ReassignSlots(table, third, startMillis+5000)
	successor.Update(2*time.Second, table)
	for _, s := range successor.Handovers(2 * time.Second)[0].Slots {
		if s.LostBefore != lostBefore {
			t.Fatalf("slot %d is handed over again with LostBefore %d", s.Slot, s.LostBefore)
		}
	}
}

// A handover comes from a process other than the table's previous owner, or
// belongs to another change of the table. It must not let any agent act.
func TestUnexpectedHandoversAreIgnored(t *testing.T) {
	old, successor, table := viewsBeforeHandover(0)
	handover := old.Handovers(time.Second)[0]
	successor.AcceptHandover(spec.HomeOwner{Name: "a", Incarnation: 2}, handover.Epoch, handover.Slots)
	successor.AcceptHandover(old.self, handover.Epoch+1, handover.Slots)
	successor.AcceptHandover(old.self, handover.Epoch, []SlotHandover{{Slot: -1}, {Slot: DefaultSlots}, {Slot: 1}})
	if key := make([]byte, 8); successor.CheckOwnership(time.Second, key, table.Epoch) != NoLease {
		t.Fatal("acts because of an unexpected handover")
	}
}

// The table must name previous owners only for a limited time. Otherwise it
// would grow with every restart until it exceeds the platform's size limit.
func TestTableForgetsPreviousOwners(t *testing.T) {
	table, _ := ReassignSlots(spec.Homes{}, owners("a", "b", "c"), startMillis)
	table, _ = ReassignSlots(table, owners("b", "c"), startMillis)
	if len(table.PreviousOwners) != 1 {
		t.Fatalf("previous owners %v", table.PreviousOwners)
	}
	later := startMillis + TakeoverDelay(DefaultLease).Milliseconds() + keepPreviousMillis + 1
	table, _ = ReassignSlots(table, owners("c"), later)
	if len(table.PreviousOwners) != 1 || table.PreviousOwners[0].Name != "b" {
		t.Fatalf("previous owners %v", table.PreviousOwners)
	}
}

// An agent is considered dead while it is only disconnected. The second agent,
// which took over its slots, is stopped before the lease of the first has
// expired. A handover from the second agent would not mean that the first has
// stopped, so no other agent may act because of it.
func TestNoHandoverBeforeOwnerMayAct(t *testing.T) {
	names := owners("a", "b", "c")
	table, _ := ReassignSlots(spec.Homes{}, names, startMillis)
	first, second, third := NewView(names[0]), NewView(names[1]), NewView(names[2])
	for _, v := range []*View{first, second, third} {
		v.Update(0, table)
		v.ExtendLease(0, 0, table.Epoch)
	}
	table, _ = ReassignSlots(table, names[1:], startMillis)
	second.Update(time.Second, table)
	table, _ = ReassignSlots(table, names[2:], startMillis)
	second.Update(2*time.Second, table)
	third.Update(2*time.Second, table)
	third.ExtendLease(2*time.Second, 0, table.Epoch)
	for _, handover := range second.Handovers(2 * time.Second) {
		third.AcceptHandover(names[1], handover.Epoch, handover.Slots)
	}
	key := make([]byte, 8)
	for slot := range DefaultSlots {
		binary.BigEndian.PutUint64(key, uint64(slot))
		if first.CheckOwnership(2*time.Second, key, 1) == Owned && third.CheckOwnership(2*time.Second, key, table.Epoch) == Owned {
			t.Fatalf("two owners of slot %d", slot)
		}
	}
}

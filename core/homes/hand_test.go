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
	// views holds a view for every process so far. stopped marks the processes
	// that have promised not to act again.
	views   []*Holder
	stopped map[*Holder]bool
	// inTransit holds the handovers that were sent. They may be lost, delayed
	// or delivered several times.
	inTransit []sentHandover
}

type sentHandover struct {
	from     spec.HomeOwner
	handover Gift
}

func (c *cluster) draw(name string) *Holder {
	return c.views[rapid.IntRange(0, len(c.views)-1).Draw(c.t, name)]
}

// alive returns the newest incarnation of each agent that has not stopped. It
// may leave out one agent, which an entry considers dead, rightly or wrongly.
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

func (c *cluster) step() {
	c.now += rapid.SampledFrom([]time.Duration{0, 0, 0, 200 * time.Millisecond, time.Second, 12 * time.Second}).Draw(c.t, "elapsed")
	switch rapid.IntRange(0, 7).Draw(c.t, "action") {
	case 0:
		c.confirmed = c.now
	case 1:
		c.table, _ = Takeover(c.table, c.alive(), startMillis+c.now.Milliseconds())
		c.confirmed = c.now
	case 2, 3:
		c.draw("receiver of the table").Learn(c.now, c.table)
	case 4:
		c.draw("lease holder").Confirm(c.now, c.now-c.confirmed, c.table.Epoch)
	case 5:
		v := c.draw("stopping agent")
		if !c.stopped[v] {
			c.stopped[v] = true
			c.views = append(c.views, NewHolder(spec.HomeOwner{Name: v.self.Name, Incarnation: v.self.Incarnation + 1}))
		}
	case 6:
		if v := c.draw("sender"); c.stopped[v] {
			for _, handover := range v.Gifts(c.now) {
				c.inTransit = append(c.inTransit, sentHandover{v.self, handover})
			}
		}
	case 7:
		if len(c.inTransit) > 0 {
			sent := c.inTransit[rapid.IntRange(0, len(c.inTransit)-1).Draw(c.t, "handover")]
			for _, v := range c.views {
				if v.self == sent.handover.To {
					v.Receive(sent.from, sent.handover.Took, sent.handover.Shares)
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
		c := &cluster{t: t, stopped: make(map[*Holder]bool)}
		for _, o := range owners("a", "b", "c") {
			c.views = append(c.views, NewHolder(o))
		}
		c.table, _ = Takeover(c.table, owners("a", "b", "c"), startMillis)
		c.table.Slots = c.table.Slots[:6]
		key := make([]byte, 8)
		for range 300 {
			c.step()
			for slot := range c.table.Slots {
				binary.BigEndian.PutUint64(key, uint64(slot))
				n := 0
				for _, v := range c.views {
					if !c.stopped[v] && v.Owns(c.now, key, v.Table().Epoch) == Owned {
						n++
						if _, ok := v.receivedSince[slot]; ok {
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
func viewsBeforeHandover(since int64) (old, successor *Holder, table spec.Homes) {
	names := owners("a", "b")
	table, _ = Takeover(spec.Homes{}, names, startMillis)
	for i := range table.Slots {
		table.Slots[i].Since = since
	}
	old, successor = NewHolder(names[0]), NewHolder(names[1])
	old.Learn(0, table)
	successor.Learn(0, table)
	table, _ = Takeover(table, names[1:], startMillis)
	old.Learn(time.Second, table)
	successor.Learn(time.Second, table)
	successor.Confirm(time.Second, 0, table.Epoch)
	return old, successor, table
}

// An agent is stopped as planned. Its successor must serve the keys at once and
// have all records. When the slot is handed over again, the Since of the first
// handover must be passed on.
func TestHandoverTakesEffectAtOnce(t *testing.T) {
	const since = startMillis - 1000
	old, successor, table := viewsBeforeHandover(since)
	key := make([]byte, 8)
	if successor.Owns(time.Second, key, table.Epoch) != NoLease || successor.Since(key) <= startMillis {
		t.Fatal("acts before the records were received")
	}
	handovers := old.Gifts(time.Second)
	if len(handovers) != 1 || handovers[0].To != successor.self || len(handovers[0].Shares) != Slots/2 {
		t.Fatalf("%d handovers", len(handovers))
	}
	successor.Receive(old.self, handovers[0].Took, handovers[0].Shares)
	if successor.Owns(time.Second, key, table.Epoch) != Owned || successor.Since(key) != since {
		t.Fatalf("owns %d, since %d", successor.Owns(time.Second, key, table.Epoch), successor.Since(key))
	}
	table.Epoch++
	successor.Learn(time.Second, table)
	successor.Confirm(time.Second, 0, table.Epoch)
	if successor.Owns(time.Second, key, table.Epoch) != Owned || successor.Since(key) != since {
		t.Fatal("a new epoch without a change of the slot undoes the handover")
	}
	third := owners("c")
	table, _ = Takeover(table, third, startMillis+5000)
	successor.Learn(2*time.Second, table)
	for _, s := range successor.Gifts(2 * time.Second)[0].Shares {
		if s.Since != since {
			t.Fatalf("slot %d is handed over again with since %d", s.Slot, s.Since)
		}
	}
}

// A handover comes from a process other than the table's previous owner, or
// belongs to another change of the table. It must not let any agent act.
func TestUnexpectedHandoversAreIgnored(t *testing.T) {
	old, successor, table := viewsBeforeHandover(0)
	handover := old.Gifts(time.Second)[0]
	successor.Receive(spec.HomeOwner{Name: "a", Incarnation: 2}, handover.Took, handover.Shares)
	successor.Receive(old.self, handover.Took+1, handover.Shares)
	successor.Receive(old.self, handover.Took, []Share{{Slot: -1}, {Slot: Slots}, {Slot: 1}})
	if key := make([]byte, 8); successor.Owns(time.Second, key, table.Epoch) != NoLease {
		t.Fatal("acts because of an unexpected handover")
	}
}

// The table must name previous owners only for a limited time. Otherwise it
// would grow with every restart until it exceeds the platform's size limit.
func TestTableForgetsPreviousOwners(t *testing.T) {
	table, _ := Takeover(spec.Homes{}, owners("a", "b", "c"), startMillis)
	table, _ = Takeover(table, owners("b", "c"), startMillis)
	if len(table.Left) != 1 {
		t.Fatalf("previous owners %v", table.Left)
	}
	later := startMillis + Margin(DefaultLease).Milliseconds() + keepPreviousMillis + 1
	table, _ = Takeover(table, owners("c"), later)
	if len(table.Left) != 1 || table.Left[0].Name != "b" {
		t.Fatalf("previous owners %v", table.Left)
	}
}

// An agent is considered dead while it is only disconnected. The agent that
// took over its slots is stopped before the lease of the first one has expired.
// Its handover says nothing about the first agent, so no other agent may act
// because of it.
func TestNoHandoverBeforeOwnerMayAct(t *testing.T) {
	names := owners("a", "b", "c")
	table, _ := Takeover(spec.Homes{}, names, startMillis)
	first, second, third := NewHolder(names[0]), NewHolder(names[1]), NewHolder(names[2])
	for _, v := range []*Holder{first, second, third} {
		v.Learn(0, table)
		v.Confirm(0, 0, table.Epoch)
	}
	table, _ = Takeover(table, names[1:], startMillis)
	second.Learn(time.Second, table)
	table, _ = Takeover(table, names[2:], startMillis)
	second.Learn(2*time.Second, table)
	third.Learn(2*time.Second, table)
	third.Confirm(2*time.Second, 0, table.Epoch)
	for _, g := range second.Gifts(2 * time.Second) {
		third.Receive(names[1], g.Took, g.Shares)
	}
	key := make([]byte, 8)
	for slot := range Slots {
		binary.BigEndian.PutUint64(key, uint64(slot))
		if first.Owns(2*time.Second, key, 1) == Owned && third.Owns(2*time.Second, key, table.Epoch) == Owned {
			t.Fatalf("two owners of slot %d", slot)
		}
	}
}

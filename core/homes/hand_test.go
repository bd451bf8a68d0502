package homes

import (
	"encoding/binary"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheepond/core/spec"
)

// site is a few agents around one table, with clocks that agree.
type site struct {
	t   *rapid.T
	tab spec.Homes
	now time.Duration
	// confirmed is when an entry last saw the epoch at the platform.
	confirmed time.Duration
	// here are the processes of all agents so far; left marks those that gave
	// their word.
	here []*Holder
	left map[*Holder]bool
	// mail are handovers under way: late, lost or doubled.
	mail []letter
}

type letter struct {
	from spec.HomeOwner
	gift Gift
}

func (s *site) pick(name string) *Holder {
	return s.here[rapid.IntRange(0, len(s.here)-1).Draw(s.t, name)]
}

// alive returns the newest incarnation of each agent, without one that an entry
// takes for dead, rightly or not.
func (s *site) alive() []spec.HomeOwner {
	newest := make(map[string]spec.HomeOwner)
	for _, h := range s.here {
		if h.self.Incarnation > newest[h.self.Name].Incarnation {
			newest[h.self.Name] = h.self
		}
		if s.left[h] && newest[h.self.Name] == h.self {
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

func (s *site) step() {
	s.now += rapid.SampledFrom([]time.Duration{0, 0, 0, 200 * time.Millisecond, time.Second, 12 * time.Second}).Draw(s.t, "later")
	switch rapid.IntRange(0, 7).Draw(s.t, "what") {
	case 0:
		s.confirmed = s.now
	case 1:
		s.tab, _ = Takeover(s.tab, s.alive(), wall+s.now.Milliseconds())
		s.confirmed = s.now
	case 2, 3:
		s.pick("learner").Learn(s.now, s.tab)
	case 4:
		s.pick("asker").Confirm(s.now, s.now-s.confirmed, s.tab.Epoch)
	case 5:
		h := s.pick("leaver")
		if !s.left[h] {
			s.left[h] = true
			s.here = append(s.here, NewHolder(spec.HomeOwner{Name: h.self.Name, Incarnation: h.self.Incarnation + 1}))
		}
	case 6:
		if h := s.pick("giver"); s.left[h] {
			for _, g := range h.Gifts(s.now) {
				s.mail = append(s.mail, letter{h.self, g})
			}
		}
	case 7:
		if len(s.mail) > 0 {
			l := s.mail[rapid.IntRange(0, len(s.mail)-1).Draw(s.t, "letter")]
			for _, h := range s.here {
				if h.self == l.gift.To {
					h.Receive(l.from, l.gift.Took, l.gift.Shares)
				}
			}
		}
	}
}

// Agents are restarted as planned, taken for dead while they live, and paused;
// handovers are lost, late and repeated. If two agents acted for one slot at
// the same moment, a submission could run twice.
func TestNeverTwoOwnersWithHandovers(t *testing.T) {
	handed := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &site{t: t, left: make(map[*Holder]bool)}
		for _, o := range owners("a", "b", "c") {
			s.here = append(s.here, NewHolder(o))
		}
		s.tab, _ = Takeover(s.tab, owners("a", "b", "c"), wall)
		s.tab.Slots = s.tab.Slots[:6]
		key := make([]byte, 8)
		for range 300 {
			s.step()
			for slot := range s.tab.Slots {
				binary.BigEndian.PutUint64(key, uint64(slot))
				n := 0
				for _, h := range s.here {
					if !s.left[h] && h.Owns(s.now, key, h.Table().Epoch) == Owned {
						n++
						if _, ok := h.since[slot]; ok {
							handed++
						}
					}
				}
				if n > 1 {
					t.Fatalf("%d owners of slot %d", n, slot)
				}
			}
		}
	})
	t.Logf("%d looks at an owner that acts on a handover", handed)
	if handed == 0 {
		t.Error("no history had an owner that acts on a handover")
	}
}

// handOver returns the holders of an agent that leaves and of the one that
// takes its slots over, both with the new table.
func handOver(since int64) (old, next *Holder, tab spec.Homes) {
	names := owners("a", "b")
	tab, _ = Takeover(spec.Homes{}, names, wall)
	for i := range tab.Slots {
		tab.Slots[i].LostBefore = since
	}
	old, next = NewHolder(names[0]), NewHolder(names[1])
	old.Learn(0, tab)
	next.Learn(0, tab)
	tab, _ = Takeover(tab, names[1:], wall)
	old.Learn(time.Second, tab)
	next.Learn(time.Second, tab)
	next.Confirm(time.Second, 0, tab.Epoch)
	return old, next, tab
}

// An agent is stopped as planned. Its successor serves the keys at once and
// knows of every record; a slot handed over again keeps what was known.
func TestReceivedSlotsBeginAtOnce(t *testing.T) {
	const since = wall - 1000
	old, next, tab := handOver(since)
	key := make([]byte, 8)
	if next.Owns(time.Second, key, tab.Epoch) != NoLease || next.Since(key) <= wall {
		t.Fatal("acts before the records have come")
	}
	gifts := old.Gifts(time.Second)
	if len(gifts) != 1 || gifts[0].To != next.self || len(gifts[0].Shares) != Slots/2 {
		t.Fatalf("%d gifts", len(gifts))
	}
	next.Receive(old.self, gifts[0].Took, gifts[0].Shares)
	if next.Owns(time.Second, key, tab.Epoch) != Owned || next.Since(key) != since {
		t.Fatalf("owns %d, since %d", next.Owns(time.Second, key, tab.Epoch), next.Since(key))
	}
	tab.Epoch++
	next.Learn(time.Second, tab)
	next.Confirm(time.Second, 0, tab.Epoch)
	if next.Owns(time.Second, key, tab.Epoch) != Owned || next.Since(key) != since {
		t.Fatal("a change elsewhere in the table undoes the handover")
	}
	third := owners("c")
	tab, _ = Takeover(tab, third, wall+5000)
	next.Learn(2*time.Second, tab)
	for _, s := range next.Gifts(2 * time.Second)[0].Shares {
		if s.Since != since {
			t.Fatalf("slot %d is handed on with since %d", s.Slot, s.Since)
		}
	}
}

// A handover comes from another process than the table names, or is about
// another change of the table. It must not let anybody act.
func TestStrangeHandoversAreIgnored(t *testing.T) {
	old, next, tab := handOver(0)
	g := old.Gifts(time.Second)[0]
	next.Receive(spec.HomeOwner{Name: "a", Incarnation: 2}, g.Took, g.Shares)
	next.Receive(old.self, g.Took+1, g.Shares)
	next.Receive(old.self, g.Took, []Share{{Slot: -1}, {Slot: Slots}, {Slot: 1}})
	if key := make([]byte, 8); next.Owns(time.Second, key, tab.Epoch) != NoLease {
		t.Fatal("acts on a strange handover")
	}
}

// The table names the owners before only for a while, else it would grow with
// every restart until the platform takes it no more.
func TestTableForgetsWhoLeft(t *testing.T) {
	tab, _ := Takeover(spec.Homes{}, owners("a", "b", "c"), wall)
	tab, _ = Takeover(tab, owners("b", "c"), wall)
	if len(tab.FormerOwners) != 1 {
		t.Fatalf("left %v", tab.FormerOwners)
	}
	later := wall + Margin(DefaultLease).Milliseconds() + keepLeft + 1
	tab, _ = Takeover(tab, owners("c"), later)
	if len(tab.FormerOwners) != 1 || tab.FormerOwners[0].Name != "b" {
		t.Fatalf("left %v", tab.FormerOwners)
	}
}

// An agent is taken for dead while it is only cut off, and the one that took
// its slots over is stopped before the lease of the first has run out. Its word
// says nothing of the first, so nobody may begin on it.
func TestNoHandoverBeforeTheGiverBegan(t *testing.T) {
	names := owners("a", "b", "c")
	tab, _ := Takeover(spec.Homes{}, names, wall)
	first, second, third := NewHolder(names[0]), NewHolder(names[1]), NewHolder(names[2])
	for _, h := range []*Holder{first, second, third} {
		h.Learn(0, tab)
		h.Confirm(0, 0, tab.Epoch)
	}
	tab, _ = Takeover(tab, names[1:], wall)
	second.Learn(time.Second, tab)
	tab, _ = Takeover(tab, names[2:], wall)
	second.Learn(2*time.Second, tab)
	third.Learn(2*time.Second, tab)
	third.Confirm(2*time.Second, 0, tab.Epoch)
	for _, g := range second.Gifts(2 * time.Second) {
		third.Receive(names[1], g.Took, g.Shares)
	}
	key := make([]byte, 8)
	for slot := range Slots {
		binary.BigEndian.PutUint64(key, uint64(slot))
		if first.Owns(2*time.Second, key, 1) == Owned && third.Owns(2*time.Second, key, tab.Epoch) == Owned {
			t.Fatalf("two owners of slot %d", slot)
		}
	}
}

package mesh

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/relay"
	"lycheepond/core/wire"
)

// fleet starts entries in availability zones, more than tell each other all
// themselves.
func fleet(t *testing.T, zones, each int) []*entry {
	t.Helper()
	var all []*entry
	for z := range zones {
		for i := range each {
			var seeds []string
			if len(all) > 0 {
				seeds = []string{all[0].addr}
			}
			all = append(all, startIn(t, fmt.Sprint("z", z), fmt.Sprintf("e%d%d", z, i), seeds...))
		}
	}
	return all
}

func (e *entry) name() string { return e.mesh.cfg.Self.Name }

// links counts those that an entry keeps.
func (e *entry) links() int {
	e.mesh.mu.Lock()
	defer e.mesh.mu.Unlock()
	return len(e.mesh.dials)
}

func awaitAll(t *testing.T, what string, all []*entry, f func(e *entry) bool) {
	t.Helper()
	for _, e := range all {
		await(t, what+" at "+e.name(), func() bool { return f(e) })
	}
}

func awaitTotals(t *testing.T, what string, all []*entry, total func(i int) float64) {
	t.Helper()
	for i, of := range all {
		for _, e := range all {
			if e != of {
				await(t, fmt.Sprintf("%s of %s at %s", what, of.name(), e.name()), func() bool { return e.knows(of.name(), total(i)) })
			}
		}
	}
}

// settled starts a fleet in which every entry has told a total of its number, all
// know those of all, and none keeps more links than most.
func settled(t *testing.T, zones, each, most int) []*entry {
	t.Helper()
	all := fleet(t, zones, each)
	for i, e := range all {
		e.use(float64(i + 1))
	}
	awaitTotals(t, "the first total", all, func(i int) float64 { return float64(i + 1) })
	awaitAll(t, "few links", all, func(e *entry) bool { return e.links() <= most })
	return all
}

// awaitNext lets all entries of a settled fleet tell more.
func awaitNext(t *testing.T, all []*entry) {
	t.Helper()
	for _, e := range all {
		e.use(100)
	}
	awaitTotals(t, "the next total", all, func(i int) float64 { return float64(i + 101) })
}

// A fleet of twelve tells through one hub in each zone. Each entry must come to
// know what each other one did, with few links.
func TestManyEntriesHearOfAllThroughHubs(t *testing.T) {
	t.Parallel()
	all := settled(t, 3, 4, 5)
	awaitNext(t, all)
	for _, e := range all {
		if heard, known := e.mesh.Reach(); heard != 12 || known != 12 {
			t.Errorf("%s hears %d of %d", e.name(), heard, known)
		}
	}
}

// Twenty entries in one zone are more than one hub passes everything on to. They
// tell through the hubs of two groups, and each still hears all.
func TestZoneOfSeveralGroups(t *testing.T) {
	t.Parallel()
	all := settled(t, 1, 20, 18)
	awaitNext(t, all)
}

// The hub of a zone dies. What its zone did since must reach everybody by
// another way, and its zone must hear the rest: otherwise limits of customers
// are given out twice.
func TestHubDies(t *testing.T) {
	t.Parallel()
	all := settled(t, 3, 4, 5)
	all[4].stop()
	rest := append(append([]*entry(nil), all[:4]...), all[5:]...)
	began := time.Now()
	for _, e := range rest {
		e.use(1000)
	}
	awaitTotals(t, "the total after the death", rest, func(i int) float64 {
		if i >= 4 {
			i++
		}
		return float64(i + 1001)
	})
	t.Logf("all hear all again after %v", time.Since(began))
	awaitAll(t, "the loss of the hub", rest, func(e *entry) bool {
		heard, known := e.mesh.Reach()
		return heard == 11 && known == 12
	})
}

// receiver is a mesh that hears without links, and what it took in.
func receiver() (*Mesh, *[]Heard) {
	var heard []Heard
	m := New(Config{
		Self: wire.Hello{Name: "me", Zone: "z"}, Log: zap.NewNop(),
		Heard: func(h Heard) { heard = append(heard, h) }, Lost: func(string) {},
	})
	return m, &heard
}

func (m *Mesh) lacking() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lacks()
}

// A hub changes while tallies are under way, so one is lost or comes twice. One
// that was heard must not count again, and one that was not must be asked for:
// what it told would stay unknown for ever.
func TestLostAndRepeatedTallies(t *testing.T) {
	m, heard := receiver()
	from := origin{"other", "z2", 7}
	tell := func(seq uint64, whole bool) { m.take(from, relay.Between, &wire.Tally{Seq: seq, Full: whole}, nil) }
	tell(3, true)
	tell(4, false)
	tell(4, false)
	tell(3, true)
	if len(*heard) != 2 || !(*heard)[0].Anew || (*heard)[1].Anew {
		t.Fatalf("took in %+v, want tally 3 of a new process and tally 4", *heard)
	}
	if l := m.lacking(); len(l) != 0 {
		t.Errorf("lacks %v though nothing is missing", l)
	}
	tell(6, false)
	if l := m.lacking(); len(l) != 1 {
		t.Error("tally 5 is missing and nobody is told")
	}
	tell(7, false)
	if l := m.lacking(); len(l) != 1 {
		t.Error("tally 5 is forgotten after another one")
	}
	tell(7, true)
	if l := m.lacking(); len(l) != 0 {
		t.Error("a whole tally does not fill the gap")
	}
	tell(8, false)
	if l := m.lacking(); len(l) != 0 {
		t.Error("a gap where there is none")
	}
}

// A process ends and another one starts under its name. A tally of the first one
// comes late by way of a hub; taken for the new one's, its totals would be
// counted as new use.
func TestTallyOfAnEndedProcess(t *testing.T) {
	m, heard := receiver()
	m.take(origin{"other", "z2", 7}, relay.Between, &wire.Tally{Seq: 3, Full: true}, nil)
	m.take(origin{"other", "z2", 8}, relay.Direct, &wire.Tally{Seq: 1, Full: true}, nil)
	m.take(origin{"other", "z2", 7}, relay.Between, &wire.Tally{Seq: 4}, nil)
	if len(*heard) != 2 || !(*heard)[1].Anew {
		t.Errorf("took in %+v, want one tally of each process", *heard)
	}
}

// A frozen entry wakes. Meanwhile it counted as gone and what it had in flight
// was forgotten; its next tally holds what changed only.
func TestPeerHeardAgainMustTellEverything(t *testing.T) {
	m, _ := receiver()
	from := origin{"other", "z", 7}
	m.take(from, relay.Direct, &wire.Tally{Seq: 1, Full: true}, nil)
	m.take(from, relay.Direct, &wire.Tally{Seq: 2}, nil)
	m.peers["other"].heard = time.Now().Add(-2 * heardTimes * tellAtLeast)
	m.expire()
	m.take(from, relay.Direct, &wire.Tally{Seq: 3}, nil)
	if l := m.lacking(); len(l) != 1 {
		t.Error("what it has in flight since before stays unknown")
	}
	m.take(from, relay.Direct, &wire.Tally{Seq: 3, Full: true}, nil)
	if l := m.lacking(); len(l) != 0 {
		t.Errorf("lacks %v though everything was told", l)
	}
}

// A hub passes on a change of an entry that this one has never heard of, because
// it has just become the hub. The change alone is of no use; unless the other
// entry is asked for everything, it stays unknown.
func TestChangeOfAnUnknownEntryIsAskedFor(t *testing.T) {
	m, heard := receiver()
	m.take(origin{"other", "z2", 7}, relay.Between, &wire.Tally{Seq: 5, MissingFrom: []string{"me"}}, nil)
	if len(*heard) != 0 {
		t.Errorf("took in %+v of a process that it does not know", *heard)
	}
	if l := m.lacking(); len(l) != 1 || l[0] != "other" {
		t.Errorf("lacks %v, want the unknown entry", l)
	}
	if m.peers["other"].lacksUs.IsZero() {
		t.Error("does not notice that the other one lacks it")
	}
}

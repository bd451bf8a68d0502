package mesh

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/relay"
	"lycheepond/core/wire"
)

// startFleet starts perZone entries in each of several availability zones, too many
// for all to send tallies to all.
func startFleet(t *testing.T, zones, perZone int) []*entry {
	t.Helper()
	var all []*entry
	for z := range zones {
		for i := range perZone {
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

// links counts the links that an entry dials.
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
	for i, sender := range all {
		for _, receiver := range all {
			if receiver != sender {
				await(t, fmt.Sprintf("%s of %s at %s", what, sender.name(), receiver.name()), func() bool { return receiver.hasTotal(sender.name(), total(i)) })
			}
		}
	}
}

// startSettledFleet starts a fleet and waits until every entry has received the
// total of every other one, which is its number, and none keeps more than maxLinks
// links.
func startSettledFleet(t *testing.T, zones, perZone, maxLinks int) []*entry {
	t.Helper()
	all := startFleet(t, zones, perZone)
	for i, e := range all {
		e.use(float64(i + 1))
	}
	awaitTotals(t, "the first total", all, func(i int) float64 { return float64(i + 1) })
	awaitAll(t, "few links", all, func(e *entry) bool { return e.links() <= maxLinks })
	return all
}

// awaitNextTotals raises the totals of all entries and waits until every other entry
// has received them.
func awaitNextTotals(t *testing.T, all []*entry) {
	t.Helper()
	for _, e := range all {
		e.use(100)
	}
	awaitTotals(t, "the next total", all, func(i int) float64 { return float64(i + 101) })
}

// A fleet of twelve entries exchanges tallies through one hub in each zone. Each
// entry must receive the totals of all others over few links.
func TestManyEntriesHearOfAllThroughHubs(t *testing.T) {
	t.Parallel()
	all := startSettledFleet(t, 3, 4, 5)
	awaitNextTotals(t, all)
	for _, e := range all {
		if reachable, known := e.mesh.EntryCounts(); reachable != 12 || known != 12 {
			t.Errorf("%s reaches %d of %d entries", e.name(), reachable, known)
		}
	}
}

// One hub cannot relay everything to twenty entries in one zone. They form two
// groups with a hub each, and each entry must still receive all totals.
func TestZoneOfSeveralGroups(t *testing.T) {
	t.Parallel()
	all := startSettledFleet(t, 1, 20, 18)
	awaitNextTotals(t, all)
}

// The hub of a zone dies. The totals of its zone must still reach all other entries,
// and theirs must reach the zone. Otherwise customers' limits are granted twice.
func TestHubDies(t *testing.T) {
	t.Parallel()
	all := startSettledFleet(t, 3, 4, 5)
	all[4].stop()
	survivors := append(append([]*entry(nil), all[:4]...), all[5:]...)
	began := time.Now()
	for _, e := range survivors {
		e.use(1000)
	}
	awaitTotals(t, "the total after the death", survivors, func(i int) float64 {
		if i >= 4 {
			i++
		}
		return float64(i + 1001)
	})
	t.Logf("all totals have arrived again after %v", time.Since(began))
	awaitAll(t, "the loss of the hub", survivors, func(e *entry) bool {
		reachable, known := e.mesh.EntryCounts()
		return reachable == 11 && known == 12
	})
}

// receiver returns a mesh without links and the list of tallies that it passes on
// to its callback.
func receiver() (*Mesh, *[]PeerTally) {
	var tallies []PeerTally
	m := New(Config{
		Self: wire.Hello{Name: "me", Zone: "z"}, Log: zap.NewNop(),
		OnTally: func(received PeerTally) { tallies = append(tallies, received) }, OnPeerLost: func(string) {},
	})
	return m, &tallies
}

func (m *Mesh) gapsNow() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entriesWithGaps()
}

// While a hub changes, a tally may be lost or arrive twice. A duplicate must not
// count again. A lost one must be requested, otherwise its content stays unknown
// for ever.
func TestLostAndDuplicateTallies(t *testing.T) {
	m, tallies := receiver()
	from := origin{"other", "z2", 7}
	receive := func(seq uint64, full bool) {
		m.handleTally(from, relay.OtherHub, &wire.Tally{Seq: seq, Full: full}, nil)
	}
	receive(3, true)
	receive(4, false)
	receive(4, false)
	receive(3, true)
	if len(*tallies) != 2 || !(*tallies)[0].NewProcess || (*tallies)[1].NewProcess {
		t.Fatalf("accepted %+v, want tally 3 of a new process and tally 4", *tallies)
	}
	if l := m.gapsNow(); len(l) != 0 {
		t.Errorf("lacks %v though nothing is missing", l)
	}
	receive(6, false)
	if l := m.gapsNow(); len(l) != 1 {
		t.Error("tally 5 is missing and not requested")
	}
	receive(7, false)
	if l := m.gapsNow(); len(l) != 1 {
		t.Error("the missing tally 5 is forgotten after the next one")
	}
	receive(7, true)
	if l := m.gapsNow(); len(l) != 0 {
		t.Error("a full tally does not fill the gap")
	}
	receive(8, false)
	if l := m.gapsNow(); len(l) != 0 {
		t.Error("reports a gap where there is none")
	}
}

// A process ends and another one starts under its name. Then a late tally of the
// first process arrives through a hub. If it were attributed to the new process,
// its totals would count as new usage.
func TestTallyOfAnEndedProcess(t *testing.T) {
	m, tallies := receiver()
	m.handleTally(origin{"other", "z2", 7}, relay.OtherHub, &wire.Tally{Seq: 3, Full: true}, nil)
	m.handleTally(origin{"other", "z2", 8}, relay.Direct, &wire.Tally{Seq: 1, Full: true}, nil)
	m.handleTally(origin{"other", "z2", 7}, relay.OtherHub, &wire.Tally{Seq: 4}, nil)
	if len(*tallies) != 2 || !(*tallies)[1].NewProcess {
		t.Errorf("accepted %+v, want one tally of each process", *tallies)
	}
}

// An entry resumes after a pause during which it counted as lost and its requests
// in flight were forgotten. Its next tally holds only changes, so a full tally must
// be requested.
func TestReturningPeerMustSendAFullTally(t *testing.T) {
	m, _ := receiver()
	from := origin{"other", "z", 7}
	m.handleTally(from, relay.Direct, &wire.Tally{Seq: 1, Full: true}, nil)
	m.handleTally(from, relay.Direct, &wire.Tally{Seq: 2}, nil)
	m.peers["other"].tallyAt = time.Now().Add(-2 * silentIntervals * maxTallyInterval)
	m.expireSilentPeers()
	m.handleTally(from, relay.Direct, &wire.Tally{Seq: 3}, nil)
	if l := m.gapsNow(); len(l) != 1 {
		t.Error("the requests that it had in flight before stay unknown")
	}
	m.handleTally(from, relay.Direct, &wire.Tally{Seq: 3, Full: true}, nil)
	if l := m.gapsNow(); len(l) != 0 {
		t.Errorf("lacks %v after a full tally", l)
	}
}

// A new hub relays a change of an entry that this one doesn't know. The change alone
// is useless, and unless a full tally is requested the entry stays unknown.
func TestFullTallyOfAnUnknownEntryIsRequested(t *testing.T) {
	m, tallies := receiver()
	m.handleTally(origin{"other", "z2", 7}, relay.OtherHub, &wire.Tally{Seq: 5, MissingFrom: []string{"me"}}, nil)
	if len(*tallies) != 0 {
		t.Errorf("accepted %+v of a process that it does not know", *tallies)
	}
	if l := m.gapsNow(); len(l) != 1 || l[0] != "other" {
		t.Errorf("lacks %v, want the unknown entry", l)
	}
	if m.peers["other"].gapReportedAt.IsZero() {
		t.Error("does not record that the other entry lacks it")
	}
}

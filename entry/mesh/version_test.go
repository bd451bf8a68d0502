package mesh

import (
	"fmt"
	"testing"
	"time"

	"lycheepond/core/relay"
	"lycheepond/core/wire"
)

// A fleet of three hundred starts while three thousand endpoints do, and the list
// of them, 240 KB, changes all the time. Sent to each peer that lags behind as
// soon as it does, it fills the hubs' links, and callers' requests wait behind it.
func TestLargeListsAreSentAtABoundedRate(t *testing.T) {
	m := New(Config{Self: wire.Hello{Name: "e1"}})
	if got := m.extra(wire.SnapshotRoster, 7); got != 0 {
		t.Errorf("waits %v for a list that it has not seen", got)
	}
	m.versions[wire.SnapshotRoster] = &wire.Snapshot{Body: make([]byte, 5<<10)}
	if got := m.extra(wire.SnapshotRoster, 7); got > 30*time.Millisecond {
		t.Errorf("waits %v for the list of a small fleet", got)
	}
	m.versions[wire.SnapshotRoster] = &wire.Snapshot{Body: make([]byte, 240<<10)}
	if got := m.extra(wire.SnapshotRoster, 7); got < time.Second || got > longestExtra {
		t.Errorf("waits %v for 240 KB, want more than the entry's own call takes and at most %v", got, longestExtra)
	}
	if got := m.extra(wire.SnapshotRoster, 0); got > startExtra {
		t.Errorf("a peer without a list waits %v", got)
	}
}

// Twenty entries start and all are linked to each other until they hear each
// other by way of hubs. Each has a list that one of them still lacks. The hubs
// send theirs first, so that it does not get twenty.
func TestStrangersPassVersionsOnLater(t *testing.T) {
	entry := func(i int) relay.Entry {
		return relay.Entry{Name: fmt.Sprintf("e%02d", i), Zone: fmt.Sprint("z", i%4)}
	}
	early, first, soon := 0, 0, 0
	for i := range 20 {
		if i == 19 {
			continue
		}
		m := New(Config{Self: wire.Hello{Name: entry(i).Name, Zone: entry(i).Zone}})
		for j := range 20 {
			if j != i {
				*m.peer(entry(j).Name) = peer{zone: entry(j).Zone, reached: true, heard: time.Now(), config: 7, roster: 7}
			}
		}
		m.replan()
		late := m.peer(entry(19).Name)
		late.config, late.roster = 3, 3
		if m.turn(entry(19).Name, late, 7, 7) < m.turnTime() {
			early++
		}
		late.config, late.roster = 0, 0
		switch wait := m.turn(entry(19).Name, late, 7, 7); {
		case wait < startExtra:
			first++
		case wait < time.Second:
			soon++
		}
	}
	if early != 1 {
		t.Errorf("%d entries send to one that lags behind at once, want one", early)
	}
	if first != 1 || soon == 0 || soon > 6 {
		t.Errorf("%d entries send to one that has just started at once and %d within a second, want one and a few", first, soon)
	}
}

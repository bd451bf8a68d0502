package mesh

import (
	"fmt"
	"testing"
	"time"

	"lycheepond/core/relay"
	"lycheepond/core/wire"
)

// A fleet of 300 entries starts while 3,000 endpoints do, and the list of
// endpoints, 240 KB, changes all the time. If it were sent to each peer as soon as
// its revision is stale, it would fill the hubs' links and callers' requests would
// wait behind it.
func TestLargeSnapshotsAreSentAtABoundedRate(t *testing.T) {
	m := New(Config{Self: wire.Hello{Name: "e1"}})
	if got := m.transferTime(wire.SnapshotRoster, 7); got != 0 {
		t.Errorf("waits %v for a list that was never encoded", got)
	}
	m.snapshots[wire.SnapshotRoster] = &wire.Snapshot{Body: make([]byte, 5<<10)}
	if got := m.transferTime(wire.SnapshotRoster, 7); got > 30*time.Millisecond {
		t.Errorf("waits %v for the list of a small fleet", got)
	}
	m.snapshots[wire.SnapshotRoster] = &wire.Snapshot{Body: make([]byte, 240<<10)}
	if got := m.transferTime(wire.SnapshotRoster, 7); got < time.Second || got > maxTransferTime {
		t.Errorf("waits %v for 240 KB, want longer than the peer's own call to the platform takes and at most %v", got, maxTransferTime)
	}
	if got := m.transferTime(wire.SnapshotRoster, 0); got > startDelay {
		t.Errorf("a peer without a list waits %v", got)
	}
}

// Twenty entries start, and all are linked to each other until they receive each
// other's tallies through hubs. One of them still lacks the list that all others
// have. The hubs must send theirs first, so that it doesn't receive it twenty
// times.
func TestExtraLinksSendSnapshotsLater(t *testing.T) {
	entry := func(i int) relay.Entry {
		return relay.Entry{Name: fmt.Sprintf("e%02d", i), Zone: fmt.Sprint("z", i%4)}
	}
	sendAtOnce, startAtOnce, startWithinSecond := 0, 0, 0
	for i := range 20 {
		if i == 19 {
			continue
		}
		m := New(Config{Self: wire.Hello{Name: entry(i).Name, Zone: entry(i).Zone}})
		for j := range 20 {
			if j != i {
				*m.peer(entry(j).Name) = peer{zone: entry(j).Zone, isReachable: true, tallyAt: time.Now(), config: 7, roster: 7}
			}
		}
		m.replan()
		stale := m.peer(entry(19).Name)
		stale.config, stale.roster = 3, 3
		if m.snapshotWait(entry(19).Name, stale, 7, 0, 7) < m.turnDuration() {
			sendAtOnce++
		}
		stale.config, stale.roster = 0, 0
		switch wait := m.snapshotWait(entry(19).Name, stale, 7, 0, 7); {
		case wait < startDelay:
			startAtOnce++
		case wait < time.Second:
			startWithinSecond++
		}
	}
	if sendAtOnce != 1 {
		t.Errorf("%d entries send at once to one with a stale revision, want one", sendAtOnce)
	}
	if startAtOnce != 1 || startWithinSecond == 0 || startWithinSecond > 6 {
		t.Errorf("%d entries send to one that has just started at once and %d within a second, want one and a few", startAtOnce, startWithinSecond)
	}
}

package mesh

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/wire"
)

// entry is one mesh with the state that it sends and has received.
type entry struct {
	mesh *Mesh
	addr string
	stop func()
	// held is the ID of the latest PlaceHold.
	held atomic.Uint64
	// asked is the latest PlaceRequest.
	asked atomic.Pointer[wire.PlaceRequest]

	mu sync.Mutex
	// usedTotal is the usage that the entry reports for customer c. changed is set
	// until usedTotal has been sent.
	usedTotal float64
	changed   bool
	// peerTotals holds the usage that each peer reported, lost the peers reported to
	// OnPeerLost, and config the newest known revision.
	peerTotals map[string]float64
	lost       map[string]bool
	config     int64
	// ahead is the version of the configuration if that is newer than the platform's, received
	// counts the snapshots that peers sent.
	ahead    int64
	received int
	// fresh is the evidence for the next tally. receivedRefreshIDs holds the refresh
	// IDs of the evidence that peers sent.
	fresh              []wire.Freshness
	receivedRefreshIDs map[uint32]bool
}

func (e *entry) withLock(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

func start(t *testing.T, name string, seeds ...string) *entry {
	t.Helper()
	return startIn(t, "z", name, seeds...)
}

// startIn starts an entry in an availability zone.
func startIn(t *testing.T, zone, name string, seeds ...string) *entry {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	e := &entry{addr: addr, peerTotals: make(map[string]float64), lost: make(map[string]bool), receivedRefreshIDs: make(map[uint32]bool)}
	e.mesh = New(Config{
		Self: wire.Hello{Role: wire.RoleEntry, Name: name, Zone: zone, Incarnation: rand.Uint64()}, Listen: addr, Seeds: seeds, Open: func(string) (net.Listener, error) { return ln, nil }, Keys: wire.OneKey([]byte("a key for tests")),
		Tally: e.tally, Freshness: e.evidence, Revisions: func() (int64, int64) { e.mu.Lock(); defer e.mu.Unlock(); return e.config, 0 },
		ConfigAhead: func() int64 { e.mu.Lock(); defer e.mu.Unlock(); return e.ahead },
		Snapshot: func(content uint8) (*wire.Snapshot, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			return &wire.Snapshot{Content: content, Revision: e.config, Body: binary.AppendVarint(nil, e.ahead)}, nil
		},
		OnTally: func(received PeerTally) {
			e.withLock(func() {
				for _, u := range received.Tally.Customers {
					e.peerTotals[received.Peer] = u.Total
				}
				for _, f := range received.Tally.Freshness {
					e.receivedRefreshIDs[f.RefreshID] = true
					e.mesh.RelaySoon()
				}
			})
		},
		FullTally: func(peer string) *wire.Tally {
			e.mu.Lock()
			defer e.mu.Unlock()
			return &wire.Tally{Customers: []wire.CustomerUsage{{Customer: "c", Total: e.peerTotals[peer]}}}
		},
		OnSnapshot: func(s *wire.Snapshot) {
			ahead, _ := binary.Varint(s.Body)
			e.withLock(func() { e.config, e.ahead, e.received = max(e.config, s.Revision), max(e.ahead, ahead), e.received+1 })
		},
		ServePlacements: func(_ context.Context, _, _ string, reply func(wire.Message) error) (func(wire.Message), func()) {
			return func(m wire.Message) {
				switch m := m.(type) {
				case *wire.PlaceRequest:
					e.asked.Store(m)
				case *wire.PlaceBookings:
					_ = reply(&wire.PlaceHold{ID: uint64(len(m.Bookings))})
				}
			}, func() {}
		},
		OnPlaceHold: func(_ string, m *wire.PlaceHold) { e.held.Store(m.ID) },
		OnPeerLost:  func(peer string) { e.withLock(func() { e.lost[peer] = true }) }, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		err := e.mesh.Run(ctx)
		if ctx.Err() == nil {
			t.Errorf("entry %s: %v", name, err)
		}
		ended <- err
	}()
	var once sync.Once
	e.stop = func() {
		once.Do(func() {
			cancel()
			<-ended
		})
	}
	t.Cleanup(e.stop)
	return e
}

func (e *entry) evidence() ([]wire.Freshness, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.fresh
	e.fresh = nil
	return out, 1
}

func (e *entry) tally(all bool) *wire.Tally {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := &wire.Tally{Addr: e.addr, ConfigRevision: e.config, ConfigAhead: e.ahead}
	if e.changed || all && e.usedTotal > 0 {
		t.Customers = []wire.CustomerUsage{{Customer: "c", Total: e.usedTotal}}
	}
	if !all {
		e.changed = false
	}
	return t
}

func (e *entry) use(n float64) { e.withLock(func() { e.usedTotal, e.changed = e.usedTotal+n, true }) }

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("timed out waiting for " + what)
}

func (e *entry) hasTotal(peer string, total float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peerTotals[peer] == total
}

// Each entry knows only the address of the first one at the start. All must
// exchange tallies with all others.
func TestEveryEntryReceivesAllTallies(t *testing.T) {
	first := start(t, "e0")
	all := []*entry{first}
	for i := range 3 {
		all = append(all, start(t, fmt.Sprint("e", i+1), first.addr))
	}
	for i, e := range all {
		e.use(float64(i + 1))
	}
	for _, e := range all {
		await(t, "all entries to be reachable", func() bool {
			reachable, known := e.mesh.EntryCounts()
			return reachable == 4 && known == 4
		})
		for i := range all {
			if all[i] != e {
				await(t, "a total", func() bool { return e.hasTotal(fmt.Sprint("e", i), float64(i+1)) })
			}
		}
	}
	first.use(10)
	for _, e := range all[1:] {
		await(t, "the next total", func() bool { return e.hasTotal("e0", 11) })
	}
}

// One entry cannot reach the platform, which has a newer configuration. Unless its
// peers send it the newer version, it accepts a revoked key until the platform is
// back.
func TestNewerSnapshotIsSentToPeers(t *testing.T) {
	a := start(t, "a")
	b := start(t, "b", a.addr)
	a.withLock(func() { a.config = 7 })
	await(t, "the snapshot", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.config == 7 })
	a.withLock(func() { a.config = 9 })
	await(t, "the next snapshot", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.config == 9 })
}

// Guards against an entry that keeps the older configuration which the platform came back with,
// because its peers, which have a newer one, know it at the same revision.
func TestSnapshotAheadOfPlatformIsSentToPeers(t *testing.T) {
	a := start(t, "a")
	b := start(t, "b", a.addr)
	a.withLock(func() { a.config, a.ahead = 7, 25 })
	b.withLock(func() { b.config = 7 })
	await(t, "the snapshot", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.ahead == 25 })
	time.Sleep(2 * turnIntervals * maxTallyInterval)
	a.mu.Lock()
	b.mu.Lock()
	defer a.mu.Unlock()
	defer b.mu.Unlock()
	if a.received > 0 || b.received > 2 {
		t.Errorf("the entry that is ahead received %d snapshots, the other one %d", a.received, b.received)
	}
}

// One of eight entries missed a large configuration. If the seven others all sent
// it at once, it would cross the entry's network link seven times while callers'
// requests wait behind it. They must take turns, each late enough to learn that the
// one before has sent it.
func TestEntriesTakeTurnsToSendASnapshot(t *testing.T) {
	names := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7"}
	entryByWait := make(map[time.Duration]string)
	for _, self := range names {
		m := New(Config{Self: wire.Hello{Name: self}})
		for _, other := range names {
			if other != self {
				*m.peer(other) = peer{isReachable: true, config: 7, roster: 7}
			}
		}
		stale := &peer{isReachable: true, config: 3, roster: 7}
		wait := m.snapshotWait("e0", stale, 7, 0, 7)
		if before, isTaken := entryByWait[wait]; isTaken {
			t.Errorf("%s and %s both send after %v", before, self, wait)
		}
		entryByWait[wait] = self
	}
	for n := range names {
		if _, ok := entryByWait[snapshotDelay+time.Duration(n)*turnIntervals*maxTallyInterval]; !ok {
			t.Errorf("no entry sends in turn %d: %v", n, entryByWait)
		}
	}
	// Entries that are stale themselves or unreachable take no turn.
	m := New(Config{Self: wire.Hello{Name: "e1"}})
	for _, other := range names[1:] {
		*m.peer(other) = peer{isReachable: other < "e4", config: 5, roster: 7}
	}
	if got := m.snapshotWait("e0", &peer{isReachable: true, config: 3, roster: 7}, 7, 0, 7); got != snapshotDelay {
		t.Errorf("the one entry that has the version waits %v", got)
	}
	if got := m.snapshotWait("e0", &peer{isReachable: true}, 7, 0, 7); got != 0 {
		t.Errorf("an entry without any version waits %v for it", got)
	}
}

// Each link that ended left a goroutine behind until the entry stopped.
func TestEndedLinksLeaveNoGoroutines(t *testing.T) {
	a := start(t, "a")
	connect := func() {
		conn, err := net.Dial("tcp", a.addr)
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
	const links = 50
	for range links {
		connect()
	}
	await(t, "the goroutines of ended links to return", func() bool {
		a.mesh.mu.Lock()
		defer a.mesh.mu.Unlock()
		return a.mesh.running < links/2
	})
}

// An entry dies and comes back under the same name. While it is away, its requests
// in flight must not count. After its return, its tallies must be accepted.
func TestSilentPeerIsLostAndReturns(t *testing.T) {
	a := start(t, "a")
	b := start(t, "b", a.addr)
	b.use(5)
	await(t, "the peer", func() bool { return a.hasTotal("b", 5) })
	b.stop()
	await(t, "the loss", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.lost["b"] })
	if reachable, known := a.mesh.EntryCounts(); reachable != 1 || known != 2 {
		t.Errorf("%d of %d entries are reachable, want 1 of 2: the lost one may still admit requests", reachable, known)
	}
	returned := start(t, "b", a.addr)
	returned.use(3)
	await(t, "the returned peer", func() bool { return a.hasTotal("b", 3) })
}

// Listed entries that were never reachable must count as known. Otherwise each side
// of a network partition would grant a customer's whole limit.
func TestListedEntriesCountAsKnown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	a := start(t, "a")
	t.Cleanup(cancel)
	a.mesh.SetListedEntries(ctx, []wire.EntryAddr{{Name: "a", Addr: a.addr}, {Name: "x", Addr: "127.0.0.1:1"}, {Name: "y", Addr: "127.0.0.1:2"}})
	if reachable, known := a.mesh.EntryCounts(); reachable != 1 || known != 3 {
		t.Errorf("%d of %d, want 1 of 3", reachable, known)
	}
	a.mesh.SetListedEntries(ctx, []wire.EntryAddr{{Name: "a", Addr: a.addr}})
	if _, known := a.mesh.EntryCounts(); known != 1 {
		t.Errorf("%d known after the list was shortened, want 1", known)
	}
}

// Guards against bookings that end the link to a peer of an older version, and against bookings
// and holds that are not passed on.
func TestBookingsAndHoldsArePassedOn(t *testing.T) {
	t.Parallel()
	a := startIn(t, "z", "a")
	b := startIn(t, "z", "b", a.addr)
	m := &wire.PlaceBookings{Pool: "p", Bookings: make(wire.Bookings, 3)}
	await(t, "the bookings to be sent", func() bool { return b.mesh.Send("a", m) })
	await(t, "the hold", func() bool { return b.held.Load() == 3 })
	b.mesh.mu.Lock()
	b.mesh.peers["a"].readsPlaceExtensions = false
	b.mesh.mu.Unlock()
	if b.mesh.Send("a", m) {
		t.Error("bookings were sent to a peer that does not read them")
	}
}

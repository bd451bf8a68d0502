package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/wire"
)

// entry is one mesh with what it was told.
type entry struct {
	mesh *Mesh
	addr string
	stop func()

	mu sync.Mutex
	// used is what the entry tells of customer c; changed is set until told.
	used    float64
	changed bool
	// heard holds the totals told by peers, config the newest version known.
	heard  map[string]float64
	lost   map[string]bool
	config int64
	// fresh is what the next tally tells of new evidence, marks holds those that
	// peers told of.
	fresh []wire.Freshness
	marks map[uint32]bool
}

func (e *entry) with(f func()) {
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
	e := &entry{addr: addr, heard: make(map[string]float64), lost: make(map[string]bool), marks: make(map[uint32]bool)}
	e.mesh = New(Config{
		Self: wire.Hello{Role: wire.RoleEntry, Name: name, Zone: zone, Incarnation: rand.Uint64()}, Listen: addr, Seeds: seeds, Open: func(string) (net.Listener, error) { return ln, nil }, Keys: wire.OneKey([]byte("a key for tests")),
		Tally: e.tally, Fresh: e.evidence, Revisions: func() (int64, int64) { e.mu.Lock(); defer e.mu.Unlock(); return e.config, 0 },
		Snapshot: func(what uint8) (*wire.Snapshot, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			return &wire.Snapshot{Content: what, Revision: e.config}, nil
		},
		Heard: func(h Heard) {
			e.with(func() {
				for _, u := range h.Tally.Customers {
					e.heard[h.Peer] = u.Total
				}
				for _, f := range h.Tally.Freshness {
					e.marks[f.RefreshID] = true
					e.mesh.HurryOn()
				}
			})
		},
		Whole: func(peer string) *wire.Tally {
			e.mu.Lock()
			defer e.mu.Unlock()
			return &wire.Tally{Customers: []wire.CustomerUsage{{Customer: "c", Total: e.heard[peer]}}}
		},
		Took: func(s *wire.Snapshot) { e.with(func() { e.config = max(e.config, s.Revision) }) },
		Lost: func(peer string) { e.with(func() { e.lost[peer] = true }) }, Log: zap.NewNop(),
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
	t := &wire.Tally{Addr: e.addr, ConfigRevision: e.config}
	if e.changed || all && e.used > 0 {
		t.Customers = []wire.CustomerUsage{{Customer: "c", Total: e.used}}
	}
	if !all {
		e.changed = false
	}
	return t
}

func (e *entry) use(n float64) { e.with(func() { e.used, e.changed = e.used+n, true }) }

func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("waited in vain for " + what)
}

func (e *entry) knows(peer string, total float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heard[peer] == total
}

// Entries know one address to begin with, and all must come to hear of all.
func TestAllHearOfAll(t *testing.T) {
	first := start(t, "e0")
	all := []*entry{first}
	for i := range 3 {
		all = append(all, start(t, fmt.Sprint("e", i+1), first.addr))
	}
	for i, e := range all {
		e.use(float64(i + 1))
	}
	for _, e := range all {
		await(t, "every entry to be heard", func() bool {
			heard, known := e.mesh.Reach()
			return heard == 4 && known == 4
		})
		for i := range all {
			if all[i] != e {
				await(t, "a total", func() bool { return e.knows(fmt.Sprint("e", i), float64(i+1)) })
			}
		}
	}
	first.use(10)
	for _, e := range all[1:] {
		await(t, "the next total", func() bool { return e.knows("e0", 11) })
	}
}

// One entry cannot reach the platform, which has a newer configuration. Without
// its peers it would let a revoked key in for as long as that lasts.
func TestNewerVersionIsPassedOn(t *testing.T) {
	a := start(t, "a")
	b := start(t, "b", a.addr)
	a.with(func() { a.config = 7 })
	await(t, "the version", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.config == 7 })
	a.with(func() { a.config = 9 })
	await(t, "the next version", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.config == 9 })
}

// One of eight entries missed a large configuration. If the seven others all
// sent it at once, it would cross the small entry's link seven times, with the
// callers' requests waiting behind it. They must take turns, each with time to
// hear that the one before has done it.
func TestEntriesTakeTurnsToPassAVersionOn(t *testing.T) {
	names := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7"}
	turns := make(map[time.Duration]string)
	for _, self := range names {
		m := New(Config{Self: wire.Hello{Name: self}})
		for _, other := range names {
			if other != self {
				*m.peer(other) = peer{reached: true, config: 7, roster: 7}
			}
		}
		behind := &peer{reached: true, config: 3, roster: 7}
		turn := m.turn("e0", behind, 7, 7)
		if before, taken := turns[turn]; taken {
			t.Errorf("%s and %s both send after %v", before, self, turn)
		}
		turns[turn] = self
	}
	for n := range names {
		if _, ok := turns[passOnAfter+time.Duration(n)*turnTimes*tellAtLeast]; !ok {
			t.Errorf("nobody sends as number %d: %v", n, turns)
		}
	}
	// Those that lag themselves, or are not heard, cannot be waited for.
	m := New(Config{Self: wire.Hello{Name: "e1"}})
	for _, other := range names[1:] {
		*m.peer(other) = peer{reached: other < "e4", config: 5, roster: 7}
	}
	if got := m.turn("e0", &peer{reached: true, config: 3, roster: 7}, 7, 7); got != passOnAfter {
		t.Errorf("the one entry that has the version waits %v", got)
	}
	if got := m.turn("e0", &peer{reached: true}, 7, 7); got != 0 {
		t.Errorf("an entry without any version waits %v for it", got)
	}
}

// An entry dies. What it had in flight must no longer count, and it may come
// back under the same name.
func TestSilentPeerIsLostAndHeardAgain(t *testing.T) {
	a := start(t, "a")
	b := start(t, "b", a.addr)
	b.use(5)
	await(t, "the peer", func() bool { return a.knows("b", 5) })
	b.stop()
	await(t, "the loss", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.lost["b"] })
	if heard, known := a.mesh.Reach(); heard != 1 || known != 2 {
		t.Errorf("%d of %d entries heard, want 1 of 2: the lost one may still admit work", heard, known)
	}
	again := start(t, "b", a.addr)
	again.use(3)
	await(t, "the peer again", func() bool { return a.knows("b", 3) })
}

// Listed entries that were never heard count as known, so that a limit is not
// given whole to each side of a parted network.
func TestListedEntriesCountAsKnown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	a := start(t, "a")
	t.Cleanup(cancel)
	a.mesh.List(ctx, []wire.EntryAddr{{Name: "a", Addr: a.addr}, {Name: "x", Addr: "127.0.0.1:1"}, {Name: "y", Addr: "127.0.0.1:2"}})
	if heard, known := a.mesh.Reach(); heard != 1 || known != 3 {
		t.Errorf("%d of %d, want 1 of 3", heard, known)
	}
	a.mesh.List(ctx, []wire.EntryAddr{{Name: "a", Addr: a.addr}})
	if _, known := a.mesh.Reach(); known != 1 {
		t.Errorf("%d known after the list was shortened, want 1", known)
	}
}

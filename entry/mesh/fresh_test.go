package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lycheepond/core/fresh"
	"lycheepond/core/wire"
)

// One entry has asked the platform, for all others. If its word took longer than a
// step, the next in order would ask too, then the one after it, and a fleet of four
// hundred would ask four hundred times. Through two hubs it must be there in time.
func TestEvidenceReachesAllWithinAStep(t *testing.T) {
	t.Parallel()
	all := settled(t, 3, 4, 5)
	step := fresh.Rule{Bound: 2 * time.Second}.Step()
	var took []time.Duration
	for n, from := range all {
		mark := uint32(n + 1)
		began := time.Now()
		from.with(func() { from.fresh = []wire.Freshness{{Content: wire.SnapshotConfig, AgeMS: 1, RefreshID: mark}} })
		from.mesh.Hurry()
		for _, e := range all {
			if e != from {
				await(t, fmt.Sprint("evidence ", mark), func() bool {
					e.mu.Lock()
					defer e.mu.Unlock()
					return e.marks[mark]
				})
			}
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	if middle := took[len(took)/2]; middle > step {
		t.Errorf("it took %v, a step is %v; all: %v", middle, step, took)
	}
}

// An entry of a version that wants tallies with exactly the fields that it knows is
// heard. What it cannot read must not be told while it is.
func TestEvidenceIsNotToldToThoseWhoCannotReadIt(t *testing.T) {
	m := New(Config{Self: wire.Hello{Name: "a"}, Fresh: func() ([]wire.Freshness, uint64) { return []wire.Freshness{{RefreshID: 1}}, 1 }})
	*m.peer("b") = peer{reached: true, readsOn: true}
	if told, clock := m.fresh(); len(told) != 1 || clock == 0 {
		t.Error("nothing is told although all read it")
	}
	*m.peer("old") = peer{reached: true}
	if told, clock := m.fresh(); len(told) != 0 || clock != 0 {
		t.Error("told although one does not read it")
	}
	m.peer("old").reached = false
	if told, clock := m.fresh(); len(told) != 1 || clock == 0 {
		t.Error("nothing is told although the older one is gone")
	}
}

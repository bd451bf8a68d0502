package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lycheepond/core/fresh"
	"lycheepond/core/wire"
)

// One entry reads the current revisions from the platform on behalf of all others.
// If its evidence took longer than one freshness step to arrive, the next entry in
// order would read them as well, then the one after it, and 400 entries would send
// 400 requests. The evidence must arrive within a step, also through two hubs.
func TestEvidenceReachesAllWithinAStep(t *testing.T) {
	t.Parallel()
	all := startSettledFleet(t, 3, 4, 5)
	step := fresh.Policy{MaxAge: 2 * time.Second}.StepTime()
	var took []time.Duration
	for n, from := range all {
		refreshID := uint32(n + 1)
		began := time.Now()
		from.withLock(func() { from.fresh = []wire.Freshness{{Content: wire.SnapshotConfig, AgeMS: 1, RefreshID: refreshID}} })
		from.mesh.SendTallySoon()
		for _, e := range all {
			if e != from {
				await(t, fmt.Sprint("evidence ", refreshID), func() bool {
					e.mu.Lock()
					defer e.mu.Unlock()
					return e.receivedRefreshIDs[refreshID]
				})
			}
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	if median := took[len(took)/2]; median > step {
		t.Errorf("median time %v is longer than a step of %v; all: %v", median, step, took)
	}
}

// Entries of an older version reject tallies with fields that they don't know.
// While one of them is reachable, no tally may carry evidence.
func TestEvidenceIsNotSentWhileAPeerCannotReadIt(t *testing.T) {
	m := New(Config{Self: wire.Hello{Name: "a"}, Freshness: func() ([]wire.Freshness, uint64) { return []wire.Freshness{{RefreshID: 1}}, 1 }})
	*m.peer("b") = peer{isReachable: true, readsExtensions: true}
	if evidence, uptimeMS := m.freshness(); len(evidence) != 1 || uptimeMS == 0 {
		t.Error("no evidence is sent although all peers can read it")
	}
	*m.peer("old") = peer{isReachable: true}
	if evidence, uptimeMS := m.freshness(); len(evidence) != 0 || uptimeMS != 0 {
		t.Error("evidence is sent although one peer cannot read it")
	}
	m.peer("old").isReachable = false
	if evidence, uptimeMS := m.freshness(); len(evidence) != 1 || uptimeMS == 0 {
		t.Error("no evidence is sent although the older peer is gone")
	}
}

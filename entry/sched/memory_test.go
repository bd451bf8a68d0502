package sched

import (
	"testing"
	"time"

	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

func acquire(r *memoryLimit, tier uint8, body int) (*flight, bool) {
	f := &flight{job: &Job{Class: spec.Class{Tier: tier}, Body: make([]byte, body)}, mailbox: newMailbox()}
	ok := r.acquire(f)
	if ok {
		r.markWaiting(f)
	}
	return f, ok
}

func isEvicted(f *flight) bool {
	events, _ := f.mailbox.take(nil)
	return len(events) == 1 && events[0].kind == eventEvict
}

// A burst of large prompts fills the entry's memory. Waiting requests of the lowest
// tier are evicted to admit a higher tier. Without the bound the process would end
// and all callers would lose their answers.
func TestFullMemoryEvictsLowestTierFirst(t *testing.T) {
	const body = 1 << 20
	r := newMemoryLimit(4 * (body + requestOverhead))
	low, _ := acquire(r, 3, body)
	middle, _ := acquire(r, 2, body)
	top, _ := acquire(r, 0, body)
	running, _ := acquire(r, 3, body)
	r.markGranted(running)
	if _, ok := acquire(r, 3, body); ok {
		t.Fatal("the lowest tier was admitted although nothing lower waits")
	}
	if _, ok := acquire(r, 1, body); !ok || !isEvicted(low) {
		t.Fatal("the lowest tier was not evicted first")
	}
	if _, ok := acquire(r, 1, body); !ok || !isEvicted(middle) {
		t.Fatal("the next tier was not evicted next")
	}
	if _, ok := acquire(r, 1, body); ok || isEvicted(top) || isEvicted(running) {
		t.Fatal("a higher or running request was evicted")
	}
	for _, f := range []*flight{low, middle, running} {
		r.release(f)
	}
	if _, ok := acquire(r, 3, body); !ok {
		t.Fatal("no memory after others have been released")
	}
}

// A request is granted while its eviction is in progress. It runs, so its caller
// must not get outcome not-run.
func TestGrantedRequestIsNotEvicted(t *testing.T) {
	p := testPool(linkedMembers(t, 1, wire.Load{}))
	s := &Sched{cfg: p.cfg, memory: newMemoryLimit(0), traces: newTraceLog(), pools: map[string]*pool{"p": p}, table: newTable()}
	f := newFlight(s, &Job{ID: s.NewID(), Pool: "p", Deadline: time.Minute}, &Sink{})
	a := p.cfg.Pool("p").Peers[0].Agent()
	f.once.Offer(a)
	f.once.HandleClaim(f.once.ID(), a)
	f.handleEviction()
	if f.done {
		t.Fatal("a granted request ended as not run")
	}
}

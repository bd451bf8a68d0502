package sched

import (
	"testing"
	"time"

	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

func held(r *room, tier uint8, body int) (*flight, bool) {
	f := &flight{job: &Job{Class: spec.Class{Tier: tier}, Body: make([]byte, body)}, mail: newMailbox()}
	ok := r.enter(f)
	if ok {
		r.wait(f)
	}
	return f, ok
}

func evicted(f *flight) bool {
	events, _ := f.mail.take(nil)
	return len(events) == 1 && events[0].kind == eventEvict
}

// A burst of large prompts fills the entry's memory. What waits of the lowest
// tier is refused so that a higher tier gets in; without the bound the process
// would end and all callers would lose their answers.
func TestFullEntryEvictsFromTheBottom(t *testing.T) {
	const body = 1 << 20
	r := newRoom(4 * (body + perRequest))
	low, _ := held(r, 3, body)
	mid, _ := held(r, 2, body)
	top, _ := held(r, 0, body)
	running, _ := held(r, 3, body)
	r.granted(running)
	if _, ok := held(r, 3, body); ok {
		t.Fatal("the lowest tier got in although nothing lower waits")
	}
	if _, ok := held(r, 1, body); !ok || !evicted(low) {
		t.Fatal("the lowest tier was not evicted first")
	}
	if _, ok := held(r, 1, body); !ok || !evicted(mid) {
		t.Fatal("the next tier was not evicted next")
	}
	if _, ok := held(r, 1, body); ok || evicted(top) || evicted(running) {
		t.Fatal("higher or running work was evicted")
	}
	for _, f := range []*flight{low, mid, running} {
		r.leave(f)
	}
	if _, ok := held(r, 3, body); !ok {
		t.Fatal("no room after others have left")
	}
}

// A request is granted while its eviction is on the way. It runs: a caller must
// not hear not-run of it.
func TestGrantedRequestIsNotEvicted(t *testing.T) {
	p := testPool(linked(t, 1, wire.Load{}))
	s := &Sched{cfg: p.cfg, room: newRoom(0), trail: newTrail(), pools: map[string]*pool{"p": p}, table: newTable()}
	f := newFlight(s, &Job{ID: s.NewID(), Pool: "p", Deadline: time.Minute}, &Sink{})
	a := p.cfg.Pool("p").Peers[0].Agent()
	f.once.Offer(a)
	f.once.Claim(f.once.ID(), a)
	f.evict()
	if f.done {
		t.Fatal("a granted request was given up as not run")
	}
}

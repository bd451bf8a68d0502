package sched

import (
	"sync"

	"lycheepond/core/spec"
)

// perRequest is what a request is charged beside its body: its state, its
// mailbox and a part of its answer.
const perRequest = 64 << 10

// room bounds the memory of all requests that this entry holds. Without it a
// burst of large prompts ends the process for want of memory, and with it every
// answer that is under way; with it the lowest tier that still waits is refused
// in time.
type room struct {
	mu sync.Mutex
	// most is the bound in bytes, zero for none; used is what is charged and
	// exceeds most only by requests whose eviction is under way.
	most, used int64
	// waiting holds the requests of each tier that no grant was written for.
	waiting [spec.Tiers]map[*flight]struct{}
}

func newRoom(most int64) *room {
	r := &room{most: most}
	for t := range r.waiting {
		r.waiting[t] = make(map[*flight]struct{})
	}
	return r
}

func charge(f *flight) int64 { return int64(len(f.job.Body)) + perRequest }

// enter charges f and reports whether there is room for it. When there is
// none it has a waiting request of a lower tier evicted in its favour.
func (r *room) enter(f *flight) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if need := charge(f); r.most > 0 && r.used+need > r.most {
		v := r.lowest(f.job.Class.Tier)
		if v == nil {
			return false
		}
		delete(r.waiting[v.job.Class.Tier], v)
		v.mail.put(event{kind: eventEvict})
	}
	r.used += charge(f)
	return true
}

// lowest returns a waiting request of the lowest tier below tier.
func (r *room) lowest(tier uint8) *flight {
	for t := uint8(spec.Tiers - 1); t > tier; t-- {
		for f := range r.waiting[t] {
			return f
		}
	}
	return nil
}

func (r *room) leave(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= charge(f)
	delete(r.waiting[f.job.Class.Tier], f)
}

// wait notes that no grant is written for f, granted that one is.
func (r *room) wait(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[f.job.Class.Tier][f] = struct{}{}
}

func (r *room) granted(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting[f.job.Class.Tier], f)
}

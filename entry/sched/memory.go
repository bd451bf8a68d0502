package sched

import (
	"sync"

	"lycheepond/core/spec"
)

// requestOverhead is the number of bytes that each request is charged in addition to
// its body, for its state, its mailbox and a part of its answer.
const requestOverhead = 64 << 10

// memoryLimit bounds the memory of all requests that this entry holds. Without it,
// a burst of large prompts would exhaust the memory and end the process, and with
// it all answers in progress. Instead, waiting requests of the lowest tier are
// refused in time.
type memoryLimit struct {
	mu sync.Mutex
	// limit is the bound in bytes, zero for none. used is the sum of all charges.
	// It exceeds limit only by requests whose eviction is in progress.
	limit, used int64
	// waiting holds the requests of each tier that have no grant.
	waiting [spec.Tiers]map[*flight]struct{}
}

func newMemoryLimit(limit int64) *memoryLimit {
	r := &memoryLimit{limit: limit}
	for t := range r.waiting {
		r.waiting[t] = make(map[*flight]struct{})
	}
	return r
}

// requestBytes returns the charge of a request in bytes.
func requestBytes(f *flight) int64 { return int64(len(f.job.Body)) + requestOverhead }

// acquire charges f and reports whether the memory suffices. If it doesn't, a
// waiting request of a lower tier is evicted for f.
func (r *memoryLimit) acquire(f *flight) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if need := requestBytes(f); r.limit > 0 && r.used+need > r.limit {
		victim := r.lowestWaiting(f.job.Class.Tier)
		if victim == nil {
			return false
		}
		delete(r.waiting[victim.job.Class.Tier], victim)
		victim.mailbox.put(event{kind: eventEvict})
	}
	r.used += requestBytes(f)
	return true
}

// lowestWaiting returns a waiting request of the lowest tier below tier, or nil.
func (r *memoryLimit) lowestWaiting(tier uint8) *flight {
	for t := uint8(spec.Tiers - 1); t > tier; t-- {
		for f := range r.waiting[t] {
			return f
		}
	}
	return nil
}

// release removes the charge of f, which has ended.
func (r *memoryLimit) release(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used -= requestBytes(f)
	delete(r.waiting[f.job.Class.Tier], f)
}

// markWaiting records that f has no grant and can be evicted.
func (r *memoryLimit) markWaiting(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[f.job.Class.Tier][f] = struct{}{}
}

// markGranted records that f has a grant and must not be evicted.
func (r *memoryLimit) markGranted(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting[f.job.Class.Tier], f)
}

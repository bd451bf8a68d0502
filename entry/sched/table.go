package sched

import (
	"sync"

	"lycheepond/core/ident"
)

const shards = 64

// table finds the request that an ID belongs to.
type table struct {
	shard [shards]struct {
		mu sync.RWMutex
		// flights holds the present attempt of each request only, so that
		// frames of an earlier attempt find nothing.
		flights map[ident.ID]*flight
	}
}

func newTable() *table {
	t := new(table)
	for i := range t.shard {
		t.shard[i].flights = make(map[ident.ID]*flight)
	}
	return t
}

// at picks the shard by the counter's digits above the attempt number.
func at(id ident.ID) int { return int(id[ident.Size-3]) % shards }

func (t *table) put(id ident.ID, f *flight) {
	s := &t.shard[at(id)]
	s.mu.Lock()
	s.flights[id] = f
	s.mu.Unlock()
}

func (t *table) get(id ident.ID) *flight {
	s := &t.shard[at(id)]
	s.mu.RLock()
	f := s.flights[id]
	s.mu.RUnlock()
	return f
}

func (t *table) drop(id ident.ID) {
	s := &t.shard[at(id)]
	s.mu.Lock()
	delete(s.flights, id)
	s.mu.Unlock()
}

func (t *table) each(do func(*flight)) {
	for i := range t.shard {
		s := &t.shard[i]
		s.mu.RLock()
		for _, f := range s.flights {
			do(f)
		}
		s.mu.RUnlock()
	}
}

package sched

import (
	"sync"

	"lycheepond/core/ident"
)

// tableStripes is the number of stripes of a table.
const tableStripes = 64

// table finds the request that an ID belongs to. It is divided into stripes to
// reduce lock contention.
type table struct {
	stripes [tableStripes]struct {
		mu sync.RWMutex
		// flights holds only the current attempt of each request, so that messages
		// about an earlier attempt find nothing.
		flights map[ident.ID]*flight
	}
}

func newTable() *table {
	t := new(table)
	for i := range t.stripes {
		t.stripes[i].flights = make(map[ident.ID]*flight)
	}
	return t
}

// stripeOf returns the stripe of an ID. It uses the lowest byte of the request
// counter, which precedes the two bytes of the attempt number.
func stripeOf(id ident.ID) int { return int(id[ident.Size-3]) % tableStripes }

func (t *table) put(id ident.ID, f *flight) {
	s := &t.stripes[stripeOf(id)]
	s.mu.Lock()
	s.flights[id] = f
	s.mu.Unlock()
}

func (t *table) get(id ident.ID) *flight {
	s := &t.stripes[stripeOf(id)]
	s.mu.RLock()
	f := s.flights[id]
	s.mu.RUnlock()
	return f
}

func (t *table) drop(id ident.ID) {
	s := &t.stripes[stripeOf(id)]
	s.mu.Lock()
	delete(s.flights, id)
	s.mu.Unlock()
}

func (t *table) forEach(f func(*flight)) {
	for i := range t.stripes {
		s := &t.stripes[i]
		s.mu.RLock()
		for _, fl := range s.flights {
			f(fl)
		}
		s.mu.RUnlock()
	}
}

// Package store holds the objects in force in one process: the last good
// version of each, which is never replaced by an older one.
package store

import (
	"crypto/rand"
	"encoding/json"
	"sync"
	"sync/atomic"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

// Store is safe for concurrent use. Reads take no lock.
type Store struct {
	// mu orders writers; readers use snap alone.
	mu   sync.Mutex
	snap atomic.Pointer[snapshot]
	// secret blinds the index of keys, so that the time of a lookup tells
	// nothing of the stored hashes.
	secret [32]byte

	subMu sync.Mutex
	subs  map[chan struct{}]struct{}
}

// ref names an object.
type ref struct{ kind, name string }

// record is what is known of one object.
type record struct {
	// version is that of the last good content, or of the deletion when gone.
	version int64
	// data is the content of kinds that processes write. Of operators' kinds
	// only the typed object is kept: at 21,000 customers both would not fit.
	data json.RawMessage
	gone bool
	// inferred marks a deletion that was noticed by a list that lacked the
	// object, so its version is only an upper bound.
	inferred bool
}

// snapshot is everything in force at one moment. It is never changed.
type snapshot struct {
	roster    plat.Roster
	records   *table[ref, record]
	classes   *table[string, spec.Class]
	customers *table[string, spec.Customer]
	models    *table[string, spec.Model]
	services  *table[string, spec.Service]
	keys      *table[blinded, holders]
	rejected  *table[ref, Rejection]
	// version is the newest version among operators' objects that is in force;
	// it never falls.
	version int64
	// digest is the sum of the operators' live objects; see Digest.
	digest uint64
	// tombs counts the deletions among records.
	tombs int
	// complete is a version up to which every object is known, so that an
	// unknown object of such a version is one that was deleted.
	complete int64
	// floor is the newest deletion that is no longer remembered by itself.
	// Nothing unknown up to it is taken from anyone.
	floor int64
}

// freeze ends the changes of the tables. A table that was not changed is frozen
// already and shared with readers, so it is not written to.
func (n *snapshot) freeze() {
	for _, t := range []interface {
		frozen() bool
		freeze()
	}{n.records, n.classes, n.customers, n.models, n.services, n.keys, n.rejected} {
		if !t.frozen() {
			t.freeze()
		}
	}
}

// New returns an empty store.
func New() *Store {
	s := &Store{subs: make(map[chan struct{}]struct{})}
	rand.Read(s.secret[:])
	s.snap.Store(&snapshot{
		records: new(table[ref, record]), classes: new(table[string, spec.Class]),
		customers: new(table[string, spec.Customer]), models: new(table[string, spec.Model]),
		services: new(table[string, spec.Service]), keys: new(table[blinded, holders]),
		rejected: new(table[ref, Rejection]),
	})
	return s
}

// Class returns the class of a name.
func (s *Store) Class(name string) (spec.Class, bool) { return s.snap.Load().classes.get(name) }

// Customer returns the customer of a name.
func (s *Store) Customer(name string) (spec.Customer, bool) {
	return s.snap.Load().customers.get(name)
}

// Model returns the model of a name.
func (s *Store) Model(name string) (spec.Model, bool) { return s.snap.Load().models.get(name) }

// Service returns the service of a name.
func (s *Store) Service(name string) (spec.Service, bool) { return s.snap.Load().services.get(name) }

// Raw returns an object as the platform holds it.
func (s *Store) Raw(kind, name string) (plat.Object, bool) {
	now := s.snap.Load()
	r, ok := now.records.get(ref{kind, name})
	if !ok || r.gone {
		return plat.Object{}, false
	}
	return now.object(ref{kind, name}, r), true
}

// object returns an object as the platform holds it, but for who wrote it.
func (n *snapshot) object(at ref, r record) plat.Object {
	o := plat.Object{Kind: at.kind, Name: at.name, Version: r.version, Data: r.data}
	if r.gone || !spec.Operators(at.kind) {
		return o
	}
	// What was decoded once can be encoded again.
	o.Data, _ = spec.Encode(n.typed(at), nil)
	return o
}

func (n *snapshot) typed(at ref) spec.Named {
	switch at.kind {
	case spec.KindClass:
		o, _ := n.classes.get(at.name)
		return o
	case spec.KindCustomer:
		o, _ := n.customers.get(at.name)
		return o
	case spec.KindModel:
		o, _ := n.models.get(at.name)
		return o
	}
	o, _ := n.services.get(at.name)
	return o
}

// Version returns the newest version of an operators' object, a class,
// customer, model or service, that is in force here.
func (s *Store) Version() int64 { return s.snap.Load().version }

// Digest returns a sum over kind, name and version of the operators' objects
// in force. Two processes with the same digest have the same configuration.
func (s *Store) Digest() uint64 { return s.snap.Load().digest }

// Roster returns the instance list.
func (s *Store) Roster() plat.Roster { return s.snap.Load().roster }

// AcceptRoster takes a newer instance list and reports whether it was one.
func (s *Store) AcceptRoster(r plat.Roster) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.snap.Load()
	if r.Version <= now.roster.Version {
		return false
	}
	next := *now
	next.roster = r
	s.publish(&next)
	return true
}

// Subscribe returns a channel that receives after changes, several of which
// may be reported as one, and a function that ends the subscription.
func (s *Store) Subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	s.subMu.Lock()
	s.subs[ch] = struct{}{}
	s.subMu.Unlock()
	return ch, func() {
		s.subMu.Lock()
		delete(s.subs, ch)
		s.subMu.Unlock()
	}
}

// publish puts next in force. The caller holds mu.
func (s *Store) publish(next *snapshot) {
	next.freeze()
	s.snap.Store(next)
	s.subMu.Lock()
	defer s.subMu.Unlock()
	for ch := range s.subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

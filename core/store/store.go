// Package store holds the objects in force in one process: the last good version of
// each object, which an older version never replaces.
package store

import (
	"crypto/rand"
	"encoding/json"
	"sync"
	"sync/atomic"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

// Store holds the objects in force. It is safe for concurrent use, and reads take no
// lock.
type Store struct {
	// mu serializes writers. Readers only load snap.
	mu   sync.Mutex
	snap atomic.Pointer[snapshot]
	// secret is the key of the MACs in the index of keys, so that the duration of a
	// lookup reveals nothing about the stored hashes.
	secret [32]byte

	// subMu guards subs, the channels of the subscribers.
	subMu sync.Mutex
	subs  map[chan struct{}]struct{}
}

// objectID identifies an object.
type objectID struct{ kind, name string }

// record is the state of one object.
type record struct {
	// version is the version of the last good content, or of the deletion.
	version int64
	// data is the content of kinds that processes write. For operators' kinds only
	// the decoded object is kept: with 21,000 customers there is not enough memory
	// for both.
	data    json.RawMessage
	deleted bool
	// inferred is set if the deletion was inferred from a list without the object, so
	// that its version is only an upper bound.
	inferred bool
}

// snapshot is the complete state at one moment. A published snapshot is never
// changed.
type snapshot struct {
	roster    plat.Roster
	records   *table[objectID, record]
	classes   *table[string, spec.Class]
	customers *table[string, spec.Customer]
	models    *table[string, spec.Model]
	services  *table[string, spec.Service]
	keys      *table[keyMAC, keyHolders]
	rejected  *table[objectID, Rejection]
	// version is the newest version of operators' objects in force; it never
	// decreases.
	version int64
	// digest is the combined hash of the operators' objects in force; see
	// Store.Digest.
	digest uint64
	// tombstones is the number of deletions among records.
	tombstones int
	// completeVersion is a version up to which every object is known. An unknown
	// object whose version is not newer was deleted.
	completeVersion int64
	// prunedVersion is the version of the newest deletion that is no longer remembered.
	// Changes of unknown objects up to this version are ignored.
	prunedVersion int64
}

// freeze makes the tables read-only. A table that was not changed is already frozen
// and shared with readers, so it must not be written to.
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
		records: new(table[objectID, record]), classes: new(table[string, spec.Class]),
		customers: new(table[string, spec.Customer]), models: new(table[string, spec.Model]),
		services: new(table[string, spec.Service]), keys: new(table[keyMAC, keyHolders]),
		rejected: new(table[objectID, Rejection]),
	})
	return s
}

// Class returns the class with a name.
func (s *Store) Class(name string) (spec.Class, bool) { return s.snap.Load().classes.get(name) }

// Customer returns the customer with a name.
func (s *Store) Customer(name string) (spec.Customer, bool) {
	return s.snap.Load().customers.get(name)
}

// Model returns the model with a name.
func (s *Store) Model(name string) (spec.Model, bool) { return s.snap.Load().models.get(name) }

// Service returns the service with a name.
func (s *Store) Service(name string) (spec.Service, bool) { return s.snap.Load().services.get(name) }

// Raw returns an object as the platform stores it, without its writer.
func (s *Store) Raw(kind, name string) (plat.Object, bool) {
	current := s.snap.Load()
	r, ok := current.records.get(objectID{kind, name})
	if !ok || r.deleted {
		return plat.Object{}, false
	}
	return current.object(objectID{kind, name}, r), true
}

// object returns an object as the platform stores it, without its writer.
func (n *snapshot) object(id objectID, r record) plat.Object {
	o := plat.Object{Kind: id.kind, Name: id.name, Version: r.version, Data: r.data}
	if r.deleted || !spec.IsOperatorKind(id.kind) {
		return o
	}
	// An object that was decoded can be encoded again.
	o.Data, _ = spec.Encode(n.typed(id), nil)
	return o
}

// typed returns the decoded object of a kind that operators write.
func (n *snapshot) typed(id objectID) spec.Object {
	switch id.kind {
	case spec.KindClass:
		o, _ := n.classes.get(id.name)
		return o
	case spec.KindCustomer:
		o, _ := n.customers.get(id.name)
		return o
	case spec.KindModel:
		o, _ := n.models.get(id.name)
		return o
	}
	o, _ := n.services.get(id.name)
	return o
}

// Version returns the newest version of a class, customer, model or service that is
// in force here.
func (s *Store) Version() int64 { return s.snap.Load().version }

// Digest returns a hash of the kinds, names and versions of the operators' objects in
// force. Two processes with the same digest have the same configuration.
func (s *Store) Digest() uint64 { return s.snap.Load().digest }

// Roster returns the instance list.
func (s *Store) Roster() plat.Roster { return s.snap.Load().roster }

// AcceptRoster puts an instance list in force if it is newer and reports whether it
// was.
func (s *Store) AcceptRoster(r plat.Roster) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.snap.Load()
	if r.Version <= current.roster.Version {
		return false
	}
	next := *current
	next.roster = r
	s.publish(&next)
	return true
}

// Subscribe returns a channel that receives a value after changes, one value for
// several changes if they are not received in time, and a function that ends the
// subscription.
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

// publish puts next in force and notifies the subscribers. The caller holds mu.
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

package store

import (
	"fmt"
	"hash/fnv"
	"unique"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

// Rejection is a version of an object that was rejected because of its content. The
// last good version, if there is one, stays in force.
type Rejection struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
	// InForce is the version that stays in force, or zero if there is none.
	InForce  int64         `json:"in_force"`
	Problems spec.Problems `json:"problems"`
	// object is the rejected version itself. It is sent to peers, so that they don't
	// take an object without a good version for a deleted one.
	object plat.Object
}

// RejectedError reports an object that was rejected because of its content.
type RejectedError struct{ rejection Rejection }

// Rejection returns the rejected version.
func (e *RejectedError) Rejection() Rejection { return e.rejection }

// Error describes the object, every problem and the remedy.
func (e *RejectedError) Error() string {
	r := e.rejection
	return fmt.Sprintf("store: %s/%s version %d rejected, version %d stays in force; correct it with `lychee apply`: %v",
		r.Kind, r.Name, r.Version, r.InForce, r.Problems)
}

// Unwrap returns the problems.
func (e *RejectedError) Unwrap() error { return e.rejection.Problems }

// Accept applies one change. A version of the object that is not newer has no effect,
// whoever reports it: a watch may repeat events, a replica may lag and peers may have
// old state. For bad content Accept returns a *RejectedError, and the last good
// version stays in force.
func (s *Store) Accept(ev plat.Event) (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.snap.Load()
	changed, err = s.accept(&next, ev, false)
	if changed || err != nil {
		s.publish(&next)
	}
	return changed, err
}

// AcceptBatch applies the result of a watch that started at CompleteVersion, in one
// step. It returns the number of events that changed something and the errors of
// rejected objects.
func (s *Store) AcceptBatch(b plat.Batch) (changed int, rejected []error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.snap.Load()
	changed, rejected = s.acceptAll(&next, b.Events)
	next.completeVersion = max(next.completeVersion, b.Version)
	s.pruneTombstones(&next)
	s.publish(&next)
	return changed, rejected
}

// acceptAll applies events to next. It returns the number of events that changed
// something and the errors of rejected objects.
func (s *Store) acceptAll(next *snapshot, events []plat.Event) (changed int, rejected []error) {
	for _, ev := range events {
		hasChanged, err := s.accept(next, ev, false)
		if hasChanged {
			changed++
		}
		if err != nil {
			rejected = append(rejected, err)
		}
	}
	return changed, rejected
}

// accept applies one event to next and reports whether it changed something. inferred
// marks a deletion that was inferred from a list.
func (s *Store) accept(next *snapshot, ev plat.Event, inferred bool) (bool, error) {
	o := ev.Object
	if o.Kind == spec.KindStatus || o.Kind == "" || o.Name == "" {
		return false, nil
	}
	id := objectID{unique.Make(o.Kind).Value(), o.Name}
	previous, known := next.records.get(id)
	if known && o.Version <= previous.version {
		return false, nil
	}
	rejected, wasRejected := next.rejected.get(id)
	if wasRejected && rejected.Version == o.Version {
		return false, nil
	}
	if !known && o.Version <= next.prunedVersion {
		return false, nil
	}
	// An unknown or deleted object whose version is not newer than the complete
	// version was deleted, whatever a peer or a lagging replica reports. The
	// exception is an object whose newest version was rejected: a peer may still have
	// its last good version.
	if (!known || previous.deleted) && !wasRejected && o.Version <= next.completeVersion {
		return false, nil
	}
	if ev.Deleted {
		s.remove(next, id, o.Version, inferred)
		return true, nil
	}
	if err := s.put(next, id, o); err != nil {
		return false, err
	}
	return true, nil
}

// put decodes the content o and puts it in force, or records its rejection.
func (s *Store) put(next *snapshot, id objectID, o plat.Object) error {
	previous, known := next.records.get(id)
	decoded, problems := spec.Decode(o.Kind, o.Name, o.Data)
	if len(problems) > 0 {
		r := Rejection{Kind: o.Kind, Name: o.Name, Version: o.Version, Problems: problems, object: o}
		if known && !previous.deleted {
			r.InForce = previous.version
		}
		if rejected, ok := next.rejected.get(id); !ok || rejected.Version < r.Version {
			next.rejected = next.rejected.with(id, r)
		}
		return &RejectedError{rejection: r}
	}
	r := record{version: o.Version}
	if !spec.IsOperatorKind(id.kind) {
		r.data = o.Data
	}
	s.index(next, id, decoded)
	s.setRecord(next, id, r)
	return nil
}

// remove records the deletion of an object.
func (s *Store) remove(next *snapshot, id objectID, version int64, inferred bool) {
	s.unindex(next, id)
	s.setRecord(next, id, record{version: version, deleted: true, inferred: inferred})
}

// setRecord replaces the record of an object and updates the version, the digest and
// the number of tombstones.
func (s *Store) setRecord(next *snapshot, id objectID, r record) {
	previous, known := next.records.get(id)
	if known && previous.deleted {
		next.tombstones--
	}
	if r.deleted {
		next.tombstones++
	}
	next.records = next.records.with(id, r)
	if rejected, ok := next.rejected.get(id); ok && rejected.Version <= r.version {
		next.rejected = next.rejected.without(id)
	}
	if !spec.IsOperatorKind(id.kind) {
		return
	}
	if known && !previous.deleted {
		next.digest ^= versionHash(id, previous.version)
	}
	if !r.deleted {
		next.digest ^= versionHash(id, r.version)
	}
	if !r.inferred {
		next.version = max(next.version, r.version)
	}
}

// versionHash returns the hash of one version of an object, for Digest.
func versionHash(id objectID, version int64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%s@%d", id.kind, id.name, version)
	return h.Sum64()
}

// Rejected returns the rejected versions that no good version has replaced yet.
func (s *Store) Rejected() []Rejection {
	var all []Rejection
	current := s.snap.Load()
	current.rejected.each(func(id objectID, r Rejection) bool {
		r.InForce = 0
		if good, ok := current.records.get(id); ok && !good.deleted {
			r.InForce = good.version
		}
		all = append(all, r)
		return true
	})
	return all
}

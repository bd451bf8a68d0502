package store

import (
	"fmt"
	"hash/fnv"
	"unique"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

// Rejection is a version of an object that was refused; an older good version,
// if there was one, stays in force.
type Rejection struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version int64  `json:"version"`
	// InForce is the version that stays, zero if there is none.
	InForce  int64         `json:"in_force"`
	Problems spec.Problems `json:"problems"`
	// object is the refused version itself. It is handed to peers, so that an
	// object without a good version is not taken for a deleted one.
	object plat.Object
}

// RejectedError reports an object with bad content.
type RejectedError struct{ rejection Rejection }

// Rejection returns what was refused.
func (e *RejectedError) Rejection() Rejection { return e.rejection }

// Error names the object, every problem and the remedy.
func (e *RejectedError) Error() string {
	r := e.rejection
	return fmt.Sprintf("store: %s/%s version %d refused, version %d stays in force; mend it with `lychee apply`: %v",
		r.Kind, r.Name, r.Version, r.InForce, r.Problems)
}

// Unwrap returns the problems.
func (e *RejectedError) Unwrap() error { return e.rejection.Problems }

// Accept takes one change. An older or equal version of the object changes
// nothing, whoever reports it: a watch may replay, a replica may lag and peers
// may be behind. Bad content is an error and the last good version stays.
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

// AcceptBatch takes the answer of a watch that was asked for changes after the
// version up to which this store is complete, all at once. It returns how many
// changed something and what was refused.
func (s *Store) AcceptBatch(b plat.Batch) (changed int, refused []error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.snap.Load()
	changed, refused = s.acceptAll(&next, b.Events)
	next.complete = max(next.complete, b.Version)
	s.trim(&next)
	s.publish(&next)
	return changed, refused
}

func (s *Store) acceptAll(next *snapshot, events []plat.Event) (changed int, refused []error) {
	for _, ev := range events {
		ok, err := s.accept(next, ev, false)
		if ok {
			changed++
		}
		if err != nil {
			refused = append(refused, err)
		}
	}
	return changed, refused
}

func (s *Store) accept(next *snapshot, ev plat.Event, inferred bool) (bool, error) {
	o := ev.Object
	if o.Kind == spec.KindStatus || o.Kind == "" || o.Name == "" {
		return false, nil
	}
	at := ref{unique.Make(o.Kind).Value(), o.Name}
	had, known := next.records.get(at)
	if known && o.Version <= had.version {
		return false, nil
	}
	bad, wasRefused := next.rejected.get(at)
	if wasRefused && bad.Version == o.Version {
		return false, nil
	}
	if !known && o.Version <= next.floor {
		return false, nil
	}
	// An object that is not in force here although it is no newer than the
	// complete version was deleted, whatever a peer or a lagging replica says.
	// One whose newest version was refused is different: a peer may still have
	// its last good version.
	if (!known || had.gone) && !wasRefused && o.Version <= next.complete {
		return false, nil
	}
	if ev.Gone {
		s.remove(next, at, o.Version, inferred)
		return true, nil
	}
	if err := s.put(next, at, o); err != nil {
		return false, err
	}
	return true, nil
}

func (s *Store) put(next *snapshot, at ref, o plat.Object) error {
	had, known := next.records.get(at)
	decoded, problems := spec.Decode(o.Kind, o.Name, o.Data)
	if len(problems) > 0 {
		r := Rejection{Kind: o.Kind, Name: o.Name, Version: o.Version, Problems: problems, object: o}
		if known && !had.gone {
			r.InForce = had.version
		}
		if bad, ok := next.rejected.get(at); !ok || bad.Version < r.Version {
			next.rejected = next.rejected.with(at, r)
		}
		return &RejectedError{rejection: r}
	}
	r := record{version: o.Version}
	if !spec.Operators(at.kind) {
		r.data = o.Data
	}
	s.index(next, at, decoded)
	s.record(next, at, r)
	return nil
}

func (s *Store) remove(next *snapshot, at ref, version int64, inferred bool) {
	s.unindex(next, at)
	s.record(next, at, record{version: version, gone: true, inferred: inferred})
}

// record replaces what is known of an object and keeps version, digest and the
// count of deletions in step.
func (s *Store) record(next *snapshot, at ref, r record) {
	had, known := next.records.get(at)
	if known && had.gone {
		next.tombs--
	}
	if r.gone {
		next.tombs++
	}
	next.records = next.records.with(at, r)
	if bad, ok := next.rejected.get(at); ok && bad.Version <= r.version {
		next.rejected = next.rejected.without(at)
	}
	if !spec.Operators(at.kind) {
		return
	}
	if known && !had.gone {
		next.digest ^= sum(at, had.version)
	}
	if !r.gone {
		next.digest ^= sum(at, r.version)
	}
	if !r.inferred {
		next.version = max(next.version, r.version)
	}
}

func sum(at ref, version int64) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%s@%d", at.kind, at.name, version)
	return h.Sum64()
}

// Rejected returns the versions that were refused and not yet replaced by a
// good one.
func (s *Store) Rejected() []Rejection {
	var all []Rejection
	now := s.snap.Load()
	now.rejected.each(func(at ref, r Rejection) bool {
		r.InForce = 0
		if had, ok := now.records.get(at); ok && !had.gone {
			r.InForce = had.version
		}
		all = append(all, r)
		return true
	})
	return all
}

package store

import (
	"cmp"
	"slices"
	"strings"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

// maxTombstones is the number of deletions that are remembered individually. Beyond
// it, the oldest ones up to the complete version are dropped: an unknown object that
// is not newer than that version is rejected anyway. At 11,000 changes a day, 8192
// deletions are more than half a day of changes that are all deletions.
const maxTombstones = 8192

// AcceptList applies the complete content of the platform at a version. Objects that
// are not in the list are deleted, but only those older than the list: a lagging
// replica returns a list without the newest objects, which must stay. kind limits
// which objects may be deleted; plat.AnyKind means every kind. AcceptList returns the
// number of changes and the errors of rejected objects.
func (s *Store) AcceptList(kind string, b plat.Batch) (changed int, rejected []error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.snap.Load()
	listed := make(map[objectID]struct{}, len(b.Events))
	for _, ev := range b.Events {
		if !ev.Deleted {
			listed[objectID{ev.Object.Kind, ev.Object.Name}] = struct{}{}
		}
	}
	changed, rejected = s.acceptAll(&next, b.Events)
	for _, id := range missing(&next, kind, listed, b.Version) {
		deletion := plat.Event{Deleted: true, Object: plat.Object{Kind: id.kind, Name: id.name, Version: b.Version}}
		if hasChanged, _ := s.accept(&next, deletion, true); hasChanged {
			changed++
		}
	}
	if kind == plat.AnyKind {
		next.completeVersion = max(next.completeVersion, b.Version)
		s.pruneTombstones(&next)
	}
	s.publish(&next)
	return changed, rejected
}

// missing returns the objects that are older than a list and not in it.
func missing(current *snapshot, kind string, listed map[objectID]struct{}, version int64) []objectID {
	var out []objectID
	addIfMissing := func(id objectID, v int64) {
		if _, ok := listed[id]; ok || v >= version || (kind != plat.AnyKind && kind != id.kind) {
			return
		}
		out = append(out, id)
	}
	current.records.each(func(id objectID, r record) bool {
		if !r.deleted {
			addIfMissing(id, r.version)
		}
		return true
	})
	current.rejected.each(func(id objectID, r Rejection) bool {
		addIfMissing(id, r.Version)
		return true
	})
	return out
}

// pruneTombstones drops the oldest tombstones when there are too many.
func (s *Store) pruneTombstones(next *snapshot) {
	if next.tombstones <= maxTombstones {
		return
	}
	type tombstone struct {
		id      objectID
		version int64
	}
	var oldest []tombstone
	next.records.each(func(id objectID, r record) bool {
		if r.deleted && r.version <= next.completeVersion {
			oldest = append(oldest, tombstone{id, r.version})
		}
		return true
	})
	slices.SortFunc(oldest, func(a, b tombstone) int { return cmp.Compare(a.version, b.version) })
	for _, t := range oldest[:min(len(oldest), maxTombstones/2)] {
		next.records = next.records.without(t.id)
		next.prunedVersion = max(next.prunedVersion, t.version)
		next.tombstones--
	}
}

// All returns every object in force, the remembered deletions and the rejected
// versions, sorted by version, for a peer that starts while the platform is
// unavailable.
func (s *Store) All() []plat.Event {
	current := s.snap.Load()
	all := make([]plat.Event, 0, current.records.size)
	current.records.each(func(id objectID, r record) bool {
		all = append(all, plat.Event{Deleted: r.deleted, Object: current.object(id, r)})
		return true
	})
	current.rejected.each(func(_ objectID, r Rejection) bool {
		all = append(all, plat.Event{Object: r.object})
		return true
	})
	slices.SortFunc(all, func(a, b plat.Event) int { return cmp.Compare(a.Object.Version, b.Object.Version) })
	return all
}

// CompleteVersion returns the version up to which every object is known here: the
// version from which to watch.
func (s *Store) CompleteVersion() int64 { return s.snap.Load().completeVersion }

// Classes returns every class in force.
func (s *Store) Classes() []spec.Class { return values(s.snap.Load().classes) }

// Customers returns every customer in force.
func (s *Store) Customers() []spec.Customer { return values(s.snap.Load().customers) }

// Models returns every model in force.
func (s *Store) Models() []spec.Model { return values(s.snap.Load().models) }

// Services returns every service in force.
func (s *Store) Services() []spec.Service { return values(s.snap.Load().services) }

// values returns the values of a table, sorted by name.
func values[V any](t *table[string, V]) []V {
	names := make([]string, 0, t.size)
	t.each(func(name string, _ V) bool {
		names = append(names, name)
		return true
	})
	slices.SortFunc(names, strings.Compare)
	out := make([]V, len(names))
	for i, name := range names {
		out[i], _ = t.get(name)
	}
	return out
}

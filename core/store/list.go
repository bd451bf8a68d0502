package store

import (
	"cmp"
	"slices"
	"strings"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

// maxTombs is how many deletions are remembered one by one. Beyond it the
// oldest up to the complete version are dropped: an unknown object that is not
// newer than that version is refused anyway. At 11,000 changes a day it is more
// than half a day of nothing but deletions.
const maxTombs = 8192

// AcceptList takes the whole content of the platform at a version. What it
// lacks is deleted, but only objects that are older than the list: a lagging
// replica lists without the newest objects, which must not be lost for it.
// kind limits what may be deleted; plat.AnyKind means every kind.
func (s *Store) AcceptList(kind string, b plat.Batch) (changed int, refused []error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.snap.Load()
	listed := make(map[ref]struct{}, len(b.Events))
	for _, ev := range b.Events {
		if !ev.Gone {
			listed[ref{ev.Object.Kind, ev.Object.Name}] = struct{}{}
		}
	}
	changed, refused = s.acceptAll(&next, b.Events)
	for _, at := range missing(&next, kind, listed, b.Version) {
		gone := plat.Event{Gone: true, Object: plat.Object{Kind: at.kind, Name: at.name, Version: b.Version}}
		if ok, _ := s.accept(&next, gone, true); ok {
			changed++
		}
	}
	if kind == plat.AnyKind {
		next.complete = max(next.complete, b.Version)
		s.trim(&next)
	}
	s.publish(&next)
	return changed, refused
}

// missing returns what is older than a list and does not stand in it.
func missing(now *snapshot, kind string, listed map[ref]struct{}, version int64) []ref {
	var out []ref
	check := func(at ref, v int64) {
		if _, ok := listed[at]; ok || v >= version || (kind != plat.AnyKind && kind != at.kind) {
			return
		}
		out = append(out, at)
	}
	now.records.each(func(at ref, r record) bool {
		if !r.gone {
			check(at, r.version)
		}
		return true
	})
	now.rejected.each(func(at ref, r Rejection) bool {
		check(at, r.Version)
		return true
	})
	return out
}

// trim drops the oldest deletions when there are too many.
func (s *Store) trim(next *snapshot) {
	if next.tombs <= maxTombs {
		return
	}
	type tomb struct {
		at      ref
		version int64
	}
	var old []tomb
	next.records.each(func(at ref, r record) bool {
		if r.gone && r.version <= next.complete {
			old = append(old, tomb{at, r.version})
		}
		return true
	})
	slices.SortFunc(old, func(a, b tomb) int { return cmp.Compare(a.version, b.version) })
	for _, t := range old[:min(len(old), maxTombs/2)] {
		next.records = next.records.without(t.at)
		next.floor = max(next.floor, t.version)
		next.tombs--
	}
}

// All returns every object in force, the remembered deletions and the refused
// versions, oldest first, for a peer that starts while the platform is away.
func (s *Store) All() []plat.Event {
	now := s.snap.Load()
	all := make([]plat.Event, 0, now.records.size)
	now.records.each(func(at ref, r record) bool {
		all = append(all, plat.Event{Gone: r.gone, Object: now.object(at, r)})
		return true
	})
	now.rejected.each(func(_ ref, r Rejection) bool {
		all = append(all, plat.Event{Object: r.object})
		return true
	})
	slices.SortFunc(all, func(a, b plat.Event) int { return cmp.Compare(a.Object.Version, b.Object.Version) })
	return all
}

// Complete returns the version up to which every object is known here: what to
// watch after.
func (s *Store) Complete() int64 { return s.snap.Load().complete }

// Classes returns every class in force.
func (s *Store) Classes() []spec.Class { return values(s.snap.Load().classes) }

// Customers returns every customer in force.
func (s *Store) Customers() []spec.Customer { return values(s.snap.Load().customers) }

// Models returns every model in force.
func (s *Store) Models() []spec.Model { return values(s.snap.Load().models) }

// Services returns every service in force.
func (s *Store) Services() []spec.Service { return values(s.snap.Load().services) }

// values returns the entries of a table in the order of their names.
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

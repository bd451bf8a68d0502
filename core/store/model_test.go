package store

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

// history is every write to a platform, oldest first. Versions count from one.
type history struct{ events []plat.Event }

func (h *history) write(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	version := int64(len(h.events) + 1)
	switch rapid.IntRange(0, 5).Draw(t, "write") {
	case 0:
		h.events = append(h.events, plat.Event{Deleted: true, Object: plat.Object{Kind: spec.KindClass, Name: name, Version: version}})
	case 1:
		h.events = append(h.events, plat.Event{Object: plat.Object{
			Kind: spec.KindClass, Name: name, Version: version, Data: []byte(`{"name":"bad","tier":-1}`),
		}})
	default:
		data := fmt.Sprintf(`{"name":%q,"tier":%d,"target":{}}`, name, version%spec.Tiers)
		h.events = append(h.events, plat.Event{Object: plat.Object{Kind: spec.KindClass, Name: name, Version: version, Data: []byte(data)}})
	}
}

// list returns the content at a version.
func (h *history) list(version int64) plat.Batch {
	last := make(map[string]plat.Event)
	for _, ev := range h.events[:version] {
		last[ev.Object.Name] = ev
	}
	b := plat.Batch{Version: version}
	for _, ev := range last {
		if !ev.Deleted {
			b.Events = append(b.Events, ev)
		}
	}
	return b
}

// watch returns the changes after one version up to another.
func (h *history) watch(after, upTo int64) plat.Batch {
	if after >= upTo {
		return plat.Batch{Version: upTo}
	}
	return plat.Batch{Version: upTo, Events: h.events[after:upTo]}
}

// view is what one process has shown of an object: the newest version, and the newest
// version at the time when the object was shown as deleted.
type view struct{ newest, deletedAfter int64 }

// Two processes read one platform through lagging replicas and repeated watch events,
// and read each other's content, in any order. An object must never go back to an
// older version or reappear after its deletion, and both processes must end at the
// newest state.
func TestObjectsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		stores := []*Store{New(), New()}
		views := []map[string]*view{{}, {}}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			h.write(t)
			i := rapid.IntRange(0, 1).Draw(t, "process")
			deliver(t, &h, stores[i], stores[1-i])
			observe(t, stores[i], views[i])
		}
		for i, s := range stores {
			s.AcceptBatch(h.watch(s.CompleteVersion(), int64(len(h.events))))
			observe(t, s, views[i])
			checkConverged(t, &h, s)
		}
	})
}

// deliver passes a random list, watch result, event or peer's content to s.
func deliver(t *rapid.T, h *history, s, peer *Store) {
	now := int64(len(h.events))
	version := rapid.Int64Range(0, now).Draw(t, "version")
	switch rapid.IntRange(0, 4).Draw(t, "deliver") {
	case 0:
		s.AcceptList(plat.AnyKind, h.list(version))
	case 1:
		s.AcceptList(spec.KindClass, h.list(version))
	case 2:
		s.AcceptBatch(h.watch(s.CompleteVersion(), version))
	case 3:
		if version > 0 {
			_, _ = s.Accept(h.events[version-1])
		}
	case 4:
		s.AcceptList(plat.AnyKind, plat.Batch{Version: peer.CompleteVersion(), Events: peer.All()})
	}
}

// observe checks that no object in s went back since the last call.
func observe(t *rapid.T, s *Store, seen map[string]*view) {
	for _, name := range []string{"a", "b", "c"} {
		v := seen[name]
		if v == nil {
			v = new(view)
			seen[name] = v
		}
		o, ok := s.Raw(spec.KindClass, name)
		_, typed := s.Class(name)
		if ok != typed {
			t.Fatalf("%s: raw %v, typed %v", name, ok, typed)
		}
		if !ok {
			v.deletedAfter = v.newest
			continue
		}
		if o.Version < v.newest || (v.deletedAfter > 0 && o.Version <= v.deletedAfter) {
			t.Fatalf("%s went back to version %d, newest shown %d, shown as deleted after %d", name, o.Version, v.newest, v.deletedAfter)
		}
		v.newest = o.Version
	}
}

// checkConverged checks the state after everything has been delivered. If the newest
// version of an object is bad, any good version that the process has received may
// stay in force: a list does not show whether the object was deleted and created
// again in between.
func checkConverged(t *rapid.T, h *history, s *Store) {
	for _, name := range []string{"a", "b", "c"} {
		var last plat.Event
		good := map[int64]bool{}
		for _, ev := range h.events {
			if ev.Object.Name != name {
				continue
			}
			last = ev
			_, bad := spec.Decode(ev.Object.Kind, name, ev.Object.Data)
			good[ev.Object.Version] = !ev.Deleted && len(bad) == 0
		}
		o, ok := s.Raw(spec.KindClass, name)
		switch {
		case ok && !good[o.Version]:
			t.Fatalf("%s: version %d in force was never good", name, o.Version)
		case good[last.Object.Version] && o.Version != last.Object.Version:
			t.Fatalf("%s: version %d in force, newest is %d", name, o.Version, last.Object.Version)
		case last.Deleted && ok:
			t.Fatalf("%s: deleted at %d, version %d in force", name, last.Object.Version, o.Version)
		}
	}
}

package roster

import (
	"testing"
	"time"

	"lycheepond/core/eras"
	"lycheepond/core/route"
)

func twoEndpoints() []route.Endpoint { return []route.Endpoint{{ID: "a"}, {ID: "b"}} }

// The platform was down for longer than list items live. When it returns, it has removed
// all of them, and the endpoints write them again. Until then, every request would be
// refused if the removals were applied.
func TestEndpointsAreKeptAfterOutage(t *testing.T) {
	var tracker Tracker
	tracker.ReplaceAll(0, 10, twoEndpoints())
	tracker.RecordOutage(10 * time.Second)
	tracker.RecordRecovery(20*time.Second, route.Roster{})
	now := 20*time.Second + 100*time.Millisecond
	tracker.Remove(now, 11, "a")
	tracker.ReplaceAll(now, 12, nil)
	if n := len(tracker.Roster().Endpoints); n != 2 {
		t.Fatalf("%d endpoints right after the return, want 2", n)
	}
	tracker.Set(now, 13, route.Endpoint{ID: "a"})
	if !tracker.ApplyDeferred(now + 3*time.Second) {
		t.Fatal("the deferred removal was not applied")
	}
	if r := tracker.Roster(); len(r.Endpoints) != 1 || r.Endpoints[0].ID != "a" || r.Revision != 13 {
		t.Fatalf("%+v", r)
	}
}

// An endpoint that is removed while there is no outage must not receive any more requests.
func TestRemovalWithoutOutageIsImmediate(t *testing.T) {
	var tracker Tracker
	tracker.ReplaceAll(0, 10, twoEndpoints())
	tracker.Remove(time.Second, 11, "a")
	if n := len(tracker.Roster().Endpoints); n != 1 {
		t.Fatalf("%d endpoints, want 1", n)
	}
	tracker.RecordOutage(1500 * time.Millisecond)
	tracker.RecordRecovery(2*time.Second, route.Roster{})
	tracker.Set(2*time.Second, 11, route.Endpoint{ID: "c"})
	tracker.Remove(2100*time.Millisecond, 11, "c")
	if n := len(tracker.Roster().Endpoints); n != 1 {
		t.Fatalf("%d endpoints after one failed call, want 1", n)
	}
	tracker.Remove(10*time.Second, 12, "b")
	if n := len(tracker.Roster().Endpoints); n != 0 {
		t.Fatalf("%d endpoints long after an outage, want 0", n)
	}
}

// This entry was cut off from the platform for some seconds, and two seconds after its
// return an endpoint leaves without prior notice. An entry that still deferred removals
// would send requests to it until it stops.
func TestRemovalAfterDeferWindowIsImmediate(t *testing.T) {
	var tracker Tracker
	tracker.ReplaceAll(0, 10, twoEndpoints())
	tracker.RecordOutage(10 * time.Second)
	tracker.RecordRecovery(20*time.Second, route.Roster{})
	tracker.Remove(22*time.Second, 11, "a")
	if n := len(tracker.Roster().Endpoints); n != 1 {
		t.Fatalf("%d endpoints, want 1", n)
	}
}

// The platform refused this entry but served the others, which know that an endpoint has
// left. When the entry reaches the platform again, it defers the removal. If it passed its
// list on with the platform's newest revision, the others would use the endpoint again two
// seconds after it left.
func TestDeferredRemovalsKeepOlderRevision(t *testing.T) {
	var tracker Tracker
	tracker.ReplaceAll(0, 30, twoEndpoints())
	tracker.Roster()
	tracker.RecordOutage(2 * time.Second)
	tracker.RecordRecovery(11*time.Second, route.Roster{})
	tracker.Set(11*time.Second, 36, route.Endpoint{ID: "c"})
	tracker.Remove(11*time.Second, 37, "a")
	tracker.Remove(11*time.Second, 38, "b")
	if r := tracker.Roster(); !tracker.HasDeferred() || r.Revision != 30 || len(r.Endpoints) != 3 {
		t.Fatalf("revision %d with %d endpoints while removals are deferred, want 30 with 3", r.Revision, len(r.Endpoints))
	}
	tracker.Set(13*time.Second, 39, route.Endpoint{ID: "b"})
	tracker.ApplyDeferred(14 * time.Second)
	if r := tracker.Roster(); tracker.HasDeferred() || r.Revision != 39 || len(r.Endpoints) != 2 {
		t.Fatalf("revision %d with %d endpoints afterwards, want 39 with 2", r.Revision, len(r.Endpoints))
	}
}

// Guards against peers that use an endpoint again after it has left, because a list that defers
// its removal states a newer revision: the list read after an outage brings newer items and
// lacks the endpoint, in one answer.
func TestListWithDeferredRemovalIsNotNewer(t *testing.T) {
	var tracker Tracker
	tracker.ReplaceAll(0, 140, twoEndpoints())
	before := tracker.Roster().Revision
	tracker.RecordOutage(2 * time.Second)
	tracker.RecordRecovery(10*time.Second, route.Roster{})
	// The endpoint left at revision 147. The answer states only that of the whole list.
	tracker.Set(10*time.Second, 157, route.Endpoint{ID: "c"})
	tracker.Remove(10*time.Second, 160, "a")
	if r := tracker.Roster(); r.Revision != before || len(r.Endpoints) != 3 {
		t.Errorf("revision %d with %d endpoints while the removal is deferred, want %d with 3", r.Revision, len(r.Endpoints), before)
	}
	tracker.Set(11*time.Second, 161, route.Endpoint{ID: "d"})
	if r := tracker.Roster(); r.Revision != before || len(r.Endpoints) != 4 {
		t.Errorf("revision %d with %d endpoints after a further change, want %d with 4", r.Revision, len(r.Endpoints), before)
	}
	tracker.ApplyDeferred(13 * time.Second)
	if r := tracker.Roster(); r.Revision != 161 || len(r.Endpoints) != 3 {
		t.Errorf("revision %d with %d endpoints afterwards, want 161 with 3", r.Revision, len(r.Endpoints))
	}
}

// Guards against an entry that puts an endpoint back in service, or ignores what the platform
// tells it, since it has a peer's list from an outage and defers removals.
func TestListOfPeerIsKeptAfterOutage(t *testing.T) {
	var tracker Tracker
	tracker.ReplaceAll(0, 140, []route.Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}})
	tracker.Roster()
	tracker.RecordOutage(2 * time.Second)
	// Meanwhile a peer reported that a has left.
	tracker.RecordRecovery(10*time.Second, route.Roster{Revision: 157, Endpoints: []route.Endpoint{{ID: "b"}, {ID: "c"}}})
	tracker.Set(10*time.Second, 159, route.Endpoint{ID: "c", Leaving: true})
	tracker.Remove(10*time.Second, 160, "a")
	tracker.Remove(10*time.Second, 160, "b")
	r := tracker.Roster()
	if r.Revision != 157 || len(r.Endpoints) != 2 || r.Endpoints[0].ID != "b" || !r.Endpoints[1].Leaving {
		t.Errorf("%+v, want b, whose removal is deferred, and c, which leaves, at revision 157", r)
	}
	tracker.ApplyDeferred(13 * time.Second)
	if r := tracker.Roster(); r.Revision != 160 || len(r.Endpoints) != 1 {
		t.Errorf("%+v, want c at revision 160", r)
	}
}

// Guards against an instance list from an older copy of the platform that takes endpoints that
// run out of service, and puts those in service that leave or are gone.
func TestListOfOlderCopy(t *testing.T) {
	var tracker Tracker
	start := func(id string, leaving bool) route.Endpoint {
		return route.Endpoint{ID: id, Incarnation: 1, Leaving: leaving}
	}
	tracker.ReplaceAll(0, 10, []route.Endpoint{start("runs", false), start("leaves", false), start("gone", false), start("returns", false)})
	tracker.Set(time.Second, 15, start("added", false))
	tracker.Set(time.Second, 16, start("leaves", true))
	tracker.Remove(time.Second, 17, "gone")
	tracker.Remove(time.Second, 18, "returns")
	restored := 10 * time.Second
	item := func(n int64) int64 { return eras.Join(1, n) }
	for i, id := range []string{"runs", "leaves", "gone", "returns"} {
		tracker.Set(restored, item(int64(4+i)), start(id, false))
	}
	tracker.Remove(restored, item(10), "added")
	states := func() (out string) {
		for _, e := range tracker.Roster().Endpoints {
			out += e.ID
			if e.Leaving {
				out += " (leaving)"
			}
			out += " "
		}
		return out
	}
	if got, want := states(), "added leaves (leaving) runs "; got != want {
		t.Errorf("right after the restore: %q, want %q", got, want)
	}
	tracker.Set(restored+time.Second, item(11), start("added", false))
	tracker.Set(restored+time.Second, item(12), start("returns", false))
	tracker.ApplyDeferred(restored + 3*time.Second)
	if got, want := states(), "added leaves (leaving) returns runs "; got != want {
		t.Errorf("after items were written again: %q, want %q", got, want)
	}
	tracker.ApplyDeferred(restored + returnTime)
	if got, want := states(), "added gone leaves (leaving) returns runs "; got != want {
		t.Errorf("an endpoint that stays listed must be used in the end: %q, want %q", got, want)
	}
	tracker.Remove(restored+returnTime, item(13), "gone")
	later := restored + time.Minute
	tracker.Set(later, eras.Join(2, 4), start("gone", false))
	tracker.Remove(later+time.Second, eras.Join(2, 5), "gone")
	tracker.ApplyDeferred(later + 2*returnTime)
	if got, want := states(), "added leaves (leaving) returns runs "; got != want {
		t.Errorf("after a second restore: %q, want %q", got, want)
	}
	tracker.Set(later, eras.Join(2, 9), route.Endpoint{ID: "leaves", Incarnation: 2})
	if got, want := states(), "added leaves returns runs "; got != want {
		t.Errorf("the next start of an endpoint: %q, want %q", got, want)
	}
}

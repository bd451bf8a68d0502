package roster

import (
	"testing"
	"time"

	"lycheepond/core/route"
)

func two() []route.Endpoint { return []route.Endpoint{{ID: "a"}, {ID: "b"}} }

// The platform was down for longer than entries of the list live. At its return
// it has removed all of them, and the endpoints write themselves in again. For
// that second every request would be refused.
func TestEndpointsSurviveTheReturnOfThePlatform(t *testing.T) {
	var b Book
	b.List(0, 10, two())
	b.Away(10 * time.Second)
	b.Back(20 * time.Second)
	now := 20*time.Second + 100*time.Millisecond
	b.Remove(now, 11, "a")
	b.List(now, 12, nil)
	if n := len(b.Roster().Endpoints); n != 2 {
		t.Fatalf("%d endpoints right after the return, want 2", n)
	}
	b.Set(13, route.Endpoint{ID: "a"})
	if !b.Due(now + 3*time.Second) {
		t.Fatal("the removal that stood was not carried out")
	}
	if r := b.Roster(); len(r.Endpoints) != 1 || r.Endpoints[0].ID != "a" || r.Revision != 13 {
		t.Fatalf("%+v", r)
	}
}

// An endpoint that is taken away in calm must get nothing from then on.
func TestRemovalInCalmHoldsAtOnce(t *testing.T) {
	var b Book
	b.List(0, 10, two())
	b.Remove(time.Second, 11, "a")
	if n := len(b.Roster().Endpoints); n != 1 {
		t.Fatalf("%d endpoints, want 1", n)
	}
	b.Away(1500 * time.Millisecond)
	b.Back(2 * time.Second)
	b.Set(11, route.Endpoint{ID: "c"})
	b.Remove(2100*time.Millisecond, 11, "c")
	if n := len(b.Roster().Endpoints); n != 1 {
		t.Fatalf("%d endpoints after one failed call, want 1", n)
	}
	b.Remove(10*time.Second, 12, "b")
	if n := len(b.Roster().Endpoints); n != 0 {
		t.Fatalf("%d endpoints long after an outage, want 0", n)
	}
}

// This entry was cut off from the platform for some seconds, and two seconds
// after its return an endpoint leaves without having said so before. An entry
// that still doubted removals would go on sending to it until it is gone.
func TestRemovalSoonAfterAnOutageIsBelieved(t *testing.T) {
	var b Book
	b.List(0, 10, two())
	b.Away(10 * time.Second)
	b.Back(20 * time.Second)
	b.Remove(22*time.Second, 11, "a")
	if n := len(b.Roster().Endpoints); n != 1 {
		t.Fatalf("%d endpoints, want 1", n)
	}
}

// The platform turned this entry away, and served the others, who know that an
// endpoint has left. When the entry reaches the platform again it holds the
// removal back. Passed on to the others under the platform's newest revision,
// its list brought the endpoint back into use there two seconds after it left.
func TestListWithHeldRemovalsIsNoNewerOne(t *testing.T) {
	var b Book
	b.List(0, 30, two())
	b.Away(2 * time.Second)
	b.Back(11 * time.Second)
	b.Set(36, route.Endpoint{ID: "c"})
	b.Remove(11*time.Second, 37, "a")
	b.Remove(11*time.Second, 38, "b")
	if r := b.Roster(); !b.Doubtful() || r.Revision != 36 || len(r.Endpoints) != 3 {
		t.Fatalf("revision %d with %d endpoints while removals are held back, want 36 with 3", r.Revision, len(r.Endpoints))
	}
	b.Set(39, route.Endpoint{ID: "b"})
	b.Due(14 * time.Second)
	if r := b.Roster(); b.Doubtful() || r.Revision != 39 || len(r.Endpoints) != 2 {
		t.Fatalf("revision %d with %d endpoints afterwards, want 39 with 2", r.Revision, len(r.Endpoints))
	}
}

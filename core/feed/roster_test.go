package feed

import (
	"testing"

	"lycheepond/core/plat"
	"lycheepond/core/store"
)

// The platform becomes unavailable and an entry is replaced. The new entry reads its
// configuration from a peer. Without the instance list it would have no agent to dial
// and refuse every request until the platform is available again.
func TestInstanceListFromPeers(t *testing.T) {
	have, got := store.New(), store.New()
	have.AcceptRoster(plat.Roster{Version: 5, Instances: []plat.Instance{{Name: "a", LinkAddr: "127.0.0.1:1"}}})
	ev, ok := rosterEvent(have)
	if !ok {
		t.Fatal("no instance list to send")
	}
	b := plat.Batch{Events: []plat.Event{class("first", 1), ev}}
	extractRoster(got, &b)
	if r := got.Roster(); r.Version != 5 || len(r.Instances) != 1 {
		t.Errorf("got %+v", r)
	}
	if len(b.Events) != 1 {
		t.Errorf("%d objects left of 1", len(b.Events))
	}
	got.AcceptRoster(plat.Roster{Version: 9})
	b.Events = []plat.Event{ev}
	extractRoster(got, &b)
	if v := got.Roster().Version; v != 9 {
		t.Errorf("an older instance list replaced a newer one: version %d", v)
	}
}

package feed

import (
	"encoding/json"
	"slices"

	"lycheepond/core/plat"
	"lycheepond/core/store"
)

// rosterKind is the kind under which the instance list is sent among the objects of a
// peer. Without it, an entry that starts while the platform is unavailable would have
// classes and customers but no agent to dial.
const rosterKind = "instances"

// rosterEvent returns the instance list as an event for a peer, or false if there is
// none.
func rosterEvent(s *store.Store) (plat.Event, bool) {
	r := s.Roster()
	data, err := json.Marshal(r)
	if r.Version == 0 || err != nil {
		return plat.Event{}, false
	}
	return plat.Event{Object: plat.Object{Kind: rosterKind, Name: rosterKind, Version: r.Version, Data: data}}, true
}

// extractRoster removes the instance list from a peer's objects and puts it in force if
// it is newer.
func extractRoster(s *store.Store, b *plat.Batch) {
	b.Events = slices.DeleteFunc(b.Events, func(ev plat.Event) bool {
		if ev.Object.Kind != rosterKind {
			return false
		}
		var r plat.Roster
		if json.Unmarshal(ev.Object.Data, &r) == nil {
			s.AcceptRoster(r)
		}
		return true
	})
}

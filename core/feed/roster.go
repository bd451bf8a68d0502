package feed

import (
	"encoding/json"
	"slices"

	"lycheepond/core/plat"
	"lycheepond/core/store"
)

// rosterKind marks the instance list among the objects of a peer's answer. An
// entry that starts while the platform is away would otherwise have classes
// and customers but no agent to dial.
const rosterKind = "instances"

// rosterEvent returns the instance list as it goes to a peer.
func rosterEvent(s *store.Store) (plat.Event, bool) {
	r := s.Roster()
	data, err := json.Marshal(r)
	if r.Version == 0 || err != nil {
		return plat.Event{}, false
	}
	return plat.Event{Object: plat.Object{Kind: rosterKind, Name: rosterKind, Version: r.Version, Data: data}}, true
}

// takeRoster takes the instance list out of a peer's answer and puts it in
// force unless a newer one is.
func takeRoster(s *store.Store, b *plat.Batch) {
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

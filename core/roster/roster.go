// Package roster keeps an entry's instance list through outages of the platform.
//
// During an outage, endpoints cannot renew their list items. When the platform returns, it
// removes the items of living endpoints, and the endpoints write them again within one or
// two seconds. An entry that applied each removal immediately would have no endpoints
// during that time and would refuse everything. Removals right after an outage are
// therefore deferred until the endpoints have had time to write their items again. At other
// times removals are applied immediately, because endpoints that leave must not receive new
// requests.
//
// The package uses no network, clock or random source. A Tracker is owned by one goroutine.
package roster

import (
	"cmp"
	"slices"
	"time"

	"lycheepond/core/route"
)

const (
	// deferWindow is the time after an outage in which removals are deferred. Items that
	// expired during the outage are missing from the platform's first answers. A later
	// removal is of an endpoint that left after the outage, and requests sent to it would
	// fail when it stops.
	deferWindow = 500 * time.Millisecond
	// deferTime is the time after an outage at which deferred removals are applied.
	// According to the platform, living endpoints are listed again within about two
	// seconds.
	deferTime = 2200 * time.Millisecond
	// maxHarmlessOutage is the longest outage in which no items of living endpoints expire.
	// Items outlive two lost heartbeats.
	maxHarmlessOutage = time.Second
)

// Tracker tracks the instance list. The zero value is an empty list.
type Tracker struct {
	endpoints map[string]route.Endpoint
	// removalDueAt holds the time at which each deferred removal is to be applied.
	removalDueAt map[string]time.Duration
	revision     int64
	// revisionBeforeDeferred is the revision before the first deferred removal.
	revisionBeforeDeferred int64
	// inOutage is set while the platform does not answer. The outage began at outageSince.
	inOutage    bool
	outageSince time.Duration
	// recoveredAt is the end of the last outage longer than maxHarmlessOutage, valid if
	// hadOutage is set.
	recoveredAt time.Duration
	hadOutage   bool
}

// RecordOutage records that the platform does not answer.
func (t *Tracker) RecordOutage(now time.Duration) {
	if !t.inOutage {
		t.inOutage, t.outageSince = true, now
	}
}

// RecordRecovery records that the platform answers.
func (t *Tracker) RecordRecovery(now time.Duration) {
	if t.inOutage && now-t.outageSince > maxHarmlessOutage {
		t.hadOutage, t.recoveredAt = true, now
	}
	t.inOutage = false
}

// ReplaceAll replaces the list by the one of the given revision.
func (t *Tracker) ReplaceAll(now time.Duration, revision int64, all []route.Endpoint) {
	t.init()
	listed := make(map[string]bool, len(all))
	for _, e := range all {
		listed[e.ID] = true
		t.endpoints[e.ID] = e
		delete(t.removalDueAt, e.ID)
	}
	for id := range t.endpoints {
		if !listed[id] {
			t.removeOrDefer(now, id)
		}
	}
	t.revision = max(t.revision, revision)
}

// Set adds or replaces an endpoint.
func (t *Tracker) Set(revision int64, e route.Endpoint) {
	t.init()
	t.endpoints[e.ID] = e
	delete(t.removalDueAt, e.ID)
	t.revision = max(t.revision, revision)
}

// Remove records that an endpoint is no longer listed.
func (t *Tracker) Remove(now time.Duration, revision int64, id string) {
	t.init()
	if _, ok := t.endpoints[id]; ok {
		t.removeOrDefer(now, id)
	}
	t.revision = max(t.revision, revision)
}

func (t *Tracker) removeOrDefer(now time.Duration, id string) {
	if !t.hadOutage || now-t.recoveredAt > deferWindow {
		delete(t.endpoints, id)
		delete(t.removalDueAt, id)
		return
	}
	if len(t.removalDueAt) == 0 {
		t.revisionBeforeDeferred = t.revision
	}
	if _, ok := t.removalDueAt[id]; !ok {
		t.removalDueAt[id] = t.recoveredAt + deferTime
	}
}

// ApplyDeferred applies the deferred removals that are due and reports whether there were
// any.
func (t *Tracker) ApplyDeferred(now time.Duration) bool {
	n := len(t.removalDueAt)
	for id, dueAt := range t.removalDueAt {
		if now >= dueAt {
			delete(t.removalDueAt, id)
			delete(t.endpoints, id)
		}
	}
	return len(t.removalDueAt) < n
}

// HasDeferred reports whether removals are deferred.
func (t *Tracker) HasDeferred() bool { return len(t.removalDueAt) > 0 }

// Roster returns the current list, ordered by ID. While removals are deferred, it has the
// revision from before the first of them. With a newer revision, entries that have applied
// the removals would treat it as a newer list and use endpoints again that have left.
func (t *Tracker) Roster() route.Roster {
	r := route.Roster{Revision: t.revision}
	if t.HasDeferred() {
		r.Revision = t.revisionBeforeDeferred
	}
	for _, e := range t.endpoints {
		r.Endpoints = append(r.Endpoints, e)
	}
	slices.SortFunc(r.Endpoints, func(x, y route.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	return r
}

func (t *Tracker) init() {
	if t.endpoints == nil {
		t.endpoints, t.removalDueAt = make(map[string]route.Endpoint), make(map[string]time.Duration)
	}
}

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
// A platform that comes back with an older copy of the list, in a new era as package eras
// has it, may lack endpoints that run, so removals are deferred then too. The copy may also
// list endpoints that had said that they leave, or were gone. The former keep leaving until
// their items change; the latter are not used unless they are still listed some time later.
//
// The package uses no network, clock or random source. A Tracker is owned by one goroutine.
package roster

import (
	"cmp"
	"slices"
	"time"

	"lycheepond/core/eras"
	"lycheepond/core/recent"
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
	// returnTime is how long an endpoint that was gone must be listed again in a new era
	// before it is used. The platform removes the item of an endpoint that has ended within
	// a few heartbeats.
	returnTime = 6 * time.Second
	// maxGone bounds the memory for endpoints that are gone.
	maxGone = 1024
)

// Tracker tracks the instance list. The zero value is an empty list.
type Tracker struct {
	endpoints map[string]route.Endpoint
	// changedAt holds the revision of the last change of each endpoint.
	changedAt map[string]int64
	// gone holds the starts of endpoints that were removed. returning holds those that a
	// later era lists again, which are not used yet.
	gone      *recent.Table[string, goneStart]
	returning map[string]returningStart
	// removalDueAt holds the time at which each deferred removal is to be applied.
	removalDueAt map[string]time.Duration
	revision     int64
	// returnedRevision is the revision of the list that Roster returned last, which is older
	// than all removals since. While removals are deferred it stays as it is.
	returnedRevision int64
	// inOutage is set while the platform does not answer. The outage began at outageSince.
	inOutage    bool
	outageSince time.Duration
	// recoveredAt is the end of the last outage longer than maxHarmlessOutage, valid if
	// hadOutage is set.
	recoveredAt time.Duration
	hadOutage   bool
}

// goneStart is a start of an endpoint that was removed at a revision.
type goneStart struct {
	incarnation, removedAt int64
}

// returningStart is an endpoint that is to be used from dueAt on.
type returningStart struct {
	endpoint route.Endpoint
	revision int64
	dueAt    time.Duration
}

// RecordOutage records that the platform does not answer.
func (t *Tracker) RecordOutage(now time.Duration) {
	if !t.inOutage {
		t.inOutage, t.outageSince = true, now
	}
}

// RecordRecovery records that the platform answers. inForce is the list in force at the entry.
// If that is newer, because a peer sent it during the outage, it replaces the list: what the
// peer knows to be gone is not deferred.
func (t *Tracker) RecordRecovery(now time.Duration, inForce route.Roster) {
	if t.inOutage && now-t.outageSince > maxHarmlessOutage {
		if inForce.Revision > t.revision && !t.HasDeferred() {
			t.adopt(inForce)
		}
		t.hadOutage, t.recoveredAt = true, now
	}
	t.inOutage = false
}

// adopt replaces the list by one that a peer sent.
func (t *Tracker) adopt(r route.Roster) {
	t.init()
	listed := make(map[string]bool, len(r.Endpoints))
	for _, e := range r.Endpoints {
		listed[e.ID] = true
		t.endpoints[e.ID], t.changedAt[e.ID] = e, r.Revision
	}
	for id := range t.endpoints {
		if !listed[id] {
			t.remove(id)
		}
	}
	t.revision, t.returnedRevision = r.Revision, r.Revision
}

// ReplaceAll replaces the list by the one of the given revision.
func (t *Tracker) ReplaceAll(now time.Duration, revision int64, all []route.Endpoint) {
	t.init()
	t.noteEra(now, revision)
	listed := make(map[string]bool, len(all))
	for _, e := range all {
		listed[e.ID] = true
		t.put(now, revision, e)
	}
	for id := range t.endpoints {
		if !listed[id] {
			t.removeOrDefer(now, id)
		}
	}
	for id := range t.returning {
		if !listed[id] {
			delete(t.returning, id)
		}
	}
	t.revision = max(t.revision, revision)
}

// Set adds or replaces an endpoint, whose item changed at a revision.
func (t *Tracker) Set(now time.Duration, revision int64, e route.Endpoint) {
	t.init()
	t.noteEra(now, revision)
	t.put(now, revision, e)
	t.revision = max(t.revision, revision)
}

// noteEra records that the platform has come back with an older copy if revision is of a new
// era.
func (t *Tracker) noteEra(now time.Duration, revision int64) {
	if t.revision > 0 && eras.Era(revision) > eras.Era(t.revision) {
		t.hadOutage, t.recoveredAt = true, now
	}
}

// put adds or replaces an endpoint.
func (t *Tracker) put(now time.Duration, revision int64, e route.Endpoint) {
	delete(t.removalDueAt, e.ID)
	if g := t.gone.Peek(e.ID); g != nil && g.incarnation == e.Incarnation && eras.Era(revision) > eras.Era(g.removedAt) {
		if r, ok := t.returning[e.ID]; !ok || r.revision == revision {
			dueAt := now + returnTime
			if ok {
				dueAt = r.dueAt
			}
			t.returning[e.ID] = returningStart{e, revision, dueAt}
			return
		}
		// The item has changed since: the endpoint runs.
	}
	delete(t.returning, e.ID)
	if old, ok := t.endpoints[e.ID]; ok && old.Incarnation == e.Incarnation && eras.Era(revision) > eras.Era(t.changedAt[e.ID]) {
		e.Leaving = e.Leaving || old.Leaving
	}
	t.endpoints[e.ID], t.changedAt[e.ID] = e, revision
}

// remove removes an endpoint.
func (t *Tracker) remove(id string) {
	*t.gone.GetOrAdd(id) = goneStart{t.endpoints[id].Incarnation, t.revision}
	delete(t.endpoints, id)
	delete(t.changedAt, id)
	delete(t.removalDueAt, id)
}

// Remove records that an endpoint is no longer listed.
func (t *Tracker) Remove(now time.Duration, revision int64, id string) {
	t.init()
	t.noteEra(now, revision)
	delete(t.returning, id)
	if _, ok := t.endpoints[id]; ok {
		t.removeOrDefer(now, id)
	}
	t.revision = max(t.revision, revision)
}

func (t *Tracker) removeOrDefer(now time.Duration, id string) {
	if !t.hadOutage || now-t.recoveredAt > deferWindow {
		t.remove(id)
		return
	}
	if _, ok := t.removalDueAt[id]; !ok {
		t.removalDueAt[id] = t.recoveredAt + deferTime
	}
}

// ApplyDeferred applies the deferred changes that are due and reports whether there were any.
func (t *Tracker) ApplyDeferred(now time.Duration) bool {
	n := len(t.removalDueAt) + len(t.returning)
	for id, dueAt := range t.removalDueAt {
		if now >= dueAt {
			t.remove(id)
		}
	}
	for id, r := range t.returning {
		if now >= r.dueAt {
			delete(t.returning, id)
			t.endpoints[id], t.changedAt[id] = r.endpoint, r.revision
		}
	}
	return len(t.removalDueAt)+len(t.returning) < n
}

// HasDeferred reports whether removals are deferred.
func (t *Tracker) HasDeferred() bool { return len(t.removalDueAt) > 0 }

// Roster returns the current list, ordered by ID. While removals are deferred, it keeps the
// revision of the list returned before. With a newer one, entries that have applied the
// removals would treat it as a newer list and use endpoints again that have left. The revisions
// of removals don't tell: after an outage they are that of the whole list.
func (t *Tracker) Roster() route.Roster {
	if !t.HasDeferred() {
		t.returnedRevision = t.revision
	}
	r := route.Roster{Revision: t.returnedRevision}
	for _, e := range t.endpoints {
		r.Endpoints = append(r.Endpoints, e)
	}
	slices.SortFunc(r.Endpoints, func(x, y route.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	return r
}

func (t *Tracker) init() {
	if t.endpoints == nil {
		t.endpoints, t.changedAt, t.removalDueAt = make(map[string]route.Endpoint), make(map[string]int64), make(map[string]time.Duration)
		t.gone, t.returning = recent.New[string, goneStart](maxGone), make(map[string]returningStart)
	}
}

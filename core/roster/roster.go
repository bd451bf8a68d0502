// Package roster keeps the instance list of an entry through the platform's
// outages.
//
// The load it answers is an outage of the platform during which endpoints
// cannot renew their entries. When the platform returns, the entries of living
// endpoints are removed and written again within a second or two. An entry that
// believed each removal at once would have nobody to send to just then, and
// refuse everything. So a removal that comes right after an outage is believed
// only once its endpoint had time to write itself in again; in calm it is
// believed at once, because endpoints that leave must get nothing new.
//
// It uses no network, clock or random source. One goroutine owns a Book.
package roster

import (
	"cmp"
	"slices"
	"time"

	"lycheepond/core/route"
)

const (
	// settle is how long after an outage removals are in doubt: entries ran out
	// during it, so they stand in the platform's first answers. A removal that
	// comes later is of an endpoint that left after the outage, and sending on
	// to it would hit it as it ends.
	settle = 500 * time.Millisecond
	// doubt is how long after an outage its removals are held back. The platform
	// says that living endpoints are back within about two seconds.
	doubt = 2200 * time.Millisecond
	// shortOutage is how long the platform may be away without entries of
	// living endpoints running out: they outlive two lost heartbeats.
	shortOutage = time.Second
)

// Book is the instance list. Its zero value is empty.
type Book struct {
	endpoints map[string]route.Endpoint
	// removed holds when the removal of an endpoint is to be believed.
	removed  map[string]time.Duration
	revision int64
	// sure is the revision before the first of the removals that are held back.
	sure int64
	// away is set while the platform does not answer, since when stands in
	// since.
	away  bool
	since time.Duration
	// back is the end of the last outage that was not short; valid if wasAway.
	back    time.Duration
	wasAway bool
}

// Away notes that the platform does not answer.
func (b *Book) Away(now time.Duration) {
	if !b.away {
		b.away, b.since = true, now
	}
}

// Back notes that the platform answers.
func (b *Book) Back(now time.Duration) {
	if b.away && now-b.since > shortOutage {
		b.wasAway, b.back = true, now
	}
	b.away = false
}

// List takes in the whole list at a revision.
func (b *Book) List(now time.Duration, revision int64, all []route.Endpoint) {
	b.init()
	named := make(map[string]bool, len(all))
	for _, e := range all {
		named[e.ID] = true
		b.endpoints[e.ID] = e
		delete(b.removed, e.ID)
	}
	for id := range b.endpoints {
		if !named[id] {
			b.remove(now, id)
		}
	}
	b.revision = max(b.revision, revision)
}

// Set takes in a new or changed endpoint.
func (b *Book) Set(revision int64, e route.Endpoint) {
	b.init()
	b.endpoints[e.ID] = e
	delete(b.removed, e.ID)
	b.revision = max(b.revision, revision)
}

// Remove takes in that an endpoint is no longer listed.
func (b *Book) Remove(now time.Duration, revision int64, id string) {
	b.init()
	if _, ok := b.endpoints[id]; ok {
		b.remove(now, id)
	}
	b.revision = max(b.revision, revision)
}

func (b *Book) remove(now time.Duration, id string) {
	if !b.wasAway || now-b.back > settle {
		delete(b.endpoints, id)
		delete(b.removed, id)
		return
	}
	if len(b.removed) == 0 {
		b.sure = b.revision
	}
	if _, ok := b.removed[id]; !ok {
		b.removed[id] = b.back + doubt
	}
}

// Due carries out removals whose doubt is over and reports whether there were
// any.
func (b *Book) Due(now time.Duration) bool {
	n := len(b.removed)
	for id, at := range b.removed {
		if now >= at {
			delete(b.removed, id)
			delete(b.endpoints, id)
		}
	}
	return len(b.removed) < n
}

// Doubtful reports whether removals are held back.
func (b *Book) Doubtful() bool { return len(b.removed) > 0 }

// Roster returns the list in force, ordered by ID. While removals are held back
// it has the revision from before them: under a newer one it would pass for
// newer knowledge among entries that have believed the removals, and bring
// endpoints that have left back into use there.
func (b *Book) Roster() route.Roster {
	r := route.Roster{Revision: b.revision}
	if b.Doubtful() {
		r.Revision = b.sure
	}
	for _, e := range b.endpoints {
		r.Endpoints = append(r.Endpoints, e)
	}
	slices.SortFunc(r.Endpoints, func(x, y route.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	return r
}

func (b *Book) init() {
	if b.endpoints == nil {
		b.endpoints, b.removed = make(map[string]route.Endpoint), make(map[string]time.Duration)
	}
}

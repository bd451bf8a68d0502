// Package drain tracks which endpoints have stated in their answers that they are leaving.
//
// The instance list states it too, but the list cannot change while the platform accepts no
// writes, and an older copy of it may arrive later. An endpoint that is leaving ends soon, so
// a statement holds for good. It is about one process: a later start of an endpoint with the
// same ID is not leaving. Entries report the statements to each other.
//
// The package uses no network, clock or random source. A Tracker is owned by one goroutine.
package drain

import (
	"strconv"

	"lycheepond/core/recent"
)

const (
	// maxEndpoints bounds the memory of a Tracker. The endpoints that have not been looked
	// up for the longest time are forgotten first; they are no longer listed.
	maxEndpoints = 4096
	// maxReports bounds the number of reports returned by one call.
	maxReports = 64
)

// Start identifies a process: an endpoint's ID and the incarnation by which the instance list
// tells its starts apart. Later starts have higher incarnations.
type Start struct {
	Endpoint    string
	Incarnation int64
}

// ID returns the start as one string.
func (s Start) ID() string {
	if s.Incarnation == 0 {
		return s.Endpoint
	}
	return s.Endpoint + "@" + strconv.FormatInt(s.Incarnation, 10)
}

// Tracker tracks which starts of endpoints are leaving.
type Tracker struct {
	// latest holds, by endpoint, the latest start that is leaving. All earlier ones have
	// ended.
	latest *recent.Table[string, statement]
}

// statement is what is known of an endpoint.
type statement struct {
	incarnation int64
	// known is false only in the zero value.
	known bool
	// own is set if an answer to this entry stated it, unreported while that has not been
	// reported to the peers.
	own, unreported bool
}

// New returns a tracker for which no endpoint is leaving.
func New() *Tracker { return &Tracker{latest: recent.New[string, statement](maxEndpoints)} }

// Record records that an answer to this entry stated that an endpoint is leaving. It reports
// whether that was not known.
func (t *Tracker) Record(s Start) (isNew bool) { return t.record(s, true) }

// Merge records a peer's report. It reports whether it was not known.
func (t *Tracker) Merge(s Start) (isNew bool) { return t.record(s, false) }

func (t *Tracker) record(s Start, own bool) (isNew bool) {
	if t.IsLeaving(s) {
		return false
	}
	*t.latest.GetOrAdd(s.Endpoint) = statement{incarnation: s.Incarnation, known: true, own: own, unreported: own}
	return true
}

// IsLeaving reports whether a start of an endpoint is leaving.
func (t *Tracker) IsLeaving(s Start) bool {
	l := t.latest.Find(s.Endpoint)
	return l != nil && l.known && s.Incarnation <= l.incarnation
}

// Reports returns the starts that this entry has recorded since they were last reported, at
// most maxReports. If resend is set, for a new peer, it also returns earlier ones, over
// several calls if needed.
func (t *Tracker) Reports(resend bool) []Start {
	var out []Start
	t.latest.Each(func(id string, l *statement) {
		l.unreported = l.unreported || resend && l.own
		if !l.unreported || len(out) >= maxReports {
			return
		}
		l.unreported = false
		out = append(out, Start{Endpoint: id, Incarnation: l.incarnation})
	})
	return out
}

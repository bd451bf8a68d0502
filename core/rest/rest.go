// Package rest tracks the endpoints that have asked for a rest: to get no requests from an
// entry for a time.
//
// An overloaded endpoint turns a request away and says for how long it wants none. Without
// this package it would look idle soon, since it runs little, and get all the more requests,
// only to turn them away. At the end of a rest the endpoint gets its slots back one after the
// other, so that what has waited does not reach it at once.
//
// The package uses no network, clock or random source. A Tracker is owned by one goroutine.
package rest

import (
	"math"
	"time"
)

const (
	// MaxTime is the longest rest that an endpoint may ask for.
	MaxTime = 10 * time.Minute
	// rampTime is the time after a rest in which the endpoint gets its slots back.
	rampTime = time.Second
	// maxSpread and maxSpreadShare bound by how much a rest is prolonged, so that the
	// entries that were asked together do not return together.
	maxSpread      = 400 * time.Millisecond
	maxSpreadShare = 0.2
	// maxRests bounds the memory of a Tracker.
	maxRests = 4096
	// minReportedGain is by how much the end of a rest must have moved to be reported
	// again. Each request that an endpoint turns away moves it a little.
	minReportedGain = 250 * time.Millisecond
)

// Tracker tracks the rests that endpoints have asked one entry for. The zero value tracks
// none.
type Tracker struct {
	// rests has at most maxRests elements.
	rests map[string]*rest
}

// rest is the rest of one start of an endpoint.
type rest struct {
	endsAt time.Duration
	// reportedEnd is endsAt as last reported, valid if isReported is set.
	reportedEnd time.Duration
	isReported  bool
}

// Change is the effect of a request for a rest.
type Change uint8

// Changes.
const (
	// Rejected means that the time is negative or longer than MaxTime.
	Rejected Change = iota
	// Unchanged means that the endpoint has asked for a rest as long already, or that too
	// many others rest.
	Unchanged
	// Prolonged means that its rest ends later, Begun that it had none.
	Prolonged
	Begun
)

// Ask records that a start of an endpoint has asked for a rest of d. spread, from 0 to 1, is
// the part of the longest prolongation that applies to this entry.
func (t *Tracker) Ask(now time.Duration, id string, d time.Duration, spread float64) Change {
	if d < 0 || d > MaxTime {
		return Rejected
	}
	longest := min(maxSpread, time.Duration(maxSpreadShare*float64(d)))
	return t.extend(now, id, now+d+time.Duration(spread*float64(longest)))
}

// Set records a rest that another entry has reported, with the time that is left of it.
func (t *Tracker) Set(now time.Duration, id string, left time.Duration) {
	if left >= 0 && left <= MaxTime+maxSpread {
		t.extend(now, id, now+left)
	}
}

func (t *Tracker) extend(now time.Duration, id string, endsAt time.Duration) Change {
	r := t.rests[id]
	switch {
	case endsAt <= now || r != nil && endsAt <= r.endsAt || r == nil && len(t.rests) >= maxRests:
		return Unchanged
	case r == nil:
		if t.rests == nil {
			t.rests = make(map[string]*rest)
		}
		t.rests[id] = &rest{endsAt: endsAt}
		return Begun
	}
	wasOver := r.endsAt <= now
	r.endsAt = endsAt
	if wasOver {
		return Begun
	}
	return Prolonged
}

// Empty reports whether no endpoint rests or has just ended its rest.
func (t *Tracker) Empty() bool { return len(t.rests) == 0 }

// Left returns how much is left of the rest of an endpoint, zero if it does not rest.
func (t *Tracker) Left(now time.Duration, id string) time.Duration {
	r := t.rests[id]
	if r == nil {
		return 0
	}
	return max(r.endsAt-now, 0)
}

// Slots returns how many of an endpoint's slots may be used: fewer right after a rest.
func (t *Tracker) Slots(now time.Duration, id string, slots int) int {
	r := t.rests[id]
	if r == nil || now >= r.endsAt+rampTime {
		return slots
	}
	elapsed := max(now-r.endsAt, 0)
	return min(max(int(math.Ceil(float64(slots)*float64(elapsed)/float64(rampTime))), 1), slots)
}

// ReturnDelay returns how much later than the end of a rest a refused caller is to return, so
// that callers come back as slots do, those of higher tiers first. tierRank is the index of the
// caller's tier among tierCount tiers, zero for the highest, and draw a number from 0 to 1 that
// differs between callers.
func ReturnDelay(tierRank, tierCount int, draw float64) time.Duration {
	return time.Duration((float64(tierRank) + draw) / float64(max(tierCount, 1)) * float64(rampTime))
}

// Sweep forgets the rests that have ended.
func (t *Tracker) Sweep(now time.Duration) {
	for id, r := range t.rests {
		if now >= r.endsAt+rampTime {
			delete(t.rests, id)
		}
	}
}

// Report is a rest as reported to other entries.
type Report struct {
	Endpoint string
	Left     time.Duration
}

// Reports returns the rests that have changed since they were last reported, or all of them
// if all is set.
func (t *Tracker) Reports(now time.Duration, all bool) []Report {
	var out []Report
	for id, r := range t.rests {
		isNew := !r.isReported || r.endsAt-r.reportedEnd >= minReportedGain
		if left := r.endsAt - now; left > 0 && (all || isNew) {
			r.reportedEnd, r.isReported = r.endsAt, true
			out = append(out, Report{Endpoint: id, Left: left})
		}
	}
	return out
}

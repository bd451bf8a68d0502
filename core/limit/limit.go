// Package limit shares out among the entries how many requests a second an endpoint
// takes from all of them together.
//
// The load it answers is an endpoint in need that names such a number in its answers.
// Entries that kept it each by itself would send as many times that as there are
// entries; a fixed part for each would leave most of it unused where few of them have
// requests for the endpoint. So every entry counts its own requests there and takes in
// the totals that the others tell, and all fill and drain the same bucket in effect.
// Each begins at another level of it, so that they do not all take the same request's
// worth before they have heard of each other.
//
// It uses no network, clock or random source. One goroutine owns a Book.
package limit

import (
	"math"
	"time"
)

const (
	// step is by how much later than the one before it in order an entry takes from a
	// bucket, in requests: at a few requests a second more than it takes to hear of each
	// other.
	step = 0.25
	// spare is how many requests a bucket holds beyond what the last in order waits for.
	spare = 2
	// leastRate is the least rate in requests a second: the end of a limit shows only in
	// an answer.
	leastRate = 0.2
	// debtFor is for how long a bucket may be overdrawn by what others have sent.
	debtFor = time.Second
	// maxEndpoints bounds the endpoints of which a limit is known.
	maxEndpoints = 1 << 14
)

// Share is an entry's part in the limits.
type Share struct {
	// Part is the part of a limit that it may use, with all those that it hears.
	Part float64
	// Turn is its place in their order and Entries how many they are, at least one.
	Turn, Entries int
}

// Book keeps the limits of endpoints.
type Book struct {
	endpoints map[string]*endpoint
}

type endpoint struct {
	// rate is how many requests a second it takes, valid if limited.
	rate    float64
	limited bool
	// at is when the answer came that says so.
	at time.Duration
	// level is how many more requests may be sent, as of filled.
	level  float64
	filled time.Duration
	// used is how many requests this entry has sent, peers what the others told of
	// theirs.
	used  float64
	peers map[string]float64
	// changed is set while the peers have not been told.
	changed bool
}

// New returns an empty book.
func New() *Book { return &Book{endpoints: make(map[string]*endpoint)} }

// Answered takes in what an answer to a request sent at a time says of its endpoint's
// limit, and reports whether that has changed. An answer without one ends a limit only
// if its request was sent after the last answer with one came: heads may overtake each
// other.
func (b *Book) Answered(now time.Duration, id string, sent time.Duration, rate float64, limited bool) (changed bool) {
	e := b.endpoints[id]
	switch {
	case e == nil && !limited, e != nil && !limited && (!e.limited || sent <= e.at):
		return false
	case e == nil:
		if e = b.add(now, id); e == nil {
			return false
		}
	}
	changed = e.set(now, now, rate, limited)
	e.changed = e.changed || changed
	return changed
}

// add returns a new endpoint with an empty bucket, nil if there are too many.
func (b *Book) add(now time.Duration, id string) *endpoint {
	if len(b.endpoints) >= maxEndpoints {
		return nil
	}
	e := &endpoint{filled: now, peers: make(map[string]float64)}
	b.endpoints[id] = e
	return e
}

// set takes in what an answer that came at a time says.
func (e *endpoint) set(now, at time.Duration, rate float64, limited bool) (changed bool) {
	rate = max(rate, leastRate)
	changed = limited != e.limited || limited && rate != e.rate
	if limited && !e.limited {
		e.level, e.filled = min(e.level, 0), now
	}
	e.rate, e.limited, e.at = rate, limited, at
	return changed
}

// Limited returns the limit of an endpoint and whether it has one.
func (b *Book) Limited(id string) (rate float64, ok bool) {
	e := b.endpoints[id]
	if e == nil || !e.limited {
		return 0, false
	}
	return e.rate, true
}

// Room returns how many requests may be sent to an endpoint now and, if that is none,
// after how long one may. An endpoint without a limit has no bound.
func (b *Book) Room(now time.Duration, id string, s Share) (n int, next time.Duration) {
	e := b.endpoints[id]
	if e == nil || !e.limited {
		return math.MaxInt, 0
	}
	e.fill(now, s)
	left := e.level - float64(s.Turn)*step
	if left >= 1 {
		return int(left), 0
	}
	return 0, time.Duration((1 - left) / (e.rate * s.part()) * float64(time.Second))
}

func (s Share) part() float64 { return max(s.Part, 1e-3) }

// fill adds what has become free since the last call.
func (e *endpoint) fill(now time.Duration, s Share) {
	if passed := now - e.filled; passed > 0 {
		e.level += passed.Seconds() * e.rate * s.part()
	}
	e.filled = now
	others := float64(max(s.Entries, 1) - 1)
	e.level = min(e.level, spare+others*step)
	// What others sent before they had heard of each other is paid back, and no more.
	e.level = max(e.level, -others-debtFor.Seconds()*e.rate)
}

// Take counts a request that is sent to an endpoint.
func (b *Book) Take(id string) { b.count(id, 1) }

// Return takes back a request that did not reach its endpoint.
func (b *Book) Return(id string) { b.count(id, -1) }

func (b *Book) count(id string, n float64) {
	if e := b.endpoints[id]; e != nil && e.limited {
		e.used += n
		e.level -= n
		e.changed = true
	}
}

// Keep forgets the endpoints that are not known any more.
func (b *Book) Keep(known func(id string) bool) {
	for id := range b.endpoints {
		if !known(id) {
			delete(b.endpoints, id)
		}
	}
}

// Word is what an entry tells the others of an endpoint.
type Word struct {
	Endpoint string
	// Rate is the limit, valid if Limited, and Age how long ago the answer came that says
	// so.
	Rate    float64
	Limited bool
	Age     time.Duration
	// Used is how many requests it has sent there while it had a limit, since it started.
	Used float64
}

// Tell returns what the peers have not been told, or all that is known.
func (b *Book) Tell(now time.Duration, all bool) []Word {
	var out []Word
	for id, e := range b.endpoints {
		if !all && !e.changed {
			continue
		}
		e.changed = false
		out = append(out, Word{Endpoint: id, Rate: e.rate, Limited: e.limited, Age: max(now-e.at, 0), Used: e.used})
	}
	return out
}

// Told takes in what a peer tells, and reports whether the limit has changed. The latest
// answer counts, whoever got it.
func (b *Book) Told(now time.Duration, peer string, w Word) (changed bool) {
	e := b.endpoints[w.Endpoint]
	if e == nil {
		if !w.Limited {
			return false
		}
		if e = b.add(now, w.Endpoint); e == nil {
			return false
		}
	}
	if at := now - w.Age; at > e.at || w.Limited && !e.limited && e.rate == 0 {
		changed = e.set(now, at, w.Rate, w.Limited)
	}
	before, known := e.peers[peer]
	e.peers[peer] = w.Used
	if known {
		e.level -= w.Used - before
	} else {
		// What a peer sent before it was heard is long ago, but for the last.
		e.level -= min(w.Used, 1)
	}
	return changed
}

// Forget drops the totals of a peer, which counts from zero again.
func (b *Book) Forget(peer string) {
	for _, e := range b.endpoints {
		delete(e.peers, peer)
	}
}

// Package limit enforces rate limits that endpoints name, over all entries together.
//
// The load it answers is an endpoint in need that states in its answers how many requests
// a second it takes in all. If each entry enforced the limit by itself, the endpoint would
// get a multiple of it; fixed shares would leave most of it unused while only some entries
// have requests for it. Here every entry keeps a token bucket with the whole rate, and
// takes its own requests and those that peers report out of it. The entries take tokens at
// different levels, so that they do not all spend the same one before they have heard of
// each other.
//
// It uses no network, clock or random source. One goroutine owns a Book.
package limit

import (
	"math"
	"time"
)

const (
	// levelStep is the difference in level, in tokens, at which entries take.
	levelStep = 0.25
	// spareTokens is the capacity of a bucket beyond the highest of these levels.
	spareTokens = 2
	// minRate is the lowest rate, in requests a second: only an answer can end a limit.
	minRate = 0.2
	// maxDebt bounds how far peers can overdraw a bucket, in seconds of its rate.
	maxDebt = 1
	// maxEndpoints bounds the memory of a Book.
	maxEndpoints = 1 << 14
	// maxReports bounds the reports of one call.
	maxReports = 64
)

// Share is an entry's share in a limit.
type Share struct {
	// Part is the part of the rate that this entry and the peers that it hears may use.
	Part float64
	// Rank is the entry's rank among Entries, which is at least one.
	Rank, Entries int
}

// Book tracks the limits of endpoints.
type Book struct {
	// endpoints has at most maxEndpoints entries.
	endpoints map[string]*bucket
}

// bucket is the token bucket of an endpoint.
type bucket struct {
	// rate is in requests a second, valid if limited.
	rate    float64
	limited bool
	// observed is when the answer arrived that stated rate and limited.
	observed time.Duration
	// tokens is the level at time filled; negative if peers have overdrawn it.
	tokens float64
	filled time.Duration
	// sent counts requests of this entry, peers holds the counts that peers reported.
	sent  float64
	peers map[string]float64
	// dirty is set while peers have not been told of the latest change.
	dirty bool
}

// New returns an empty Book.
func New() *Book { return &Book{endpoints: make(map[string]*bucket)} }

// Observe records what an answer states about its endpoint's limit, and reports whether
// that is new. An answer that states no limit ends one only if its request was sent after
// the last answer that did: answers may overtake each other.
func (b *Book) Observe(now time.Duration, id string, sent time.Duration, rate float64, limited bool) (changed bool) {
	k := b.endpoints[id]
	if !limited && (k == nil || !k.limited || sent <= k.observed) {
		return false
	}
	if k == nil {
		if k = b.add(now, id); k == nil {
			return false
		}
	}
	changed = k.set(now, now, rate, limited)
	k.dirty = k.dirty || changed
	return changed
}

// add returns the bucket of a new endpoint, nil if there are too many.
func (b *Book) add(now time.Duration, id string) *bucket {
	if len(b.endpoints) >= maxEndpoints {
		return nil
	}
	k := &bucket{filled: now, peers: make(map[string]float64)}
	b.endpoints[id] = k
	return k
}

func (k *bucket) set(now, observed time.Duration, rate float64, limited bool) (changed bool) {
	rate = max(rate, minRate)
	changed = limited != k.limited || limited && rate != k.rate
	if limited && !k.limited {
		k.tokens, k.filled = min(k.tokens, 0), now
	}
	k.rate, k.limited, k.observed = rate, limited, observed
	return changed
}

// Empty reports whether no limit is known.
func (b *Book) Empty() bool { return len(b.endpoints) == 0 }

// Rate returns the limit of an endpoint in requests a second and whether it has one.
func (b *Book) Rate(id string) (rate float64, ok bool) {
	k := b.endpoints[id]
	if k == nil || !k.limited {
		return 0, false
	}
	return k.rate, true
}

// Available returns how many requests may be sent to an endpoint now and, if none, the
// time until one may.
func (b *Book) Available(now time.Duration, id string, s Share) (n int, wait time.Duration) {
	k := b.endpoints[id]
	if k == nil || !k.limited {
		return math.MaxInt, 0
	}
	k.fill(now, s)
	tokens := k.tokens - float64(s.Rank)*levelStep
	if tokens >= 1 {
		return int(tokens), 0
	}
	return 0, time.Duration((1 - tokens) / s.rate(k) * float64(time.Second))
}

// rate returns the rate at which an entry fills a bucket.
func (s Share) rate(k *bucket) float64 { return k.rate * max(s.Part, 1e-3) }

func (k *bucket) fill(now time.Duration, s Share) {
	if elapsed := now - k.filled; elapsed > 0 {
		k.tokens += elapsed.Seconds() * s.rate(k)
	}
	k.filled = now
	peers := float64(max(s.Entries, 1) - 1)
	k.tokens = min(k.tokens, spareTokens+peers*levelStep)
	k.tokens = max(k.tokens, -peers-maxDebt*k.rate)
}

// Take records a request that is sent to an endpoint.
func (b *Book) Take(id string) { b.spend(id, 1) }

// Return takes back a request that did not reach its endpoint.
func (b *Book) Return(id string) { b.spend(id, -1) }

func (b *Book) spend(id string, n float64) {
	if k := b.endpoints[id]; k != nil && k.limited {
		k.sent += n
		k.tokens -= n
		k.dirty = true
	}
}

// Keep forgets all endpoints but those that are known.
func (b *Book) Keep(known func(id string) bool) {
	for id := range b.endpoints {
		if !known(id) {
			delete(b.endpoints, id)
		}
	}
}

// Report is what an entry knows of the limit of an endpoint.
type Report struct {
	Endpoint string
	// Rate is in requests a second, valid if Limited; Age is the age of the answer that
	// stated it.
	Rate    float64
	Limited bool
	Age     time.Duration
	// Sent counts the requests that the entry has sent under limits since it started.
	Sent float64
}

// Reports returns reports on endpoints that changed since they were last reported, at most
// maxReports. If again is set it also reports, by and by, the limits under which this entry
// has sent requests, for a new peer.
func (b *Book) Reports(now time.Duration, again bool) []Report {
	var out []Report
	for id, k := range b.endpoints {
		k.dirty = k.dirty || again && k.limited && k.sent > 0
		if !k.dirty || len(out) >= maxReports {
			continue
		}
		k.dirty = false
		out = append(out, Report{Endpoint: id, Rate: k.rate, Limited: k.limited, Age: max(now-k.observed, 0), Sent: k.sent})
	}
	return out
}

// Merge merges a peer's report and returns whether the limit has changed. The latest
// answer prevails, whichever entry observed it.
func (b *Book) Merge(now time.Duration, peer string, r Report) (changed bool) {
	k := b.endpoints[r.Endpoint]
	added := k == nil
	if added {
		if !r.Limited {
			return false
		}
		if k = b.add(now, r.Endpoint); k == nil {
			return false
		}
	}
	if at := now - r.Age; added || at > k.observed {
		changed = k.set(now, at, r.Rate, r.Limited)
	}
	before, known := k.peers[peer]
	k.peers[peer] = r.Sent
	if known {
		k.tokens -= r.Sent - before
	} else {
		// Most of what the peer sent before the first report was sent long ago.
		k.tokens -= min(r.Sent, 1)
	}
	return changed
}

// Forget drops the counts of a peer that was restarted.
func (b *Book) Forget(peer string) {
	for _, k := range b.endpoints {
		delete(k.peers, peer)
	}
}

// Package limit enforces, over all entries together, the rate limits that endpoints state.
//
// An overloaded endpoint states in its answers how many requests per second it accepts in
// total. If each entry enforced the limit separately, the endpoint would receive a multiple
// of it. With fixed shares, most of the limit would be unused while only some entries have
// requests for the endpoint. Instead, each entry keeps a token bucket with the whole rate
// and takes tokens for its own requests and for those that its peers report. Entries
// require different token levels before they send, so that they do not all spend the same
// token before they have received each other's reports.
//
// The package uses no network, clock or random source. A Limiter is owned by one goroutine.
package limit

import (
	"math"
	"time"
)

const (
	// levelStep is the difference, in tokens, between the bucket levels that entries of
	// successive ranks require.
	levelStep = 0.25
	// extraTokens is the capacity of a bucket beyond the highest of these levels.
	extraTokens = 2
	// minRate is the lowest rate, in requests per second. Only an answer can end a limit,
	// so some requests must be sent.
	minRate = 0.2
	// maxDebt bounds how far peers can overdraw a bucket, in seconds of its rate.
	maxDebt = 1
	// maxEndpoints bounds the memory of a Limiter.
	maxEndpoints = 1 << 14
	// maxReports bounds the number of reports returned by one call.
	maxReports = 64
)

// Share is an entry's share of a limit.
type Share struct {
	// RateShare is the share of the rate that this entry and its reachable peers may use
	// together.
	RateShare float64
	// Rank is the entry's rank among Entries entries, from zero. Entries is at least one.
	Rank, Entries int
}

// Limiter tracks the rate limits of endpoints.
type Limiter struct {
	// endpoints has at most maxEndpoints elements.
	endpoints map[string]*bucket
}

// bucket is the token bucket of an endpoint.
type bucket struct {
	// rate is in requests per second and valid if limited is set.
	rate    float64
	limited bool
	// observedAt is the time of the answer that stated rate and limited.
	observedAt time.Duration
	// tokens is the number of tokens at time filledAt. It is negative if peers have
	// overdrawn the bucket.
	tokens   float64
	filledAt time.Duration
	// sentCount is the number of requests that this entry has sent under limits. peerCounts
	// holds the numbers that peers have reported for themselves.
	sentCount  float64
	peerCounts map[string]float64
	// dirty is set while the latest change has not been reported to peers.
	dirty bool
}

// New returns a limiter without limits.
func New() *Limiter { return &Limiter{endpoints: make(map[string]*bucket)} }

// Observe records what an answer states about the endpoint's limit and reports whether the
// limit changed. An answer without a limit ends the limit only if its request was sent
// after the last answer that stated one, because answers may overtake each other.
func (l *Limiter) Observe(now time.Duration, id string, sentAt time.Duration, rate float64, limited bool) (changed bool) {
	b := l.endpoints[id]
	if !limited && (b == nil || !b.limited || sentAt <= b.observedAt) {
		return false
	}
	if b == nil {
		if b = l.addEndpoint(now, id); b == nil {
			return false
		}
	}
	changed = b.setLimit(now, now, rate, limited)
	b.dirty = b.dirty || changed
	return changed
}

// addEndpoint returns the bucket of a new endpoint, or nil if there are too many endpoints.
func (l *Limiter) addEndpoint(now time.Duration, id string) *bucket {
	if len(l.endpoints) >= maxEndpoints {
		return nil
	}
	b := &bucket{filledAt: now, peerCounts: make(map[string]float64)}
	l.endpoints[id] = b
	return b
}

func (b *bucket) setLimit(now, observedAt time.Duration, rate float64, limited bool) (changed bool) {
	rate = max(rate, minRate)
	changed = limited != b.limited || limited && rate != b.rate
	if limited && !b.limited {
		b.tokens, b.filledAt = min(b.tokens, 0), now
	}
	b.rate, b.limited, b.observedAt = rate, limited, observedAt
	return changed
}

// Empty reports whether no endpoint is tracked.
func (l *Limiter) Empty() bool { return len(l.endpoints) == 0 }

// Rate returns the limit of an endpoint in requests per second and whether it has one.
func (l *Limiter) Rate(id string) (rate float64, ok bool) {
	b := l.endpoints[id]
	if b == nil || !b.limited {
		return 0, false
	}
	return b.rate, true
}

// Age returns the time since the answer that stated the limit of an endpoint, zero if none is
// known.
func (l *Limiter) Age(now time.Duration, id string) time.Duration {
	b := l.endpoints[id]
	if b == nil {
		return 0
	}
	return now - b.observedAt
}

// Available returns the number of requests that may be sent to an endpoint now and, if it
// is zero, the time until one may be sent.
func (l *Limiter) Available(now time.Duration, id string, s Share) (n int, wait time.Duration) {
	b := l.endpoints[id]
	if b == nil || !b.limited {
		return math.MaxInt, 0
	}
	b.refill(now, s)
	tokens := b.tokens - float64(s.Rank)*levelStep
	if tokens >= 1 {
		return int(tokens), 0
	}
	return 0, time.Duration((1 - tokens) / s.fillRate(b) * float64(time.Second))
}

// fillRate returns the rate at which this entry fills a bucket, in tokens per second.
func (s Share) fillRate(b *bucket) float64 { return b.rate * max(s.RateShare, 1e-3) }

func (b *bucket) refill(now time.Duration, s Share) {
	if elapsed := now - b.filledAt; elapsed > 0 {
		b.tokens += elapsed.Seconds() * s.fillRate(b)
	}
	b.filledAt = now
	peers := float64(max(s.Entries, 1) - 1)
	b.tokens = min(b.tokens, extraTokens+peers*levelStep)
	b.tokens = max(b.tokens, -peers-maxDebt*b.rate)
}

// Take takes a token for a request that is sent to an endpoint.
func (l *Limiter) Take(id string) { l.spend(id, 1) }

// Return returns the token of a request that did not reach its endpoint.
func (l *Limiter) Return(id string) { l.spend(id, -1) }

func (l *Limiter) spend(id string, n float64) {
	if b := l.endpoints[id]; b != nil && b.limited {
		b.sentCount += n
		b.tokens -= n
		b.dirty = true
	}
}

// Retain drops all endpoints for which known returns false.
func (l *Limiter) Retain(known func(id string) bool) {
	for id := range l.endpoints {
		if !known(id) {
			delete(l.endpoints, id)
		}
	}
}

// Report is the state of an endpoint's limit at one entry, as sent to its peers.
type Report struct {
	Endpoint string
	// Rate is in requests per second and valid if Limited is set. Age is the age of the
	// answer that stated it.
	Rate    float64
	Limited bool
	Age     time.Duration
	// Sent counts the requests that the entry has sent under limits since it started.
	Sent float64
}

// Reports returns reports on the endpoints that changed since they were last reported, at
// most maxReports. If resend is set, for a new peer, it also returns the limits under which
// this entry has sent requests, over several calls if needed.
func (l *Limiter) Reports(now time.Duration, resend bool) []Report {
	var out []Report
	for id, b := range l.endpoints {
		b.dirty = b.dirty || resend && b.limited && b.sentCount > 0
		if !b.dirty || len(out) >= maxReports {
			continue
		}
		b.dirty = false
		out = append(out, Report{Endpoint: id, Rate: b.rate, Limited: b.limited, Age: max(now-b.observedAt, 0), Sent: b.sentCount})
	}
	return out
}

// Merge merges a peer's report and reports whether the limit changed. The latest answer
// determines the limit, whichever entry observed it.
func (l *Limiter) Merge(now time.Duration, peer string, r Report) (changed bool) {
	b := l.endpoints[r.Endpoint]
	added := b == nil
	if added {
		if !r.Limited {
			return false
		}
		if b = l.addEndpoint(now, r.Endpoint); b == nil {
			return false
		}
	}
	if observedAt := now - r.Age; added || observedAt > b.observedAt {
		changed = b.setLimit(now, observedAt, r.Rate, r.Limited)
	}
	previous, known := b.peerCounts[peer]
	b.peerCounts[peer] = r.Sent
	if known {
		b.tokens -= r.Sent - previous
	} else {
		// Most requests counted in a peer's first report were sent long ago.
		b.tokens -= min(r.Sent, 1)
	}
	return changed
}

// Forget drops the counts of a peer that was restarted.
func (l *Limiter) Forget(peer string) {
	for _, b := range l.endpoints {
		delete(b.peerCounts, peer)
	}
}

// Package origin keeps which version of the endpoints' software began each stream.
//
// What two versions write does not fit together, and endpoints do not check it, so a stream may
// go on only at the version that began it. A caller may take its stream up at any entry, also
// after the one that began it has ended, so other entries hold copies of each record: its
// keepers, which any entry derives from the key of the stream.
//
// The package uses no network, clock or random source. Times are durations since a common start.
package origin

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"lycheepond/core/bitmix"
	"lycheepond/core/relay"
)

// Origin is where a stream began.
type Origin struct{ Pool, Version string }

// Key identifies a stream: the customer and the ID of the request that brought its first event.
// Because of the customer, nobody learns anything about the stream of another one.
type Key uint64

// NewKey returns the key of the stream that a customer's request began.
func NewKey(customer, requestID string) Key { return Key(hash(customer, requestID)) }

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return bitmix.Mix(h.Sum64())
}

const (
	// Copies is how many entries besides the one that began a stream hold its record.
	Copies = 2
	// Asked is how many entries are asked for a record. It is more than Copies, because the
	// entries that ask and the one that began the stream may know of different ones.
	Asked = 6
	// maxCopiedToAll is the largest number of entries that all hold every record. In so small a
	// fleet, many are often killed at once.
	maxCopiedToAll = 8
)

// Candidate is an entry that may keep records.
type Candidate struct {
	Name, Zone string
	hash       uint64
}

// minCandidates is the smallest number of entries among which the keepers are chosen.
const minCandidates = 8

// Candidates returns the entries among which keepers are chosen: those that are linked to all
// entries anyway, and if they are few, others that every entry derives alike. If linked is nil, all
// entries are candidates.
func Candidates(entries []relay.Entry, linked map[string]bool) []Candidate {
	var out, others []Candidate
	for _, e := range entries {
		c := Candidate{e.Name, e.Zone, hash(e.Name)}
		if linked == nil || linked[e.Name] {
			out = append(out, c)
		} else {
			others = append(others, c)
		}
	}
	slices.SortFunc(others, func(a, b Candidate) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.Name, b.Name)) })
	return append(out, others[:min(max(minCandidates-len(out), 0), len(others))]...)
}

// Keepers returns up to n of the candidates in the order in which they hold copies of a record,
// without the entry self. Those that come first in their availability zone precede the others. In
// a small fleet Keepers returns all.
func Keepers(k Key, candidates []Candidate, self string, n int) []string {
	if len(candidates) <= maxCopiedToAll {
		n = len(candidates)
	}
	// best holds up to n candidates of each zone, the highest rank first.
	best := make(map[string][]ranked)
	for _, c := range candidates {
		if c.Name == self {
			continue
		}
		r, zone := ranked{c.Name, bitmix.Mix(uint64(k) ^ c.hash)}, best[c.Zone]
		i, _ := slices.BinarySearchFunc(zone, r, ranked.compare)
		if i < n {
			zone = slices.Insert(zone, i, r)
			best[c.Zone] = zone[:min(n, len(zone))]
		}
	}
	var out []string
	for position := 0; len(out) < n; position++ {
		var row []ranked
		for _, zone := range best {
			if position < len(zone) {
				row = append(row, zone[position])
			}
		}
		if len(row) == 0 {
			break
		}
		slices.SortFunc(row, ranked.compare)
		for _, r := range row[:min(n-len(out), len(row))] {
			out = append(out, r.name)
		}
	}
	return out
}

// ranked is a candidate with its rank for one record.
type ranked struct {
	name string
	rank uint64
}

// compare orders candidates, the highest rank first.
func (r ranked) compare(o ranked) int {
	return cmp.Or(cmp.Compare(o.rank, r.rank), cmp.Compare(r.name, o.name))
}

// maxRecords bounds the memory of Records: some ten megabytes.
const maxRecords = 1 << 17

// Records holds the origin of each stream, for a time that is longer than streams last.
// The zero value is empty. Records is owned by one goroutine.
type Records struct {
	records map[Key]record
	// order holds the keys by the time of their records, the oldest first. A key that was
	// recorded again stands in it twice.
	order []expiry
}

type record struct {
	origin Origin
	at     time.Duration
}

type expiry struct {
	key Key
	at  time.Duration
}

// Add records where a stream began, or that it has gone on there.
func (r *Records) Add(now time.Duration, k Key, o Origin) {
	if r.records == nil {
		r.records = make(map[Key]record)
	}
	r.records[k] = record{o, now}
	r.order = append(r.order, expiry{k, now})
	for len(r.order) > maxRecords {
		r.dropOldest()
	}
}

// Find returns the origin of a stream.
func (r *Records) Find(k Key) (o Origin, ok bool) {
	rec, ok := r.records[k]
	return rec.origin, ok
}

// Expire removes the records that are older than maxAge.
func (r *Records) Expire(now, maxAge time.Duration) {
	for len(r.order) > 0 && now-r.order[0].at > maxAge {
		r.dropOldest()
	}
}

func (r *Records) dropOldest() {
	first := r.order[0]
	r.order = r.order[1:]
	if r.records[first.key].at == first.at {
		delete(r.records, first.key)
	}
}

// Len returns the number of records.
func (r *Records) Len() int { return len(r.records) }

// Versions follows which versions a pool has had. The zero value knows nothing. It is owned by
// one goroutine.
type Versions struct {
	isKnown bool
	// since is when the pool became known, lastListed when each version was last listed.
	since      time.Duration
	lastListed map[string]time.Duration
}

// Note records the versions that the pool has now.
func (v *Versions) Note(now time.Duration, listed []string) {
	if !v.isKnown {
		v.isKnown, v.since, v.lastListed = true, now, make(map[string]time.Duration)
	}
	for _, version := range listed {
		v.lastListed[version] = now
	}
}

// Only returns the version that began every stream of the pool that is not older than maxAge. It
// returns false if there were several, or if the pool has not been known for so long.
func (v *Versions) Only(now, maxAge time.Duration) (version string, ok bool) {
	for name, at := range v.lastListed {
		if now-at > maxAge {
			delete(v.lastListed, name)
		}
	}
	if len(v.lastListed) != 1 || now-v.since < maxAge {
		return "", false
	}
	for version = range v.lastListed {
		ok = true
	}
	return version, ok
}

// Package shard divides the endpoints of a pool into shards and chooses, for each shard,
// the entry that places requests there.
//
// Owners are needed when a burst reaches many entries at once. If each entry placed
// requests by the state that the others reported some time ago, all would send to the same
// free slots. The excess grows with the number of entries and the age of their reports, and
// it waits at the endpoints in order of arrival, whatever its tier. Instead, one entry
// counts the requests at all endpoints of a shard, and the other entries ask it for
// placements.
//
// The owner of a shard is computed from the list of reachable entries, so there is no
// election. Two entries may name different owners for a short time. Both owners then learn
// of each other's requests with some delay, as entries without shards do.
//
// The package uses no network, clock or random source.
package shard

import (
	"hash/fnv"
	"math"

	"lycheepond/core/bitmix"
	"lycheepond/core/relay"
)

const (
	// MinOwnedEntries is the smallest number of entries with which shards have owners. The
	// reports of fewer entries to each other are as recent as an owner's answer.
	MinOwnedEntries = 9
	// maxMeanShardEndpoints is the largest mean number of endpoints in a shard. An owner
	// handles several messages for each request of its shard.
	maxMeanShardEndpoints = 64
	// minMeanZoneEndpoints is the smallest mean number of endpoints per zone for which
	// zones have their own shards. Among smaller shards, one is often full while another
	// has free slots.
	minMeanZoneEndpoints = 16
	// minOwnerCapacityShare is the smallest capacity of an owner as a share of the largest
	// capacity. Smaller entries would answer slowly.
	minOwnerCapacityShare = 0.5
	// crowdedShare is a share of the slots of a zone. The zone is crowded if at most this
	// share is free. If no shard has a free slot, it is crowded if more requests than this
	// share wait.
	crowdedShare = 1.0 / 16
)

// HasOwners reports whether shards have owners in a fleet with the given number of entries.
func HasOwners(entries int) bool { return entries >= MinOwnedEntries }

// Key identifies a shard of a pool.
type Key struct {
	// Zone is empty for a shard with endpoints of all zones.
	Zone  string
	Index uint16
}

// Layout assigns the endpoints of a pool to shards. The zero Layout has one shard.
type Layout struct {
	// perZone is set if each zone has its own shards.
	perZone bool
	// shardCount is the number of shards per zone, or of the whole pool if perZone is not
	// set. It is a power of two, so that it rarely changes as endpoints come and go. Zero
	// means one.
	shardCount uint32
}

// NewLayout returns the layout of a pool with the given number of endpoints in each zone.
func NewLayout(endpointsByZone map[string]int) Layout {
	total, zones := 0, 0
	for _, n := range endpointsByZone {
		total += n
		if n > 0 {
			zones++
		}
	}
	l := Layout{shardCount: 1}
	if total > maxMeanShardEndpoints && zones > 1 && total >= zones*minMeanZoneEndpoints {
		l.perZone = true
		total /= zones
	}
	for int(l.shardCount)*maxMeanShardEndpoints < total {
		l.shardCount *= 2
	}
	return l
}

// Key returns the shard of an endpoint.
func (l Layout) Key(id, zone string) Key {
	var k Key
	if l.perZone {
		k.Zone = zone
	}
	if l.shardCount > 1 {
		k.Index = uint16(hashNames(id) % uint64(l.shardCount))
	}
	return k
}

// Owner returns the entry that places requests at the endpoints of a shard, or an empty
// string if no entry can. While capacities stay the same, the owner changes only if it
// leaves or if the new owner has just joined.
func Owner(pool string, k Key, entries []relay.Entry) string {
	zone := k.Zone
	maxCapacity := maxCapacityIn(zone, entries)
	if maxCapacity == 0 {
		zone, maxCapacity = "", maxCapacityIn("", entries)
	}
	owner, maxScore := "", 0.0
	for _, e := range entries {
		if e.Capacity == 0 || zone != "" && e.Zone != zone || float64(e.Capacity) < minOwnerCapacityShare*float64(maxCapacity) {
			continue
		}
		// Weighted rendezvous hashing.
		uniform := (float64(hashNames(e.Name, pool, k.Zone, string(rune(k.Index)))>>11) + 0.5) / (1 << 53)
		if score := -float64(e.Capacity) / math.Log(uniform); owner == "" || score > maxScore {
			owner, maxScore = e.Name, score
		}
	}
	return owner
}

// maxCapacityIn returns the largest capacity among the entries of a zone, or among all
// entries if zone is empty.
func maxCapacityIn(zone string, entries []relay.Entry) uint32 {
	var largest uint32
	for _, e := range entries {
		if zone == "" || e.Zone == zone {
			largest = max(largest, e.Capacity)
		}
	}
	return largest
}

// Load is what an entry knows about the load of a shard.
type Load struct {
	Key Key
	// Slots is the number of slots of usable endpoints, FreeSlots the number of those that
	// appear to be free.
	Slots, FreeSlots int
	// RequestsAhead is the number of requests that wait for a slot of the shard ahead of
	// the one to be placed.
	RequestsAhead int
}

// isCrowded reports whether requests from the shard's own zone should also consider other
// shards. totalFreeSlots is the number of free slots of all shards.
func (l Load) isCrowded(totalFreeSlots int) bool {
	if totalFreeSlots > 0 {
		return float64(l.FreeSlots) <= crowdedShare*float64(l.Slots)
	}
	return float64(l.RequestsAhead) > crowdedShare*float64(l.Slots)
}

// weight returns the relative share of requests to send to the shard. totalFreeSlots is the
// number of free slots of all shards.
func (l Load) weight(totalFreeSlots int) float64 {
	if totalFreeSlots > 0 {
		return float64(l.FreeSlots)
	}
	// Small differences between short queues are ignored. Otherwise many entries would
	// choose the one shard where nothing waited a moment ago.
	return float64(l.Slots) / (1 + crowdedShare*float64(l.Slots) + float64(l.RequestsAhead))
}

// Choose returns the index of the shard from whose owner an entry of the given zone
// requests a placement. mayWait is set if no other shard has a free slot, so that the
// request may wait there. Shards of the own zone are preferred while they have free slots
// or short queues. draw, a number from 0 to 1, selects among the candidates in proportion
// to their free slots or, if there are none, by the lengths of their queues. loads must not
// be empty.
func Choose(loads []Load, zone string, draw float64) (i int, mayWait bool) {
	var sameZone, all Load
	for _, l := range loads {
		all.add(l)
		if l.Key.Zone == zone {
			sameZone.add(l)
		}
	}
	isCandidate := func(Load) bool { return true }
	if sameZone.Slots > 0 && !sameZone.isCrowded(all.FreeSlots) {
		isCandidate = func(l Load) bool { return l.Key.Zone == zone }
	}
	total := 0.0
	for _, l := range loads {
		if isCandidate(l) {
			total += l.weight(all.FreeSlots)
		}
	}
	remaining, chosen := draw*total, 0
	for i, l := range loads {
		if !isCandidate(l) {
			continue
		}
		chosen = i
		if remaining -= l.weight(all.FreeSlots); remaining < 0 {
			break
		}
	}
	return chosen, all.FreeSlots == loads[chosen].FreeSlots
}

func (l *Load) add(o Load) {
	l.Slots += o.Slots
	l.FreeSlots += o.FreeSlots
	l.RequestsAhead += o.RequestsAhead
}

// hashNames returns a hash of names with evenly distributed bits.
func hashNames(names ...string) uint64 {
	h := fnv.New64a()
	for _, n := range names {
		h.Write([]byte(n))
		h.Write([]byte{0})
	}
	x := bitmix.Mix(h.Sum64()) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

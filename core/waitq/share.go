package waitq

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"lycheepond/core/bitmix"
)

const (
	// maxWaitShare is the longest wait in a queue as a share of the target. A queue serves
	// the earliest target first, so with a longer wait every request would be served just
	// before its target, and a request that leaves without a slot would have no time left
	// for a retry.
	maxWaitShare = 0.1
	// maxWaitShareBelow is the same for a customer that has had less than its share of the
	// room. If other customers' requests hold their slots for seconds, a small pool has no free
	// slot in a tenth of a target.
	maxWaitShareBelow = 0.25
	// maxAheadBelow is the number of requests ahead up to which that applies. In a large pool
	// these get their slots within a tenth of a target in any case, and longer queues serve
	// fewer requests in time.
	maxAheadBelow = 2
	// DrawInterval is the time for which a draw is valid, about the time in which entries
	// learn of each other's changes.
	DrawInterval = 40 * time.Millisecond
)

// MaxWait returns the longest time that a request may wait in a queue. serviceTime is the
// time from sending it to its first event, and untilTarget is what is left of its target.
// The result is negative if the target can no longer be met.
func MaxWait(target, untilTarget, serviceTime time.Duration) time.Duration {
	return min(untilTarget-serviceTime, time.Duration(maxWaitShare*float64(target)))
}

// MaxWaitBelowShare is MaxWait for a customer that has had less than its share of the room.
func MaxWaitBelowShare(target, untilTarget, serviceTime time.Duration, requestsAhead int) time.Duration {
	if requestsAhead > maxAheadBelow {
		return MaxWait(target, untilTarget, serviceTime)
	}
	return min(untilTarget-serviceTime, time.Duration(maxWaitShareBelow*float64(target)))
}

// Contention describes the requests that compete for the free slots of a pool at all
// entries, as far as they have reported them.
type Contention struct {
	// HigherTierRequests and SameTierRequests count the requests of higher tiers and of the
	// same tier that wait at other entries.
	HigherTierRequests, SameTierRequests int
	// OwnRequests counts the requests of the same tier that wait at this entry, including
	// the one to be sent.
	OwnRequests int
	// FreeSlots is the number of slots that appear to be free.
	FreeSlots int
}

// Blocked reports whether the requests of higher tiers need all free slots.
func (c Contention) Blocked() bool { return c.HigherTierRequests > c.FreeSlots }

// Share returns the share of the free slots that is meant for this entry's requests. If
// each entry took every free slot it learned of, a freed slot would be taken by all entries
// with queued requests, while the engine serves only one.
func (c Contention) Share() float64 {
	share := float64(c.OwnRequests) / float64(max(c.OwnRequests+c.SameTierRequests, 1))
	if c.HigherTierRequests > 0 {
		share *= float64(max(c.FreeSlots-c.HigherTierRequests, 0)) / float64(max(c.FreeSlots, 1))
	}
	return share
}

// Draw returns a number from 0 to 1 for an entry and an endpoint, which changes every
// DrawInterval. An entry takes a free slot of the endpoint if the number is below the
// entry's share, so on average one entry takes it.
func Draw(entry, endpoint string, now time.Duration) float64 {
	return hashToUnit(entry, endpoint, binary.LittleEndian.AppendUint64(nil, uint64(now/DrawInterval)))
}

// FixedDraw returns a number from 0 to 1 that depends only on the entry and the endpoint.
func FixedDraw(entry, endpoint string) float64 { return hashToUnit(entry, endpoint, nil) }

// hashToUnit returns a number from 0 to 1 for an entry, an endpoint and a round.
func hashToUnit(entry, endpoint string, round []byte) float64 {
	h := fnv.New64a()
	h.Write([]byte(entry))
	h.Write([]byte(endpoint))
	h.Write(round)
	return float64(bitmix.Mix(h.Sum64())>>11) / (1 << 53)
}

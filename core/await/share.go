package await

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"lycheepond/core/spread"
)

const (
	// longestStand is the share of the target for which a request stands in line
	// at most. A line serves whoever is due first, so in a long one everybody is
	// served at the brink of the target, and whoever leaves it without a slot has
	// no time left to come back in.
	longestStand = 0.1
	// Round is for how long a lot is valid: about the time in which entries hear
	// of each other.
	Round = 40 * time.Millisecond
)

// Patience returns for how long a request stands in line at most: it needs own
// from the time at which it is sent, and its first event is wanted within due
// of a target.
func Patience(target, due, own time.Duration) time.Duration {
	return min(due-own, time.Duration(longestStand*float64(target)))
}

// Crowd is what competes with a request for the free slots of its pool, at all
// entries, as far as they have told each other.
type Crowd struct {
	// First is how many requests of higher tiers wait at other entries, Beside
	// how many of the same.
	First, Beside int
	// Own is how many of the same tier wait here, this one included.
	Own int
	// Free is how many slots look free.
	Free int
}

// Blocked reports whether those that go first need all free slots.
func (c Crowd) Blocked() bool { return c.First > c.Free }

// Part returns which part of the free slots is for this entry's requests. If
// each entry took whatever slot it hears is free, a slot that became free would
// be taken by all that have somebody waiting, while the engine serves one.
func (c Crowd) Part() float64 {
	part := float64(c.Own) / float64(max(c.Own+c.Beside, 1))
	if c.First > 0 {
		part *= float64(max(c.Free-c.First, 0)) / float64(max(c.Free, 1))
	}
	return part
}

// Lot returns a number from 0 to 1 for an entry and an endpoint that is drawn
// anew in each round. The entry takes a slot that is free there if the lot is
// below its part: on average one entry does.
func Lot(entry, endpoint string, now time.Duration) float64 {
	return draw(entry, endpoint, binary.LittleEndian.AppendUint64(nil, uint64(now/Round)))
}

// Apart returns a number from 0 to 1 that is the same each time for an entry and
// an endpoint.
func Apart(entry, endpoint string) float64 { return draw(entry, endpoint, nil) }

// draw returns a number from 0 to 1 for an entry, an endpoint and a round.
func draw(entry, endpoint string, round []byte) float64 {
	h := fnv.New64a()
	h.Write([]byte(entry))
	h.Write([]byte(endpoint))
	h.Write(round)
	return float64(spread.Bits(h.Sum64())>>11) / (1 << 53)
}

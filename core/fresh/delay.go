package fresh

import "time"

const (
	// RelayAllowance is the time that a tally may take on its fastest route, through two
	// hubs that forward it at their next tick. A peer's claim counts as older by this time.
	RelayAllowance = 100 * time.Millisecond
	// maxClockDrift is the largest relative drift between two clocks, several times that of
	// synchronized clocks.
	maxClockDrift = 0.001
)

const (
	// minTallies is the number of tallies needed for an estimate. The first ones may all
	// have been delayed, for example when they were held up and then arrived together. All
	// tallies of a peer count, so at the usual four per second an estimate is available
	// after two seconds.
	minTallies = 8
	// minTallyGap is the time within which only one tally counts, because tallies read
	// within it arrived together.
	minTallyGap = 10 * time.Millisecond
)

// DelayEstimator estimates the delay of the tallies of one process from the sending times
// in them, which are readings of the process's own clock. A process that was paused, or a
// link that was stuck, delivers tallies that are seconds old, and the claims in them are
// older by that time. The zero DelayEstimator has seen no tallies.
type DelayEstimator struct {
	// tallyCount counts the tallies that did not arrive together with another one. The last
	// of them arrived at lastCountedAt.
	tallyCount    int
	lastCountedAt time.Duration
	// minOffset is the smallest difference between the clocks on arrival, seen at
	// minOffsetAt. Both are valid if tallyCount is not zero.
	minOffset, minOffsetAt time.Duration
}

// ExtraDelay records that a tally arrived at now and was sent when the sender's clock read
// sentAt. It returns by how much its delay exceeded that of the fastest tally. ok is false
// while too few tallies have been seen to know the fastest delay.
func (d *DelayEstimator) ExtraDelay(now, sentAt time.Duration) (extra time.Duration, ok bool) {
	offset := now - sentAt
	minOffset := d.minOffset + time.Duration(maxClockDrift*float64(now-d.minOffsetAt))
	if d.tallyCount == 0 || offset <= minOffset {
		d.minOffset, d.minOffsetAt, minOffset = offset, now, offset
	}
	if d.tallyCount == 0 || now-d.lastCountedAt >= minTallyGap {
		d.tallyCount++
		d.lastCountedAt = now
	}
	return offset - minOffset, d.tallyCount >= minTallies
}

// PeerClaim converts a peer's claim to this entry's clock. The peer stated that its
// revision was the newest one at the given age before it sent the tally, whose extra delay
// is extraDelay.
func PeerClaim(now, extraDelay, age time.Duration, revision int64, checkID uint32) Claim {
	return Claim{Revision: revision, At: now - extraDelay - age - RelayAllowance, CheckID: checkID}
}

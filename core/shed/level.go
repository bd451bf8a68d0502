package shed

import "time"

const (
	// maxHold bounds the hold, which doubles each time that the level falls
	// again soon after a rise.
	maxHold = 16 * time.Second
	// idleHoldDivisor shortens the hold while slots are free and nothing waits
	// for them.
	idleHoldDivisor = 4
	// relapseWindow is the time after a rise within which a fall is considered
	// a consequence of the rise.
	relapseWindow = 10 * time.Second
)

// level is the shed level of the pool as seen by this entry: the lowest tier,
// that is the largest tier number, that is admitted.
type level struct {
	// ownLevel is the level of this entry. targetLevel is the level to which it
	// falls as soon as no work of the tiers below is served any more.
	ownLevel, targetLevel uint8
	// servedTiers has bit t set while work of tier t may be queued or running
	// in the pool.
	servedTiers uint8
	// hold is how long ownLevel stays before it rises. It is between
	// initialHold and maxHold.
	hold, initialHold time.Duration
	// holdFrom is the start of the current hold: the last time at which an
	// admitted tier was late or the level rose. lastRise is when ownLevel last
	// rose.
	holdFrom, lastRise time.Duration
	// slotsIdle is set while slots are free and nothing waits for them.
	slotsIdle bool
	// peerLevel is the level of the other entries. It is valid until peerUntil.
	peerLevel uint8
	peerUntil time.Duration
}

func newLevel(hold time.Duration) level {
	return level{ownLevel: lowestTier, targetLevel: lowestTier, peerLevel: lowestTier, servedTiers: 1<<(lowestTier+1) - 1, hold: hold, initialHold: hold, lastRise: -time.Hour}
}

// observeServed updates servedTiers from v, which was made for a request of the
// given tier.
func (l *level) observeServed(tier uint8, v View) {
	lowerTiers := uint8(0xff) << (tier + 1)
	if v.ServedTiers != 0 {
		l.servedTiers = v.ServedTiers
	} else {
		l.servedTiers &^= lowerTiers
	}
	if v.LowerServed {
		l.servedTiers |= lowerTiers
	}
	l.stepDown()
}

// lowerTo records that a tier is late, so that all lower tiers must be shed.
func (l *level) lowerTo(now time.Duration, tier uint8) {
	if tier > l.ownLevel {
		return
	}
	l.holdFrom = now
	if tier < l.targetLevel {
		if now-l.lastRise < relapseWindow {
			l.hold = min(2*l.hold, maxHold)
		}
		l.targetLevel = tier
	}
	l.stepDown()
}

// stepDown lowers ownLevel towards targetLevel. A tier may be refused only
// while no lower tier is served, so the level does not fall past a tier below
// which work is still served.
func (l *level) stepDown() {
	for l.ownLevel > l.targetLevel && l.servedTiers>>(l.ownLevel+1) == 0 {
		l.ownLevel--
	}
}

// tryRise admits one more tier once the hold has passed since the last late
// answer or rise.
func (l *level) tryRise(now time.Duration) {
	if l.remainingHold(now) > 0 {
		return
	}
	if l.ownLevel == lowestTier {
		l.targetLevel = lowestTier
		if now-l.lastRise > relapseWindow {
			l.hold = l.initialHold
		}
		return
	}
	l.ownLevel++
	l.targetLevel = max(l.targetLevel, l.ownLevel)
	l.holdFrom, l.lastRise = now, now
}

// remainingHold returns the minimum time until the level can rise.
func (l *level) remainingHold(now time.Duration) time.Duration {
	if l.ownLevel == lowestTier && l.targetLevel == lowestTier {
		return 0
	}
	hold := l.hold
	if l.slotsIdle {
		hold /= idleHoldDivisor
	}
	return max(l.holdFrom+hold-now, 0)
}

// setPeerLevel records the level of another entry. While an earlier level is
// still valid, a higher one is ignored.
func (l *level) setPeerLevel(now time.Duration, peerLevel uint8, validFor time.Duration) {
	if now >= l.peerUntil || peerLevel <= l.peerLevel {
		l.peerLevel, l.peerUntil = peerLevel, now+validFor
	}
}

// effective returns the lowest tier that is admitted now, the stricter of
// ownLevel and a valid peerLevel.
func (l *level) effective(now time.Duration) uint8 {
	if now < l.peerUntil {
		return min(l.ownLevel, l.peerLevel)
	}
	return l.ownLevel
}

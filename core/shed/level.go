package shed

import "time"

const (
	// mostHold bounds how long the level stays after it had to fall again and
	// again.
	mostHold = 16 * time.Second
	// idleRise is how many times sooner the level rises while places are free
	// and nothing waits for them.
	idleRise = 4
	// relapse is how soon after a rise a fall counts as a consequence of it.
	relapse = 10 * time.Second
)

// level is the pool's shed level as this entry sees it.
type level struct {
	// own is the lowest tier that this entry admits, and want the one that it
	// will fall to when the tiers below have left.
	own, want uint8
	// served has bit t set while tier t may be served in the pool.
	served uint8
	// hold is how long own stays before it rises, from start to mostHold.
	hold, start time.Duration
	// held is when a tier that is admitted was last late, and risen when own
	// last rose.
	held, risen time.Duration
	// idle is set while places are free and nothing waits for them.
	idle bool
	// heard is the level of the other entries until until.
	heard uint8
	until time.Duration
}

func newLevel(hold time.Duration) level {
	return level{own: lowest, want: lowest, heard: lowest, served: 1<<(lowest+1) - 1, hold: hold, start: hold, risen: -time.Hour}
}

// see takes in which tiers are served in the pool.
func (l *level) see(tier uint8, v View) {
	lower := uint8(0xff) << (tier + 1)
	if v.Served != 0 {
		l.served = v.Served
	} else {
		l.served &^= lower
	}
	if v.LowerServed {
		l.served |= lower
	}
	l.step()
}

// fall is called when tier is late: lower tiers must leave.
func (l *level) fall(now time.Duration, tier uint8) {
	if tier > l.own {
		return
	}
	l.held = now
	if tier < l.want {
		if now-l.risen < relapse {
			l.hold = min(2*l.hold, mostHold)
		}
		l.want = tier
	}
	l.step()
}

// step lets own fall towards want. A tier may be refused only when none below
// it is served, so the next one must have left first.
func (l *level) step() {
	for l.own > l.want && l.served>>(l.own+1) == 0 {
		l.own--
	}
}

// rise lets one more tier in after a calm hold.
func (l *level) rise(now time.Duration) {
	if l.holds(now) > 0 {
		return
	}
	if l.own == lowest {
		l.want = lowest
		if now-l.risen > relapse {
			l.hold = l.start
		}
		return
	}
	l.own++
	l.want = max(l.want, l.own)
	l.held, l.risen = now, now
}

// holds returns how long the level stays at least.
func (l *level) holds(now time.Duration) time.Duration {
	if l.own == lowest && l.want == lowest {
		return 0
	}
	hold := l.hold
	if l.idle {
		hold /= idleRise
	}
	return max(l.held+hold-now, 0)
}

func (l *level) peer(now time.Duration, heard uint8, hold time.Duration) {
	if now >= l.until || heard <= l.heard {
		l.heard, l.until = heard, now+hold
	}
}

// inForce returns the lowest tier that is admitted.
func (l *level) inForce(now time.Duration) uint8 {
	if now < l.until {
		return min(l.own, l.heard)
	}
	return l.own
}

package slot

import (
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// lowest is the level at which every tier is taken.
const lowest = spec.Tiers - 1

// level takes in the shed level of a pool. The strictest of what entries say
// is in force, so that none of them refuses a tier while a lower one runs here.
func (o *Owner) level(now time.Duration, p *Peer, m *wire.ShedLevel) {
	before := o.levelOf(now, m.Pool)
	o.session(p).levels[m.Pool] = levelHeard{level: m.Level, until: now + ms(m.HoldMS)}
	after := o.levelOf(now, m.Pool)
	if after == before {
		return
	}
	logs.Info(o.log, logs.EventLevelChanged, zap.String("pool", m.Pool), zap.Uint8("from", before), zap.Uint8("to", after), zap.String("peer", p.Name))
	if after < before {
		o.shedAbove(now, m.Pool, after)
	}
	// An entry refuses a tier only after every agent has confirmed the level
	// that keeps lower tiers out.
	o.publish()
	o.sayAll()
}

func (o *Owner) levelOf(now time.Duration, pool string) uint8 {
	level := uint8(lowest)
	for _, s := range o.sessions {
		if l, ok := s.levels[pool]; ok && now < l.until {
			level = min(level, l.level)
		}
	}
	return level
}

// shedAbove gives back all that waits of a tier above the level.
func (o *Owner) shedAbove(now time.Duration, pool string, level uint8) {
	for _, r := range o.waiting {
		if r.offer.Pool == pool && r.offer.Tier > level {
			o.giveBack(now, r, wire.ReasonShed)
		}
	}
}

// checkLevels drops levels that were not repeated.
func (o *Owner) checkLevels(now time.Duration) {
	for _, s := range o.sessions {
		for pool, l := range s.levels {
			if now >= l.until {
				delete(s.levels, pool)
			}
		}
	}
}

// reportedLevel is the strictest level of any pool here.
func (o *Owner) reportedLevel(now time.Duration) uint8 {
	level := uint8(lowest)
	for _, s := range o.sessions {
		for _, l := range s.levels {
			if now < l.until {
				level = min(level, l.level)
			}
		}
	}
	return level
}

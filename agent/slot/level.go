package slot

import (
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// lowestTier is the lowest tier. At this shed level every tier is accepted.
const lowestTier = spec.Tiers - 1

// handleLevel handles an entry's shed level for a pool. The strictest level of all
// entries is in force, so that no entry refuses a tier while a lower tier is
// accepted here.
func (o *Owner) handleLevel(now time.Duration, p *Peer, m *wire.ShedLevel) {
	oldLevel := o.poolLevel(now, m.Pool)
	o.sessionOf(p).levels[m.Pool] = entryLevel{level: m.Level, expiresAt: now + ms(m.HoldMS)}
	newLevel := o.poolLevel(now, m.Pool)
	if newLevel == oldLevel {
		return
	}
	logs.Info(o.log, logs.EventLevelChanged, zap.String("pool", m.Pool), zap.Uint8("from", oldLevel), zap.Uint8("to", newLevel), zap.String("peer", p.Name))
	if newLevel < oldLevel {
		o.shedAbove(now, m.Pool, newLevel)
	}
	// An entry refuses a tier only after every agent has confirmed the level
	// that keeps lower tiers out.
	o.publishLoad()
	o.broadcastHeartbeat()
}

// poolLevel returns the shed level in force for a pool.
func (o *Owner) poolLevel(now time.Duration, pool string) uint8 {
	level := uint8(lowestTier)
	for _, s := range o.sessions {
		if l, ok := s.levels[pool]; ok && now < l.expiresAt {
			level = min(level, l.level)
		}
	}
	return level
}

// shedAbove returns the pool's waiting requests whose tier number is above level.
func (o *Owner) shedAbove(now time.Duration, pool string, level uint8) {
	for _, r := range o.waiting {
		if r.offer.Pool == pool && r.offer.Tier > level {
			o.returnRequest(now, r, wire.ReasonShed)
		}
	}
}

// expireLevels drops levels that were not repeated in time.
func (o *Owner) expireLevels(now time.Duration) {
	for _, s := range o.sessions {
		for pool, l := range s.levels {
			if now >= l.expiresAt {
				delete(s.levels, pool)
			}
		}
	}
}

// strictestLevel returns the strictest level that is in force for any pool.
func (o *Owner) strictestLevel(now time.Duration) uint8 {
	level := uint8(lowestTier)
	for _, s := range o.sessions {
		for _, l := range s.levels {
			if now < l.expiresAt {
				level = min(level, l.level)
			}
		}
	}
	return level
}

package sched

import (
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// tick offers long-waiting requests to more agents, and applies and sends shed
// levels.
func (p *pool) tick() {
	now := p.cfg.Now()
	p.offerLongWaits(now)
	p.readPeerLevels(now)
	p.sendLevel(now)
}

// readPeerLevels applies the shed levels that other entries have put in force.
func (p *pool) readPeerLevels(now time.Duration) {
	m := p.cfg.Pool(p.name)
	if m == nil {
		return
	}
	for _, peer := range m.Peers {
		if l, ok := peer.Load(); ok && l.ShedLevel < p.level {
			p.shed.SetPeerLevel(now, l.ShedLevel, tickInterval*2)
		}
	}
}

// sendLevel sends the shed level to the agents if it has changed, and repeats one
// that sheds any tier after levelInterval.
func (p *pool) sendLevel(now time.Duration) {
	level := p.shed.Level(now)
	if level == p.level && (level == spec.Tiers-1 || now-p.levelSentAt < levelInterval) {
		return
	}
	if level != p.level {
		logs.Info(p.cfg.Log, logs.EventLevelChanged, zap.String("pool", p.name), zap.Uint8("level", level), zap.Uint8("before", p.level))
	}
	p.level, p.levelSentAt = level, now
	p.reportedLevel.Store(int32(level))
	m := p.cfg.Pool(p.name)
	if m == nil {
		return
	}
	for _, peer := range m.Peers {
		peer.Send(&wire.ShedLevel{Pool: p.name, Level: level, HoldMS: uint32(levelHold.Milliseconds())})
	}
}

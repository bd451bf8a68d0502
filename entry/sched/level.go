package sched

import (
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// tick spreads long waits over more agents and keeps the level in force.
func (p *pool) tick() {
	now := p.cfg.Now()
	p.widen(now)
	p.hearLevels(now)
	p.sendLevel(now)
}

// hearLevels takes in the levels that other entries have put in force.
func (p *pool) hearLevels(now time.Duration) {
	m := p.cfg.Pool(p.name)
	if m == nil {
		return
	}
	for _, peer := range m.Peers {
		if l, ok := peer.Load(); ok && l.ShedLevel < p.level {
			p.shed.Peer(now, l.ShedLevel, tickEvery*2)
		}
	}
}

func (p *pool) sendLevel(now time.Duration) {
	level := p.shed.Level(now)
	if level == p.level && (level == spec.Tiers-1 || now-p.levelSent < levelRepeat) {
		return
	}
	if level != p.level {
		logs.Info(p.cfg.Log, logs.EventLevelChanged, zap.String("pool", p.name), zap.Uint8("level", level), zap.Uint8("before", p.level))
	}
	p.level, p.levelSent = level, now
	p.shown.Store(int32(level))
	m := p.cfg.Pool(p.name)
	if m == nil {
		return
	}
	for _, peer := range m.Peers {
		peer.Send(&wire.ShedLevel{Pool: p.name, Level: level, HoldMS: uint32(levelHold.Milliseconds())})
	}
}

package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/wire"
)

// sampleInterval is the interval between samples of the age of the knowledge. It is
// a tenth of the shortest usual freshness bound.
const sampleInterval = 200 * time.Millisecond

// Run samples the age of both lists until ctx ends.
func (k *Knowledge) Run(ctx context.Context) error {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			k.sample()
		}
	}
}

// sample records the age of each list for which there is evidence.
func (k *Knowledge) sample() {
	config, roster := k.cfg.Revisions()
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for content, l := range k.lists {
		revision := config
		if content == wire.SnapshotRoster {
			revision = roster
		}
		k.update(l, revision)
		if l.any {
			k.recordAge(l, now-l.verifiedAt, revision)
			l.isCurrent.Store(!k.cfg.Policy.IsTooOld(now - l.verifiedAt))
		}
	}
}

// recordAge records the age of a list in the metrics, and logs when the list becomes
// too old or fresh again. It is called with mu held.
func (k *Knowledge) recordAge(l *listKnowledge, age time.Duration, revision int64) {
	meter.UpdateMS(l.ageHistogram, age)
	isOld := k.cfg.Policy.IsTooOld(age)
	if isOld {
		l.worstAge = max(l.worstAge, age)
	}
	if isOld == l.isOld {
		return
	}
	fields := []zap.Field{
		zap.String("list", l.name), zap.Duration("age", age), zap.Duration("bound", k.cfg.Policy.MaxAge),
		zap.Duration("worst", l.worstAge), zap.Int64("revision", revision),
	}
	l.isOld, l.worstAge = isOld, 0
	if isOld {
		logs.Warn(k.cfg.Log, logs.EventKnowledgeStale, fields...)
		return
	}
	logs.Info(k.cfg.Log, logs.EventKnowledgeFresh, fields...)
}

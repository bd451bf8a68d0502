package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/wire"
)

// sampleEvery is how often the age of what is known is sampled: a tenth of the
// shortest bound that is usual.
const sampleEvery = 200 * time.Millisecond

// Run samples the age of what is known until ctx ends.
func (k *Known) Run(ctx context.Context) error {
	tick := time.NewTicker(sampleEvery)
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

func (k *Known) sample() {
	config, roster := k.cfg.Revisions()
	now := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for what, l := range k.lists {
		revision := config
		if what == wire.SnapshotRoster {
			revision = roster
		}
		k.update(l, revision)
		if l.any {
			k.state(l, now-l.at, revision)
		}
	}
}

// state notes the age of a list and logs when it passes the bound. It is called
// with mu held.
func (k *Known) state(l *known, age time.Duration, revision int64) {
	meter.UpdateMS(l.age, age)
	old := k.cfg.Rule.Old(age)
	if old {
		l.worst = max(l.worst, age)
	}
	if old == l.old {
		return
	}
	fields := []zap.Field{
		zap.String("list", l.name), zap.Duration("age", age), zap.Duration("bound", k.cfg.Rule.Bound),
		zap.Duration("worst", l.worst), zap.Int64("revision", revision),
	}
	l.old, l.worst = old, 0
	if old {
		logs.Warn(k.cfg.Log, logs.EventKnowledgeStale, fields...)
		return
	}
	logs.Info(k.cfg.Log, logs.EventKnowledgeFresh, fields...)
}

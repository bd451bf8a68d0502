package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"lycheepond/core/conf"
	"lycheepond/core/logs"
)

// reload reads the fleet's keys again at each SIGHUP, so that they are
// replaced without a restart. Links that are up stay up; other settings take
// a restart.
func (n *node) reload(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hup:
		}
		var cfg conf.Entry
		if err := conf.Load(n.path, &cfg); err != nil {
			logs.Error(n.log, logs.EventSettingsRejected, zap.Error(err))
			continue
		}
		keys := cfg.Keys()
		n.keys.Store(&keys)
		logs.Info(n.log, logs.EventKeysReloaded, zap.Int("accepted", len(keys.Accepted)))
	}
}

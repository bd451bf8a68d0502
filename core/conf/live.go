package conf

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// LivePeriod is how often settings files and certificates are looked at.
const LivePeriod = 2 * time.Second

// Live holds the fleet keys of a process and follows its settings file. Other
// settings stay as they were at the start.
//
// To replace the fleet's key without an interruption, write fleet_keys: [old,
// new] everywhere, then [new, old], then fleet_key: new.
type Live struct {
	path string
	read func(path string) (wire.Keys, error)
	keys atomic.Pointer[wire.Keys]
	// seen is the file's time at the last reading; Run alone uses it.
	seen time.Time
}

// NewLive returns the keys of settings that were read from path. read is
// EntryKeys or AgentKeys.
func NewLive(path string, first wire.Keys, read func(path string) (wire.Keys, error)) *Live {
	l := &Live{path: path, read: read}
	l.keys.Store(&first)
	if info, err := os.Stat(path); err == nil {
		l.seen = info.ModTime()
	}
	return l
}

// EntryKeys reads the keys of an entry's settings.
func EntryKeys(path string) (wire.Keys, error) {
	var e Entry
	if err := Load(path, &e); err != nil {
		return wire.Keys{}, err
	}
	return e.Keys(), nil
}

// AgentKeys reads the keys of an agent's settings.
func AgentKeys(path string) (wire.Keys, error) {
	var a Agent
	if err := Load(path, &a); err != nil {
		return wire.Keys{}, err
	}
	return a.Keys(), nil
}

// Keys returns the keys in use.
func (l *Live) Keys() wire.Keys { return *l.keys.Load() }

// Reload reads the file. Settings with a problem leave the keys as they are.
func (l *Live) Reload() error {
	keys, err := l.read(l.path)
	if err != nil {
		return err
	}
	l.keys.Store(&keys)
	return nil
}

// Run reloads after a signal and after a change of the file until ctx ends,
// and tells note what came of each.
func (l *Live) Run(ctx context.Context, hup <-chan os.Signal, period time.Duration, note func(error)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			note(l.Reload())
		case <-t.C:
			if l.changed() {
				note(l.Reload())
			}
		}
	}
}

// Follow is Run with the signal SIGHUP and LivePeriod.
func (l *Live) Follow(ctx context.Context, note func(error)) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	l.Run(ctx, hup, LivePeriod, note)
	return ctx.Err()
}

func (l *Live) changed() bool {
	info, err := os.Stat(l.path)
	if err != nil || info.ModTime().Equal(l.seen) {
		return false
	}
	l.seen = info.ModTime()
	return true
}

// Logged returns a note for Follow that logs what came of reading the settings
// again.
func (l *Live) Logged(log *zap.Logger) func(error) {
	return func(err error) {
		if err != nil {
			logs.Error(log, logs.EventSettingsRejected, zap.Error(err))
			return
		}
		logs.Info(log, logs.EventKeysReloaded, zap.Int("accepted", len(l.Keys().Accepted)))
	}
}

// KeepOnHangup makes sure that no SIGHUP ends the process. The signal says that the
// settings file has changed, and may come before the part that reads the file again
// has begun to listen, or after it has ended.
func KeepOnHangup() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

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

// ReloadPeriod is the time between checks of settings files and certificates for
// changes.
const ReloadPeriod = 2 * time.Second

// LiveKeys holds the fleet keys of a process and reloads them when its settings file
// changes. Other settings keep their values from the start.
//
// To replace the fleet key without an interruption, write fleet_keys: [old, new] on
// all instances, then [new, old], then fleet_key: new.
type LiveKeys struct {
	path string
	read func(path string) (wire.Keys, error)
	keys atomic.Pointer[wire.Keys]
	// modTime is the file's modification time when it was last read; only Run uses it.
	modTime time.Time
}

// NewLiveKeys returns the keys in the settings file at path. read is EntryKeys or AgentKeys.
// The file may have changed since initial was read from it, so it is read again; initial is
// used if that fails.
func NewLiveKeys(path string, initial wire.Keys, read func(path string) (wire.Keys, error)) *LiveKeys {
	l := &LiveKeys{path: path, read: read}
	l.keys.Store(&initial)
	// A change after Stat makes Run read the file once more.
	if info, err := os.Stat(path); err == nil && l.Reload() == nil {
		l.modTime = info.ModTime()
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
func (l *LiveKeys) Keys() wire.Keys { return *l.keys.Load() }

// Reload reads the file. If the settings have a problem, it returns the error and
// keeps the current keys.
func (l *LiveKeys) Reload() error {
	keys, err := l.read(l.path)
	if err != nil {
		return err
	}
	l.keys.Store(&keys)
	return nil
}

// Run reloads after each signal and each change of the file until ctx ends. It passes
// the result of each reload to onReload.
func (l *LiveKeys) Run(ctx context.Context, hup <-chan os.Signal, period time.Duration, onReload func(error)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			onReload(l.Reload())
		case <-t.C:
			if l.hasChanged() {
				onReload(l.Reload())
			}
		}
	}
}

// Follow calls Run with the signal SIGHUP and ReloadPeriod.
func (l *LiveKeys) Follow(ctx context.Context, onReload func(error)) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	l.Run(ctx, hup, ReloadPeriod, onReload)
	return ctx.Err()
}

// hasChanged reports whether the file's modification time has changed.
func (l *LiveKeys) hasChanged() bool {
	info, err := os.Stat(l.path)
	if err != nil || info.ModTime().Equal(l.modTime) {
		return false
	}
	l.modTime = info.ModTime()
	return true
}

// LogReload returns a function for Follow that logs the result of each reload.
func (l *LiveKeys) LogReload(log *zap.Logger) func(error) {
	return func(err error) {
		if err != nil {
			logs.Error(log, logs.EventSettingsRejected, zap.Error(err))
			return
		}
		logs.Info(log, logs.EventKeysReloaded, zap.Int("accepted", len(l.Keys().Accepted)))
	}
}

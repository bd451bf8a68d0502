package follow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/poison"
)

const (
	// maxQueuedWrites bounds the queue of writes.
	maxQueuedWrites = 64
	// maxWriteAttempts bounds the attempts to store one quarantine. Peers know about
	// the quarantine anyway; the object only matters if all entries are restarted.
	maxWriteAttempts = 5
	// objectRetention is how long an object outlives its quarantine, so that a
	// restarted fleet still sends only one probe.
	objectRetention = 10 * time.Minute
	// cleanInterval is the interval between removals of outdated objects.
	cleanInterval = 30 * time.Second
)

// QuarantineObject is the form in which the platform stores a quarantine.
type QuarantineObject struct {
	// SinceMS and UntilMS are Unix times in milliseconds.
	SinceMS int64 `json:"since_ms"`
	UntilMS int64 `json:"until_ms"`
	// Quarantines counts the quarantines of the fingerprint so far.
	Quarantines int `json:"quarantines"`
	// Part is the part of prompts that is quarantined, as Customer sends it. Both are empty
	// for a whole request.
	Part     string `json:"part,omitempty"`
	Customer string `json:"customer,omitempty"`
}

// QuarantinesConfig holds the callbacks of a Quarantines.
type QuarantinesConfig struct {
	// Create, Replace and Remove write the object of a fingerprint. List returns
	// all objects by name.
	Create, Replace func(ctx context.Context, name string, o QuarantineObject) error
	Remove          func(ctx context.Context, name string) error
	List            func(ctx context.Context) (map[string]QuarantineObject, error)
	// Restore restores a quarantine that began before this entry was started.
	Restore func(f poison.Fingerprint, o QuarantineObject, age, left time.Duration)
	// Wall returns the time of day. The entries' clocks agree closely enough to
	// compare periods of minutes.
	Wall   func() time.Time
	Random func() float64
	Log    *zap.Logger
}

// Quarantines stores quarantines in the platform, so that they survive a restart of
// all entries. Requests never wait for it.
type Quarantines struct {
	cfg     QuarantinesConfig
	changes chan poison.Change
	// restored holds one value while the platform may have lost what was written.
	restored chan struct{}
	// written holds what this entry has stored and removed, by name, until it is
	// outdated. Only Run uses it.
	written map[string]writtenQuarantine
}

// writtenQuarantine is an object as this entry wrote it. isRemoved is set if the entry removed
// it, because the quarantine was released.
type writtenQuarantine struct {
	object    QuarantineObject
	isRemoved bool
}

// NewQuarantines returns a Quarantines that does nothing before Run is called.
func NewQuarantines(cfg QuarantinesConfig) *Quarantines {
	return &Quarantines{cfg: cfg, changes: make(chan poison.Change, maxQueuedWrites), restored: make(chan struct{}, 1), written: make(map[string]writtenQuarantine)}
}

// Store queues a change to be stored, if this entry has lost an attempt of the
// request. It does not block; changes beyond maxQueuedWrites are dropped.
func (q *Quarantines) Store(c poison.Change) {
	if !c.Local {
		return
	}
	select {
	case q.changes <- c:
	default:
		logs.Warn(q.cfg.Log, logs.EventFailed, zap.String("what", "too many quarantines to store"), zap.Stringer("fingerprint", c.Fingerprint))
	}
}

// NoteRestored records that the platform has come back with an older copy, so that what this
// entry wrote is written again. It does not block.
func (q *Quarantines) NoteRestored() {
	select {
	case q.restored <- struct{}{}:
	default:
	}
}

// Run restores the stored quarantines and then stores changes until ctx ends.
func (q *Quarantines) Run(ctx context.Context) error {
	_ = retry(ctx, 0, q.cfg.Random, q.restore)
	tick := time.NewTicker(cleanInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-q.changes:
			err := retry(ctx, maxWriteAttempts, q.cfg.Random, func(ctx context.Context) error { return q.write(ctx, c) })
			if err != nil && ctx.Err() == nil {
				logs.Warn(q.cfg.Log, logs.EventFailed, zap.String("what", "storing a quarantine; a restart of all entries would lose it"), zap.Error(err))
			}
		case <-q.restored:
			q.writeAgain(ctx)
		case <-tick.C:
			q.removeOutdated(ctx)
		}
	}
}

// restore passes the stored quarantines to Config.Restore and removes the outdated
// objects.
func (q *Quarantines) restore(ctx context.Context) error {
	all, err := q.cfg.List(ctx)
	if err != nil {
		return err
	}
	now := q.cfg.Wall().UnixMilli()
	for name, o := range all {
		f, ok := poison.ParseFingerprint(name)
		switch {
		case !ok:
		case isOutdated(o.UntilMS, now):
			_ = q.cfg.Remove(ctx, name)
		default:
			ms := func(n int64) time.Duration { return time.Duration(max(n, 0)) * time.Millisecond }
			q.cfg.Restore(f, o, ms(now-o.SinceMS), ms(o.UntilMS-now))
		}
	}
	return nil
}

// isOutdated reports whether the object of a quarantine that ended at untilMS can be
// removed.
func isOutdated(untilMS, nowMS int64) bool { return untilMS+objectRetention.Milliseconds() <= nowMS }

// write stores a quarantine, or removes its object if it was released.
func (q *Quarantines) write(ctx context.Context, c poison.Change) error {
	name := c.Fingerprint.String()
	now := q.cfg.Wall()
	if c.Released {
		q.written[name] = writtenQuarantine{QuarantineObject{UntilMS: now.UnixMilli()}, true}
		return q.cfg.Remove(ctx, name)
	}
	o := QuarantineObject{SinceMS: now.UnixMilli(), UntilMS: now.Add(c.Duration).UnixMilli(), Quarantines: c.Quarantines, Part: c.Part, Customer: c.Customer}
	err := q.store(ctx, name, o)
	if err == nil {
		q.written[name] = writtenQuarantine{object: o}
	}
	return err
}

// store writes the object of a quarantine.
func (q *Quarantines) store(ctx context.Context, name string, o QuarantineObject) error {
	err := q.cfg.Create(ctx, name, o)
	if !errors.Is(err, ErrExists) {
		return err
	}
	if o.Quarantines > 1 {
		return q.cfg.Replace(ctx, name, o)
	}
	// Another entry has stored the first quarantine.
	return nil
}

// writeAgain writes and removes again what the platform may have lost.
func (q *Quarantines) writeAgain(ctx context.Context) {
	for name, w := range q.written {
		err := retry(ctx, maxWriteAttempts, q.cfg.Random, func(ctx context.Context) error {
			if w.isRemoved {
				return q.cfg.Remove(ctx, name)
			}
			return q.store(ctx, name, w.object)
		})
		if err != nil && ctx.Err() == nil {
			logs.Warn(q.cfg.Log, logs.EventFailed, zap.String("what", "storing a quarantine again; a restart of all entries would lose it"), zap.String("fingerprint", name), zap.Error(err))
		}
	}
}

// removeOutdated removes the outdated objects that this entry stored.
func (q *Quarantines) removeOutdated(ctx context.Context) {
	now := q.cfg.Wall().UnixMilli()
	for name, w := range q.written {
		if !isOutdated(w.object.UntilMS, now) {
			continue
		}
		if w.isRemoved || call(ctx, func(ctx context.Context) error { return q.cfg.Remove(ctx, name) }) == nil {
			delete(q.written, name)
		}
	}
}

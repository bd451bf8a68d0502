package follow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
)

// ErrExists reports that an object with the name already exists.
var ErrExists = errors.New("follow: the object exists: replace it")

const (
	// purgeInterval is the interval between removals of silent entries.
	purgeInterval = 5 * time.Second
	// purgeSilence is how long an entry must be silent before it is removed from
	// the list. It is longer than a restart takes, so that only entries lost for
	// good are removed. One that was merely cut off adds itself again.
	purgeSilence = 20 * time.Second
	// deregisterTimeout bounds the removal of this entry's object at a planned stop.
	deregisterTimeout = 400 * time.Millisecond
)

// Registration keeps this entry's object in the platform's list of entries.
type Registration struct {
	// Create, Replace and Remove write objects of the list.
	Create, Replace func(ctx context.Context) error
	Remove          func(ctx context.Context, name string) error
	// SilentEntries returns the listed entries that have been silent for d. It
	// returns none if this entry may be the one that is cut off.
	SilentEntries func(d time.Duration) []string
	Name          string
	Random        func() float64
	Log           *zap.Logger
	// missing holds one value while this entry's object is known to be missing.
	missing chan struct{}
}

// Init makes r ready for Run and NoteMissing, and returns it.
func (r *Registration) Init() *Registration {
	r.missing = make(chan struct{}, 1)
	r.missing <- struct{}{}
	return r
}

// NoteMissing records that the list doesn't hold this entry.
func (r *Registration) NoteMissing() {
	select {
	case r.missing <- struct{}{}:
	default:
	}
}

// Run keeps this entry's object in the list until ctx ends, and then removes it.
func (r *Registration) Run(ctx context.Context) error {
	tick := time.NewTicker(purgeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			removeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
			defer cancel()
			if err := r.Remove(removeCtx, r.Name); err != nil {
				logs.Warn(r.Log, logs.EventFailed, zap.String("what", "removing this entry from the list; the other entries will do so"), zap.Error(err))
			}
			return ctx.Err()
		case <-r.missing:
			r.register(ctx)
		case <-tick.C:
			r.removeSilent(ctx)
		}
	}
}

// register writes this entry's object and retries until that succeeds.
func (r *Registration) register(ctx context.Context) {
	_ = retry(ctx, 0, r.Random, func(ctx context.Context) error {
		err := r.Create(ctx)
		if errors.Is(err, ErrExists) {
			err = r.Replace(ctx)
		}
		return err
	})
}

// removeSilent removes the entries from the list that have been silent for too long.
func (r *Registration) removeSilent(ctx context.Context) {
	for _, name := range r.SilentEntries(purgeSilence) {
		err := call(ctx, func(ctx context.Context) error { return r.Remove(ctx, name) })
		logs.Info(r.Log, logs.EventEntryForgotten, zap.String("peer", name), zap.Error(err))
	}
}

package follow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
)

// ErrExists reports that there is an object of the name already.
var ErrExists = errors.New("follow: the object exists: replace it")

const (
	// purgeEvery is how often entries that are gone are looked for.
	purgeEvery = 5 * time.Second
	// purgeAfter is how long an entry must be silent before it is taken off the
	// list: longer than any restart, so that only entries lost for good go. One
	// that was only cut off puts itself back.
	purgeAfter = 20 * time.Second
	// removeTime bounds the removal at a planned stop.
	removeTime = 400 * time.Millisecond
)

// Registration keeps the entry's own line in the platform's list of entries.
type Registration struct {
	// Create, Replace and Remove write the list.
	Create, Replace func(ctx context.Context) error
	Remove          func(ctx context.Context, name string) error
	// Silent returns the listed entries that were not heard for d, none if this
	// entry may be the one that is cut off.
	Silent func(d time.Duration) []string
	Name   string
	Random func() float64
	Log    *zap.Logger
	// missing has one value while the own line is known to be missing.
	missing chan struct{}
}

// Start makes r ready for Run and Missing.
func (r *Registration) Start() *Registration {
	r.missing = make(chan struct{}, 1)
	r.missing <- struct{}{}
	return r
}

// Missing tells that the list does not hold this entry.
func (r *Registration) Missing() {
	select {
	case r.missing <- struct{}{}:
	default:
	}
}

// Run keeps the line until ctx ends, and then removes it.
func (r *Registration) Run(ctx context.Context) error {
	tick := time.NewTicker(purgeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), removeTime)
			defer cancel()
			if err := r.Remove(last, r.Name); err != nil {
				logs.Warn(r.Log, logs.EventFailed, zap.String("what", "taking this entry off the list; the others will"), zap.Error(err))
			}
			return ctx.Err()
		case <-r.missing:
			r.write(ctx)
		case <-tick.C:
			r.purge(ctx)
		}
	}
}

// write writes the line, until it is there.
func (r *Registration) write(ctx context.Context) {
	_ = retry(ctx, 0, r.Random, func(ctx context.Context) error {
		err := r.Create(ctx)
		if errors.Is(err, ErrExists) {
			err = r.Replace(ctx)
		}
		return err
	})
}

func (r *Registration) purge(ctx context.Context) {
	for _, name := range r.Silent(purgeAfter) {
		err := call(ctx, func(ctx context.Context) error { return r.Remove(ctx, name) })
		logs.Info(r.Log, logs.EventEntryForgotten, zap.String("peer", name), zap.Error(err))
	}
}

package feed

import (
	"context"
	"errors"
	"math"
	"time"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

// kinds are the kinds of objects that a feed lists. Status objects are only for
// operators.
var kinds = []string{
	spec.KindClass, spec.KindCustomer, spec.KindModel, spec.KindService,
	spec.KindHomes, spec.KindAssign,
}

// followObjects lists the objects once and then watches them. It lists again when the
// watch's version is compacted.
func (f *Feed) followObjects(ctx context.Context) {
	listed := false
	var b backoff
	for ctx.Err() == nil {
		var err error
		if listed {
			err = f.watch(ctx)
		} else {
			err = f.list(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, plat.ErrCompacted) {
			// A lagging replica may return a list older than the compacted version,
			// so the next list needs a pause too.
			listed = false
			f.sleep(ctx, b.next(f.cfg.Random()))
			continue
		}
		if err != nil {
			f.recordFailure(err)
			if !listed {
				f.loadFromPeers(ctx)
				f.sleep(ctx, b.next(f.cfg.Random()))
				continue
			}
			f.awaitPlatform(ctx, &b)
			continue
		}
		if !listed && f.lacksGoodVersion() {
			f.loadFromPeers(ctx)
		}
		listed = true
		b.reset()
	}
}

// awaitPlatform returns when the platform answers again after a failed watch, or ctx
// has ended. It lists the classes, of which there are few, because a watch is not
// answered until something changes.
func (f *Feed) awaitPlatform(ctx context.Context, b *backoff) {
	for {
		f.sleep(ctx, b.next(f.cfg.Random()))
		requestedAt := time.Now()
		batch, err := f.cfg.Platform.List(ctx, spec.KindClass)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.recordFailure(err)
			continue
		}
		f.recordAnswer(requestedAt)
		f.reportBatch(f.cfg.Store.AcceptList(spec.KindClass, batch))
		return
	}
}

// lacksGoodVersion reports whether an object has no good version here. This happens
// if the process started when the newest version of the object was bad; its peers may
// still have the last good one.
func (f *Feed) lacksGoodVersion() bool {
	for _, r := range f.cfg.Store.Rejected() {
		if r.InForce == 0 {
			return true
		}
	}
	return false
}

// list lists every kind. The watch continues from the oldest of the lists, so that no
// change between two of them is missed.
func (f *Feed) list(ctx context.Context) error {
	oldest := int64(math.MaxInt64)
	for _, kind := range kinds {
		requestedAt := time.Now()
		batch, err := f.cfg.Platform.List(ctx, kind)
		if err != nil {
			return err
		}
		f.recordAnswer(requestedAt)
		f.reportBatch(f.cfg.Store.AcceptList(kind, batch))
		oldest = min(oldest, batch.Version)
	}
	f.cfg.Store.AcceptBatch(plat.Batch{Version: oldest})
	f.markReady()
	return nil
}

// watch makes one watch call and applies the changes.
func (f *Feed) watch(ctx context.Context) error {
	requestedAt := time.Now()
	batch, err := f.cfg.Platform.Watch(ctx, plat.AnyKind, f.cfg.Store.CompleteVersion(), f.cfg.WatchTimeout)
	if err != nil {
		return err
	}
	f.recordAnswer(requestedAt)
	f.reportBatch(f.cfg.Store.AcceptBatch(batch))
	if len(batch.Events) > 0 {
		f.waitInterval(ctx, requestedAt)
	}
	return nil
}

// waitInterval waits until the next call may be made. Changes come in bursts, and a
// platform that repeats old events answers at once: without this pause every process
// would call as fast as the platform can answer.
func (f *Feed) waitInterval(ctx context.Context, requestedAt time.Time) {
	if remaining := f.cfg.MinInterval - time.Since(requestedAt); remaining > 0 {
		f.sleep(ctx, remaining)
	}
}

// followInstances keeps the instance list up to date.
func (f *Feed) followInstances(ctx context.Context) {
	var b backoff
	for ctx.Err() == nil {
		requestedAt := time.Now()
		before := f.cfg.Store.Roster().Version
		roster, err := f.cfg.Platform.Instances(ctx, before, f.cfg.WatchTimeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.recordFailure(err)
			f.awaitPlatform(ctx, &b)
			continue
		}
		f.recordAnswer(requestedAt)
		b.reset()
		f.cfg.Store.AcceptRoster(roster)
		if roster.Version != before {
			f.waitInterval(ctx, requestedAt)
		}
	}
}

package feed

import (
	"context"
	"errors"
	"math"
	"time"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

// kinds are what a feed lists. Status objects are for operators alone.
var kinds = []string{
	spec.KindClass, spec.KindCustomer, spec.KindModel, spec.KindService,
	spec.KindHomes, spec.KindAssign,
}

// objects lists once and then watches. A watch from a compacted version lists
// again.
func (f *Feed) objects(ctx context.Context) {
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
			// A lagging replica may list an older state than the compacted
			// version, so listing again is not to be tried in a tight loop.
			listed = false
			f.sleep(ctx, b.take(f.cfg.Random()))
			continue
		}
		if err != nil {
			f.failed(err)
			if !listed {
				f.fromPeers(ctx)
			}
			f.sleep(ctx, b.take(f.cfg.Random()))
			continue
		}
		if !listed && f.lacking() {
			f.fromPeers(ctx)
		}
		listed = true
		b.reset()
	}
}

// lacking reports whether an object has no good version here. A process that
// starts while the newest version of an object is bad has none, but its peers
// still have the last good one.
func (f *Feed) lacking() bool {
	for _, r := range f.cfg.Store.Rejected() {
		if r.InForce == 0 {
			return true
		}
	}
	return false
}

// list takes every kind. The watch goes on from the oldest of the lists, so
// that no change between two of them is missed.
func (f *Feed) list(ctx context.Context) error {
	oldest := int64(math.MaxInt64)
	for _, kind := range kinds {
		asked := time.Now()
		batch, err := f.cfg.Platform.List(ctx, kind)
		if err != nil {
			return err
		}
		f.answered(asked)
		f.report(f.cfg.Store.AcceptList(kind, batch))
		oldest = min(oldest, batch.Version)
	}
	f.cfg.Store.AcceptBatch(plat.Batch{Version: oldest})
	f.haveConfig()
	return nil
}

func (f *Feed) watch(ctx context.Context) error {
	asked := time.Now()
	batch, err := f.cfg.Platform.Watch(ctx, plat.AnyKind, f.cfg.Store.CompleteVersion(), f.cfg.Wait)
	if err != nil {
		return err
	}
	f.answered(asked)
	f.report(f.cfg.Store.AcceptBatch(batch))
	if len(batch.Events) > 0 {
		f.pace(ctx, asked)
	}
	return nil
}

// pace waits until the next call may be made. Changes come in runs, and a
// platform that replays old events answers at once: without a pause every
// process would ask as fast as the platform can answer.
func (f *Feed) pace(ctx context.Context, asked time.Time) {
	if left := f.cfg.Every - time.Since(asked); left > 0 {
		f.sleep(ctx, left)
	}
}

// instances follows the instance list.
func (f *Feed) instances(ctx context.Context) {
	var b backoff
	for ctx.Err() == nil {
		asked := time.Now()
		before := f.cfg.Store.Roster().Version
		roster, err := f.cfg.Platform.Instances(ctx, before, f.cfg.Wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.failed(err)
			f.sleep(ctx, b.take(f.cfg.Random()))
			continue
		}
		f.answered(asked)
		b.reset()
		f.cfg.Store.AcceptRoster(roster)
		if roster.Version != before {
			f.pace(ctx, asked)
		}
	}
}

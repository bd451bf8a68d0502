package follow

import (
	"context"
	"errors"
	"time"
)

// shortestIdle and longestIdle bound the time between two checks of whether
// anything is to be sent.
const (
	shortestIdle = 10 * time.Millisecond
	longestIdle  = time.Second
)

// calls are those that have been sent and have no answer.
type calls[T any] struct {
	answers chan answer[T]
	// flying counts all of them, given up or not; looking is set while one of them is
	// a look.
	flying  int
	looking bool
	// due is in how long the next look is, or is to be asked for again.
	due time.Duration
	// lost is set while the platform no longer has the changes since f.since, so
	// that only a look can tell what changed.
	lost bool
	// giveUp ends the waiting call; nil if there is none. next is when the next one
	// is sent, and serial counts them.
	giveUp context.CancelFunc
	next   time.Time
	serial int
}

// answer is that to one call.
type answer[T any] struct {
	// serial is that of a waiting call, zero for a look: then changes holds all items.
	serial   int
	since    int64
	sent     time.Time
	changes  []Change[T]
	revision int64
	err      error
}

// waited reports whether it is that to a call that waits.
func (a *answer[T]) waited() bool { return a.serial > 0 }

// attend waits for changes and looks until ctx ends.
func (f *Follower[T]) attend(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer f.drain()
	defer stop()
	f.next = time.Now()
	for ctx.Err() == nil {
		f.send(ctx)
		select {
		case <-ctx.Done():
		case a := <-f.answers:
			f.take(ctx, a)
		case <-time.After(f.idle()):
		}
	}
}

// drain waits for the calls that have been given up.
func (f *Follower[T]) drain() {
	for f.flying > 0 {
		<-f.answers
		f.flying--
	}
	f.looking, f.giveUp = false, nil
}

// send sends the calls that are due.
func (f *Follower[T]) send(ctx context.Context) {
	now := time.Now()
	if f.failed == 0 && !f.lost && f.giveUp == nil && !now.Before(f.next) {
		f.wait(ctx)
	}
	if f.lookDue(now) {
		f.looking = true
		f.call(ctx, answer[T]{}, 0, f.limit())
	}
}

// lookDue reports whether to look: because it is this entry's turn, or because the
// last call failed. Then it tells sooner than a waiting call that the platform is
// back, and that is evidence. One look is on its way at a time, and is given up
// early: what keeps it from an answer may be over for the next one.
func (f *Follower[T]) lookDue(now time.Time) bool {
	if f.looking {
		return false
	}
	if f.failed > 0 {
		return !now.Before(f.retry)
	}
	if f.cfg.Due != nil {
		f.due = f.cfg.Due()
	}
	return f.lost || f.cfg.Due != nil && f.due <= 0
}

// limit is how long a look may take.
func (f *Follower[T]) limit() time.Duration { return Limit(len(f.items), f.cfg.Bound) }

// wait sends a waiting call.
func (f *Follower[T]) wait(ctx context.Context) {
	f.since = max(f.since, f.at)
	wait := f.cfg.Wait()
	f.serial++
	ctx, f.giveUp = context.WithCancel(ctx)
	f.call(ctx, answer[T]{serial: f.serial}, wait, wait+waitExtra)
}

// restart gives up the waiting call and sends the next one after a pause.
func (f *Follower[T]) restart(pause time.Duration) {
	if f.giveUp != nil {
		f.giveUp()
		f.giveUp = nil
	}
	f.next = time.Now().Add(pause)
}

// call sends the call that a tells of. A look reads the whole list: the platform
// may hold back calls for changes, also those that do not wait.
func (f *Follower[T]) call(ctx context.Context, a answer[T], wait, limit time.Duration) {
	a.since, a.sent = f.since, time.Now()
	f.flying++
	go func() {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		if a.waited() {
			a.changes, a.revision, a.err = f.cfg.Watch(ctx, a.since, wait)
		} else {
			a.changes, a.revision, a.err = f.cfg.List(ctx)
		}
		f.answers <- a
	}()
}

// idle is how long nothing needs to be sent unless an answer comes.
func (f *Follower[T]) idle() time.Duration {
	now, idle := time.Now(), longestIdle
	switch {
	case f.looking:
	case f.failed > 0:
		idle = f.retry.Sub(now)
	case f.cfg.Due != nil:
		idle = f.due
	}
	if f.failed == 0 && f.giveUp == nil {
		idle = min(idle, f.next.Sub(now))
	}
	return max(idle, shortestIdle)
}

// take takes in an answer.
func (f *Follower[T]) take(ctx context.Context, a answer[T]) {
	f.flying--
	switch {
	case !a.waited():
		f.looking = false
	case a.serial != f.serial || f.giveUp == nil:
		return
	default:
		f.restart(0)
	}
	if a.err != nil {
		f.failure(ctx, a)
		return
	}
	if f.failed > 0 {
		// What waited through an outage may be forgotten.
		f.restart(0)
	}
	f.good(a.sent)
	if a.waited() {
		f.heard(a)
	} else {
		f.seen(a)
	}
}

// failure takes in that a call failed. A look that was given up counts too, as
// removals are the safer for it: the platform then counts as away from early in a
// silence on, and not only near its end, while one answer after a single lost look
// ends an outage that is too short to put removals in doubt.
func (f *Follower[T]) failure(ctx context.Context, a answer[T]) {
	switch {
	case errors.Is(a.err, ErrHistory):
		f.good(a.sent)
		if a.since == f.since {
			f.lost = true
			f.restart(0)
		}
	case !a.sent.Before(f.well):
		f.bad(ctx, a.err)
	}
}

// heard takes in the answer to a waiting call. Without changes it is no evidence:
// the platform may have forgotten the call.
func (f *Follower[T]) heard(a answer[T]) {
	switch {
	case a.since != f.since:
		// A look has told more.
	case len(a.changes) > 0:
		f.news(a)
	case f.cfg.Due == nil:
		f.at = max(f.at, a.revision)
	}
}

// seen takes in the answer to a look: what it differs by from what is held here.
func (f *Follower[T]) seen(a answer[T]) {
	if a.revision < f.since {
		// A waiting call has told more.
		return
	}
	f.lost = false
	a.changes = f.differences(a.changes, a.revision)
	if len(a.changes) > 0 {
		f.news(a)
		return
	}
	f.at = max(f.at, a.revision)
	f.looked(a.sent)
}

// news takes in changes.
func (f *Follower[T]) news(a answer[T]) {
	f.since = max(f.since, a.revision)
	f.keep(a.changes)
	f.holds = max(f.holds, f.cfg.Changed(a.changes))
	f.looked(a.sent)
	f.restart(f.cfg.Pause())
}

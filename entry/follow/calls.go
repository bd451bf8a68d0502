package follow

import (
	"context"
	"errors"
	"time"
)

const (
	// lookWait is the wait of a look: the shortest, so that it is answered at once.
	lookWait = time.Millisecond
	// maxLooks bounds the looks without an answer: with the next one the first of
	// them is about to be given up.
	maxLooks = 3
	// pollLook is how often it is checked whether a look is due, as evidence of a
	// peer may make it due sooner or later: a fraction of the time in which one
	// look follows the other.
	pollLook = 50 * time.Millisecond
)

// calls are those that have been sent and have no answer.
type calls[T any] struct {
	answers chan answer[T]
	// flying counts all of them, given up or not, looks the looks.
	flying, looks int
	// look is when the last look was sent.
	look time.Time
	// giveUp ends the waiting call; nil if there is none. next is when the next one
	// is sent, and serial counts them.
	giveUp context.CancelFunc
	next   time.Time
	serial int
}

// answer is that to one call.
type answer[T any] struct {
	// serial is that of a waiting call, zero for a look.
	serial   int
	since    int64
	sent     time.Time
	changes  []Change[T]
	revision int64
	err      error
}

// attend waits for changes and looks until the whole list has to be read again.
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
			if !f.take(ctx, a) {
				return
			}
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
	f.looks, f.giveUp = 0, nil
}

// send sends the calls that are due.
func (f *Follower[T]) send(ctx context.Context) {
	now := time.Now()
	if f.failed == 0 && f.giveUp == nil && !now.Before(f.next) {
		f.wait(ctx)
	}
	if f.lookDue(now) {
		f.look = now
		f.looks++
		f.call(ctx, 0, lookWait, CallTime)
	}
}

// lookDue reports whether to look: because it is this entry's turn, or because the
// last call failed. Then it tells sooner than a waiting call that the platform is
// back, and that is evidence.
func (f *Follower[T]) lookDue(now time.Time) bool {
	if f.looks >= maxLooks || f.looks > 0 && (f.cfg.Again == nil || now.Sub(f.look) < f.cfg.Again(f.failed > 0)) {
		return false
	}
	if f.failed > 0 {
		return !now.Before(f.retry)
	}
	return f.cfg.Due != nil && f.cfg.Due() <= 0
}

// wait sends a waiting call.
func (f *Follower[T]) wait(ctx context.Context) {
	f.since = max(f.since, f.at)
	wait := f.cfg.Wait()
	f.serial++
	ctx, f.giveUp = context.WithCancel(ctx)
	f.call(ctx, f.serial, wait, wait+waitExtra)
}

// restart gives up the waiting call and sends the next one after a pause.
func (f *Follower[T]) restart(pause time.Duration) {
	if f.giveUp != nil {
		f.giveUp()
		f.giveUp = nil
	}
	f.next = time.Now().Add(pause)
}

func (f *Follower[T]) call(ctx context.Context, serial int, wait, limit time.Duration) {
	a := answer[T]{serial: serial, since: f.since, sent: time.Now()}
	f.flying++
	go func() {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		a.changes, a.revision, a.err = f.cfg.Watch(ctx, a.since, wait)
		f.answers <- a
	}()
}

// idle is how long nothing needs to be sent unless an answer comes.
func (f *Follower[T]) idle() time.Duration {
	if f.cfg.Due != nil {
		return pollLook
	}
	if f.failed > 0 {
		return max(time.Until(f.retry), time.Millisecond)
	}
	return max(time.Until(f.next), pollLook)
}

// take takes in an answer. It reports false if the whole list must be read.
func (f *Follower[T]) take(ctx context.Context, a answer[T]) bool {
	f.flying--
	waited := a.serial > 0
	if !waited {
		f.looks--
	} else if a.serial != f.serial || f.giveUp == nil {
		return true
	} else {
		f.restart(0)
	}
	switch {
	case errors.Is(a.err, ErrHistory):
		f.good(a.sent)
		return a.since != f.since
	case a.err != nil:
		if !a.sent.Before(f.well) {
			f.bad(ctx, a.err)
		}
		return true
	}
	if f.failed > 0 {
		// What waited through an outage may be forgotten.
		f.restart(0)
	}
	f.good(a.sent)
	if a.since != f.since {
		// Another answer has told more.
		return true
	}
	f.news(a, waited)
	return true
}

// news takes in the changes of an answer. Without any, a look is evidence, and a
// call that has waited is not: the platform may have forgotten it.
func (f *Follower[T]) news(a answer[T], waited bool) {
	switch {
	case len(a.changes) > 0:
		f.since = max(f.since, a.revision)
		f.holds = max(f.holds, f.cfg.Changed(a.changes))
		f.looked(a.sent)
		f.restart(f.cfg.Pause())
	case !waited:
		f.at = max(f.at, a.revision)
		f.looked(a.sent)
	case f.cfg.Due == nil:
		f.at = max(f.at, a.revision)
	}
}

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
	// them is about to be given up. maxReadings bounds them while only a reading can
	// help: the list may be long, and all entries may ask for it at once.
	maxLooks    = 3
	maxReadings = 2
	// pollLook is how often it is checked whether a look that is due may be sent
	// while others have no answer.
	pollLook = 50 * time.Millisecond
	// shortestIdle and longestIdle bound the time between two checks of whether
	// anything is to be sent.
	shortestIdle = 10 * time.Millisecond
	longestIdle  = time.Second
)

// calls are those that have been sent and have no answer.
type calls[T any] struct {
	answers chan answer[T]
	// flying counts all of them, given up or not, looks the looks.
	flying, looks int
	// look is when the last look was sent, again how long it may go without an
	// answer, and due in how long the next one is, or is to be asked for again.
	look       time.Time
	again, due time.Duration
	// read is set while the last call for changes was held for long and then
	// failed, so that the list is read instead.
	read bool
	// lost is set while the platform no longer has the changes since f.since, so
	// that the whole list has to be read.
	lost bool
	// giveUp ends the waiting call; nil if there is none. next is when the next one
	// is sent, and serial counts them.
	giveUp context.CancelFunc
	next   time.Time
	serial int
}

// answer is that to one call.
type answer[T any] struct {
	// serial is that of a waiting call, zero for a look. If whole is set, that was a
	// reading of the whole list, and changes holds all items.
	serial   int
	whole    bool
	since    int64
	sent     time.Time
	changes  []Change[T]
	revision int64
	err      error
}

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
	f.looks, f.giveUp = 0, nil
}

// send sends the calls that are due.
func (f *Follower[T]) send(ctx context.Context) {
	now := time.Now()
	if f.failed == 0 && !f.lost && f.giveUp == nil && !now.Before(f.next) {
		f.wait(ctx)
	}
	if !f.lookDue(now) {
		return
	}
	whole := f.lost || f.read || f.looks > 0
	f.look = now
	f.looks++
	if f.cfg.Again != nil {
		f.again = f.cfg.Again(f.failed > 1)
	}
	if whole {
		f.read = false
		f.call(ctx, answer[T]{whole: true}, 0, listTime)
	} else {
		f.call(ctx, answer[T]{}, lookWait, CallTime)
	}
}

// lookDue reports whether to look: because it is this entry's turn, or because the
// last call failed. Then it tells sooner than a waiting call that the platform is
// back, and that is evidence. A look beside one that has no answer reads the whole
// list: the platform may hold back all calls for changes, short ones too.
func (f *Follower[T]) lookDue(now time.Time) bool {
	most := maxLooks
	if f.lost {
		most = maxReadings
	}
	if f.looks >= most || f.looks > 0 && (f.cfg.Again == nil || now.Sub(f.look) < f.again) {
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

// call sends the call that a tells of.
func (f *Follower[T]) call(ctx context.Context, a answer[T], wait, limit time.Duration) {
	a.since, a.sent = f.since, time.Now()
	f.flying++
	go func() {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		if a.whole {
			a.changes, a.revision, a.err = f.cfg.List(ctx)
		} else {
			a.changes, a.revision, a.err = f.cfg.Watch(ctx, a.since, wait)
		}
		f.answers <- a
	}()
}

// idle is how long nothing needs to be sent unless an answer comes.
func (f *Follower[T]) idle() time.Duration {
	now, idle := time.Now(), longestIdle
	switch {
	case f.looks > 0:
		idle = pollLook
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
	waited := a.serial > 0
	if !waited {
		f.looks--
	} else if a.serial != f.serial || f.giveUp == nil {
		return
	} else {
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
	if a.since != f.since {
		// Another answer has told more.
		return
	}
	if a.whole {
		f.lost = false
		if !f.known {
			f.listed(a)
			return
		}
		a.changes = f.differences(a.changes, a.revision)
	}
	f.news(a, waited)
}

// failure takes in that a call failed.
func (f *Follower[T]) failure(ctx context.Context, a answer[T]) {
	switch {
	case errors.Is(a.err, ErrHistory):
		f.good(a.sent)
		if a.since == f.since {
			f.lost = true
			f.restart(0)
		}
	case !a.sent.Before(f.well):
		if f.cfg.Again != nil && !a.whole && time.Since(a.sent) >= f.cfg.Again(false) {
			f.read = true
		}
		f.bad(ctx, a.sent, a.err)
	}
}

// news takes in the changes of an answer. Without any, a look is evidence, and a
// call that has waited is not: the platform may have forgotten it.
func (f *Follower[T]) news(a answer[T], waited bool) {
	switch {
	case len(a.changes) > 0:
		f.since = max(f.since, a.revision)
		f.keep(a.changes)
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

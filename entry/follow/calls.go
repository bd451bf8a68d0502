package follow

import (
	"context"
	"errors"
	"slices"
	"time"

	"lycheepond/core/eras"
)

// minIdle and maxIdle bound the time until the follower checks again whether a call
// is due.
const (
	minIdle = 10 * time.Millisecond
	maxIdle = time.Second
)

// calls is the state of the calls to the platform. There are two kinds: a watch is a
// long poll that waits for changes, a check reads the whole list and is answered at
// once.
type calls[T any] struct {
	answers chan answer[T]
	// pending counts all calls without an answer, including cancelled ones.
	pending int
	// checks holds the checks without an answer, oldest first, and sentChecks counts
	// those sent. All are late, except the last one while isChecking is set: it was
	// sent at checkSentAt and is late at checkLateAt.
	checks                   []check
	sentChecks               int
	isChecking               bool
	checkSentAt, checkLateAt time.Time
	// nextCheckIn is the last result of Config.NextCheck.
	nextCheckIn time.Duration
	// historyLost is set while the platform no longer has the changes since
	// f.since, or counts its revisions anew, so that only a check can find what
	// changed.
	historyLost bool
	// cancelWatch cancels the pending watch; it is nil if there is none.
	// nextWatchAt is when the next one is due. watches counts the watches sent.
	cancelWatch context.CancelFunc
	nextWatchAt time.Time
	watches     int
}

// check is a check without an answer.
type check struct {
	number int
	cancel context.CancelFunc
}

// maxChecks is the largest number of checks without an answer.
const maxChecks = 3

// errCheckLate reports that a check has no answer in time.
var errCheckLate = errors.New("follow: the platform has not answered a check in time: see whether it is slow or cannot be reached")

// answer is the answer to one call.
type answer[T any] struct {
	// watch is the number of the watch, from one on, or zero for a check, check the
	// number of the check. For a check, changes holds all items.
	watch    int
	check    int
	since    int64
	sentAt   time.Time
	changes  []Change[T]
	revision int64
	err      error
}

// isWatch reports whether the call was a watch.
func (a *answer[T]) isWatch() bool { return a.watch > 0 }

// follow sends watches and checks and handles their answers until ctx ends.
func (f *Follower[T]) follow(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer f.drain()
	defer stop()
	f.nextWatchAt = time.Now()
	for ctx.Err() == nil {
		f.sendDueCalls(ctx)
		select {
		case <-ctx.Done():
		case a := <-f.answers:
			f.handleAnswer(ctx, a)
		case <-time.After(f.idleTime()):
			f.noteLateCheck(ctx)
		}
	}
}

// drain waits for the cancelled calls to return.
func (f *Follower[T]) drain() {
	for f.pending > 0 {
		<-f.answers
		f.pending--
	}
	f.checks, f.isChecking, f.cancelWatch = nil, false, nil
}

// sendDueCalls sends the calls that are due.
func (f *Follower[T]) sendDueCalls(ctx context.Context) {
	now := time.Now()
	if !f.historyLost && f.cfg.Era != nil && f.cfg.Era() > eras.Era(max(f.since, f.verifiedRevision)) {
		f.historyLost = true
		f.restartWatch(0)
	}
	if f.failures == 0 && !f.historyLost && f.cancelWatch == nil && !now.Before(f.nextWatchAt) {
		f.startWatch(ctx)
	}
	if f.isCheckDue(now) {
		f.startCheck(ctx, now)
	}
}

// startCheck sends a check. It cancels the oldest one if maxChecks have no answer.
func (f *Follower[T]) startCheck(ctx context.Context, now time.Time) {
	if len(f.checks) == maxChecks {
		f.cancelChecks(1)
	}
	timeout := f.checkTimeout()
	f.sentChecks++
	ctx, cancel := context.WithCancel(ctx)
	f.checks = append(f.checks, check{f.sentChecks, cancel})
	f.isChecking, f.checkSentAt, f.checkLateAt = true, now, now.Add(timeout)
	f.startCall(ctx, answer[T]{check: f.sentChecks}, 0, timeout+CallTimeout)
}

// cancelChecks cancels the n oldest checks.
func (f *Follower[T]) cancelChecks(n int) {
	for _, c := range f.checks[:n] {
		c.cancel()
	}
	f.checks = slices.Delete(f.checks, 0, n)
}

// noteLateCheck counts the current check as failed once it is late. Its answer still counts
// if it arrives: a platform that always answers too late would otherwise never be heard.
func (f *Follower[T]) noteLateCheck(ctx context.Context) {
	if !f.isChecking || time.Now().Before(f.checkLateAt) {
		return
	}
	f.isChecking = false
	if f.cfg.OnLate != nil {
		f.cfg.OnLate()
	}
	if !f.checkSentAt.Before(f.lastSuccessAt) {
		f.noteFailure(ctx, errCheckLate)
	}
}

// isCheckDue reports whether to send a check, because it is this entry's turn or
// because the last call failed. After a failure, a check shows sooner than a watch
// that the platform is back, and its answer is evidence. Only one check is pending
// that is not late. A check is late soon, because a second one may be answered although
// the answer to the first is delayed.
func (f *Follower[T]) isCheckDue(now time.Time) bool {
	if f.isChecking {
		return false
	}
	if f.failures > 0 {
		return !now.Before(f.retryAt)
	}
	if f.cfg.NextCheck != nil {
		f.nextCheckIn = f.cfg.NextCheck()
	}
	return f.historyLost || f.cfg.NextCheck != nil && f.nextCheckIn <= 0
}

// checkTimeout returns the timeout of a check of the local copy's size.
func (f *Follower[T]) checkTimeout() time.Duration {
	return CheckTimeout(len(f.items), f.cfg.FreshnessBound)
}

// startWatch sends a watch.
func (f *Follower[T]) startWatch(ctx context.Context) {
	f.since = max(f.since, f.verifiedRevision)
	wait := f.cfg.WatchTime()
	f.watches++
	ctx, f.cancelWatch = context.WithCancel(ctx)
	f.startCall(ctx, answer[T]{watch: f.watches}, wait, wait+watchGrace)
}

// restartWatch cancels the pending watch and schedules the next one after a pause.
func (f *Follower[T]) restartWatch(pause time.Duration) {
	if f.cancelWatch != nil {
		f.cancelWatch()
		f.cancelWatch = nil
	}
	f.nextWatchAt = time.Now().Add(pause)
}

// startCall sends the call described by a, with a timeout of limit. A check reads
// the whole list instead of requesting changes, because the platform may hold back
// calls for changes, even those that don't wait.
func (f *Follower[T]) startCall(ctx context.Context, a answer[T], wait, limit time.Duration) {
	a.since, a.sentAt = f.since, time.Now()
	f.pending++
	go func() {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		if a.isWatch() {
			a.changes, a.revision, a.err = f.cfg.Watch(ctx, a.since, wait)
		} else {
			a.changes, a.revision, a.err = f.cfg.List(ctx)
		}
		f.answers <- a
	}()
}

// idleTime returns how long to wait for an answer before checking again whether a
// call is due.
func (f *Follower[T]) idleTime() time.Duration {
	now, idle := time.Now(), maxIdle
	switch {
	case f.isChecking:
		idle = f.checkLateAt.Sub(now)
	case f.failures > 0:
		idle = f.retryAt.Sub(now)
	case f.cfg.NextCheck != nil:
		idle = f.nextCheckIn
	}
	if f.failures == 0 && f.cancelWatch == nil {
		idle = min(idle, f.nextWatchAt.Sub(now))
	}
	return max(idle, minIdle)
}

// handleAnswer handles the answer to a call.
func (f *Follower[T]) handleAnswer(ctx context.Context, a answer[T]) {
	f.pending--
	switch {
	case !a.isWatch():
		if !f.takeCheck(a) {
			return
		}
	case a.watch != f.watches || f.cancelWatch == nil:
		return
	default:
		f.restartWatch(0)
	}
	if a.err == nil && !a.isWatch() && f.historyLost && a.revision < f.since {
		a.err = errOlder
	}
	if a.err != nil {
		f.handleFailure(ctx, a)
		return
	}
	if f.failures > 0 {
		// The platform may have forgotten a watch that was pending through the
		// outage.
		f.restartWatch(0)
	}
	f.noteSuccess(a.sentAt)
	if a.isWatch() {
		f.handleWatch(a)
	} else {
		f.handleCheck(a)
	}
}

// takeCheck removes the check that an answer belongs to, and reports whether the answer
// counts. One to a cancelled check does not, nor does a late one that is an error or older
// than the local copy.
func (f *Follower[T]) takeCheck(a answer[T]) bool {
	i := slices.IndexFunc(f.checks, func(c check) bool { return c.number == a.check })
	if i < 0 {
		return false
	}
	isLate := i < len(f.checks)-1 || !f.isChecking
	f.checks[i].cancel()
	f.checks = slices.Delete(f.checks, i, i+1)
	if !isLate {
		f.isChecking = false
	}
	if a.err == nil {
		f.cancelChecks(i)
	}
	return !isLate || a.err == nil && a.revision >= f.since
}

// handleFailure handles a failed call. A check that is late counts as a failure,
// because that makes removals safer: the platform then counts as away from early on
// in a period without answers, and not only from near its end. If only one check is
// lost, the answer to the next one ends the outage before it is long enough to put
// removals in doubt.
func (f *Follower[T]) handleFailure(ctx context.Context, a answer[T]) {
	switch {
	case errors.Is(a.err, ErrHistory):
		f.noteSuccess(a.sentAt)
		if a.since == f.since {
			f.historyLost = true
			f.restartWatch(0)
		}
	case !a.sentAt.Before(f.lastSuccessAt):
		f.noteFailure(ctx, a.err)
	}
}

// handleWatch handles the answer to a watch. An answer without changes is no
// evidence, because the platform may have forgotten the call.
func (f *Follower[T]) handleWatch(a answer[T]) {
	switch {
	case a.since != f.since:
		// A check has already brought a newer revision.
	case len(a.changes) > 0:
		f.applyChanges(a)
	case f.cfg.NextCheck == nil:
		f.verifiedRevision = max(f.verifiedRevision, a.revision)
	}
}

// handleCheck handles the answer to a check and applies how the list differs from
// the local copy.
func (f *Follower[T]) handleCheck(a answer[T]) {
	if a.revision < f.since {
		// A watch has already brought a newer revision.
		return
	}
	f.historyLost = false
	a.changes = f.differences(a.changes, a.revision)
	if len(a.changes) > 0 {
		f.applyChanges(a)
		return
	}
	f.verifiedRevision = max(f.verifiedRevision, a.revision)
	f.reportVerified(a.sentAt)
}

// applyChanges applies changes to the local copy.
func (f *Follower[T]) applyChanges(a answer[T]) {
	f.since = max(f.since, a.revision)
	f.recordRevisions(a.changes)
	f.revision = max(f.revision, f.cfg.OnChanges(a.changes))
	f.reportVerified(a.sentAt)
	f.restartWatch(f.cfg.BatchTime())
}

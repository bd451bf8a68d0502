package direct

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/meter"
)

// replacementInterval is the time between two searches for a replacement of a late attempt.
// Room and retries become available as other requests end, about every ten milliseconds. A
// tenth of the usual targets is soon enough, and each search costs a placement.
const replacementInterval = 100 * time.Millisecond

// silenceRecheck is the time between the expiry of the silence timer and a second check. A
// process that resumes after a pause has read all its streams within some milliseconds. A
// fiftieth of the shortest silence bound is a small delay for an endpoint that is really
// silent.
const silenceRecheck = 20 * time.Millisecond

// watchdog gives up an attempt whose endpoint has sent nothing for too long, but only in favor
// of a replacement that has its placement and its retry and has not declined. While there is
// none, the answer is awaited: a late answer is worth more to the caller than none.
type watchdog struct {
	task    *task
	attempt *attempt
	cancel  context.CancelCauseFunc
	// replacements carries the replacements to the goroutine that sends them; senderDone is
	// closed when that ends.
	replacements chan *exchange
	senderDone   chan struct{}

	mu    sync.Mutex
	timer *time.Timer
	// runCount and sendCount are the task's, including this attempt and its replacements.
	runCount, sendCount int
	// timerArmed is set during a wait that may be given up. awaited says what is awaited,
	// waitStart since when, and bound for how long at most. expectedOutput is how many output
	// tokens were still expected at the start of the wait.
	timerArmed     bool
	awaited        awaited
	waitStart      time.Time
	bound          time.Duration
	expectedOutput int
	// version is the version at which the stream had to go on at the start of the wait.
	version boundVersion
	// isWaiting is set from startWait to endWait.
	isWaiting bool
	// firstCheckDone is set between the first and the second check of the timer.
	// silenceConfirmed is set once the endpoint had sent nothing at the second check either.
	firstCheckDone, silenceConfirmed bool
	// loggedLate is set once the log says that the attempt is late and goes on.
	loggedLate bool
	// replacement is the attempt that is to take the place of this one. It may still be
	// dropped until switched is set; from then on nothing of this attempt is forwarded.
	// silence is the reason for the replacement.
	replacement *attempt
	switched    bool
	silence     *silenceError
}

func (t *task) newWatchdog(a *attempt, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{
		task: t, attempt: a, cancel: cancel, runCount: t.runCount + 1, sendCount: t.sendCount,
		replacements: make(chan *exchange, 1), senderDone: make(chan struct{}),
	}
}

// startWait begins a wait for the endpoint. With a bound of zero it is not given up.
func (w *watchdog) startWait(bound time.Duration, what awaited) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitStart, w.bound, w.awaited, w.isWaiting = time.Now(), bound, what, true
	w.firstCheckDone, w.silenceConfirmed = false, false
	w.version = w.task.version
	if bound <= 0 || w.replacement != nil {
		return
	}
	w.timerArmed, w.expectedOutput = true, w.task.remainingOutput()
	if w.timer == nil {
		w.timer = time.AfterFunc(bound, w.handleTimeout)
		return
	}
	w.timer.Reset(bound)
}

// endWait ends a wait, whatever its result.
func (w *watchdog) endWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timerArmed, w.isWaiting = false, false
	if w.timer != nil {
		w.timer.Stop()
	}
	w.attempt.placement.Silence, w.attempt.placement.SilenceBound = time.Since(w.waitStart), w.bound
	w.attempt.wasSilent = w.silenceConfirmed
}

// currentReplacement returns the attempt that replaces this one, nil if there is none.
func (w *watchdog) currentReplacement() *attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replacement
}

// handleTimeout is called when the endpoint has sent nothing for the bound.
func (w *watchdog) handleTimeout() {
	waitStart, expectedOutput, confirmed := w.confirmSilence()
	if !confirmed {
		return
	}
	replacement, missing := w.reserveReplacement(placementOptions{avoidID: w.attempt.id, outputTokens: expectedOutput, entryShare: 1, needsRoom: true})
	if !w.launchReplacement(waitStart, replacement, missing) && replacement != nil {
		// The awaited data has arrived in the meantime.
		w.task.d.cancelReserved(replacement)
	}
}

// confirmSilence reports whether a replacement is needed for the wait that began at waitStart.
// After a pause of the process the timer expires before the bytes are read that arrived in the
// meantime. The endpoint therefore counts as silent only if there is still nothing at a second
// check.
func (w *watchdog) confirmSilence() (waitStart time.Time, expectedOutput int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.timerArmed || time.Since(w.waitStart) < w.bound {
		return w.waitStart, w.expectedOutput, false
	}
	w.firstCheckDone = !w.firstCheckDone
	if w.firstCheckDone {
		w.timer.Reset(silenceRecheck)
		return w.waitStart, w.expectedOutput, false
	}
	w.silenceConfirmed = true
	return w.waitStart, w.expectedOutput, true
}

// reserveReplacement returns an attempt that may replace this one, or nil and what is missing
// for it.
func (w *watchdog) reserveReplacement(opts placementOptions) (*attempt, string) {
	w.mu.Lock()
	runCount, sendCount := w.runCount, w.sendCount
	opts.version = w.version
	w.mu.Unlock()
	if opts.version.isUnknown {
		return nil, "not known which version began the stream"
	}
	if missing := w.task.missingForRetry(runCount, sendCount, opts.outputTokens); missing != "" {
		return nil, missing
	}
	return w.task.d.reserve(w.task.job, w.attempt, opts, false)
}

// launchReplacement has the replacement sent while this attempt goes on, or continues to wait
// if there is none. It returns false if the wait that began at waitStart is over.
func (w *watchdog) launchReplacement(waitStart time.Time, replacement *attempt, missing string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.timerArmed || !w.waitStart.Equal(waitStart) {
		return false
	}
	silence := &silenceError{awaited: w.awaited, bound: w.bound}
	if replacement == nil {
		w.timer.Reset(replacementInterval)
		w.logAwaited(silence, missing)
		return true
	}
	w.timerArmed, w.replacement, w.silence = false, replacement, silence
	replacement.exchange = w.task.newExchange(replacement)
	w.replacements <- replacement.exchange
	return true
}

// logAwaited logs once that a late attempt goes on because it has no replacement. The caller
// holds w.mu.
func (w *watchdog) logAwaited(silence *silenceError, missing string) {
	if w.loggedLate {
		return
	}
	w.loggedLate = true
	d := w.task.d
	d.cfg.Metrics.Counter("tries_awaited", meter.Label{Key: "why", Value: cancelKind(silence)}).Inc(1)
	logs.Info(d.cfg.Log, logs.EventAnswerLate, zap.String("request_id", w.task.job.ID), zap.String("endpoint", w.attempt.id),
		zap.String("why", silence.Error()), zap.String("lacks", missing))
}

package direct

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/health"
	"lycheepond/core/logs"
	"lycheepond/entry/hop"
)

// maxOverlap is how long a late attempt continues after its replacement was sent. Within a
// round trip it is known whether the other endpoint declines or accepts no connection. If that
// endpoint accepts the job, the late one must end soon, because both work on the same answer.
const maxOverlap = 200 * time.Millisecond

// exchange is one request to an endpoint, up to the head of the answer.
type exchange struct {
	task    *task
	attempt *attempt
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// afterConnWait, if not nil, is called when the request is sent after a wait for a connection.
	afterConnWait func()
	// done is closed once answer and err are set. It is used only for replacements.
	done   chan struct{}
	answer *hop.Answer
	err    error
}

func (t *task) newExchange(a *attempt) *exchange {
	x := &exchange{task: t, attempt: a, done: make(chan struct{})}
	x.ctx, x.cancel = context.WithCancelCause(t.ctx)
	return x
}

// awaitAnswer returns the head of the answer. It sends the request itself, unless the attempt
// was launched as a replacement: then it waits for that exchange.
func (x *exchange) awaitAnswer() (*hop.Answer, error) {
	if x.attempt.exchange == nil {
		return x.task.sendRequest(x)
	}
	<-x.done
	return x.answer, x.err
}

// cancelAndWait cancels the exchange, waits for its end and reports whether the endpoint may
// have received the job.
func (x *exchange) cancelAndWait() (received bool) {
	x.cancel(nil)
	<-x.done
	if x.answer != nil {
		x.answer.Close()
	}
	return !wasNotSent(x.err)
}

func wasNotSent(err error) bool {
	return errors.Is(err, hop.ErrBusy) || errors.Is(err, hop.ErrNotSent) || errors.Is(err, errLeaving) || errors.Is(err, errResting) || errors.Is(err, errStopping) || errors.Is(err, errOtherVersion)
}

// startSender starts the goroutine that sends replacements, if the attempt may be replaced.
func (w *watchdog) startSender() {
	if w.task.isReplaceable(w.attempt) {
		go w.sendReplacements()
		return
	}
	close(w.senderDone)
}

// sendReplacements sends the replacements of the attempt until stopSender is called. The last
// one may still be in progress then: the task that continues with it waits for its exchange.
func (w *watchdog) sendReplacements() {
	defer close(w.senderDone)
	for x := range w.replacements {
		overlapTimer := time.AfterFunc(maxOverlap, func() { w.switchTo(x) })
		x.answer, x.err = w.task.sendRequest(x)
		if x.err == nil && w.task.isUsable(x.answer) {
			w.switchTo(x)
		}
		overlapTimer.Stop()
		w.keepCurrent(x)
		close(x.done)
	}
}

// switchTo cancels the attempt in favor of its replacement, unless that has been dropped.
func (w *watchdog) switchTo(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.replacement != x.attempt || w.switched {
		return
	}
	w.switched = true
	w.cancel(w.silence)
}

// keepCurrent drops a replacement that has failed before the switch to it, and continues with
// the attempt.
func (w *watchdog) keepCurrent(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.replacement != x.attempt || w.switched {
		return
	}
	w.dropReplacement(x.attempt, w.task.classifyUnusable(x))
	x.cancel(nil)
	if w.isWaiting {
		w.timerArmed = true
		w.timer.Reset(replacementInterval)
	}
}

// dropReplacement removes a replacement that ended with the result got. The caller holds w.mu.
func (w *watchdog) dropReplacement(replacement *attempt, got attemptResult) {
	w.replacement = nil
	if !got.hadNoConn {
		w.sendCount++
	}
	if got.mayHaveRun {
		w.runCount++
	}
	if !got.wasReceived {
		w.task.d.returnRetry(replacement)
	}
	logs.Info(w.task.d.cfg.Log, logs.EventRequestReturned, zap.String("request_id", w.task.job.ID), zap.String("why", got.result.Reason), zap.Stringer("fingerprint", w.task.job.suspect.Fingerprint()),
		zap.String("from", replacement.id), zap.String("to", w.attempt.id), zap.Duration("silent", time.Since(w.waitStart)), zap.Duration("bound", w.bound))
}

// resolve decides at the end of a wait between the attempt and its replacement. usable is set
// if the wait yielded something to forward. It returns true if the replacement takes over;
// otherwise the replacement, if there was one, has ended.
func (w *watchdog) resolve(usable bool) bool {
	w.mu.Lock()
	replacement := w.replacement
	if replacement == nil || w.switched || !usable {
		w.switched = replacement != nil
		w.mu.Unlock()
		return replacement != nil
	}
	w.replacement = nil
	w.mu.Unlock()
	received := replacement.exchange.cancelAndWait()
	replacement.abandon()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropReplacement(replacement, attemptResult{wasReceived: received, mayHaveRun: received, result: Result{Reason: "the late endpoint went on"}})
	return false
}

// stopSender stops sendReplacements. It waits for the goroutine, unless that is still sending
// the replacement that takes over.
func (w *watchdog) stopSender() {
	close(w.replacements)
	if w.currentReplacement() == nil {
		<-w.senderDone
	}
}

// isUsable reports whether an answer may be forwarded to the caller.
func (t *task) isUsable(answer *hop.Answer) bool {
	m := t.d.cfg.ReadMeta(answer)
	switch {
	case m.NotRun || m.WrongEndpoint || impliesNotRun(answer.Status) || answer.Status >= http.StatusInternalServerError:
		return false
	case t.headSent && answer.Status != http.StatusOK:
		return false
	}
	return m.Signed || answer.Status >= http.StatusMultipleChoices
}

// classifyUnusable returns the result of an exchange without a usable answer and records it
// for the endpoint.
func (t *task) classifyUnusable(x *exchange) attemptResult {
	if x.err != nil {
		got := t.classifyError(x.attempt, x.err)
		got.wasReceived = !wasNotSent(x.err)
		got.mayHaveRun = got.wasReceived
		return got
	}
	defer x.answer.Close()
	m := t.d.cfg.ReadMeta(x.answer)
	x.attempt.recordHead(m)
	if m.NotRun || m.WrongEndpoint {
		if m.WrongEndpoint {
			x.attempt.handleMoved()
		} else {
			x.attempt.handleDecline(m.Requests)
		}
		return attemptResult{wasReceived: true, result: Result{Reason: "endpoint did not run it"}}
	}
	result := health.Broken
	if x.answer.Status >= http.StatusInternalServerError {
		result = health.ServerError
	}
	x.attempt.finish(result)
	return attemptResult{wasReceived: true, mayHaveRun: true, result: Result{Reason: fmt.Sprintf("endpoint answered with status %d", x.answer.Status)}}
}

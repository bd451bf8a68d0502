package direct

import (
	"context"
	"errors"
	"os"
	"time"

	"lycheepond/core/meter"
)

// errTimeUp is the cause with which the context of a job ends when its time is up.
var errTimeUp = errors.New("time is up")

// ErrEnding is the cause with which a server cancels the contexts of requests when the entry
// is about to exit but their callers can still get an answer.
var ErrEnding = errors.New("direct: the entry ends: send the request again, to another entry")

// isEnding reports whether the context of a request was cancelled with ErrEnding.
func isEnding(caller context.Context) bool { return errors.Is(context.Cause(caller), ErrEnding) }

// awaited is the part of an answer that is awaited.
type awaited uint8

const (
	awaitHead awaited = iota
	// awaitData means more of the body, awaitEnd the end of a body of unknown length.
	awaitData
	awaitEnd
)

// silenceError is the reason why the entry itself gave up an attempt: what was awaited did not
// arrive within the bound.
type silenceError struct {
	awaited awaited
	bound   time.Duration
}

func (e *silenceError) Error() string {
	switch e.awaited {
	case awaitHead:
		return "no head of the answer for " + e.bound.String()
	case awaitEnd:
		return "no end of the answer for " + e.bound.String()
	}
	return "endpoint silent for " + e.bound.String()
}

// breakReason describes how an attempt ended. what is the description used unless the entry
// itself gave it up.
func breakReason(what string, err error) string {
	var silence *silenceError
	switch {
	case err == nil:
		return what
	case errors.As(err, &silence):
		return silence.Error()
	}
	return what + ": " + err.Error()
}

// cancelKind returns the metrics label for the cause with which the entry ended an attempt.
func cancelKind(cause error) string {
	var silence *silenceError
	switch {
	case errors.As(cause, &silence) && silence.awaited == awaitHead:
		return "head"
	case silence != nil && silence.awaited == awaitEnd:
		return "end"
	case silence != nil:
		return "silence"
	case errors.Is(cause, errTimeUp):
		return "time"
	case errors.Is(cause, context.Canceled):
		return "caller"
	}
	return "cut"
}

// countGivenUp counts an attempt that the entry itself ended.
func (d *Director) countGivenUp(kind string) {
	d.cfg.Metrics.Counter("tries_given_up", meter.Label{Key: "why", Value: kind}).Inc(1)
}

// callerEndResult returns the result of a job whose caller's context has ended. The server
// cancels that context with a cause if it closes the connection itself.
func callerEndResult(caller context.Context) Result {
	if cause := context.Cause(caller); cause != nil && !errors.Is(cause, context.Canceled) {
		return Result{Outcome: ClosedByEntry, Reason: cause.Error()}
	}
	return Result{Outcome: CallerLeft, Reason: "caller left"}
}

// writeErrorResult returns the result of an attempt whose answer could not be written to the
// caller.
func (t *task) writeErrorResult(err error) attemptResult {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.d.countGivenUp("untaken")
		return finalResult(ClosedByEntry, "caller did not take the answer in time")
	}
	return attemptResult{isFinal: true, result: callerEndResult(t.caller)}
}

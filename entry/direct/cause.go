package direct

import (
	"context"
	"errors"
	"os"
	"time"

	"lycheepond/core/meter"
)

// errTimeUp ends the work on a job at the end of its time.
var errTimeUp = errors.New("time is up")

// ErrEnding is the cause with which a server ends the contexts of requests when the
// entry is about to end and their callers can still be told.
var ErrEnding = errors.New("direct: the entry ends: send the request again, to another entry")

// ending reports that the context of a request ended for ErrEnding.
func ending(caller context.Context) bool { return errors.Is(context.Cause(caller), ErrEnding) }

// lateError is why the entry itself gave a try up: the endpoint sent nothing for
// the bound.
type lateError struct {
	// head is set if the head of the answer was awaited, else its next event.
	head  bool
	bound time.Duration
}

func (e *lateError) Error() string {
	if e.head {
		return "no head of the answer for " + e.bound.String()
	}
	return "endpoint silent for " + e.bound.String()
}

// broken says in words how a try ended: by the entry's own hand, or what happened
// to it.
func broken(what string, err error) string {
	var late *lateError
	switch {
	case err == nil:
		return what
	case errors.As(err, &late):
		return late.Error()
	}
	return what + ": " + err.Error()
}

// kindOf spells the cause that ended a try by the entry's own hand, for metrics.
func kindOf(cause error) string {
	var late *lateError
	switch {
	case errors.As(cause, &late) && late.head:
		return "head"
	case late != nil:
		return "silence"
	case errors.Is(cause, errTimeUp):
		return "time"
	case errors.Is(cause, context.Canceled):
		return "caller"
	}
	return "cut"
}

// givenUp counts a try that ended by the entry's own hand.
func (d *Director) givenUp(why string) {
	d.cfg.Metrics.Counter("tries_given_up", meter.Label{Key: "why", Value: why}).Inc(1)
}

// gone says what the end of a caller's context means: its server cancels it
// with a cause if it closes the connection itself.
func gone(caller context.Context) Result {
	if cause := context.Cause(caller); cause != nil && !errors.Is(cause, context.Canceled) {
		return Result{Outcome: Cut, Why: cause.Error()}
	}
	return Result{Outcome: Left, Why: "caller left"}
}

// untaken says what a failed write to the caller means.
func (t *task) untaken(err error) verdict {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.d.givenUp("untaken")
		return done(Cut, "caller did not take the answer in time")
	}
	return verdict{done: true, res: gone(t.caller)}
}

// Package fault defines the errors that callers receive.
package fault

import (
	"net/http"
	"time"

	"lycheepond/core/once"
)

// Kind identifies a fault to callers. It is the type field of the JSON body.
type Kind string

// The kinds of faults.
const (
	BadRequest      Kind = "bad_request"
	BadKey          Kind = "bad_key"
	ClassNotAllowed Kind = "class_not_allowed"
	UnknownClass    Kind = "unknown_class"
	NotFound        Kind = "not_found"
	UnknownModel    Kind = "unknown_model"
	UnknownService  Kind = "unknown_service"
	TooLarge        Kind = "too_large"
	CustomerLimit   Kind = "customer_limit"
	KeyMismatch     Kind = "key_mismatch"
	Overloaded      Kind = "overloaded"
	NoEndpoint      Kind = "no_endpoint"
	NoHome          Kind = "no_home"
	Leaving         Kind = "leaving"
	Deadline        Kind = "deadline"
	UnknownOutcome  Kind = "unknown_outcome"
	SlowCaller      Kind = "slow_caller"
	CallerGone      Kind = "caller_gone"
	Quarantined     Kind = "quarantined"
)

// statuses holds the HTTP status of each kind.
var statuses = map[Kind]int{
	BadRequest: http.StatusBadRequest, BadKey: http.StatusUnauthorized, ClassNotAllowed: http.StatusForbidden,
	UnknownClass: http.StatusBadRequest, NotFound: http.StatusNotFound, UnknownModel: http.StatusNotFound,
	UnknownService: http.StatusNotFound, TooLarge: http.StatusRequestEntityTooLarge,
	CustomerLimit: http.StatusTooManyRequests, KeyMismatch: http.StatusConflict,
	Overloaded: http.StatusServiceUnavailable, NoEndpoint: http.StatusServiceUnavailable,
	NoHome: http.StatusServiceUnavailable, Leaving: http.StatusServiceUnavailable,
	Quarantined: http.StatusServiceUnavailable,
	Deadline:    http.StatusGatewayTimeout, UnknownOutcome: http.StatusBadGateway,
	SlowCaller: http.StatusBadGateway, CallerGone: http.StatusBadGateway,
}

// Error is a fault that is reported to a caller. It is immutable.
type Error struct {
	kind    Kind
	message string
	outcome once.Outcome
	// retryAfter is the time after which a retry may help, zero if none does.
	retryAfter time.Duration
}

// New returns a fault with outcome not-run and without a Retry-After. message says
// what is wrong and, after a colon, what to do.
func New(kind Kind, message string) *Error { return &Error{kind: kind, message: message} }

// WithOutcome returns a copy of e with outcome o.
func (e *Error) WithOutcome(o once.Outcome) *Error {
	c := *e
	c.outcome = o
	return &c
}

// WithRetryAfter returns a copy of e that tells the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Kind returns the kind of the fault.
func (e *Error) Kind() Kind { return e.kind }

// Outcome returns what is known of whether the request was run.
func (e *Error) Outcome() once.Outcome { return e.outcome }

// RetryAfter returns the time after which a retry may help, zero if none does.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Status returns the HTTP status of the fault.
func (e *Error) Status() int {
	if s, ok := statuses[e.kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Error returns the message, which includes the remedy.
func (e *Error) Error() string { return e.message }

// Package sched carries a caller's request from admission to its one final answer.
//
// The goroutine that serves a caller owns its request. Only that goroutine changes
// the dispatch state, so a grant can't be sent twice. Links put the messages that
// they read into the request's bounded mailbox. Each pool has a goroutine of its
// own that decides about admission, placement, cost estimates and the retry budget.
package sched

import (
	"time"

	"lycheepond/core/ident"
	"lycheepond/core/once"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
	"lycheepond/entry/fault"
)

// Job is a request whose form has been checked.
type Job struct {
	ID       ident.ID
	Pool     string
	Model    string
	Customer string
	Class    spec.Class
	Method   string
	Path     string
	Header   []wire.Field
	Body     []byte
	Stream   bool
	// MaxTokens is the caller's limit of output tokens, zero if there is none.
	MaxTokens int
	// Prompt is the part of Body that holds the prompt. The prefix hashes are
	// computed from it.
	Prompt []byte
	// Parts holds the IDs of the parts of the prompt that other requests may share, as
	// the caller states them.
	Parts []string
	// Cancellable is set if the request may be cancelled while it runs, once its
	// caller has gone.
	Cancellable bool
	// Repeatable is set if the caller allowed more than one dispatch of the
	// request. It implies Cancellable. Every other request is dispatched at most
	// once, whatever its kind, because even a repeated status query can cost a fee.
	Repeatable bool
	// Key is the hash of customer and idempotency key, nil without a key.
	// KeyCreatedMS is when the key was created, in Unix milliseconds, zero if the
	// key doesn't say.
	Key          []byte
	KeyCreatedMS int64
	// Digest distinguishes two requests with the same key.
	Digest uint64
	// AcceptedAt is when the request was accepted, on the entry's clock. Deadline is
	// the time after AcceptedAt at which the caller gives up.
	AcceptedAt time.Duration
	Deadline   time.Duration
}

// Sink receives the answer. Its functions are called by the goroutine that serves
// the request.
type Sink struct {
	Head func(status int, header []wire.Field)
	Data func([]byte)
	// Flush sends the bytes that were passed to Data so far to the caller.
	Flush func()
	// IsStreaming is set if Data reaches the caller before the answer is complete,
	// so that a broken answer can't be retracted.
	IsStreaming bool
}

// Result describes how a request ended. Fault is nil exactly for complete answers.
type Result struct {
	Outcome once.Outcome
	Fault   *fault.Error
	// Status is the endpoint's HTTP status of a complete answer.
	Status int
	Usage  wire.Usage
	// FirstByte and Total are the times from acceptance to the first and the last
	// byte of the answer. FirstByte is zero if there was no byte.
	FirstByte, Total time.Duration
	// LongestPause is the longest pause between two pieces of the answer.
	LongestPause time.Duration
}

// MetTarget reports whether a complete answer met the target of its class.
func (r *Result) MetTarget(t spec.Target) bool {
	if r.Outcome != once.Complete || r.Status >= 500 {
		return false
	}
	return isWithin(r.FirstByte, t.FirstToken) && isWithin(r.LongestPause, t.BetweenTokens) && isWithin(r.Total, t.Complete)
}

func isWithin(d time.Duration, limit spec.Duration) bool { return limit == 0 || d <= limit.Std() }

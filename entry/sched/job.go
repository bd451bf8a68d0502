// Package sched carries one caller's request from admission to its one final
// answer.
//
// The goroutine that serves a caller owns its request: it alone changes the
// dispatch state, so a grant can't be written twice. Links put what they read
// into the request's bounded mailbox. What concerns a pool as a whole, which is
// admission, placement, cost estimates and the retry budget, is owned by one
// goroutine for each pool.
package sched

import (
	"time"

	"lycheepond/core/ident"
	"lycheepond/core/once"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
	"lycheepond/entry/fault"
)

// Job is a request that passed all checks of its form.
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
	// MaxTokens is the caller's own limit of the output, zero without one.
	MaxTokens int
	// Prompt is what Body holds of a prompt; the prefix hashes are made of it.
	Prompt []byte
	// Cancellable is set when the request may be cancelled while it runs, once
	// its caller has gone.
	Cancellable bool
	// Repeatable is set when the caller said that the request may be dispatched
	// more than once. It implies Cancellable. Every other request is dispatched
	// at most once, whatever its kind: a doubled status lookup can cost a fee.
	Repeatable bool
	// Key is the hash of customer and idempotency key, nil without one, and
	// KeyMade when the key was made, zero if it does not tell.
	Key     []byte
	KeyMade int64
	// Digest tells two requests under one key apart.
	Digest uint64
	// Accepted is when the request was accepted and Deadline how long after
	// that the caller gives up.
	Accepted time.Duration
	Deadline time.Duration
}

// Sink takes the answer. Its functions are called by the goroutine that serves
// the request.
type Sink struct {
	Head func(status int, header []wire.Field)
	Data func([]byte)
	// Flush pushes what Data was given so far towards the caller.
	Flush func()
	// Direct is set when Data reaches the caller before the answer has ended,
	// so that a broken answer can't be taken back.
	Direct bool
}

// Result is how a request ended. Fault is nil exactly for complete answers.
type Result struct {
	Outcome once.Outcome
	Fault   *fault.Error
	// Status is the endpoint's HTTP status of a complete answer.
	Status int
	Usage  wire.Usage
	// First and Total are the times from acceptance to the first and the last
	// byte; First is zero without a byte.
	First, Total time.Duration
	// Between is the longest pause between two pieces.
	Between time.Duration
}

// InTarget reports whether a complete answer met its class's target.
func (r *Result) InTarget(t spec.Target) bool {
	if r.Outcome != once.Complete || r.Status >= 500 {
		return false
	}
	return within(r.First, t.FirstToken) && within(r.Between, t.BetweenTokens) && within(r.Total, t.Complete)
}

func within(d time.Duration, limit spec.Duration) bool { return limit == 0 || d <= limit.Std() }

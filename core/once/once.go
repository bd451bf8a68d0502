// Package once decides whether a request may be granted to an agent, and what
// its caller may be told about its execution.
//
// It handles these failures: the same request is offered to two agents and both
// claim it, frames arrive twice or late, links break after a grant was written,
// and agents restart in between. Without it, two agents could dispatch the same
// request, or a caller could be told not-run about a request that ran. The only
// limit that the package enforces is one grant for each ID.
package once

import (
	"errors"
	"slices"

	"lycheepond/core/ident"
)

// Outcome is what a caller is told about the execution of its request.
type Outcome uint8

// The outcomes of a request.
const (
	// NotRun: no endpoint has received the request or will receive it.
	NotRun Outcome = iota
	// Unknown: the request may have run, in whole or in part.
	Unknown
	// Complete: the whole answer was received.
	Complete
)

// String returns the outcome as it appears in the header Lychee-Outcome.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Complete:
		return "complete"
	}
	return "unknown"
}

// State is the state of the current attempt of a request.
type State uint8

// The states of an attempt.
const (
	// Offered: no grant was written under the current ID.
	Offered State = iota
	// Granted: the single grant was written.
	Granted
	// Returned: the granted agent returned the request without running it.
	Returned
	// Failed: it is unknown what happened to the granted request, or its answer
	// is incomplete.
	Failed
	// Ended: the whole answer was received.
	Ended
)

// ClaimDecision is the reply to a claim.
type ClaimDecision uint8

// The replies to a claim.
const (
	// Deny: the agent may not have the request, usually because the claim came
	// too late.
	Deny ClaimDecision = iota
	// Grant: write the single grant to the claiming agent.
	Grant
	// Ignore: the claim is a duplicate of the one that was granted. Deny would
	// make the agent discard a request that it was granted.
	Ignore
)

// Agent is one incarnation of an agent. A restarted agent does not know what
// its previous process did, so the two are never treated as the same.
type Agent struct {
	Name        string
	Incarnation uint64
}

// ErrMayHaveRun is returned by Retry if another attempt is not allowed, because
// it might run the request twice.
var ErrMayHaveRun = errors.New("once: request may have run already: answer the caller with outcome unknown")

// Request is the dispatch state of one request over all its attempts. One
// goroutine owns it.
type Request struct {
	// id is the ID of the current attempt. An ID under which a grant was
	// written is never offered again.
	id    ident.ID
	state State
	// holder is the agent to which the grant was written. It is set in every
	// state except Offered.
	holder Agent
	// offers are the agents that may still claim the current ID.
	offers []Agent
	// pastOffers are the agents whose offer of the current ID has ended. The ID
	// is not offered to them again: a delayed copy of the Return that ended the
	// first offer would be mistaken for the statement that a later grant was
	// not run.
	pastOffers []Agent
	// mayHaveRun is set permanently when an attempt may have reached an
	// endpoint.
	mayHaveRun bool
	// repeatable is set if running the request twice does no harm. It is never
	// set for a request with an idempotency key or with the non-idempotent
	// mark.
	repeatable bool
	// answerDelivered is set permanently when the caller has a part of an
	// answer.
	answerDelivered bool
	// answerStarted is set when a part of the current attempt's answer has
	// arrived. A Return after that can't be true and is ignored.
	answerStarted bool
	// grantCount is the number of grants written under the current ID, 0 or 1.
	grantCount int
}

// New returns a request whose first attempt has the given ID.
func New(id ident.ID, repeatable bool) *Request {
	return &Request{id: id, repeatable: repeatable}
}

// ID returns the ID of the current attempt.
func (r *Request) ID() ident.ID { return r.id }

// State returns the state of the current attempt.
func (r *Request) State() State { return r.state }

// Holder returns the agent to which the grant was written.
func (r *Request) Holder() Agent { return r.holder }

// Offers returns the agents that may still claim the request. The caller must
// not keep the slice.
func (r *Request) Offers() []Agent { return r.offers }

// Offer records that the current ID is offered to a. It reports whether the
// offer is allowed.
func (r *Request) Offer(a Agent) bool {
	if r.state != Offered || slices.Contains(r.pastOffers, a) || r.hasOffer(a) {
		return false
	}
	r.offers = append(r.offers, a)
	return true
}

func (r *Request) hasOffer(a Agent) bool { return slices.Contains(r.offers, a) }

// HandleClaim decides on a claim of id by a. If it returns Grant, the caller
// must write the grant or call RevokeUnsentGrant.
func (r *Request) HandleClaim(id ident.ID, a Agent) ClaimDecision {
	if id != r.id {
		return Deny
	}
	switch r.state {
	case Offered:
		if !r.hasOffer(a) {
			return Deny
		}
		r.state, r.holder = Granted, a
		r.grantCount++
		r.endOffer(a)
		return Grant
	case Granted, Ended:
		if a == r.holder {
			return Ignore
		}
	}
	return Deny
}

// JoinAnswer records that a holds the answer of an earlier request with the same
// idempotency key and sends it under the current ID. The earlier request ran, so
// the current one may no longer be reported as not-run, and no grant is written.
// It reports whether a has an open offer of id.
func (r *Request) JoinAnswer(id ident.ID, a Agent) bool {
	if id != r.id || r.state != Offered || !r.hasOffer(a) {
		return false
	}
	r.state, r.holder, r.answerStarted, r.repeatable = Granted, a, true, false
	r.endOffer(a)
	return true
}

// MarkMayHaveRun records that an earlier request with the same idempotency key
// may have run.
func (r *Request) MarkMayHaveRun() { r.mayHaveRun = true }

// RevokeUnsentGrant takes back a grant that never left this process because the
// link refused to queue it. The agent's offer ends with its link.
func (r *Request) RevokeUnsentGrant() {
	if r.state != Granted {
		return
	}
	// The agent stays in pastOffers: its link has ended or is about to end.
	r.state, r.holder = Offered, Agent{}
	r.grantCount--
}

// HandleReturn records that a returned id without running it. It reports
// whether that ended an open offer or the grant. For a grant, the Return counts
// only if it comes from the incarnation that got the grant: a restarted agent
// can't know what its previous process dispatched.
func (r *Request) HandleReturn(id ident.ID, a Agent) bool {
	if id != r.id {
		return false
	}
	switch r.state {
	case Offered:
		return r.endOffer(a)
	case Granted:
		if a != r.holder {
			return r.endOffer(a)
		}
		if r.answerStarted {
			return false
		}
		r.state = Returned
		return true
	}
	return r.endOffer(a)
}

// DropOffer ends the open offer to a and reports whether there was one.
func (r *Request) DropOffer(a Agent) bool { return r.endOffer(a) }

func (r *Request) endOffer(a Agent) bool {
	i := slices.Index(r.offers, a)
	if i < 0 {
		return false
	}
	r.offers = slices.Delete(r.offers, i, i+1)
	r.pastOffers = append(r.pastOffers, a)
	return true
}

// RecordAnswerStart records that a part of the answer has arrived from the
// granted agent.
func (r *Request) RecordAnswerStart() {
	if r.state == Granted {
		r.answerStarted = true
	}
}

// RecordDelivery records that the caller is about to get the first part of the
// answer.
func (r *Request) RecordDelivery() { r.answerDelivered = true }

// AnswerDelivered reports whether the caller has a part of the answer.
func (r *Request) AnswerDelivered() bool { return r.answerDelivered }

// Fail records that the granted attempt has no complete answer and may have
// run.
func (r *Request) Fail() {
	if r.state == Granted {
		r.state = Failed
	}
}

// End records that the whole answer has arrived.
func (r *Request) End() {
	if r.state == Granted {
		r.state = Ended
	}
}

// MayRetry reports whether another attempt is allowed. It is allowed if the
// current attempt has no open offer and no grant, if it certainly did not run,
// or if running it again does no harm. Once the caller has a part of an answer,
// an attempt that was granted must not be repeated.
func (r *Request) MayRetry() bool {
	switch r.state {
	case Offered:
		return len(r.offers) == 0
	case Returned:
		return !r.answerDelivered
	case Failed:
		return r.repeatable && !r.answerDelivered
	}
	return false
}

// Retry starts another attempt under a new ID. It returns ErrMayHaveRun if
// MayRetry reports false or id is the current ID.
func (r *Request) Retry(id ident.ID) error {
	if !r.MayRetry() || id == r.id {
		return ErrMayHaveRun
	}
	if r.state == Failed {
		r.mayHaveRun = true
	}
	r.id, r.state, r.holder, r.grantCount = id, Offered, Agent{}, 0
	r.answerStarted = false
	r.offers, r.pastOffers = r.offers[:0], r.pastOffers[:0]
	return nil
}

// Outcome returns the outcome to report to the caller if the request is given up
// now.
func (r *Request) Outcome() Outcome {
	switch {
	case r.state == Ended:
		return Complete
	case r.mayHaveRun, r.state == Granted, r.state == Failed:
		return Unknown
	}
	return NotRun
}

// Package once decides for one request whether it may be granted and what may
// truthfully be said about it.
//
// The load pattern it answers: an offer stands at two agents, both claim it,
// frames arrive twice or late, links break after the grant was written and
// agents restart in between. Without it the same request would be dispatched
// by two agents, or a caller would hear not-run of a request that ran. The
// package keeps no figures; its only bound is one grant for each ID.
package once

import (
	"errors"
	"slices"

	"lycheepond/core/ident"
)

// Outcome is what a caller is told about the dispatch of its request.
type Outcome uint8

// The outcomes of a request.
const (
	// NotRun: no endpoint has seen the request, nor will one.
	NotRun Outcome = iota
	// Unknown: the request may have run, as a whole or in part.
	Unknown
	// Complete: the caller has the whole answer.
	Complete
)

// String returns the outcome as the header Lychee-Outcome spells it.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Complete:
		return "complete"
	}
	return "unknown"
}

// State is where the present attempt of a request stands.
type State uint8

// The states of an attempt.
const (
	// Offered: no grant was written under the present ID.
	Offered State = iota
	// Granted: the one grant was written.
	Granted
	// Returned: the granted agent gave the request back without running it.
	Returned
	// Failed: what became of the granted request is not known, or its answer
	// broke off.
	Failed
	// Ended: the whole answer has arrived.
	Ended
)

// Verdict is the answer to a claim.
type Verdict uint8

// The answers to a claim.
const (
	// Deny: the claim came too late.
	Deny Verdict = iota
	// Grant: write the one grant to the claiming agent.
	Grant
	// Ignore: the claim repeats the one that was granted. A Deny would make
	// the agent forget a request that it holds.
	Ignore
)

// Agent is one incarnation of an agent. A restarted agent has no memory of
// what its predecessor did, so the two are never taken for each other.
type Agent struct {
	Name        string
	Incarnation uint64
}

// ErrRenew reports a second attempt that might run the request twice.
var ErrRenew = errors.New("once: request may have run already: answer the caller with outcome unknown")

// Request is the dispatch state of one request over all its attempts. It is
// owned by one goroutine.
type Request struct {
	// id names the present attempt. An ID under which a grant was written is
	// never offered again.
	id    ident.ID
	state State
	// holder is the agent that the grant was written to; it is set in every
	// state but Offered.
	holder Agent
	// offers are the agents that may still claim the present ID.
	offers []Agent
	// former are the agents whose offer of the present ID has ended. None is
	// offered it again: a copy of the Return that ended the first offer, held
	// up on the way, would be taken for the word that the later grant did not
	// run.
	former []Agent
	// ran is set for good once an attempt may have reached an endpoint.
	ran bool
	// repeatable is set when running twice does no harm. It is never set for a
	// request with an idempotency key or a non-idempotent mark.
	repeatable bool
	// given is set for good once the caller has a part of an answer.
	given bool
	// began is set once a part of the present attempt's answer arrived; a
	// Return after that is false and is not believed.
	began bool
	// grants counts the grants of the present ID: 0 or 1.
	grants int
}

// New returns a request whose first attempt is id.
func New(id ident.ID, repeatable bool) *Request {
	return &Request{id: id, repeatable: repeatable}
}

// ID returns the ID of the present attempt.
func (r *Request) ID() ident.ID { return r.id }

// State returns the state of the present attempt.
func (r *Request) State() State { return r.state }

// Holder returns the agent that holds the grant.
func (r *Request) Holder() Agent { return r.holder }

// Offers returns the agents that may still claim. The caller must not keep it.
func (r *Request) Offers() []Agent { return r.offers }

// Offer notes that the present ID is offered to a. It reports false when it
// may not be.
func (r *Request) Offer(a Agent) bool {
	if r.state != Offered || slices.Contains(r.former, a) || r.offered(a) {
		return false
	}
	r.offers = append(r.offers, a)
	return true
}

func (r *Request) offered(a Agent) bool { return slices.Contains(r.offers, a) }

// Claim decides about a claim of id by a.
func (r *Request) Claim(id ident.ID, a Agent) Verdict {
	if id != r.id {
		return Deny
	}
	switch r.state {
	case Offered:
		if !r.offered(a) {
			return Deny
		}
		r.state, r.holder = Granted, a
		r.grants++
		r.drop(a)
		return Grant
	case Granted, Ended:
		if a == r.holder {
			return Ignore
		}
	}
	return Deny
}

// Join notes that a holds the answer of an earlier request under the same
// idempotency key and sends it under the present ID. That request ran, so the
// present one may not be called not-run any more, and no grant is written.
func (r *Request) Join(id ident.ID, a Agent) bool {
	if id != r.id || r.state != Offered || !r.offered(a) {
		return false
	}
	r.state, r.holder, r.began, r.repeatable = Granted, a, true, false
	r.drop(a)
	return true
}

// Taint notes that an earlier request under the same idempotency key may have
// run.
func (r *Request) Taint() { r.ran = true }

// Unwritten takes back a grant that never left this process, because the link
// refused to queue it. The agent's offer is gone with its link.
func (r *Request) Unwritten() {
	if r.state != Granted {
		return
	}
	// The agent stays in former: its link has ended or is about to.
	r.state, r.holder = Offered, Agent{}
	r.grants--
}

// Return notes that a gave id back. It reports whether that closed an open
// offer or the grant. The word of an agent counts only in the incarnation that
// got the grant: a restarted agent can't know what its predecessor dispatched.
func (r *Request) Return(id ident.ID, a Agent) bool {
	if id != r.id {
		return false
	}
	switch r.state {
	case Offered:
		return r.drop(a)
	case Granted:
		if a != r.holder {
			return r.drop(a)
		}
		if r.began {
			return false
		}
		r.state = Returned
		return true
	}
	return r.drop(a)
}

// Drop forgets the open offer at a. It reports whether there was one.
func (r *Request) Drop(a Agent) bool { return r.drop(a) }

func (r *Request) drop(a Agent) bool {
	i := slices.Index(r.offers, a)
	if i < 0 {
		return false
	}
	r.offers = slices.Delete(r.offers, i, i+1)
	r.former = append(r.former, a)
	return true
}

// Begin notes that a part of the answer arrived from the granted agent.
func (r *Request) Begin() {
	if r.state == Granted {
		r.began = true
	}
}

// Give notes that the caller is about to get the first part of the answer.
func (r *Request) Give() { r.given = true }

// Given reports whether the caller has a part of the answer.
func (r *Request) Given() bool { return r.given }

// Fail notes that the granted attempt has no whole answer and may have run.
func (r *Request) Fail() {
	if r.state == Granted {
		r.state = Failed
	}
}

// End notes that the whole answer has arrived.
func (r *Request) End() {
	if r.state == Granted {
		r.state = Ended
	}
}

// MayRenew reports whether another attempt could be made: nobody holds the
// last one's offer, or it certainly did not run, or running again does no harm
// and the caller has nothing of the first answer.
func (r *Request) MayRenew() bool {
	switch r.state {
	case Offered:
		return len(r.offers) == 0
	case Returned:
		return !r.given
	case Failed:
		return r.repeatable && !r.given
	}
	return false
}

// Renew begins another attempt under id.
func (r *Request) Renew(id ident.ID) error {
	if !r.MayRenew() || id == r.id {
		return ErrRenew
	}
	if r.state == Failed {
		r.ran = true
	}
	r.id, r.state, r.holder, r.grants = id, Offered, Agent{}, 0
	r.began = false
	r.offers, r.former = r.offers[:0], r.former[:0]
	return nil
}

// Outcome returns what may truthfully be said of the request now, were it
// given up.
func (r *Request) Outcome() Outcome {
	switch {
	case r.state == Ended:
		return Complete
	case r.ran, r.state == Granted, r.state == Failed:
		return Unknown
	}
	return NotRun
}

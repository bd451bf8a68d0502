// Package waitq keeps the requests that wait at an entry for a free slot of an endpoint, in
// the order in which they are to be sent.
//
// Queuing at the entry is needed when a burst takes every slot. Engines serve in order of
// arrival, so a request sent to a full engine is ahead of all later ones, whatever their
// tiers, and a caller refused because of a queue of some ten milliseconds returns after its
// target has passed. A request that waits at the entry instead takes the next free slot of
// any endpoint, and the highest tier goes first. Within a tier short requests go first, as far
// as Floor allows. The caller's target bounds the wait. A
// request is refused as soon as its target can no longer be met.
//
// The package uses no network, clock or random source. A Queue is owned by one goroutine.
package waitq

import (
	"cmp"
	"slices"
	"time"

	"lycheepond/core/route"
)

// Queue holds the requests of one pool that wait at one entry. The zero value is empty.
type Queue[T any] struct {
	// requests is sorted by Priority.Compare, then by arrival.
	requests []*Request[T]
	seq      uint64
}

// Priority determines a request's position in a queue: the highest tier first, then requests
// whose customer is owed service, then the earliest start tag, then requests whose size is owed
// service, then the earliest target.
type Priority struct {
	Tier route.Tier
	// CustomerOwed and StartTag order the requests of a tier by customer; see package fair. They
	// are zero where room is not shared by customer. The order by size follows them, so that
	// the sizes of one customer's requests do not raise its share.
	CustomerOwed bool
	StartTag     time.Duration
	// Owed is set if Floor.Claim returned true for the request when it was queued. Its hold time
	// then does not count.
	Owed bool
	// TargetAt is the time at which the request's first event is wanted.
	TargetAt time.Duration
	// HoldTime is how long the request is expected to hold its slot.
	HoldTime time.Duration
	// Returned is set if the caller was refused before and has returned when told to.
	Returned bool
}

// Compare orders priorities, the first to be served first.
func (p Priority) Compare(o Priority) int {
	return cmp.Or(p.Tier.Compare(o.Tier), compareFirst(p.CustomerOwed, o.CustomerOwed), cmp.Compare(p.StartTag, o.StartTag), compareFirst(p.Owed, o.Owed), cmp.Compare(p.orderKey(), o.orderKey()))
}

// compareFirst orders true before false.
func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// holdTimeWeight is the weight of the hold time in the order: the target of a request
// counts as later by this multiple of its hold time.
const holdTimeWeight = 1.25

// returnedHoldTimeWeight is the weight for callers that have returned: they go before most
// newcomers of their tier, as they will not come again. With a weight of zero, long ones would
// go before short newcomers, and 24% fewer requests of such a tier were served.
const returnedHoldTimeWeight = 0.4

// orderKey orders the requests of one tier that are owed service, and the others, the smallest
// first.
func (p Priority) orderKey() time.Duration {
	if p.Owed {
		return p.TargetAt
	}
	weight := holdTimeWeight
	if p.Returned {
		weight = returnedHoldTimeWeight
	}
	return p.TargetAt + time.Duration(weight*float64(p.HoldTime))
}

// Request is one queued request.
type Request[T any] struct {
	// Value is the owner's data about the request.
	Value    T
	priority Priority
	// seq breaks ties by order of arrival.
	seq uint64
}

// Priority returns the request's priority.
func (r *Request[T]) Priority() Priority { return r.priority }

func compare[T any](a, b *Request[T]) int {
	return cmp.Or(a.priority.Compare(b.priority), cmp.Compare(a.seq, b.seq))
}

// Add puts a request into the queue.
func (q *Queue[T]) Add(v T, p Priority) *Request[T] {
	q.seq++
	r := &Request[T]{Value: v, priority: p, seq: q.seq}
	i, _ := slices.BinarySearchFunc(q.requests, r, compare)
	q.requests = slices.Insert(q.requests, i, r)
	return r
}

// Remove takes a request out of the queue and reports whether it was queued.
func (q *Queue[T]) Remove(r *Request[T]) bool {
	i, ok := slices.BinarySearchFunc(q.requests, r, compare)
	if ok {
		q.requests = slices.Delete(q.requests, i, i+1)
	}
	return ok
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return len(q.requests) }

// CountAhead returns the number of requests ahead of one that is added now with the given
// priority.
func (q *Queue[T]) CountAhead(p Priority) int {
	n, _ := slices.BinarySearchFunc(q.requests, &Request[T]{priority: p, seq: q.seq + 1}, compare)
	return n
}

// SendInOrder calls send for the queued requests in order. send returns whether it has sent
// the request, which is then removed from the queue, and whether to go on with the next
// one.
func (q *Queue[T]) SendInOrder(send func(r *Request[T]) (sent, more bool)) {
	for i := 0; i < len(q.requests); {
		sent, more := send(q.requests[i])
		if sent {
			q.requests = slices.Delete(q.requests, i, i+1)
		} else {
			i++
		}
		if !more {
			return
		}
	}
}

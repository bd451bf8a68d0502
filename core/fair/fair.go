// Package fair divides the room of one tier of a shard between the customers who ask for it,
// by start-time fair queueing.
//
// Without it a customer with many times the requests of the others takes nearly all slots of
// its tier while the tier is full, and so does one whose requests hold their slots for longer.
// Room is counted in units of work, the time for which a request is expected to hold a slot,
// and divided by the customers' weights. No room is left unused: what a customer does not ask
// for is available to the others.
//
// Each customer has a finish tag, its work divided by its weight. The virtual time is the finish
// tag of a customer with exactly its share. A request's start tag orders it among the requests of
// the tier; one whose customer is above its share comes after those of customers below theirs.
//
// The package uses no network, clock or random source.
package fair

import (
	"math"
	"time"
)

const (
	// maxCustomers bounds the customers that a Tier knows. A customer beyond that counts as new
	// with each request.
	maxCustomers = 4096
	// creditTime is how far a customer may be behind the virtual time, in seconds of an equal
	// share. It may catch up on what it left unused in that time.
	creditTime = 0.5
	// roundingTime is the unit to which start tags are rounded, in seconds of an equal share.
	// Requests with the same rounded tag are ordered by size, which serves more of them.
	roundingTime = 0.1
	// minCreditRequests and minRoundingRequests are lower bounds for both, in mean requests. With
	// customers half a second of an equal share is less than one request, and a customer would
	// have to wait its turn for each of them.
	minCreditRequests   = 8
	minRoundingRequests = 4
	// activeTime is the time after its last request for which a customer counts among those who
	// ask. It is longer than the time between two requests of most customers under overload and
	// shorter than the crowds that are observed, which last ten seconds or more.
	activeTime = 2 * time.Second
	// rateTime is the time constant of the decayed amounts of work.
	rateTime = 3 * time.Second
	// floorShare is the share of the service rate of its tier below which no customer falls,
	// in units of work. It keeps some requests of a customer whose load has multiplied.
	floorShare = 0.4
	// maxOwed and maxAhead bound, in mean requests, the work that a customer is owed by the floor
	// and how far it may be ahead. The bounds limit how long the past matters. With one request
	// in place of 32 the floor served a third of the requests of a customer that was well above
	// it, because each run of four refusals went below it.
	maxOwed  = 3
	maxAhead = 32
	// requestWeight is the weight of one request in the mean work and the service rate.
	requestWeight = 1.0 / 64
	// minWeight and maxWeight bound the weights of customers, so that tags keep their precision.
	minWeight = 1e-3
	maxWeight = 1e3
)

// Tier divides the room of one tier. The zero value is ready. A Tier is owned by one goroutine.
type Tier struct {
	// customers has at most maxCustomers elements.
	customers map[string]*customer
	// first and last are the ends of the list of customers in the order of their last requests,
	// the latest last. firstActive is the first of them that counts among those who ask, and
	// activeWeight the sum of the weights from there on.
	first, last, firstActive *customer
	activeWeight             float64
	// virtualTime is in units of work by weight. It never decreases.
	virtualTime float64
	// meanStep is the decayed mean by which a request moves its customer's finish tag, zero
	// before the first.
	meanStep float64
	// placed is the decayed work that was placed. equalShare is the rate at which it is placed,
	// by weight, as of the last request.
	placed     decayed
	equalShare float64
	// asked and served are decayed amounts of work; served divided by asked is the service rate.
	asked, served float64
}

// customer is the state of one customer. A customer that is at least the credit behind the
// virtual time and has no waiting requests is equal to a new one.
type customer struct {
	name   string
	weight float64
	// finish is the finish tag, without the work of waiting requests.
	finish float64
	// waiting is the work of the requests that wait, waitingRequests their number.
	waiting         float64
	waitingRequests int
	// owed is the work that is owed to the customer by the floor, less what it was served.
	owed   float64
	placed decayed
	// askedAt is when the last request came.
	askedAt time.Duration
	// isActive is set if the customer counts among those who ask.
	isActive       bool
	previous, next *customer
}

// Request is one request of a customer. It is valid for the Tier that returned it.
type Request struct {
	customer *customer
	work     float64
	startTag time.Duration
	// aboveShare is set if the customer is nearer to the virtual time than to the credit, and
	// others ask too.
	aboveShare bool
	owed       bool
	waits      bool
}

// StartTag returns the rounded start tag as a time of work by weight. Requests of one tier are
// served in this order.
func (r *Request) StartTag() time.Duration { return r.startTag }

// AboveShare reports whether the customer has had its share of the room while others ask.
func (r *Request) AboveShare() bool { return r.aboveShare }

// Owed reports whether the request goes first in its tier because its customer is served less
// than the floor allows. Until Place or Refuse is called, it counts as served, so that no more
// requests go first than are owed.
func (r *Request) Owed() bool { return r.owed }

// Share is a customer's share of a tier.
type Share struct {
	// Placed is the customer's part of the work that was placed in the last seconds, Due its
	// part by weight among the customers who asked. Both are from 0 to 1.
	Placed, Due float64
}

// Ask records that a customer asks for the work of one request, and returns the request. Place or
// Refuse must follow. A weight that is not above zero counts as one.
func (t *Tier) Ask(now time.Duration, name string, weight float64, work time.Duration) *Request {
	w := max(work.Seconds(), 0)
	c := t.touch(now, name, weight)
	if t.meanStep == 0 {
		t.meanStep = w / c.weight
	}
	t.meanStep += (w/c.weight - t.meanStep) * requestWeight
	t.equalShare = t.placed.at(now) / rateTime.Seconds() / max(t.activeWeight, c.weight)
	r := &Request{customer: c, work: w}
	start := t.startOf(c) + c.waiting/c.weight
	r.startTag = t.round(start)
	r.aboveShare = t.activeWeight > c.weight && start > t.virtualTime-t.credit()/2
	if c.owed > 0 {
		r.owed = true
		c.owed -= w
	}
	return r
}

// Wait records that a request waits.
func (t *Tier) Wait(r *Request) {
	r.waits = true
	r.customer.waiting += r.work
	r.customer.waitingRequests++
}

// Place records that a request was placed.
func (t *Tier) Place(now time.Duration, r *Request) {
	t.leave(r)
	c := r.customer
	start, step := t.startOf(c), r.work/c.weight
	// A request that the floor puts first is placed before its turn, so its tag says nothing
	// about the tags that are being served.
	if !r.owed {
		t.virtualTime = max(t.virtualTime, start)
	}
	// The bound keeps a customer that is served by the floor for long from being last for as long
	// again.
	c.finish = min(start+step, t.virtualTime+max(t.credit(), step))
	t.placed.add(now, r.work)
	c.placed.add(now, r.work)
	t.record(r, r.work)
}

// Refuse records that a request was refused or given up.
func (t *Tier) Refuse(r *Request) {
	t.leave(r)
	t.record(r, 0)
}

// Share returns the share of the customer of a request.
func (t *Tier) Share(now time.Duration, r *Request) Share {
	t.expire(now)
	var s Share
	if total := t.placed.at(now); total > 0 {
		s.Placed = min(r.customer.placed.at(now)/total, 1)
	}
	if t.activeWeight > 0 {
		s.Due = min(r.customer.weight/max(t.activeWeight, r.customer.weight), 1)
	}
	return s
}

// startOf returns the start tag of a customer's next request if none of its requests waits.
func (t *Tier) startOf(c *customer) float64 {
	return max(t.virtualTime-t.credit(), c.finish)
}

// credit returns how far a customer's start tag may be behind the virtual time.
func (t *Tier) credit() float64 {
	return max(creditTime*t.equalShare, minCreditRequests*t.meanStep)
}

// round rounds a start tag. The unit is a power of two of seconds, so that tags that were rounded
// to different units remain comparable.
func (t *Tier) round(start float64) time.Duration {
	unit := max(roundingTime*t.equalShare, minRoundingRequests*t.meanStep)
	if unit > 0 {
		unit = math.Exp2(math.Floor(math.Log2(unit)))
		start = math.Floor(start/unit) * unit
	}
	return time.Duration(start * float64(time.Second))
}

// leave takes back what Wait has counted.
func (t *Tier) leave(r *Request) {
	if !r.waits {
		return
	}
	r.waits = false
	c := r.customer
	c.waiting -= r.work
	if c.waitingRequests--; c.waitingRequests == 0 {
		// No rounding error remains.
		c.waiting = 0
	}
}

// record counts for the floor that a request was served or refused.
func (t *Tier) record(r *Request, served float64) {
	t.asked += (r.work - t.asked) * requestWeight
	t.served += (served - t.served) * requestWeight
	c := r.customer
	if r.owed {
		c.owed += r.work
	}
	c.owed += floorShare*t.serviceRate()*r.work - served
	c.owed = min(max(c.owed, -maxAhead*t.meanStep*c.weight), maxOwed*t.meanStep*c.weight)
}

// serviceRate returns the decayed fraction of the work that was served.
func (t *Tier) serviceRate() float64 {
	if t.asked <= 0 {
		return 1
	}
	return min(t.served/t.asked, 1)
}

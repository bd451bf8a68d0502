package fair

import (
	"math"
	"time"
)

// touch returns the state of a customer that asks now.
func (t *Tier) touch(now time.Duration, name string, weight float64) *customer {
	if !(weight > 0) {
		weight = 1
	}
	weight = min(max(weight, minWeight), maxWeight)
	t.expire(now)
	c := t.customers[name]
	if c == nil {
		c = &customer{name: name, weight: weight}
		if !t.makeRoom() {
			return c
		}
		if t.customers == nil {
			t.customers = make(map[string]*customer)
		}
		t.customers[name] = c
	} else {
		t.unlink(c)
	}
	c.weight, c.askedAt, c.isActive = weight, now, true
	t.link(c)
	return c
}

// makeRoom forgets the customer that has not asked for the longest time if there are too many.
// It returns false if that one has requests that wait.
func (t *Tier) makeRoom() bool {
	if len(t.customers) < maxCustomers {
		return true
	}
	if t.first.waitingRequests > 0 {
		return false
	}
	t.forget(t.first)
	return true
}

// expire updates which customers count among those who ask, and forgets inactive ones that are
// equal to new ones.
func (t *Tier) expire(now time.Duration) {
	for c := t.firstActive; c != nil && now-c.askedAt > activeTime; c = t.firstActive {
		c.isActive = false
		t.firstActive = c.next
		t.activeWeight -= c.weight
	}
	if t.firstActive == nil {
		// No rounding error remains.
		t.activeWeight = 0
	}
	// At most one customer is added at a time, so the list of those that can be forgotten does not
	// grow.
	for range forgottenAtOnce {
		c := t.first
		if c == nil || c.isActive || c.waitingRequests > 0 || c.finish > t.virtualTime-t.credit() {
			return
		}
		t.forget(c)
	}
}

// forgottenAtOnce bounds how many customers one request causes to be forgotten.
const forgottenAtOnce = 2

func (t *Tier) forget(c *customer) {
	t.unlink(c)
	delete(t.customers, c.name)
}

// link appends an active customer to the list.
func (t *Tier) link(c *customer) {
	c.previous, c.next = t.last, nil
	if t.last != nil {
		t.last.next = c
	} else {
		t.first = c
	}
	t.last = c
	if t.firstActive == nil {
		t.firstActive = c
	}
	t.activeWeight += c.weight
}

// unlink removes a customer from the list.
func (t *Tier) unlink(c *customer) {
	if c.previous != nil {
		c.previous.next = c.next
	} else {
		t.first = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		t.last = c.previous
	}
	if t.firstActive == c {
		t.firstActive = c.next
	}
	if c.isActive {
		t.activeWeight -= c.weight
	}
}

// decayed is an amount that decays with the time constant rateTime.
type decayed struct {
	amount float64
	asOf   time.Duration
}

func (a *decayed) add(now time.Duration, amount float64) {
	a.amount, a.asOf = a.at(now)+amount, now
}

// at returns the amount at a time.
func (a *decayed) at(now time.Duration) float64 {
	if a.amount == 0 {
		return 0
	}
	return a.amount * math.Exp(-float64(now-a.asOf)/float64(rateTime))
}

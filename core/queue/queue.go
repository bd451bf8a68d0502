// Package queue orders the work that waits in front of one endpoint: by tier,
// inside a tier by fair shares between customers, and inside a customer's work
// by urgency.
//
// The load it answers is a burst: more work than the endpoint can run, from
// several customers, of lengths that differ a hundredfold. In order of arrival
// the customer with the most requests takes the endpoint, a short lookup waits
// for a season's draft, and work of a high tier waits for all that came before
// it.
//
// Tiers are strict. Inside a tier the queue is start-time fair: the customer
// that was served the least estimated cost since it began to compete is next,
// without weights, and Done replaces the estimate by the actual cost, so that a
// customer whose work is underestimated pays for it afterwards. A customer's
// own work is ordered by the time at which it would end if it started as late
// as its target allows; that puts short work before work a hundred times as
// long, and lets an item be overtaken only by what arrives within its own
// length. What is already late stands behind what is not, but has one turn in
// sixteen, so that it is not starved.
//
// Grounds of the figures: lateShare of 16 leaves more than nine tenths of the
// endpoint to work that still has a target to keep, the share that overload is
// to reach; maxPassed and the scan limits bound the cost of Next and are to be
// measured.
package queue

import (
	"errors"
	"time"

	"lycheepond/core/ident"
	"lycheepond/core/spec"
)

const (
	// DefaultMax is the default of Config.Max.
	DefaultMax = 10000
	// lateShare is the number of pops of a customer of which one goes to late
	// work.
	lateShare = 16
	// minCharge is the least that an item costs its customer.
	minCharge = time.Millisecond
	// noTarget is how long after its arrival an item without a target is
	// ordered as if it had one.
	noTarget = time.Minute
	// victimScan is how many of the last items are looked at to find one to
	// give up.
	victimScan = 8
	// unfairShare is how many times the newcomer's waiting cost a customer's
	// own must be for its work to be displaced inside a tier.
	unfairShare = 2
)

// ErrFull reports a queue in which nothing can be displaced.
var ErrFull = errors.New("queue: full of work of the same or a higher tier: offer the request to another agent")

// ErrDuplicate reports an ID that is already queued.
var ErrDuplicate = errors.New("queue: this ID is already queued: withdraw it before offering it again")

// Item is one request that waits.
type Item struct {
	ID       ident.ID
	Tier     uint8
	Customer string
	// Cost is the estimated time that the request occupies its place.
	Cost time.Duration
	// Arrived, Due and Deadline are on the owner's time line. Due is the last
	// moment at which the request can start and still keep its target, and
	// Deadline when the caller gives up; zero means never.
	Arrived, Due, Deadline time.Duration
	// Repeatable is set when the request may be cancelled and run again.
	Repeatable bool
}

// Config says how a queue behaves.
type Config struct {
	// Max is how many items may wait; zero means DefaultMax.
	Max int
}

// Queue orders waiting items. One goroutine owns it.
type Queue struct {
	cfg   Config
	tiers [spec.Tiers]tier
	// byID holds every waiting item, and deadlines those with a deadline.
	byID      map[ident.ID]*node
	deadlines heap[*node]
	cost      time.Duration
	seq       uint64
	// spare nodes and flows are reused, so that a steady queue allocates
	// nothing.
	spareNodes []*node
	spareFlows []*flow
	// out is what Expired and DropAbove return.
	out []Item
	// tried is what Next has set aside.
	tried []*node
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.Max <= 0 {
		cfg.Max = DefaultMax
	}
	q := &Queue{cfg: cfg, byID: make(map[ident.ID]*node)}
	for i := range q.tiers {
		q.tiers[i] = newTier(&q.spareFlows)
	}
	q.deadlines = heap[*node]{
		less:  func(a, b *node) bool { return a.Deadline < b.Deadline },
		place: func(n *node, i int) { n.atDeadline = i },
	}
	return q
}

// Push adds an item. In a full queue it displaces work of the lowest tier
// below the item's own, from the customer who has the most waiting there.
// Without such work it displaces work of its own tier, if another customer has
// much more waiting: otherwise one customer could fill the queue and every
// other one would be turned away.
func (q *Queue) Push(now time.Duration, it Item) (evicted Item, didEvict bool, err error) {
	it.Tier = min(it.Tier, spec.Tiers-1)
	if _, ok := q.byID[it.ID]; ok {
		return Item{}, false, ErrDuplicate
	}
	if len(q.byID) >= q.cfg.Max {
		victim := q.victim(&it)
		if victim == nil {
			return Item{}, false, ErrFull
		}
		evicted, didEvict = q.take(victim, false), true
	}
	q.add(now, it)
	return evicted, didEvict, nil
}

func (q *Queue) add(now time.Duration, it Item) {
	if it.Arrived == 0 {
		it.Arrived = now
	}
	n := q.node()
	n.Item, n.late, n.passed = it, false, 0
	n.key = it.Due + it.Cost
	if it.Due == 0 {
		n.key = it.Arrived + noTarget + it.Cost
	}
	n.late = n.isLate(now)
	q.seq++
	n.seq = q.seq
	q.byID[it.ID] = n
	q.cost += it.Cost
	n.atDeadline = -1
	if it.Deadline > 0 {
		q.deadlines.push(n)
	}
	q.tiers[it.Tier].push(n)
}

func (q *Queue) node() *node {
	if last := len(q.spareNodes) - 1; last >= 0 {
		n := q.spareNodes[last]
		q.spareNodes = q.spareNodes[:last]
		return n
	}
	return new(node)
}

func (q *Queue) victim(it *Item) *node {
	for t := spec.Tiers - 1; t > int(it.Tier); t-- {
		if q.tiers[t].count > 0 {
			return q.tiers[t].heavy.top().victim()
		}
	}
	own := &q.tiers[it.Tier]
	if own.count == 0 {
		return nil
	}
	heavy := own.heavy.top()
	mine := it.Cost
	if f := own.flows[it.Customer]; f != nil {
		mine += f.cost
	}
	if heavy.customer == it.Customer || heavy.cost <= unfairShare*mine {
		return nil
	}
	return heavy.victim()
}

func (q *Queue) take(n *node, served bool) Item {
	it := n.Item
	if served {
		q.tiers[it.Tier].serve(n)
	} else {
		q.tiers[it.Tier].drop(n)
	}
	if n.atDeadline >= 0 {
		q.deadlines.remove(n.atDeadline)
	}
	delete(q.byID, it.ID)
	q.cost -= it.Cost
	n.Item, n.flow = Item{}, nil
	q.spareNodes = append(q.spareNodes, n)
	return it
}

func (q *Queue) head(now time.Duration) *node {
	for i := range q.tiers {
		if t := &q.tiers[i]; t.count > 0 {
			return t.head(now)
		}
	}
	return nil
}

// Pop takes the item that is to run next.
func (q *Queue) Pop(now time.Duration) (Item, bool) {
	n := q.head(now)
	if n == nil {
		return Item{}, false
	}
	return q.take(n, true), true
}

// Peek returns the item that Pop would take.
func (q *Queue) Peek(now time.Duration) (Item, bool) {
	n := q.head(now)
	if n == nil {
		return Item{}, false
	}
	return n.Item, true
}

// Remove takes the item with the given ID out.
func (q *Queue) Remove(id ident.ID) (Item, bool) {
	n, ok := q.byID[id]
	if !ok {
		return Item{}, false
	}
	return q.take(n, false), true
}

// Expired takes out the items whose deadline has passed. The slice is valid
// until the next call of Expired or DropAbove.
func (q *Queue) Expired(now time.Duration) []Item {
	q.out = q.out[:0]
	for q.deadlines.len() > 0 && q.deadlines.top().Deadline <= now {
		q.out = append(q.out, q.take(q.deadlines.top(), false))
	}
	return q.out
}

// DropAbove takes out the items of tiers above level, lowest tier first. The
// slice is valid until the next call of Expired or DropAbove.
func (q *Queue) DropAbove(level uint8) []Item {
	q.out = q.out[:0]
	for i := spec.Tiers - 1; i > int(level); i-- {
		t := &q.tiers[i]
		for t.count > 0 {
			q.out = append(q.out, q.take(t.heavy.top().victim(), false))
		}
	}
	return q.out
}

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.byID) }

// Cost returns the estimated cost of all waiting items.
func (q *Queue) Cost() time.Duration { return q.cost }

// Mask has bit t set while an item of tier t waits.
func (q *Queue) Mask() uint8 {
	var m uint8
	for i := range q.tiers {
		if q.tiers[i].count > 0 {
			m |= 1 << i
		}
	}
	return m
}

// Done corrects a customer's share of its tier once the actual cost of one of
// its requests is known.
func (q *Queue) Done(customer string, tier uint8, estimated, actual time.Duration) {
	t := &q.tiers[min(tier, spec.Tiers-1)]
	t.correct(customer, charge(actual)-charge(estimated))
}

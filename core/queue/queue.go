// Package queue orders the requests that wait for one endpoint: first by tier,
// within a tier by fair shares between customers, and within a customer's
// requests by urgency.
//
// It is designed for bursts in which several customers send more work than the
// endpoint can run, with request lengths that differ by a factor of a hundred.
// In order of arrival, the customer with the most requests would take the whole
// endpoint, a short lookup would wait for a long draft, and work of a high tier
// would wait for everything that arrived before it.
//
// Tiers are strict: work of a higher tier always runs first. Within a tier the
// queue uses start-time fair queueing without weights. The next customer is the
// one that has been served the least estimated cost since it began to compete.
// ChargeActual later replaces the estimate by the actual cost, so a customer
// whose work is underestimated pays for it afterwards. The requests of one
// customer are ordered by the time at which they would finish if they started
// as late as their target allows. This puts short work before work that is a
// hundred times as long, and lets a request be overtaken only by requests that
// arrive within its own cost. Requests that are already late run after those
// that are not, except that one pop in sixteen (latePopEvery) returns a late
// request, so that late requests are not starved.
//
// With latePopEvery at 16, more than nine tenths of the endpoint is left to
// work that can still meet its target, which is the goodput required under
// overload. maxSkips and maxExamined bound the cost of PopFitting, and
// evictionScan bounds that of an eviction.
package queue

import (
	"errors"
	"time"

	"lycheepond/core/ident"
	"lycheepond/core/spec"
)

const (
	// DefaultMax is the default of Config.MaxItems.
	DefaultMax = 10000
	// latePopEvery is the number of pops from a flow of which one returns a
	// late item.
	latePopEvery = 16
	// minCharge is the minimum cost that is charged to a customer for an item.
	minCharge = time.Millisecond
	// defaultTarget replaces the missing target of an item without one, counted
	// from its arrival. It is used only to order the item.
	defaultTarget = time.Minute
	// evictionScan is the number of elements at the end of a heap that are
	// compared to choose an item to evict.
	evictionScan = 8
	// evictionRatio limits evictions within a tier: a customer loses an item
	// only if its waiting cost is more than this many times that of the
	// customer whose item arrives.
	evictionRatio = 2
)

// ErrFull is returned by Push when the queue is full and no item may be
// evicted.
var ErrFull = errors.New("queue: full of work of the same or a higher tier: offer the request to another agent")

// ErrDuplicate is returned by Push for an ID that is already queued.
var ErrDuplicate = errors.New("queue: this ID is already queued: withdraw it before offering it again")

// Item is one waiting request.
type Item struct {
	ID       ident.ID
	Tier     uint8
	Customer string
	// Cost is the estimated time for which the request will occupy a slot of
	// the endpoint.
	Cost time.Duration
	// Arrived, StartBy and Deadline are times on the owner's clock. StartBy is
	// the latest start with which the request still meets its target. Deadline
	// is the time at which the caller gives up. Zero means that there is no
	// such time; Push replaces a zero Arrived by the current time.
	Arrived, StartBy, Deadline time.Duration
	// Repeatable is set when the request may be cancelled and run again.
	Repeatable bool
}

// Config configures a Queue.
type Config struct {
	// MaxItems is the maximum number of waiting items. Zero means DefaultMax.
	MaxItems int
}

// Queue orders waiting items. One goroutine owns it.
type Queue struct {
	cfg   Config
	tiers [spec.Tiers]tier
	// byID holds every waiting item, deadlines only the items with a deadline.
	byID      map[ident.ID]*node
	deadlines heap[*node]
	totalCost time.Duration
	seq       uint64
	// freeNodes and freeFlows hold unused objects for reuse, so that a queue of
	// steady length does not allocate.
	freeNodes []*node
	freeFlows []*flow
	// removed is the buffer that RemoveExpired and DropAbove return.
	removed []Item
	// detachedNodes holds the items that PopFitting has detached because they
	// did not fit. It puts them back before it returns.
	detachedNodes []*node
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.MaxItems <= 0 {
		cfg.MaxItems = DefaultMax
	}
	q := &Queue{cfg: cfg, byID: make(map[ident.ID]*node)}
	for i := range q.tiers {
		q.tiers[i] = newTier(&q.freeFlows)
	}
	q.deadlines = heap[*node]{
		less:   func(a, b *node) bool { return a.Deadline < b.Deadline },
		onMove: func(n *node, i int) { n.deadlineIndex = i },
	}
	return q
}

// Push adds an item. If the queue is full, Push evicts an item of the lowest
// waiting tier below the item's own, from the customer with the most waiting
// cost in that tier. If there is no lower tier waiting, it evicts from the
// customer with the most waiting cost in the item's own tier, provided that
// this is another customer with more than evictionRatio times the waiting cost
// of the item's customer. Otherwise one customer could fill the queue and all
// others would be refused. Push returns ErrFull if nothing may be evicted and
// ErrDuplicate if the ID is already queued.
func (q *Queue) Push(now time.Duration, it Item) (evicted Item, didEvict bool, err error) {
	it.Tier = min(it.Tier, spec.Tiers-1)
	if _, ok := q.byID[it.ID]; ok {
		return Item{}, false, ErrDuplicate
	}
	if len(q.byID) >= q.cfg.MaxItems {
		victim := q.evictionCandidate(&it)
		if victim == nil {
			return Item{}, false, ErrFull
		}
		evicted, didEvict = q.removeNode(victim, false), true
	}
	q.add(now, it)
	return evicted, didEvict, nil
}

func (q *Queue) add(now time.Duration, it Item) {
	if it.Arrived == 0 {
		it.Arrived = now
	}
	n := q.node()
	n.Item, n.late, n.skips = it, false, 0
	n.sortKey = it.StartBy + it.Cost
	if it.StartBy == 0 {
		n.sortKey = it.Arrived + defaultTarget + it.Cost
	}
	n.late = n.isLate(now)
	q.seq++
	n.seq = q.seq
	q.byID[it.ID] = n
	q.totalCost += it.Cost
	n.deadlineIndex = -1
	if it.Deadline > 0 {
		q.deadlines.push(n)
	}
	q.tiers[it.Tier].push(n)
}

func (q *Queue) node() *node {
	if last := len(q.freeNodes) - 1; last >= 0 {
		n := q.freeNodes[last]
		q.freeNodes = q.freeNodes[:last]
		return n
	}
	return new(node)
}

func (q *Queue) evictionCandidate(it *Item) *node {
	for t := spec.Tiers - 1; t > int(it.Tier); t-- {
		if q.tiers[t].count > 0 {
			return q.tiers[t].byBacklog.top().evictionCandidate()
		}
	}
	sameTier := &q.tiers[it.Tier]
	if sameTier.count == 0 {
		return nil
	}
	largest := sameTier.byBacklog.top()
	customerCost := it.Cost
	if f := sameTier.flows[it.Customer]; f != nil {
		customerCost += f.cost
	}
	if largest.customer == it.Customer || largest.cost <= evictionRatio*customerCost {
		return nil
	}
	return largest.evictionCandidate()
}

func (q *Queue) removeNode(n *node, served bool) Item {
	it := n.Item
	if served {
		q.tiers[it.Tier].dispatch(n)
	} else {
		q.tiers[it.Tier].discard(n)
	}
	if n.deadlineIndex >= 0 {
		q.deadlines.remove(n.deadlineIndex)
	}
	delete(q.byID, it.ID)
	q.totalCost -= it.Cost
	n.Item, n.flow = Item{}, nil
	q.freeNodes = append(q.freeNodes, n)
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

// Pop removes and returns the item to run next. It returns false if the queue
// is empty.
func (q *Queue) Pop(now time.Duration) (Item, bool) {
	n := q.head(now)
	if n == nil {
		return Item{}, false
	}
	return q.removeNode(n, true), true
}

// Peek returns the item that Pop would return, without removing it.
func (q *Queue) Peek(now time.Duration) (Item, bool) {
	n := q.head(now)
	if n == nil {
		return Item{}, false
	}
	return n.Item, true
}

// Remove removes the item with the given ID and reports whether it was queued.
func (q *Queue) Remove(id ident.ID) (Item, bool) {
	n, ok := q.byID[id]
	if !ok {
		return Item{}, false
	}
	return q.removeNode(n, false), true
}

// RemoveExpired removes and returns the items whose deadline has passed. The
// slice is valid until the next call of RemoveExpired or DropAbove.
func (q *Queue) RemoveExpired(now time.Duration) []Item {
	q.removed = q.removed[:0]
	for q.deadlines.len() > 0 && q.deadlines.top().Deadline <= now {
		q.removed = append(q.removed, q.removeNode(q.deadlines.top(), false))
	}
	return q.removed
}

// DropAbove removes and returns the items whose tier number is greater than
// level, starting with the largest number, which is the lowest tier. The slice
// is valid until the next call of RemoveExpired or DropAbove.
func (q *Queue) DropAbove(level uint8) []Item {
	q.removed = q.removed[:0]
	for i := spec.Tiers - 1; i > int(level); i-- {
		t := &q.tiers[i]
		for t.count > 0 {
			q.removed = append(q.removed, q.removeNode(t.byBacklog.top().evictionCandidate(), false))
		}
	}
	return q.removed
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.byID) }

// Cost returns the sum of the estimated costs of all waiting items.
func (q *Queue) Cost() time.Duration { return q.totalCost }

// TierMask returns a mask in which bit t is set while an item of tier t waits.
func (q *Queue) TierMask() uint8 {
	var m uint8
	for i := range q.tiers {
		if q.tiers[i].count > 0 {
			m |= 1 << i
		}
	}
	return m
}

// ChargeActual replaces the estimated cost that was charged to the customer in
// the tier by the actual cost. The owner calls it when the request has ended.
func (q *Queue) ChargeActual(customer string, tier uint8, estimated, actual time.Duration) {
	t := &q.tiers[min(tier, spec.Tiers-1)]
	t.correctStart(customer, charge(actual)-charge(estimated))
}

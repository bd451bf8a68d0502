package queue

import "time"

// Fit tells whether an item can run now.
type Fit uint8

const (
	// Fits means that the item runs now.
	Fits Fit = iota
	// Pass means that the item must wait, and that others may run before it for as long as
	// it does, as with long work whose places are taken.
	Pass
	// PassFew means that the item must wait, and that only some others may run
	// before it, as with work that needs more memory than is free. If all could pass, small
	// work would take each piece of memory that becomes free and large work
	// would never run.
	PassFew
	// Stop means that nothing can run now.
	Stop
)

const (
	// maxPassed is how many items may run before one that answered PassFew.
	maxPassed = 16
	// maxTried bounds how many items of a tier Next looks at.
	maxTried = 32
)

// Next takes the first item, in the order of Pop, that fits. It gives up when
// an item must not be passed, and goes on to the next tier after looking at
// maxTried items of one.
func (q *Queue) Next(now time.Duration, fit func(Item) Fit) (Item, bool) {
	q.tried = q.tried[:0]
	found := q.search(now, fit)
	for _, n := range q.tried {
		q.tiers[n.Tier].push(n)
	}
	if found == nil {
		return Item{}, false
	}
	for _, n := range q.tried {
		n.passed++
	}
	return q.take(found, true), true
}

// search sets the items that do not fit aside in tried and returns the first
// that does.
func (q *Queue) search(now time.Duration, fit func(Item) Fit) *node {
	for i := range q.tiers {
		t := &q.tiers[i]
		for tried := 0; t.count > 0 && tried < maxTried; tried++ {
			n := t.head(now)
			switch fit(n.Item) {
			case Fits:
				return n
			case Stop:
				return nil
			case PassFew:
				if n.passed >= maxPassed {
					return nil
				}
			}
			t.detach(n)
			q.tried = append(q.tried, n)
		}
	}
	return nil
}

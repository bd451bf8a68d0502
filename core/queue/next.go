package queue

import "time"

// Fit says whether an item can run now.
type Fit uint8

const (
	// Fits means that the item can run now.
	Fits Fit = iota
	// Skip means that the item must wait and any number of other items may run
	// before it. An example is long work while all slots for long work are
	// taken.
	Skip
	// SkipLimited means that the item must wait and at most maxSkips other
	// items may run before it. An example is work that needs more memory than
	// is free: without the limit, small work would take every piece of memory
	// that becomes free and large work would never run.
	SkipLimited
	// Stop means that nothing can run now.
	Stop
)

const (
	// maxSkips is the number of items that may run before one for which fit
	// returns SkipLimited.
	maxSkips = 16
	// maxExamined is the number of items of one tier that PopFitting examines.
	maxExamined = 32
)

// PopFitting removes and returns the first item, in the order of Pop, for which
// fit returns Fits. It returns false when fit returns Stop, when an item has
// been skipped too often to be skipped again, and when no examined item fits.
// It examines at most maxScanned items of a tier before it goes on to the next
// tier.
func (q *Queue) PopFitting(now time.Duration, fit func(Item) Fit) (Item, bool) {
	q.detachedNodes = q.detachedNodes[:0]
	found := q.findFitting(now, fit)
	for _, n := range q.detachedNodes {
		q.tiers[n.Tier].push(n)
	}
	if found == nil {
		return Item{}, false
	}
	for _, n := range q.detachedNodes {
		n.skips++
	}
	return q.removeNode(found, true), true
}

// findFitting returns the first item that fits, or nil. It detaches the items
// that do not fit and appends them to q.detachedNodes.
func (q *Queue) findFitting(now time.Duration, fit func(Item) Fit) *node {
	for i := range q.tiers {
		t := &q.tiers[i]
		for examined := 0; t.count > 0 && examined < maxExamined; examined++ {
			n := t.head(now)
			switch fit(n.Item) {
			case Fits:
				return n
			case Stop:
				return nil
			case SkipLimited:
				if n.skips >= maxSkips {
					return nil
				}
			}
			t.detach(n)
			q.detachedNodes = append(q.detachedNodes, n)
		}
	}
	return nil
}

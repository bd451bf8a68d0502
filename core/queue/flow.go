package queue

import "time"

// node is an item in its place in the queue.
type node struct {
	Item
	flow *flow
	// key orders the items of one customer. It is the time at which the item
	// would end if it started at the last moment that keeps its target, so
	// that work goes before work that is much longer, and an item that waits
	// is overtaken only by items that arrive within its own length.
	key time.Duration
	// seq breaks ties in order of arrival.
	seq uint64
	// late tells which of the flow's heaps holds the node.
	late bool
	// at is the index in that heap and atDeadline the index in the queue's
	// deadlines, -1 without a deadline.
	at, atDeadline int
	// passed counts the items that ran before it because it did not fit.
	passed int
}

func (n *node) isLate(now time.Duration) bool { return n.Due > 0 && now > n.Due }

func nodeLess(a, b *node) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.seq < b.seq
}

func placeNode(n *node, i int) { n.at = i }

// flow is the waiting work of one customer in one tier.
type flow struct {
	customer string
	// start is the virtual time at which the customer's next item starts: the
	// cost that the customer has been served, as far as it still matters. It
	// is never below the tier's virtual time when an item enters an empty flow.
	start time.Duration
	// timely holds the items whose target can still be kept, late the others;
	// an item is moved when it is found late at the head.
	timely, late heap[*node]
	// turn counts pops, to give late items their share.
	turn int
	// cost is the sum of the estimates of the waiting items.
	cost time.Duration
	// in is the heap of the tier that holds the flow and at its index there;
	// atHeavy is its index in heavy, -1 without items.
	in      standing
	at      int
	atHeavy int
}

// standing tells which of the tier's heaps holds a flow.
type standing uint8

const (
	// unplaced: in none yet.
	unplaced standing = iota
	// timely: it has items that can still keep their target.
	timely
	// tardy: all its items are late.
	tardy
	// idle: it has no items.
	idle
)

func newFlow() *flow {
	return &flow{
		timely:  heap[*node]{less: nodeLess, place: placeNode},
		late:    heap[*node]{less: nodeLess, place: placeNode},
		atHeavy: -1,
	}
}

// standing returns the heap of the tier where the flow belongs.
func (f *flow) standing() standing {
	switch {
	case f.timely.len() > 0:
		return timely
	case f.late.len() > 0:
		return tardy
	}
	return idle
}

func (f *flow) len() int { return f.timely.len() + f.late.len() }

func (f *flow) push(n *node) {
	if n.late {
		f.late.push(n)
		return
	}
	f.timely.push(n)
}

func (f *flow) remove(n *node) {
	if n.late {
		f.late.remove(n.at)
		return
	}
	f.timely.remove(n.at)
}

// expire moves the items at the head whose target is missed to late and
// reports whether there were any.
func (f *flow) expire(now time.Duration) (moved bool) {
	for f.timely.len() > 0 && f.timely.top().isLate(now) {
		n := f.timely.remove(0)
		n.late = true
		f.late.push(n)
		moved = true
	}
	return moved
}

// head returns the item to run next; the flow must not be empty. One pop in
// lateShare goes to the late items even while timely ones wait: without it an
// item that missed its target would wait for as long as the customer keeps
// sending, and its caller would see a timeout instead of a late answer.
func (f *flow) head() *node {
	switch {
	case f.late.len() == 0:
		return f.timely.top()
	case f.timely.len() == 0, f.turn%lateShare == lateShare-1:
		return f.late.top()
	}
	return f.timely.top()
}

// key returns the key of the first item, to break ties between flows.
func (f *flow) key() time.Duration {
	if f.timely.len() > 0 {
		return f.timely.top().key
	}
	return f.late.top().key
}

// victim returns an item to give up: a late one if there is one, and one of
// the last to run, which is a leaf of its heap.
func (f *flow) victim() *node {
	h := &f.late
	if h.len() == 0 {
		h = &f.timely
	}
	worst := h.items[h.len()-1]
	for i := h.len() - 1; i >= max(h.len()-victimScan, 0); i-- {
		if nodeLess(worst, h.items[i]) {
			worst = h.items[i]
		}
	}
	return worst
}

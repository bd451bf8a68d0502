package queue

import "time"

// node is a queued item together with its position in the queue.
type node struct {
	Item
	flow *flow
	// sortKey orders the items of one customer. It is the time at which the
	// item would finish if it started at its StartBy time. Short work therefore
	// runs before much longer work, and a waiting item can be overtaken only by
	// items that arrive within its own cost.
	sortKey time.Duration
	// seq is the arrival number. It breaks ties between equal sort keys.
	seq uint64
	// late reports whether the node is in the late heap of its flow.
	late bool
	// heapIndex is the index in the heap of the flow. deadlineIndex is the
	// index in Queue.deadlines, or -1 for an item without a deadline.
	heapIndex, deadlineIndex int
	// skips counts the items that PopFitting returned before this one because
	// this one did not fit.
	skips int
}

func (n *node) isLate(now time.Duration) bool { return n.StartBy > 0 && now > n.StartBy }

func nodeLess(a, b *node) bool {
	if a.sortKey != b.sortKey {
		return a.sortKey < b.sortKey
	}
	return a.seq < b.seq
}

func setHeapIndex(n *node, i int) { n.heapIndex = i }

// flow holds the waiting items of one customer in one tier.
type flow struct {
	customer string
	// virtualStart is the virtual time at which the customer's next item
	// starts: the cost that the customer has been served since it began to
	// compete. When an item enters an empty flow, virtualStart is raised to at
	// least the tier's virtual time.
	virtualStart time.Duration
	// onTime holds the items that can still meet their target, late those that
	// can't. An item is moved to late when it reaches the head of onTime and
	// its target is already missed.
	onTime, late heap[*node]
	// pops counts the items taken from the flow. It decides when a late item is
	// next.
	pops int
	// cost is the sum of the estimated costs of the waiting items.
	cost time.Duration
	// state names the tier's heap that holds the flow, and heapIndex is the
	// index in that heap. backlogIndex is the index in tier.byBacklog, -1 while
	// the flow has no items.
	state        flowState
	heapIndex    int
	backlogIndex int
}

// flowState names the heap of the tier that holds a flow.
type flowState uint8

const (
	// flowUnplaced: the flow is in no heap yet.
	flowUnplaced flowState = iota
	// flowOnTime: at least one item can still meet its target.
	flowOnTime
	// flowLate: all items are late.
	flowLate
	// flowIdle: the flow has no items.
	flowIdle
)

func newFlow() *flow {
	return &flow{
		onTime:       heap[*node]{less: nodeLess, onMove: setHeapIndex},
		late:         heap[*node]{less: nodeLess, onMove: setHeapIndex},
		backlogIndex: -1,
	}
}

// wantedState returns the state that matches the items of the flow.
func (f *flow) wantedState() flowState {
	switch {
	case f.onTime.len() > 0:
		return flowOnTime
	case f.late.len() > 0:
		return flowLate
	}
	return flowIdle
}

func (f *flow) len() int { return f.onTime.len() + f.late.len() }

func (f *flow) push(n *node) {
	if n.late {
		f.late.push(n)
		return
	}
	f.onTime.push(n)
}

func (f *flow) remove(n *node) {
	if n.late {
		f.late.remove(n.heapIndex)
		return
	}
	f.onTime.remove(n.heapIndex)
}

// expire moves the items at the head of onTime whose target is missed to late.
// It reports whether it moved any.
func (f *flow) expire(now time.Duration) (moved bool) {
	for f.onTime.len() > 0 && f.onTime.top().isLate(now) {
		n := f.onTime.remove(0)
		n.late = true
		f.late.push(n)
		moved = true
	}
	return moved
}

// head returns the item to run next. The flow must not be empty. One pop in
// latePopEvery returns a late item even while items that are on time wait.
// Otherwise an item that missed its target would wait for as long as the
// customer keeps sending requests, and its caller would see a timeout instead
// of a late answer.
func (f *flow) head() *node {
	switch {
	case f.late.len() == 0:
		return f.onTime.top()
	case f.onTime.len() == 0, f.pops%latePopEvery == latePopEvery-1:
		return f.late.top()
	}
	return f.onTime.top()
}

// sortKey returns the key of the first item. It breaks ties between flows.
func (f *flow) sortKey() time.Duration {
	if f.onTime.len() > 0 {
		return f.onTime.top().sortKey
	}
	return f.late.top().sortKey
}

// evictionCandidate returns the item of the flow to evict: a late one if there
// is one, and one of the last to run. It compares only the last evictionScan
// elements of the heap; the last element is always a leaf.
func (f *flow) evictionCandidate() *node {
	h := &f.late
	if h.len() == 0 {
		h = &f.onTime
	}
	worst := h.items[h.len()-1]
	for i := h.len() - 1; i >= max(h.len()-evictionScan, 0); i-- {
		if nodeLess(worst, h.items[i]) {
			worst = h.items[i]
		}
	}
	return worst
}

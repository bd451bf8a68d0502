package queue

import "time"

// tier holds the waiting items of one tier.
type tier struct {
	// virtualTime is the virtual start of a customer that begins to compete:
	// the cost that a customer with waiting items at all times would have been
	// served. It is never below the smallest virtualStart of a flow with items.
	// It advances by the cost served divided by the number of competing
	// customers, not only to the starts of served flows; this bounds the number
	// of new customers that go before a customer that has already been served.
	virtualTime time.Duration
	flows       map[string]*flow
	// heaps holds each flow in the heap of its state. The heaps of flowOnTime
	// and flowLate are ordered by virtualStart, then by sortKey; the heap of
	// flowIdle by virtualStart alone. The virtualStart of an idle flow is
	// greater than virtualTime; prune removes the others.
	heaps [flowIdle + 1]heap[*flow]
	// byBacklog holds the flows with items, largest waiting cost first.
	byBacklog heap[*flow]
	count     int
	freeFlows *[]*flow
}

func flowLess(a, b *flow) bool {
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.sortKey() < b.sortKey()
}

func startLess(a, b *flow) bool { return a.virtualStart < b.virtualStart }

func newTier(freeFlows *[]*flow) tier {
	t := tier{
		flows: make(map[string]*flow),
		byBacklog: heap[*flow]{
			less:   func(a, b *flow) bool { return a.cost > b.cost },
			onMove: func(f *flow, i int) { f.backlogIndex = i },
		},
		freeFlows: freeFlows,
	}
	for _, s := range []flowState{flowOnTime, flowLate, flowIdle} {
		t.heaps[s] = heap[*flow]{less: flowLess, onMove: func(f *flow, i int) { f.heapIndex = i }}
	}
	t.heaps[flowIdle].less = startLess
	return t
}

// flow returns the flow of a customer. If it creates the flow, the caller must
// call reposition to put it into a heap.
func (t *tier) flow(customer string) *flow {
	if f, ok := t.flows[customer]; ok {
		return f
	}
	var f *flow
	if last := len(*t.freeFlows) - 1; last >= 0 {
		f = (*t.freeFlows)[last]
		*t.freeFlows = (*t.freeFlows)[:last]
	} else {
		f = newFlow()
	}
	f.customer, f.virtualStart, f.pops, f.cost, f.state = customer, t.virtualTime, 0, 0, flowUnplaced
	t.flows[customer] = f
	return f
}

// reposition moves a flow to the heap of its state after its virtualStart or
// its items have changed.
func (t *tier) reposition(f *flow) {
	want := f.wantedState()
	switch {
	case f.state == want:
		t.heaps[want].fix(f.heapIndex)
	case f.state != flowUnplaced:
		t.heaps[f.state].remove(f.heapIndex)
		fallthrough
	default:
		t.heaps[want].push(f)
		f.state = want
	}
	switch {
	case want == flowIdle && f.backlogIndex >= 0:
		t.byBacklog.remove(f.backlogIndex)
	case want != flowIdle && f.backlogIndex < 0:
		t.byBacklog.push(f)
	case want != flowIdle:
		t.byBacklog.fix(f.backlogIndex)
	}
}

func (t *tier) push(n *node) {
	f := t.flow(n.Customer)
	if f.len() == 0 {
		f.virtualStart = max(f.virtualStart, t.virtualTime)
	}
	n.flow = f
	f.push(n)
	f.cost += n.Cost
	t.count++
	t.reposition(f)
}

// detach removes an item without charging its customer and without pruning idle
// flows, so that the item can be put back.
func (t *tier) detach(n *node) {
	f := n.flow
	f.remove(n)
	f.cost -= n.Cost
	t.count--
	t.reposition(f)
}

// discard removes an item that will not run.
func (t *tier) discard(n *node) {
	t.detach(n)
	t.prune()
}

// dispatch removes an item that runs now and charges its cost to its customer.
func (t *tier) dispatch(n *node) {
	f := n.flow
	t.virtualTime += charge(n.Cost) / time.Duration(t.activeCustomers())
	f.virtualStart += charge(n.Cost)
	f.pops++
	t.detach(n)
	t.virtualTime = max(t.virtualTime, t.minStart())
	t.prune()
}

// activeCustomers returns the number of customers with waiting items.
func (t *tier) activeCustomers() int { return t.heaps[flowOnTime].len() + t.heaps[flowLate].len() }

// minStart returns the smallest virtualStart of a flow with items, or zero if
// there is none.
func (t *tier) minStart() time.Duration {
	onTime, late := &t.heaps[flowOnTime], &t.heaps[flowLate]
	switch {
	case onTime.len() > 0 && late.len() > 0:
		return min(onTime.top().virtualStart, late.top().virtualStart)
	case onTime.len() > 0:
		return onTime.top().virtualStart
	case late.len() > 0:
		return late.top().virtualStart
	}
	return 0
}

// head returns the item to run next. The tier must not be empty. Among
// customers with equal virtual starts, those with only late items come last.
// They are not starved, because the virtual time at which new customers start
// grows beyond their virtualStart.
func (t *tier) head(now time.Duration) *node {
	for t.heaps[flowOnTime].len() > 0 {
		f := t.heaps[flowOnTime].top()
		if !f.expire(now) {
			break
		}
		t.reposition(f)
	}
	onTime, late := &t.heaps[flowOnTime], &t.heaps[flowLate]
	switch {
	case late.len() == 0:
		return onTime.top().head()
	case onTime.len() == 0:
		return late.top().head()
	}
	a, b := onTime.top(), late.top()
	if b.virtualStart < a.virtualStart {
		return b.head()
	}
	return a.head()
}

// prune removes the flows that have no items and whose virtualStart is not
// ahead of the virtual time, so that memory is bounded by the number of
// competing customers. When nothing waits, it removes all flows and resets the
// virtual time.
func (t *tier) prune() {
	h := &t.heaps[flowIdle]
	for h.len() > 0 && (t.count == 0 || h.top().virtualStart <= t.virtualTime) {
		f := h.remove(0)
		delete(t.flows, f.customer)
		f.customer, f.state = "", flowUnplaced
		*t.freeFlows = append(*t.freeFlows, f)
	}
	if t.count == 0 {
		t.virtualTime = 0
	}
}

// correctStart moves the virtualStart of a customer by delta, the actual minus
// the estimated cost of an item.
func (t *tier) correctStart(customer string, delta time.Duration) {
	if t.count == 0 || delta == 0 {
		return
	}
	if t.flows[customer] == nil && delta < 0 {
		return
	}
	f := t.flow(customer)
	f.virtualStart = max(f.virtualStart+delta, t.minStart())
	t.reposition(f)
	t.virtualTime = max(t.virtualTime+delta/time.Duration(t.activeCustomers()), t.minStart())
	t.prune()
}

// charge returns the cost that is charged for an item. Without the minimum, a
// customer whose work is estimated at zero would always run before all others.
func charge(cost time.Duration) time.Duration { return max(cost, minCharge) }

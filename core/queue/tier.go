package queue

import "time"

// tier is the waiting work of one tier.
type tier struct {
	// virtual is where a customer starts that begins to compete: the cost that
	// an ever competing customer would have been served. It is never below the
	// least start of a flow with items. Advancing it with the service, and not
	// only with the starts that were served, bounds how many newcomers go
	// before a customer that already had its turn.
	virtual time.Duration
	flows   map[string]*flow
	// heaps holds each flow in the heap of its standing: timely and tardy by
	// start, then key, idle by start. An idle flow's start is ahead of virtual.
	heaps [idle + 1]heap[*flow]
	// heavy holds the flows with items by waiting cost, the largest first.
	heavy heap[*flow]
	count int
	spare *[]*flow
}

func orderLess(a, b *flow) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.key() < b.key()
}

func startLess(a, b *flow) bool { return a.start < b.start }

func newTier(spare *[]*flow) tier {
	t := tier{
		flows: make(map[string]*flow),
		heavy: heap[*flow]{
			less:  func(a, b *flow) bool { return a.cost > b.cost },
			place: func(f *flow, i int) { f.atHeavy = i },
		},
		spare: spare,
	}
	for _, s := range []standing{timely, tardy, idle} {
		t.heaps[s] = heap[*flow]{less: orderLess, place: func(f *flow, i int) { f.at = i }}
	}
	t.heaps[idle].less = startLess
	return t
}

// flow returns the flow of a customer, which may be a new one that arrange has
// still to place.
func (t *tier) flow(customer string) *flow {
	if f, ok := t.flows[customer]; ok {
		return f
	}
	var f *flow
	if last := len(*t.spare) - 1; last >= 0 {
		f = (*t.spare)[last]
		*t.spare = (*t.spare)[:last]
	} else {
		f = newFlow()
	}
	f.customer, f.start, f.turn, f.cost, f.in = customer, t.virtual, 0, 0, unplaced
	t.flows[customer] = f
	return f
}

// arrange puts a flow where it belongs after its start or items changed.
func (t *tier) arrange(f *flow) {
	want := f.standing()
	switch {
	case f.in == want:
		t.heaps[want].fix(f.at)
	case f.in != unplaced:
		t.heaps[f.in].remove(f.at)
		fallthrough
	default:
		t.heaps[want].push(f)
		f.in = want
	}
	switch {
	case want == idle && f.atHeavy >= 0:
		t.heavy.remove(f.atHeavy)
	case want != idle && f.atHeavy < 0:
		t.heavy.push(f)
	case want != idle:
		t.heavy.fix(f.atHeavy)
	}
}

func (t *tier) push(n *node) {
	f := t.flow(n.Customer)
	if f.len() == 0 {
		f.start = max(f.start, t.virtual)
	}
	n.flow = f
	f.push(n)
	f.cost += n.Cost
	t.count++
	t.arrange(f)
}

// detach takes an item out without anyone paying for it and without the tier
// forgetting anybody.
func (t *tier) detach(n *node) {
	f := n.flow
	f.remove(n)
	f.cost -= n.Cost
	t.count--
	t.arrange(f)
}

// drop takes an item out that does not run.
func (t *tier) drop(n *node) {
	t.detach(n)
	t.prune()
}

// serve takes an item out that runs, for which its customer pays.
func (t *tier) serve(n *node) {
	f := n.flow
	t.virtual += charge(n.Cost) / time.Duration(t.competing())
	f.start += charge(n.Cost)
	f.turn++
	t.detach(n)
	t.virtual = max(t.virtual, t.least())
	t.prune()
}

// competing returns how many customers have items waiting.
func (t *tier) competing() int { return t.heaps[timely].len() + t.heaps[tardy].len() }

// least returns the least start of a flow with items, zero if there is none.
func (t *tier) least() time.Duration {
	first, late := &t.heaps[timely], &t.heaps[tardy]
	switch {
	case first.len() > 0 && late.len() > 0:
		return min(first.top().start, late.top().start)
	case first.len() > 0:
		return first.top().start
	case late.len() > 0:
		return late.top().start
	}
	return 0
}

// head returns the item to run next; the tier must not be empty. Among
// customers with equal starts those whose work is all late come last. They are
// not starved: the virtual time of newcomers passes their start.
func (t *tier) head(now time.Duration) *node {
	for t.heaps[timely].len() > 0 {
		f := t.heaps[timely].top()
		if !f.expire(now) {
			break
		}
		t.arrange(f)
	}
	first, late := &t.heaps[timely], &t.heaps[tardy]
	switch {
	case late.len() == 0:
		return first.top().head()
	case first.len() == 0:
		return late.top().head()
	}
	a, b := first.top(), late.top()
	if b.start < a.start {
		return b.head()
	}
	return a.head()
}

// prune forgets the flows that have no items and no debt, so that memory is
// bounded by the customers that compete. When nothing waits nobody competes,
// and all begin anew.
func (t *tier) prune() {
	h := &t.heaps[idle]
	for h.len() > 0 && (t.count == 0 || h.top().start <= t.virtual) {
		f := h.remove(0)
		delete(t.flows, f.customer)
		f.customer, f.in = "", unplaced
		*t.spare = append(*t.spare, f)
	}
	if t.count == 0 {
		t.virtual = 0
	}
}

// correct moves a customer's start by what an item cost more than estimated.
func (t *tier) correct(customer string, delta time.Duration) {
	if t.count == 0 || delta == 0 {
		return
	}
	if t.flows[customer] == nil && delta < 0 {
		return
	}
	f := t.flow(customer)
	f.start = max(f.start+delta, t.least())
	t.arrange(f)
	t.virtual = max(t.virtual+delta/time.Duration(t.competing()), t.least())
	t.prune()
}

// charge is what an item of the given cost moves its customer's start by. The
// floor keeps work that is estimated at nothing from running for ever before
// everyone else's.
func charge(cost time.Duration) time.Duration { return max(cost, minCharge) }

package meter

import (
	"sync"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// TopCustomers is how many customers have histograms of their own.
	TopCustomers = 50
	// candidates bounds the customers whose use is counted to find the top.
	candidates = 2048
	// halfLife is how many observations halve all counts, so that a customer
	// that was busy last week makes room.
	halfLife = 1 << 20
	// Other is the name under which all other customers are counted.
	Other = "other"
)

// Top is a histogram per customer for the busiest ones and one for the rest.
// It is safe for concurrent use.
type Top struct {
	set  *Set
	name string

	mu sync.Mutex
	// own holds at most TopCustomers customers.
	own map[string]*tracked
	// counts holds at most candidates customers that share the histogram of
	// the others.
	counts map[string]uint64
	other  metrics.Histogram
	seen   uint64
}

type tracked struct {
	histogram metrics.Histogram
	count     uint64
}

// Top returns the histograms of a name by customer. It is to be called once
// for a name.
func (s *Set) Top(name string) *Top {
	return &Top{
		set: s, name: name, own: make(map[string]*tracked), counts: make(map[string]uint64),
		other: s.Histogram(name, Customer(Other)),
	}
}

// Observe counts one value of a customer.
func (t *Top) Observe(customer string, value int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.age()
	if own, ok := t.own[customer]; ok {
		own.count++
		own.histogram.Update(value)
		return
	}
	n := t.counts[customer] + 1
	if t.promote(customer, n) {
		t.own[customer].histogram.Update(value)
		return
	}
	t.note(customer, n)
	t.other.Update(value)
}

// promote gives a customer its own histogram if there is room or if it is
// used clearly more than the least used of those that have one; twice as much,
// so that two equal ones do not take turns and lose their history.
func (t *Top) promote(customer string, n uint64) bool {
	if len(t.own) >= TopCustomers {
		name, least := t.least()
		if n < 2*least+8 {
			return false
		}
		t.set.registry.Unregister(full(t.name, []Label{Customer(name)}))
		delete(t.own, name)
		t.note(name, least)
	}
	delete(t.counts, customer)
	h := metrics.NewHistogram(metrics.NewExpDecaySample(customerSample, sampleAlpha))
	t.set.registry.Register(full(t.name, []Label{Customer(customer)}), h)
	t.own[customer] = &tracked{histogram: h, count: n}
	return true
}

func (t *Top) least() (string, uint64) {
	name, least := "", ^uint64(0)
	for c, own := range t.own {
		if own.count < least || (own.count == least && c < name) {
			name, least = c, own.count
		}
	}
	return name, least
}

// note keeps a count among the candidates. When they are too many all counts
// fall by one and those at zero go, which never loses a customer whose share
// is above one in candidates.
func (t *Top) note(customer string, n uint64) {
	if _, ok := t.counts[customer]; ok || len(t.counts) < candidates {
		t.counts[customer] = n
		return
	}
	for c, m := range t.counts {
		if m <= 1 {
			delete(t.counts, c)
			continue
		}
		t.counts[c] = m - 1
	}
}

func (t *Top) age() {
	t.seen++
	if t.seen%halfLife != 0 {
		return
	}
	for _, own := range t.own {
		own.count /= 2
	}
	for c, n := range t.counts {
		if n /= 2; n == 0 {
			delete(t.counts, c)
		} else {
			t.counts[c] = n
		}
	}
}

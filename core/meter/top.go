package meter

import (
	"sync"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// MaxOwnHistograms is the number of customers with their own histogram.
	MaxOwnHistograms = 50
	// maxCandidates is the maximum number of other customers whose observations are
	// counted to find the busiest.
	maxCandidates = 2048
	// decayPeriod is the number of observations after which all counts are halved, so
	// that a customer that was busy last week makes room for others.
	decayPeriod = 1 << 20
	// Other is the label value for all customers without their own histogram.
	Other = "other"
)

// CustomerHistograms holds a histogram for each of the busiest customers and one for
// all others. It is safe for concurrent use.
type CustomerHistograms struct {
	set  *Set
	name string

	mu sync.Mutex
	// own holds at most MaxOwnHistograms customers.
	own map[string]*ownHistogram
	// candidateCounts holds the number of observations of at most maxCandidates
	// customers that share the histogram other.
	candidateCounts map[string]uint64
	other           metrics.Histogram
	observations    uint64
}

// ownHistogram is the histogram of one customer and the number of its observations,
// halved with each decay.
type ownHistogram struct {
	histogram metrics.Histogram
	count     uint64
}

// CustomerHistograms returns histograms by customer with a name. It must be called
// only once for each name.
func (s *Set) CustomerHistograms(name string) *CustomerHistograms {
	return &CustomerHistograms{
		set: s, name: name, own: make(map[string]*ownHistogram), candidateCounts: make(map[string]uint64),
		other: s.Histogram(name, Customer(Other)),
	}
}

// Observe adds one value of a customer.
func (t *CustomerHistograms) Observe(customer string, value int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay()
	if own, ok := t.own[customer]; ok {
		own.count++
		own.histogram.Update(value)
		return
	}
	n := t.candidateCounts[customer] + 1
	if t.promote(customer, n) {
		t.own[customer].histogram.Update(value)
		return
	}
	t.addCandidate(customer, n)
	t.other.Update(value)
}

// promote gives a customer its own histogram if there is room or if the customer has
// clearly more observations than the least busy one with its own histogram. It must
// have about twice as many, so that two equally busy customers don't replace each
// other in turn and lose their histograms. promote reports whether the customer now
// has its own histogram. n is the number of the customer's observations.
func (t *CustomerHistograms) promote(customer string, n uint64) bool {
	if len(t.own) >= MaxOwnHistograms {
		name, fewest := t.leastBusy()
		if n < 2*fewest+8 {
			return false
		}
		t.set.registry.Unregister(fullName(t.name, []Label{Customer(name)}))
		delete(t.own, name)
		t.addCandidate(name, fewest)
	}
	delete(t.candidateCounts, customer)
	h := metrics.NewHistogram(metrics.NewExpDecaySample(customerSampleSize, sampleAlpha))
	t.set.registry.Register(fullName(t.name, []Label{Customer(customer)}), h)
	t.own[customer] = &ownHistogram{histogram: h, count: n}
	return true
}

// leastBusy returns the customer with its own histogram that has the fewest
// observations, and their number.
func (t *CustomerHistograms) leastBusy() (string, uint64) {
	name, fewest := "", ^uint64(0)
	for c, own := range t.own {
		if own.count < fewest || (own.count == fewest && c < name) {
			name, fewest = c, own.count
		}
	}
	return name, fewest
}

// addCandidate records the number of a customer's observations. If there are too many
// candidates, all counts decrease by one and those at zero are removed. This never
// loses a customer with more than 1/maxCandidates of all observations.
func (t *CustomerHistograms) addCandidate(customer string, n uint64) {
	if _, ok := t.candidateCounts[customer]; ok || len(t.candidateCounts) < maxCandidates {
		t.candidateCounts[customer] = n
		return
	}
	for c, m := range t.candidateCounts {
		if m <= 1 {
			delete(t.candidateCounts, c)
			continue
		}
		t.candidateCounts[c] = m - 1
	}
}

// decay halves all counts once every decayPeriod observations.
func (t *CustomerHistograms) decay() {
	t.observations++
	if t.observations%decayPeriod != 0 {
		return
	}
	for _, own := range t.own {
		own.count /= 2
	}
	for c, n := range t.candidateCounts {
		if n /= 2; n == 0 {
			delete(t.candidateCounts, c)
		} else {
			t.candidateCounts[c] = n
		}
	}
}

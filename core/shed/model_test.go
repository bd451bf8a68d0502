package shed

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lycheepond/core/ident"
	"lycheepond/core/queue"
	"lycheepond/core/spec"
)

const tick = 10 * time.Millisecond

// stream describes the requests that one customer sends in one tier.
type stream struct {
	tier     uint8
	customer string
	// load is the work sent in seconds per second. mean is the mean length of a
	// request.
	load   float64
	mean   time.Duration
	target time.Duration
	// estimateFactor is the ratio of estimated to actual work. Zero means 1.
	estimateFactor float64
	// start and end bound the time in which it sends. Zero means always.
	start, end time.Duration
}

// workCounts sums up the work of a stream by outcome, in seconds.
type workCounts struct {
	offered, onTime, late, refused float64
}

// model simulates entries that admit requests to one queue in front of a number
// of slots. It advances in steps of one tick.
type model struct {
	slots   int
	entries []*Pool
	queue   *queue.Queue
	// busyUntil is when each slot becomes free, and runningTiers is the tier of
	// the request in it.
	busyUntil    []time.Duration
	runningTiers []uint8
	jobs         map[ident.ID]job
	rnd          *rand.Rand
	now          time.Duration
	lastID       uint64
	// counts holds the work by tier and customer.
	counts map[string]*workCounts
	// unjustRefusals counts refusals while work of a lower tier was served.
	// retryAfters holds the Retry-After of all refusals.
	unjustRefusals int
	retryAfters    []time.Duration
	busySeconds    float64
	// sharesLevels is set if the entries exchange their levels.
	sharesLevels bool
}

type job struct {
	stream *stream
	entry  *Pool
	work   time.Duration
	due    time.Duration
}

func newModel(slots, entries int) *model {
	m := &model{
		slots: slots, queue: queue.New(queue.Config{}), busyUntil: make([]time.Duration, slots), runningTiers: make([]uint8, slots),
		jobs: map[ident.ID]job{}, rnd: rand.New(rand.NewPCG(7, 7)), counts: map[string]*workCounts{}, sharesLevels: true,
	}
	for range entries {
		m.entries = append(m.entries, New(Config{}))
	}
	return m
}

func (m *model) served() (mask uint8) {
	for i, end := range m.busyUntil {
		if end > m.now {
			mask |= 1 << m.runningTiers[i]
		}
	}
	return mask | m.queue.TierMask()
}

// freeSlots returns the number of slots for which nothing waits.
func (m *model) freeSlots() (n int) {
	for _, end := range m.busyUntil {
		if end <= m.now {
			n++
		}
	}
	return max(0, n-m.queue.Len())
}

func (m *model) streamKey(s *stream) string { return fmt.Sprint(s.tier, "/", s.customer) }

func (m *model) countsOf(s *stream) *workCounts {
	c := m.counts[m.streamKey(s)]
	if c == nil {
		c = new(workCounts)
		m.counts[m.streamKey(s)] = c
	}
	return c
}

func (m *model) total(tier int) (c workCounts) {
	for key, v := range m.counts {
		if tier < 0 || key[0] == byte('0'+tier) {
			c.offered += v.offered
			c.onTime += v.onTime
			c.late += v.late
			c.refused += v.refused
		}
	}
	return c
}

func (m *model) run(d time.Duration, streams []stream) {
	for end := m.now + d; m.now < end; m.now += tick {
		for i := range streams {
			s := &streams[i]
			if s.end > 0 && (m.now < s.start || m.now >= s.end) {
				continue
			}
			p := s.load * tick.Seconds() / s.mean.Seconds()
			for ; p > 0; p-- {
				if m.rnd.Float64() < p {
					m.arrive(s)
				}
			}
		}
		m.shareLevels()
		m.dispatch()
	}
}

func (m *model) arrive(s *stream) {
	work := time.Duration(m.rnd.ExpFloat64() * float64(s.mean))
	estimate := s.mean
	if s.estimateFactor > 0 {
		estimate = time.Duration(float64(estimate) * s.estimateFactor)
	}
	e := m.entries[m.rnd.IntN(len(m.entries))]
	c := m.countsOf(s)
	c.offered += work.Seconds()
	mask := m.served()
	lower := mask>>(s.tier+1) != 0
	d := e.Decide(m.now, Request{Tier: s.tier, Customer: s.customer, Work: estimate, MaxWait: s.target},
		View{LowerServed: lower, ServedTiers: mask, FreeSlots: m.freeSlots(), Slots: m.slots, Entries: len(m.entries)})
	if !d.Admit {
		m.refuse(c, s, work, d.RetryAfter)
		return
	}
	m.lastID++
	id := ident.Make(1, m.lastID)
	j := job{stream: s, entry: e, work: work, due: m.now + s.target}
	m.jobs[id] = j
	e.RecordArrival(m.now, s.tier, s.customer, estimate)
	if _, _, err := m.queue.Push(m.now, queue.Item{ID: id, Tier: s.tier, Customer: s.customer, Cost: estimate, StartBy: j.due}); err != nil {
		panic(err)
	}
}

func (m *model) refuse(c *workCounts, s *stream, work time.Duration, retryAfter time.Duration) {
	c.refused += work.Seconds()
	if retryAfter > 0 {
		m.retryAfters = append(m.retryAfters, retryAfter)
	}
	if m.served()>>(s.tier+1) != 0 {
		m.unjustRefusals++
	}
}

// shareLevels passes the lowest level of all entries to every entry, and
// removes queued work that the level excludes, as agents do.
func (m *model) shareLevels() {
	low := uint8(spec.Tiers - 1)
	for _, e := range m.entries {
		low = min(low, e.Level(m.now))
	}
	for _, e := range m.entries {
		if m.sharesLevels {
			e.SetPeerLevel(m.now, low, 2*tick)
		}
	}
	for _, it := range m.queue.DropAbove(low) {
		j := m.jobs[it.ID]
		delete(m.jobs, it.ID)
		j.entry.RecordWithdrawal(m.now, it.Tier, it.Customer, it.Cost)
		m.countsOf(j.stream).refused += j.work.Seconds()
	}
}

func (m *model) dispatch() {
	for i := range m.busyUntil {
		if m.busyUntil[i] > m.now {
			m.busySeconds += tick.Seconds()
			continue
		}
		it, ok := m.queue.Pop(m.now)
		if !ok {
			continue
		}
		j := m.jobs[it.ID]
		delete(m.jobs, it.ID)
		j.entry.RecordStart(m.now, it.Tier, it.Customer, it.Cost)
		m.busyUntil[i], m.runningTiers[i] = m.now+j.work, it.Tier
		m.queue.ChargeActual(it.Customer, it.Tier, it.Cost, j.work)
		onTime := m.now <= j.due
		j.entry.RecordEnd(m.now, it.Tier, onTime)
		if c := m.countsOf(j.stream); onTime {
			c.onTime += j.work.Seconds()
		} else {
			c.late += j.work.Seconds()
		}
	}
}

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

// stream is the requests of one customer in one tier.
type stream struct {
	tier     uint8
	customer string
	// load is the work that it sends in seconds a second; mean the mean length
	// of a request.
	load   float64
	mean   time.Duration
	target time.Duration
	// guess is what the estimate is of the truth; zero means 1.
	guess float64
	// from and to bound when it sends; zero means always.
	from, to time.Duration
}

// count is what the callers of a stream received.
type count struct {
	offered, within, late, refused float64
}

// model is a pool of places with one queue in front, before which entries
// admit. It works in steps of a tick.
type model struct {
	places  int
	entries []*Pool
	queue   *queue.Queue
	// ends holds when each place becomes free, and tiers what runs there.
	ends  []time.Duration
	tiers []uint8
	jobs  map[ident.ID]job
	rnd   *rand.Rand
	now   time.Duration
	n     uint64
	// got sums work by customer and tier.
	got map[string]*count
	// wrong counts refusals while lower work was served, and retries the
	// Retry-After of all refusals.
	wrong   int
	retries []time.Duration
	busy    float64
	tells   bool
}

type job struct {
	stream *stream
	entry  *Pool
	work   time.Duration
	due    time.Duration
}

func newModel(places, entries int) *model {
	m := &model{
		places: places, queue: queue.New(queue.Config{}), ends: make([]time.Duration, places), tiers: make([]uint8, places),
		jobs: map[ident.ID]job{}, rnd: rand.New(rand.NewPCG(7, 7)), got: map[string]*count{}, tells: true,
	}
	for range entries {
		m.entries = append(m.entries, New(Config{}))
	}
	return m
}

func (m *model) served() (mask uint8) {
	for i, end := range m.ends {
		if end > m.now {
			mask |= 1 << m.tiers[i]
		}
	}
	return mask | m.queue.Mask()
}

// free counts the places that nothing waits for.
func (m *model) free() (n int) {
	for _, end := range m.ends {
		if end <= m.now {
			n++
		}
	}
	return max(0, n-m.queue.Len())
}

func (m *model) key(s *stream) string { return fmt.Sprint(s.tier, "/", s.customer) }

func (m *model) at(s *stream) *count {
	c := m.got[m.key(s)]
	if c == nil {
		c = new(count)
		m.got[m.key(s)] = c
	}
	return c
}

func (m *model) sum(tier int) (c count) {
	for key, v := range m.got {
		if tier < 0 || key[0] == byte('0'+tier) {
			c.offered += v.offered
			c.within += v.within
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
			if s.to > 0 && (m.now < s.from || m.now >= s.to) {
				continue
			}
			p := s.load * tick.Seconds() / s.mean.Seconds()
			for ; p > 0; p-- {
				if m.rnd.Float64() < p {
					m.arrive(s)
				}
			}
		}
		m.levels()
		m.dispatch()
	}
}

func (m *model) arrive(s *stream) {
	work := time.Duration(m.rnd.ExpFloat64() * float64(s.mean))
	guess := s.mean
	if s.guess > 0 {
		guess = time.Duration(float64(guess) * s.guess)
	}
	e := m.entries[m.rnd.IntN(len(m.entries))]
	c := m.at(s)
	c.offered += work.Seconds()
	mask := m.served()
	lower := mask>>(s.tier+1) != 0
	v := e.Decide(m.now, Ask{Tier: s.tier, Customer: s.customer, Work: guess, Target: s.target},
		View{LowerServed: lower, Served: mask, Free: m.free(), Places: m.places, Peers: len(m.entries)})
	if !v.Admit {
		m.refuse(c, s, work, v.RetryAfter)
		return
	}
	m.n++
	id := ident.Make(1, m.n)
	j := job{stream: s, entry: e, work: work, due: m.now + s.target}
	m.jobs[id] = j
	e.Arrived(m.now, s.tier, s.customer, guess)
	if _, _, err := m.queue.Push(m.now, queue.Item{ID: id, Tier: s.tier, Customer: s.customer, Cost: guess, Due: j.due}); err != nil {
		panic(err)
	}
}

func (m *model) refuse(c *count, s *stream, work time.Duration, after time.Duration) {
	c.refused += work.Seconds()
	if after > 0 {
		m.retries = append(m.retries, after)
	}
	if m.served()>>(s.tier+1) != 0 {
		m.wrong++
	}
}

// levels does what agents do with the entries' levels.
func (m *model) levels() {
	low := uint8(spec.Tiers - 1)
	for _, e := range m.entries {
		low = min(low, e.Level(m.now))
	}
	for _, e := range m.entries {
		if m.tells {
			e.Peer(m.now, low, 2*tick)
		}
	}
	for _, it := range m.queue.DropAbove(low) {
		j := m.jobs[it.ID]
		delete(m.jobs, it.ID)
		j.entry.Left(m.now, it.Tier, it.Customer, it.Cost)
		m.at(j.stream).refused += j.work.Seconds()
	}
}

func (m *model) dispatch() {
	for i := range m.ends {
		if m.ends[i] > m.now {
			m.busy += tick.Seconds()
			continue
		}
		it, ok := m.queue.Pop(m.now)
		if !ok {
			continue
		}
		j := m.jobs[it.ID]
		delete(m.jobs, it.ID)
		j.entry.Started(m.now, it.Tier, it.Customer, it.Cost)
		m.ends[i], m.tiers[i] = m.now+j.work, it.Tier
		m.queue.Done(it.Customer, it.Tier, it.Cost, j.work)
		within := m.now <= j.due
		j.entry.Ended(m.now, it.Tier, within)
		if c := m.at(j.stream); within {
			c.within += j.work.Seconds()
		} else {
			c.late += j.work.Seconds()
		}
	}
}

package direct

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/meter"
	"lycheepond/core/relay"
	"lycheepond/core/route"
	"lycheepond/core/shard"
	"lycheepond/core/trust"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

const (
	// oneWay is the latency of a message between two entries.
	oneWay = 1500 * time.Microsecond
	// sizeZones is how many availability zones a replayed fleet has.
	sizeZones = 5
)

// maxFleetEntries bounds the fleets that are replayed; the largest takes minutes with the race
// detector.
var maxFleetEntries = flag.Int("size.entries", 103, "replay fleets of up to so many entries")

// fleet is a set of entries in several zones, with engines that come and go.
type fleet struct {
	workload
	// usesOwners is set if placements are requested from the owners of shards.
	usesOwners bool
	// lostFraction is the fraction of the engines that end when the burst begins. As many
	// empty ones start replacedAfter later.
	lostFraction  float64
	replacedAfter time.Duration
}

// tallyTiming returns the time between two tallies of an entry and their latency through a
// hub, in a fleet of so many entries. hub is set for an entry that forwards tallies or owns a
// shard.
func tallyTiming(entries int, hub bool) (every, way time.Duration) {
	each := 2500 * time.Microsecond * time.Duration(entries)
	switch {
	case entries <= 8:
		return 25 * time.Millisecond, oneWay
	case hub:
		each = 5 * time.Millisecond * time.Duration(16+entries/16)
	}
	return max(25*time.Millisecond, each), 50 * time.Millisecond
}

// hasLargeCapacity reports whether an entry is one of those with much capacity.
func hasLargeCapacity(i int) bool { return i/sizeZones%7 == 0 }

// countingEngine is an engine that serves in order of arrival and counts its requests.
type countingEngine struct {
	testEngine
	stopped chan struct{}
	mu      sync.Mutex
	// requests is the current count, maxRequests the largest one.
	requests, maxRequests int
}

func newCountingEngine(slots int) *countingEngine {
	return &countingEngine{testEngine: testEngine{slots: make(chan struct{}, slots)}, stopped: make(chan struct{})}
}

func (b *countingEngine) count(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests += n
	b.maxRequests = max(b.maxRequests, b.requests)
}

// run serves a request, or breaks it off when the engine ends.
func (b *countingEngine) run(a *attempt, prompt, output int) {
	b.count(1)
	defer b.count(-1)
	select {
	case b.slots <- struct{}{}:
	case <-b.stopped:
		a.finish(trust.Broken)
		return
	}
	defer func() { <-b.slots }()
	steps := 4
	pauses := []time.Duration{30*time.Millisecond + time.Duration(prompt)*9*time.Microsecond}
	for range steps {
		pauses = append(pauses, time.Duration(output)*4*time.Millisecond/time.Duration(steps))
	}
	for i, p := range pauses {
		select {
		case <-time.After(p):
			a.recordProgress(max(output/(steps+1), 1))
		case <-b.stopped:
			a.finish(trust.Broken)
			return
		}
		if i == steps {
			a.finish(trust.Good)
		}
	}
}

// messageLink delivers messages in order, each oneWay after it was sent.
type messageLink struct {
	mu sync.Mutex
	// queue holds the messages in transit.
	queue []func()
}

func (p *messageLink) send(f func()) {
	p.mu.Lock()
	p.queue = append(p.queue, f)
	p.mu.Unlock()
	time.AfterFunc(oneWay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		first := p.queue[0]
		p.queue = p.queue[1:]
		first()
	})
}

// network connects the entries of a fleet.
type network struct {
	ctx       context.Context
	directors map[string]*Director
	zones     map[string]string
	mu        sync.Mutex
	// connections holds, by sender and receiver, the messages in transit and the session of
	// the sender at the receiver.
	connections map[[2]string]*connection
}

type connection struct {
	outbound, inbound messageLink
	session           *Session
}

func (w *network) send(from, to string, m wire.Message) bool {
	w.mu.Lock()
	l := w.connections[[2]string{from, to}]
	if l == nil {
		l = new(connection)
		w.connections[[2]string{from, to}] = l
		l.session = w.directors[to].Session(w.ctx, w.zones[from], func(m wire.Message) error {
			l.inbound.send(func() { w.directors[from].Acked(to, m.(*wire.PlaceAck)) })
			return nil
		})
	}
	w.mu.Unlock()
	l.outbound.send(func() { l.session.Take(m) })
	return true
}

// replayResult is the result of a replay.
type replayResult struct {
	requests []requestResult
	// maxRequests is the largest number of requests that one engine had.
	maxRequests int
	// maxExcess is the largest number of requests beyond the slots of their engines, all
	// engines together, as a fraction of all slots.
	maxExcess float64
}

func (c fleet) replay(t *testing.T) replayResult {
	var (
		mu  sync.Mutex
		out replayResult
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		start := time.Now()
		engines := make(map[string]*countingEngine)
		roster := route.Roster{Revision: 1}
		add := func(id string, i int) {
			engines[id] = newCountingEngine(c.slots)
			roster.Endpoints = append(roster.Endpoints, route.Endpoint{
				ID: id, Born: 1, Pool: "p", Addr: id, Zone: fmt.Sprint("z", i%sizeZones), Slots: c.slots,
			})
		}
		for i := range c.engines {
			add(fmt.Sprint("engine-", i), i)
		}
		cfg := route.Config{Revision: 1, Pools: []route.Pool{{Name: "p", Engine: true, Slots: c.slots}}}
		for i := range c.kinds {
			cfg.Routes = append(cfg.Routes, route.Route{
				Name: fmt.Sprint("r", i), Tier: c.kinds[i].tier, Target: replayTarget, Timeout: 5 * time.Second, Shares: []route.Share{{Pool: "p", Weight: 1}},
			})
		}
		w := &network{ctx: ctx, directors: make(map[string]*Director), zones: make(map[string]string), connections: make(map[[2]string]*connection)}
		var (
			directors []*Director
			peers     []relay.Entry
		)
		for i := range c.entries {
			name, zone := fmt.Sprint("entry-", i), fmt.Sprint("z", i%sizeZones)
			capacity := uint32(144)
			if hasLargeCapacity(i) {
				capacity = 800
			}
			peers = append(peers, relay.Entry{Name: name, Zone: zone, Capacity: capacity})
			d := New(Config{
				Addr: name, Zone: zone, Repeats: Repeats{Ratio: 0.2, Slack: 50}, Client: hop.New(), Metrics: meter.New(), Log: zap.NewNop(),
				Reach: func() (int, int) { return c.entries, c.entries },
			})
			if c.usesOwners {
				d.cfg.Peers = Peers{
					Self: name, Entries: func() []relay.Entry { return peers }, Link: func([]string) {},
					Send: func(to string, m wire.Message) bool { return w.send(name, to, m) },
				}
			}
			w.directors[name], w.zones[name] = d, zone
			directors = append(directors, d)
			d.SetConfig(cfg)
			d.SetRoster(roster)
		}
		var running sync.WaitGroup
		serve := func(a *attempt, j *Job) {
			mu.Lock()
			e := engines[a.id]
			mu.Unlock()
			e.run(a, j.Prompt, j.Output)
		}
		note := func(r requestResult) {
			mu.Lock()
			defer mu.Unlock()
			out.requests = append(out.requests, r)
		}
		for i, d := range directors {
			running.Go(func() { c.broadcastTallies(ctx, i, directors) })
			for k := range c.kinds {
				rnd := rand.New(rand.NewPCG(c.seed, uint64(i*len(c.kinds)+k)))
				running.Go(func() { c.send(rnd, d, &cfg, k, start, serve, note, &running) })
			}
		}
		running.Go(func() {
			rnd := rand.New(rand.NewPCG(c.seed, 1<<40))
			lost := int(c.lostFraction * float64(c.engines))
			time.Sleep(c.burstAt)
			mu.Lock()
			for _, e := range roster.Endpoints[:lost] {
				close(engines[e.ID].stopped)
			}
			roster.Endpoints = append([]route.Endpoint(nil), roster.Endpoints[lost:]...)
			mu.Unlock()
			c.distributeRoster(rnd, &roster, directors, &running)
			time.Sleep(c.replacedAfter)
			mu.Lock()
			roster.Endpoints = append([]route.Endpoint(nil), roster.Endpoints...)
			for i := range lost {
				add(fmt.Sprint("new-", i), i)
			}
			mu.Unlock()
			c.distributeRoster(rnd, &roster, directors, &running)
		})
		running.Go(func() {
			for time.Since(start) < c.duration {
				time.Sleep(5 * time.Millisecond)
				over, slots := 0, 0
				mu.Lock()
				for _, e := range engines {
					e.mu.Lock()
					over += max(e.requests-c.slots, 0)
					slots += c.slots
					e.mu.Unlock()
				}
				out.maxExcess = max(out.maxExcess, float64(over)/float64(slots))
				mu.Unlock()
			}
		})
		time.Sleep(c.duration + 5*time.Second)
		stop()
		running.Wait()
		for _, e := range engines {
			out.maxRequests = max(out.maxRequests, e.maxRequests)
		}
	})
	return out
}

// distributeRoster has a new instance list reach the entries, each after a different time.
func (c fleet) distributeRoster(rnd *rand.Rand, r *route.Roster, directors []*Director, running *sync.WaitGroup) {
	r.Revision++
	list := *r
	for _, d := range directors {
		after := time.Duration(rnd.Float64() * float64(time.Second))
		running.Go(func() {
			time.Sleep(after)
			d.SetRoster(list)
		})
	}
}

// broadcastTallies sends the tallies of an entry to the others, as often as entries of such a
// fleet do.
func (c fleet) broadcastTallies(ctx context.Context, from int, directors []*Director) {
	every, way := tallyTiming(c.entries, hasLargeCapacity(from))
	time.Sleep(every * time.Duration(from) / time.Duration(len(directors)))
	for first := true; ctx.Err() == nil; first = false {
		time.Sleep(every)
		tally := directors[from].Tally(first)
		if !first && !tally.News() {
			continue
		}
		t := &wire.Tally{Held: tally.Held, Waiting: tally.Waiting, Whole: first}
		time.AfterFunc(way, func() {
			for i, d := range directors {
				if i != from {
					d.Heard(fmt.Sprint("entry-", from), first, t)
				}
			}
		})
	}
}

// burstFleet returns a fleet of so many entries under a burst. The load and the number of
// engines per entry are the same for every size.
func burstFleet(entries int) fleet {
	scale := float64(entries) / 4
	return fleet{
		workload: workload{
			entries: entries, engines: max(entries*7/4, 6), slots: 7, duration: 4 * time.Second, seed: 3,
			burst: 1.7, burstAt: 1500 * time.Millisecond, burstFor: 2 * time.Second,
			kinds: []requestKind{{0, 50 * scale, 2890, 50}, {1, 59 * scale, 1800, 22}, {2, 21 * scale, 543, 280}},
		},
		usesOwners: true, lostFraction: 0.2, replacedAfter: time.Second,
	}
}

// Guards against engines overloaded by many entries, each of which sends to the slots that
// looked free to all of them a while ago.
func TestManyEntriesDoNotOverloadEngines(t *testing.T) {
	fewestMax := 0
	for _, entries := range []int{5, 30, 103, 420} {
		if entries > *maxFleetEntries {
			continue
		}
		c := burstFleet(entries)
		got := c.replay(t)
		top, refused, inverted := inversions(got.requests, tallyInterval)
		inTime, served := 0, 0
		for _, r := range got.requests {
			if r.tier == 0 && r.metTarget {
				inTime++
			}
			if !r.refused {
				served++
			}
		}
		t.Logf("%d entries: at most %d requests at an engine of %d slots, %.2f of all slots in excess; of %d of the highest tier %d in time, %d refused, %d of them while a lower tier was admitted; %d of %d served",
			entries, got.maxRequests, c.slots, got.maxExcess, top, inTime, refused, inverted, served, len(got.requests))
		if refused*20 > top {
			t.Errorf("%d entries: %d of %d of the highest tier refused", entries, refused, top)
		}
		if !shard.Needed(entries) {
			continue
		}
		if fewestMax == 0 {
			fewestMax = got.maxRequests
		}
		if got.maxRequests > fewestMax+c.slots {
			t.Errorf("%d entries: %d requests at an engine of %d slots, %d with fewer entries", entries, got.maxRequests, c.slots, fewestMax)
		}
		if got.maxExcess > 0.5 {
			t.Errorf("%d entries: %.2f of all slots in excess", entries, got.maxExcess)
		}
		if inTime*20 < top*19 {
			t.Errorf("%d entries: %d of %d of the highest tier in time", entries, inTime, top)
		}
	}
}

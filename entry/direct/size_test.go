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

	"lycheepond/core/health"
	"lycheepond/core/meter"
	"lycheepond/core/relay"
	"lycheepond/core/route"
	"lycheepond/core/shard"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

const (
	// oneWay is the latency of a message between two entries.
	oneWay = 1500 * time.Microsecond
	// fleetZones is how many availability zones a replayed fleet has.
	fleetZones = 5
)

// maxFleetEntries bounds the number of entries of the fleets that are replayed; the largest
// fleet takes minutes with the race detector.
var maxFleetEntries = flag.Int("size.entries", 103, "largest number of entries of a replayed fleet")

// fleet is a set of entries in several zones, with engines that come and go.
type fleet struct {
	workload
	// usesOwners is set if placements are requested from the owners of shards.
	usesOwners bool
	// overload holds the decisions of owners that are on.
	overload Overload
	// lostFraction is the fraction of the engines that end when the burst begins. The same
	// number of empty ones starts replacedAfter later.
	lostFraction  float64
	replacedAfter time.Duration
	// uneven makes the engines uneven. state returns the slowdown in percent that they state in
	// the heads of their answers; nil stands for heads without figures.
	uneven bool
	state  func(slowdown float64) int
}

// tallyTiming returns the time between two tallies of an entry and their latency, which in a
// large fleet is that through a hub. isHub is set for an entry that forwards tallies or owns a
// shard.
func tallyTiming(entries int, isHub bool) (interval, latency time.Duration) {
	scaled := 2500 * time.Microsecond * time.Duration(entries)
	switch {
	case entries <= 8:
		return 25 * time.Millisecond, oneWay
	case isHub:
		scaled = 5 * time.Millisecond * time.Duration(16+entries/16)
	}
	return max(25*time.Millisecond, scaled), 50 * time.Millisecond
}

// hasLargeCapacity reports whether an entry is one of those with much capacity.
func hasLargeCapacity(i int) bool { return i/fleetZones%7 == 0 }

// countingEngine is an engine that serves in order of arrival and counts its requests.
type countingEngine struct {
	testEngine
	stopped chan struct{}
	mu      sync.Mutex
	// requests is the current count, maxRequests the largest one.
	requests, maxRequests int
	// uneven is the engine's speed, nil for a usual one.
	uneven *unevenSpeed
	state  func(slowdown float64) int
}

func newCountingEngine(slots int) *countingEngine {
	return &countingEngine{testEngine: testEngine{slots: make(chan struct{}, slots)}, stopped: make(chan struct{})}
}

func (e *countingEngine) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests += n
	e.maxRequests = max(e.maxRequests, e.requests)
}

// run serves a request, or breaks it off when the engine ends.
func (e *countingEngine) run(a *attempt, prompt, output int) {
	e.count(1)
	defer e.count(-1)
	select {
	case e.slots <- struct{}{}:
	case <-e.stopped:
		a.finish(health.Broken)
		return
	}
	defer func() { <-e.slots }()
	steps := 4
	pauses := []time.Duration{30*time.Millisecond + time.Duration(prompt)*9*time.Microsecond}
	for range steps {
		pauses = append(pauses, time.Duration(output)*4*time.Millisecond/time.Duration(steps))
	}
	for i, p := range pauses {
		if e.uneven != nil {
			now := time.Since(e.uneven.start)
			p = e.uneven.doneAt(now, p) - now
		}
		select {
		case <-time.After(p):
			if i == 0 {
				e.sendHead(a)
			}
			a.recordProgress(max(output/(steps+1), 1))
		case <-e.stopped:
			a.finish(health.Broken)
			return
		}
		if i == steps {
			a.finish(health.Success)
		}
	}
}

// messageLink delivers messages in order, each oneWay after it was sent.
type messageLink struct {
	mu sync.Mutex
	// queue holds the messages in transit.
	queue []func()
}

func (l *messageLink) send(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	time.AfterFunc(oneWay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		first := l.queue[0]
		l.queue = l.queue[1:]
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
	// isLost reports whether an entry is cut off; nil if none ever is.
	isLost func(name string) bool
}

// connection is the connection of one sender to one receiver.
type connection struct {
	outbound, inbound messageLink
	session           *Session
}

func (n *network) send(from, to string, m wire.Message) bool {
	n.mu.Lock()
	l := n.connections[[2]string{from, to}]
	if l == nil {
		l = new(connection)
		n.connections[[2]string{from, to}] = l
		l.session = n.directors[to].NewSession(n.ctx, from, n.zones[from], func(m wire.Message) error {
			if n.isLost == nil || !n.isLost(to) {
				l.inbound.send(func() { n.directors[from].handleReply(to, m) })
			}
			return nil
		})
	}
	n.mu.Unlock()
	l.outbound.send(func() { l.session.Handle(m) })
	return true
}

// handleReply processes what an owner of a shard sends.
func (d *Director) handleReply(owner string, m wire.Message) {
	switch m := m.(type) {
	case *wire.PlaceReply:
		d.HandlePlaceReply(owner, m)
	case *wire.PlaceHold:
		d.HandlePlaceHold(owner, m)
	}
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

// replay sends the workload through the entries of the fleet and returns the results.
func (f fleet) replay(t *testing.T) replayResult {
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
			engines[id] = newCountingEngine(f.slots)
			if f.uneven {
				engines[id].uneven, engines[id].state = newUnevenSpeed(f, i, start), f.state
			}
			roster.Endpoints = append(roster.Endpoints, route.Endpoint{
				ID: id, Incarnation: 1, Pool: "p", Addr: id, Zone: fmt.Sprint("z", i%fleetZones), Slots: f.slots,
			})
		}
		for i := range f.engines {
			add(fmt.Sprint("engine-", i), i)
		}
		cfg := route.Config{Revision: 1, Pools: []route.Pool{{Name: "p", Engine: true, Slots: f.slots}}}
		for i := range f.kinds {
			target, deadline := f.limitsOf(i)
			cfg.Routes = append(cfg.Routes, route.Route{
				Name: fmt.Sprint("r", i), Tier: f.kinds[i].tier, Target: target, Timeout: deadline, MaxSilence: f.silence, Shares: []route.Share{{Pool: "p", Weight: 1}},
			})
		}
		n := &network{ctx: ctx, directors: make(map[string]*Director), zones: make(map[string]string), connections: make(map[[2]string]*connection)}
		var (
			directors []*Director
			peers     []relay.Entry
		)
		for i := range f.entries {
			name, zone := fmt.Sprint("entry-", i), fmt.Sprint("z", i%fleetZones)
			capacity := uint32(144)
			if hasLargeCapacity(i) {
				capacity = 800
			}
			peers = append(peers, relay.Entry{Name: name, Zone: zone, Capacity: capacity})
			d := New(Config{
				Addr: name, Zone: zone, RetryBudget: RetryBudget{Ratio: 0.2, Slack: 50}, Client: hop.New(), Metrics: meter.New(), Log: zap.NewNop(),
				EntryCounts: func() (int, int) { return f.entries, f.entries },
				Overload:    f.overload,
			})
			if f.usesOwners {
				d.cfg.Peers = Peers{
					Self: name, Entries: func() []relay.Entry { return peers }, KeepLinks: func([]string) {},
					Send: func(to string, m wire.Message) bool { return n.send(name, to, m) }, SendBookings: func(to string, m wire.Message) bool { return n.send(name, to, m) },
				}
			}
			n.directors[name], n.zones[name] = d, zone
			directors = append(directors, d)
			d.SetConfig(cfg)
			d.SetRoster(roster)
		}
		var running sync.WaitGroup
		serve := func(a *attempt, j *Job) {
			mu.Lock()
			e := engines[a.id]
			mu.Unlock()
			e.run(a, j.PromptTokens, j.OutputTokens)
		}
		record := func(r requestResult) {
			mu.Lock()
			defer mu.Unlock()
			out.requests = append(out.requests, r)
		}
		for i, d := range directors {
			running.Go(func() { f.broadcastTallies(ctx, i, directors) })
			if f.overload.PlanReturns {
				running.Go(func() { d.Run(ctx) })
			}
			for k := range f.kinds {
				rnd := rand.New(rand.NewPCG(f.seed, uint64(i*len(f.kinds)+k)))
				running.Go(func() { f.send(rnd, d, &cfg, k, start, serve, record, &running) })
			}
		}
		running.Go(func() {
			rnd := rand.New(rand.NewPCG(f.seed, 1<<40))
			lostEngines := int(f.lostFraction * float64(f.engines))
			time.Sleep(f.burstAt)
			mu.Lock()
			for _, e := range roster.Endpoints[:lostEngines] {
				close(engines[e.ID].stopped)
			}
			roster.Endpoints = append([]route.Endpoint(nil), roster.Endpoints[lostEngines:]...)
			mu.Unlock()
			f.distributeRoster(rnd, &roster, directors, &running)
			time.Sleep(f.replacedAfter)
			mu.Lock()
			roster.Endpoints = append([]route.Endpoint(nil), roster.Endpoints...)
			for i := range lostEngines {
				add(fmt.Sprint("new-", i), i)
			}
			mu.Unlock()
			f.distributeRoster(rnd, &roster, directors, &running)
		})
		running.Go(func() {
			for time.Since(start) < f.duration {
				time.Sleep(5 * time.Millisecond)
				excess, slots := 0, 0
				mu.Lock()
				for _, e := range engines {
					e.mu.Lock()
					excess += max(e.requests-f.slots, 0)
					slots += f.slots
					e.mu.Unlock()
				}
				out.maxExcess = max(out.maxExcess, float64(excess)/float64(slots))
				mu.Unlock()
			}
		})
		// The first kind has the longest deadline.
		_, deadline := f.limitsOf(0)
		time.Sleep(f.duration + deadline)
		stop()
		running.Wait()
		for _, e := range engines {
			out.maxRequests = max(out.maxRequests, e.maxRequests)
		}
	})
	return out
}

// distributeRoster delivers a new instance list to the entries, to each after a random delay of
// up to a second.
func (f fleet) distributeRoster(rnd *rand.Rand, r *route.Roster, directors []*Director, running *sync.WaitGroup) {
	r.Revision++
	list := *r
	for _, d := range directors {
		delay := time.Duration(rnd.Float64() * float64(time.Second))
		running.Go(func() {
			time.Sleep(delay)
			d.SetRoster(list)
		})
	}
}

// broadcastTallies sends the tallies of an entry to the others, as often as entries of a fleet
// of this size do.
func (f fleet) broadcastTallies(ctx context.Context, sender int, directors []*Director) {
	interval, latency := tallyTiming(f.entries, hasLargeCapacity(sender))
	time.Sleep(interval * time.Duration(sender) / time.Duration(len(directors)))
	for first := true; ctx.Err() == nil; first = false {
		time.Sleep(interval)
		tally := directors[sender].Tally(first)
		if !first && !tally.HasChanges() {
			continue
		}
		t := &wire.Tally{Endpoints: tally.Endpoints, Queues: tally.Queues, Full: first}
		time.AfterFunc(latency, func() {
			for i, d := range directors {
				if i != sender {
					d.HandleTally(fmt.Sprint("entry-", sender), first, t)
				}
			}
		})
	}
}

// burstFleet returns a fleet of the given number of entries under a burst. The load and the
// number of engines per entry are the same for every size.
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

// Guards against engines that are overloaded because many entries send to the same slots, which
// looked free to all of them a moment ago.
func TestManyEntriesDoNotOverloadEngines(t *testing.T) {
	baseMax := 0
	for _, entries := range []int{5, 30, 103, 420} {
		if entries > *maxFleetEntries {
			continue
		}
		f := burstFleet(entries)
		result := f.replay(t)
		top, refused, inverted := countInversions(result.requests, tallyInterval)
		inTime, served := 0, 0
		for _, r := range result.requests {
			if r.tier == 0 && r.metTarget {
				inTime++
			}
			if !r.refused {
				served++
			}
		}
		t.Logf("%d entries: at most %d requests at an engine of %d slots, %.2f of all slots in excess; of %d of the highest tier %d in time, %d refused, %d of them while a lower tier was admitted; %d of %d served",
			entries, result.maxRequests, f.slots, result.maxExcess, top, inTime, refused, inverted, served, len(result.requests))
		if refused*20 > top {
			t.Errorf("%d entries: %d of %d of the highest tier refused", entries, refused, top)
		}
		if !shard.HasOwners(entries) {
			continue
		}
		if baseMax == 0 {
			baseMax = result.maxRequests
		}
		if result.maxRequests > baseMax+f.slots {
			t.Errorf("%d entries: %d requests at an engine of %d slots, %d with fewer entries", entries, result.maxRequests, f.slots, baseMax)
		}
		if result.maxExcess > 0.5 {
			t.Errorf("%d entries: %.2f of all slots in excess", entries, result.maxExcess)
		}
		if inTime*20 < top*19 {
			t.Errorf("%d entries: %d of %d of the highest tier in time", entries, inTime, top)
		}
	}
}

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
	// oneWay is how long a message between two entries takes.
	oneWay = 1500 * time.Microsecond
	// sizeZones is how many availability zones a replayed fleet has.
	sizeZones = 5
)

// largest bounds the fleets that are replayed; the largest takes minutes with the race
// detector.
var largest = flag.Int("size.entries", 103, "replay fleets of up to so many entries")

// crew is a fleet of entries in zones before engines that come and go.
type crew struct {
	load
	// owners is set if places are asked of the owners of shards.
	owners bool
	// lost is which part of the engines ends as the burst begins, renewed how long
	// after it as many empty ones come.
	lost    float64
	renewed time.Duration
}

// told is the time between two tallies of an entry and after that the way through a
// hub, in a fleet of so many; hub is set for one that passes tallies on, or owns a
// shard.
func told(entries int, hub bool) (every, way time.Duration) {
	each := 2500 * time.Microsecond * time.Duration(entries)
	switch {
	case entries <= 8:
		return 25 * time.Millisecond, oneWay
	case hub:
		each = 5 * time.Millisecond * time.Duration(16+entries/16)
	}
	return max(25*time.Millisecond, each), 50 * time.Millisecond
}

// large reports whether an entry is one of those with much capacity.
func large(i int) bool { return i/sizeZones%7 == 0 }

// busy is an engine that serves in order of arrival and counts what it has.
type busy struct {
	engine
	gone chan struct{}
	mu   sync.Mutex
	// has counts requests, most is the largest count.
	has, most int
}

func newBusy(slots int) *busy {
	return &busy{engine: engine{slots: make(chan struct{}, slots)}, gone: make(chan struct{})}
}

func (b *busy) count(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.has += n
	b.most = max(b.most, b.has)
}

// run serves a request, or breaks it off when the engine ends.
func (b *busy) run(v *visit, prompt, output int) {
	b.count(1)
	defer b.count(-1)
	select {
	case b.slots <- struct{}{}:
	case <-b.gone:
		v.end(trust.Broken)
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
			v.progress(max(output/(steps+1), 1))
		case <-b.gone:
			v.end(trust.Broken)
			return
		}
		if i == steps {
			v.end(trust.Success)
		}
	}
}

// post delivers messages in order, each oneWay after it was sent.
type post struct {
	mu sync.Mutex
	// queue holds what is on its way.
	queue []func()
}

func (p *post) send(f func()) {
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

// wires joins the entries of a crew.
type wires struct {
	ctx  context.Context
	all  map[string]*Director
	zone map[string]string
	mu   sync.Mutex
	// to holds what is on its way from one entry to another, and the session of the
	// first at the second.
	to map[[2]string]*wireTo
}

type wireTo struct {
	post, back post
	session    *Session
}

func (w *wires) send(from, to string, m wire.Message) bool {
	w.mu.Lock()
	l := w.to[[2]string{from, to}]
	if l == nil {
		l = new(wireTo)
		w.to[[2]string{from, to}] = l
		l.session = w.all[to].Session(w.ctx, w.zone[from], func(m wire.Message) error {
			l.back.send(func() { w.all[from].Acked(to, m.(*wire.PlaceReply)) })
			return nil
		})
	}
	w.mu.Unlock()
	l.post.send(func() { l.session.Take(m) })
	return true
}

// crowding is what a replay showed.
type crowding struct {
	fates []fate
	// most is the largest number of requests that one engine had.
	most int
	// over is the largest number of requests beyond the slots of their engines, all
	// engines together, as a part of all slots.
	over float64
}

func (c crew) replay(t *testing.T) crowding {
	var (
		mu  sync.Mutex
		out crowding
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		start := time.Now()
		engines := make(map[string]*busy)
		roster := route.Roster{Revision: 1}
		add := func(id string, i int) {
			engines[id] = newBusy(c.slots)
			roster.Endpoints = append(roster.Endpoints, route.Endpoint{
				ID: id, Incarnation: 1, Pool: "p", Addr: id, Zone: fmt.Sprint("z", i%sizeZones), Slots: c.slots,
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
		w := &wires{ctx: ctx, all: make(map[string]*Director), zone: make(map[string]string), to: make(map[[2]string]*wireTo)}
		var (
			all   []*Director
			peers []relay.Entry
		)
		for i := range c.entries {
			name, zone := fmt.Sprint("entry-", i), fmt.Sprint("z", i%sizeZones)
			capacity := uint32(144)
			if large(i) {
				capacity = 800
			}
			peers = append(peers, relay.Entry{Name: name, Zone: zone, Capacity: capacity})
			d := New(Config{
				Addr: name, Zone: zone, Repeats: Repeats{Ratio: 0.2, Slack: 50}, Client: hop.New(), Metrics: meter.New(), Log: zap.NewNop(),
				Reach: func() (int, int) { return c.entries, c.entries },
			})
			if c.owners {
				d.cfg.Peers = Peers{
					Self: name, Entries: func() []relay.Entry { return peers }, Link: func([]string) {},
					Send: func(to string, m wire.Message) bool { return w.send(name, to, m) },
				}
			}
			w.all[name], w.zone[name] = d, zone
			all = append(all, d)
			d.SetConfig(cfg)
			d.SetRoster(roster)
		}
		var running sync.WaitGroup
		serve := func(v *visit, j *Job) {
			mu.Lock()
			e := engines[v.id]
			mu.Unlock()
			e.run(v, j.Prompt, j.Output)
		}
		note := func(f fate) {
			mu.Lock()
			defer mu.Unlock()
			out.fates = append(out.fates, f)
		}
		for i, d := range all {
			running.Go(func() { c.tell(ctx, i, all) })
			for k := range c.kinds {
				rnd := rand.New(rand.NewPCG(c.seed, uint64(i*len(c.kinds)+k)))
				running.Go(func() { c.send(rnd, d, &cfg, k, start, serve, note, &running) })
			}
		}
		running.Go(func() {
			rnd := rand.New(rand.NewPCG(c.seed, 1<<40))
			lost := int(c.lost * float64(c.engines))
			time.Sleep(c.burstAt)
			mu.Lock()
			for _, e := range roster.Endpoints[:lost] {
				close(engines[e.ID].gone)
			}
			roster.Endpoints = append([]route.Endpoint(nil), roster.Endpoints[lost:]...)
			mu.Unlock()
			c.list(rnd, &roster, all, &running)
			time.Sleep(c.renewed)
			mu.Lock()
			roster.Endpoints = append([]route.Endpoint(nil), roster.Endpoints...)
			for i := range lost {
				add(fmt.Sprint("new-", i), i)
			}
			mu.Unlock()
			c.list(rnd, &roster, all, &running)
		})
		running.Go(func() {
			for time.Since(start) < c.length {
				time.Sleep(5 * time.Millisecond)
				over, slots := 0, 0
				mu.Lock()
				for _, e := range engines {
					e.mu.Lock()
					over += max(e.has-c.slots, 0)
					slots += c.slots
					e.mu.Unlock()
				}
				out.over = max(out.over, float64(over)/float64(slots))
				mu.Unlock()
			}
		})
		time.Sleep(c.length + 5*time.Second)
		stop()
		running.Wait()
		for _, e := range engines {
			out.most = max(out.most, e.most)
		}
	})
	return out
}

// list has a new instance list reach the entries, each after another time.
func (c crew) list(rnd *rand.Rand, r *route.Roster, all []*Director, running *sync.WaitGroup) {
	r.Revision++
	list := *r
	for _, d := range all {
		after := time.Duration(rnd.Float64() * float64(time.Second))
		running.Go(func() {
			time.Sleep(after)
			d.SetRoster(list)
		})
	}
}

// tell passes on what an entry has to tell, as often as entries of such a fleet do.
func (c crew) tell(ctx context.Context, from int, all []*Director) {
	every, way := told(c.entries, large(from))
	time.Sleep(every * time.Duration(from) / time.Duration(len(all)))
	for first := true; ctx.Err() == nil; first = false {
		time.Sleep(every)
		tally := all[from].Tally(first)
		if !first && !tally.HasChanges() {
			continue
		}
		t := &wire.Tally{Endpoints: tally.Endpoints, Queues: tally.Queues, Full: first}
		time.AfterFunc(way, func() {
			for i, d := range all {
				if i != from {
					d.Heard(fmt.Sprint("entry-", from), first, t)
				}
			}
		})
	}
}

// size is a burst at a fleet of so many entries, each with the same load and part
// of the engines.
func size(entries int) crew {
	scale := float64(entries) / 4
	return crew{
		load: load{
			entries: entries, engines: max(entries*7/4, 6), slots: 7, length: 4 * time.Second, seed: 3,
			burst: 1.7, burstAt: 1500 * time.Millisecond, burstFor: 2 * time.Second,
			kinds: []kind{{0, 50 * scale, 2890, 50}, {1, 59 * scale, 1800, 22}, {2, 21 * scale, 543, 280}},
		},
		owners: true, lost: 0.2, renewed: time.Second,
	}
}

// Each of many entries sends to the slots that looked free to all of them a while ago.
func TestEnginesAreNotCrowdedByManyEntries(t *testing.T) {
	least := 0
	for _, entries := range []int{5, 30, 103, 420} {
		if entries > *largest {
			continue
		}
		c := size(entries)
		got := c.replay(t)
		top, refused, inverted := inversions(got.fates, hearing)
		inTime, served := 0, 0
		for _, f := range got.fates {
			if f.tier == 0 && f.inTime {
				inTime++
			}
			if !f.refused {
				served++
			}
		}
		t.Logf("%d entries: %d requests at most at an engine of %d slots, %.2f of all slots in excess; of %d of the highest tier %d in time, %d refused, %d beside lower ones; %d of %d served",
			entries, got.most, c.slots, got.over, top, inTime, refused, inverted, served, len(got.fates))
		if refused*20 > top {
			t.Errorf("%d entries: %d of %d of the highest tier refused", entries, refused, top)
		}
		if !shard.HasOwners(entries) {
			continue
		}
		if least == 0 {
			least = got.most
		}
		if got.most > least+c.slots {
			t.Errorf("%d entries: %d requests at an engine of %d slots, %d with fewer entries", entries, got.most, c.slots, least)
		}
		if got.over > 0.5 {
			t.Errorf("%d entries: %.2f of all slots in excess", entries, got.over)
		}
		if inTime*20 < top*19 {
			t.Errorf("%d entries: %d of %d of the highest tier in time", entries, inTime, top)
		}
	}
}

package direct

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/meter"
	"lycheepond/core/relay"
	"lycheepond/core/route"
	"lycheepond/core/trust"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

// couple is an entry that asks another one, the owner of all shards, for places.
type couple struct {
	asker, owner *Director
	session      *Session
	// down is set while the link carries no messages.
	down atomic.Bool
	cfg  route.Config
	// route and outputs are the next job's route and output in tokens.
	route, outputs int
}

// newCouple returns two entries before so many engines of one slot each.
func newCouple(t *testing.T, engines int) *couple {
	t.Helper()
	c := &couple{outputs: 100}
	c.cfg = route.Config{
		Revision: 1, Pools: []route.Pool{{Name: "p", Engine: true, Slots: 1}},
		Routes: []route.Route{
			{Name: "high", Target: time.Second, Timeout: 10 * time.Second, Shares: []route.Share{{Pool: "p", Weight: 1}}},
			{Name: "low", Tier: 1, Target: time.Second, Timeout: 10 * time.Second, Shares: []route.Share{{Pool: "p", Weight: 1}}},
		},
	}
	roster := route.Roster{Revision: 1}
	for i := range engines {
		roster.Endpoints = append(roster.Endpoints, route.Endpoint{ID: name(i), Incarnation: 1, Pool: "p", Addr: name(i), Zone: "z", Slots: 1})
	}
	entry := func(self string) *Director {
		d := New(Config{
			Zone: "z", Addr: self, Repeats: Repeats{Ratio: 0.2, Slack: 50}, Client: hop.New(), Metrics: meter.New(), Log: zap.NewNop(),
			Reach: func() (int, int) { return 20, 20 },
			Peers: Peers{
				Self: self, Link: func([]string) {},
				Entries: func() []relay.Entry {
					return []relay.Entry{{Name: "asker", Zone: "z", Capacity: 100}, {Name: "owner", Zone: "z", Capacity: 800}}
				},
				Send: func(_ string, m wire.Message) bool {
					if c.down.Load() {
						return false
					}
					go c.session.Take(m)
					return true
				},
			},
		})
		d.SetConfig(c.cfg)
		d.SetRoster(roster)
		return d
	}
	c.asker, c.owner = entry("asker"), entry("owner")
	c.session = c.owner.Session(t.Context(), "z", func(m wire.Message) error {
		if !c.down.Load() {
			go c.asker.Acked("owner", m.(*wire.PlaceReply))
		}
		return nil
	})
	t.Cleanup(func() {
		c.session.Close()
		time.Sleep(2 * keepFor)
	})
	return c
}

func (c *couple) job() *Job {
	now := time.Now()
	r := &c.cfg.Routes[c.route]
	return &Job{ID: "1", Route: r, Tier: r.TierOf(nil), Pool: &c.cfg.Pools[0], Accepted: now, Deadline: now.Add(10 * time.Second), Prompt: 100, Output: c.outputs}
}

// counted returns how many requests an entry counts as its own at an endpoint.
func counted(d *Director, id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.v.endpoints[id].own.requests
}

// A place is counted twice, or by nobody, when it passes from entry to entry.
func TestOwnerCountsThePlacesItGives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCouple(t, 1)
		v, dec := c.asker.enter(t.Context(), c.job())
		if dec.Endpoint < 0 || v.id != "a" || v.basis.Owner != "owner" {
			t.Fatalf("placed at %q by %q: %v", v.id, v.basis.Owner, dec.Reason)
		}
		if counted(c.owner, "a") != 1 || counted(c.asker, "a") != 0 {
			t.Errorf("the owner counts %d, the asker %d", counted(c.owner, "a"), counted(c.asker, "a"))
		}
		if _, dec := c.asker.enter(t.Context(), c.job()); dec.Endpoint >= 0 {
			t.Error("a second request has a place at an engine of one slot")
		}
		v.progress(10)
		v.end(trust.Success)
		synctest.Wait()
		if counted(c.owner, "a") != 0 {
			t.Errorf("the owner counts %d after the end", counted(c.owner, "a"))
		}
	})
}

// A request that stands in line at its owner misses the slot that comes free.
func TestRequestWaitsAtTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCouple(t, 1)
		c.outputs = 20
		first, _ := c.asker.enter(t.Context(), c.job())
		time.AfterFunc(50*time.Millisecond, func() {
			first.progress(20)
			first.end(trust.Success)
		})
		// The lowest tier has no part in an engine's queue.
		c.route = 1
		v, dec := c.asker.enter(t.Context(), c.job())
		if dec.Endpoint < 0 {
			t.Fatalf("refused: %v", dec.Reason)
		}
		if v.basis.Stood != 50*time.Millisecond {
			t.Errorf("waited for %v", v.basis.Stood)
		}
		v.abandon()
	})
}

// A caller leaves while its request stands in line; its place goes to nobody.
func TestPlaceOfACallerThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCouple(t, 1)
		first, _ := c.asker.enter(t.Context(), c.job())
		ctx, leave := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer leave()
		if _, dec := c.asker.enter(ctx, c.job()); dec.Endpoint >= 0 {
			t.Fatal("placed")
		}
		synctest.Wait()
		first.end(trust.Success)
		synctest.Wait()
		if n := counted(c.owner, "a"); n != 0 {
			t.Errorf("the owner counts %d", n)
		}
	})
}

// An owner that is frozen holds up every request of its shards.
func TestSilentOwnerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCouple(t, 2)
		c.session.reply = func(wire.Message) error { return nil }
		began := time.Now()
		v, dec := c.asker.enter(t.Context(), c.job())
		if dec.Endpoint < 0 || v.basis.Owner != "" {
			t.Fatalf("placed by %q: %v", v.basis.Owner, dec.Reason)
		}
		if took := time.Since(began); took > answerTime+100*time.Millisecond {
			t.Errorf("the first request was held up for %v", took)
		}
		synctest.Wait()
		if counted(c.owner, "a")+counted(c.owner, "b") != 0 {
			t.Error("the owner still counts a place that was given up")
		}
		began = time.Now()
		if _, dec := c.asker.enter(t.Context(), c.job()); dec.Endpoint < 0 || time.Since(began) > 0 {
			t.Errorf("the second request was held up for %v: %v", time.Since(began), dec.Reason)
		}
	})
}

// The link to the owner breaks while requests run. Counted by nobody, their slots
// look free to all entries.
func TestPlacesOutliveTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCouple(t, 1)
		v, _ := c.asker.enter(t.Context(), c.job())
		v.progress(10)
		synctest.Wait()
		c.down.Store(true)
		c.asker.Parted("owner")
		c.session.Close()
		if counted(c.asker, "a") != 1 || counted(c.owner, "a") != 1 {
			t.Errorf("right after it the asker counts %d, the owner %d", counted(c.asker, "a"), counted(c.owner, "a"))
		}
		if told := c.asker.Tally(false).Endpoints; len(told) != 1 || told[0].Requests != 1 {
			t.Errorf("the others are told %+v", told)
		}
		time.Sleep(2 * keepFor)
		if counted(c.owner, "a") != 0 {
			t.Errorf("the owner still counts %d", counted(c.owner, "a"))
		}
		v.end(trust.Success)
		if counted(c.asker, "a") != 0 {
			t.Errorf("the asker counts %d after the end", counted(c.asker, "a"))
		}
	})
}

// The link breaks while a place is asked for.
func TestLinkBreaksBeforeTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCouple(t, 2)
		c.session.reply = func(wire.Message) error { return nil }
		time.AfterFunc(10*time.Millisecond, func() {
			c.down.Store(true)
			c.asker.Parted("owner")
		})
		began := time.Now()
		v, dec := c.asker.enter(t.Context(), c.job())
		if dec.Endpoint < 0 || v.basis.Owner != "" || time.Since(began) != 10*time.Millisecond {
			t.Errorf("placed by %q after %v: %v", v.basis.Owner, time.Since(began), dec.Reason)
		}
	})
}

// An owner with an older instance list gives a place at an endpoint that this entry
// knows to be leaving.
func TestPlaceAtALeavingEndpointIsDeclined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCouple(t, 1)
		r := route.Roster{Revision: 2, Endpoints: []route.Endpoint{
			{ID: "a", Incarnation: 1, Pool: "p", Addr: "a", Zone: "z", Slots: 1, Leaving: true},
			{ID: "b", Incarnation: 1, Pool: "p", Addr: "b", Zone: "z", Slots: 1},
		}}
		c.asker.SetRoster(r)
		v, dec := c.asker.enter(t.Context(), c.job())
		if dec.Endpoint < 0 || v.id != "b" {
			t.Errorf("placed at %q: %v", v.id, dec.Reason)
		}
		synctest.Wait()
		if counted(c.owner, "a") != 0 {
			t.Error("the owner still counts a place that was declined")
		}
		// One that only the owner knows of is used.
		r.Revision, r.Endpoints = 3, []route.Endpoint{{ID: "c", Incarnation: 1, Pool: "p", Addr: "c", Zone: "z", Slots: 1}}
		c.owner.SetRoster(r)
		if v, dec := c.asker.enter(t.Context(), c.job()); dec.Endpoint < 0 || v.id != "c" || v.addr != "c" {
			t.Errorf("placed at %q: %v", v.id, dec.Reason)
		}
	})
}

// An endpoint that declines for want of room is chosen again and again, since what
// declines at once looks least loaded.
func TestDeclineIsLearnt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCouple(t, 1)
		v, _ := c.asker.enter(t.Context(), c.job())
		v.declined(30)
		synctest.Wait()
		for _, d := range []*Director{c.asker, c.owner} {
			d.mu.Lock()
			e := d.v.endpoints["a"]
			if got := e.uncounted(time.Now()); got != 30 {
				t.Errorf("%s: %d requests that are not counted", d.cfg.Addr, got)
			}
			if got := e.uncounted(time.Now().Add(excessFor / 2)); got != 15 {
				t.Errorf("%s: %d after half of the time", d.cfg.Addr, got)
			}
			d.mu.Unlock()
		}
		if _, dec := c.asker.enter(t.Context(), c.job()); dec.Endpoint >= 0 {
			t.Error("the next request was placed at the full endpoint")
		}
	})
}

// A crashed endpoint's address belongs to another one, which turns away at once all
// that is sent for the first, as long as that is listed.
func TestEndpointThatHasMovedIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCouple(t, 2)
		v, _ := c.asker.enter(t.Context(), c.job())
		v.misplaced()
		synctest.Wait()
		for range 3 {
			next, dec := c.asker.enter(t.Context(), c.job())
			if dec.Endpoint >= 0 && next.id == v.id {
				t.Fatalf("placed at %q again", v.id)
			}
			if dec.Endpoint >= 0 {
				next.abandon()
				synctest.Wait()
			}
		}
		for _, d := range []*Director{c.asker, c.owner} {
			d.mu.Lock()
			if e := d.v.endpoints[v.id]; !e.away(time.Now()) || e.away(time.Now().Add(awayFor)) || e.own.requests != 0 {
				t.Errorf("%s: the endpoint is not away for a while: %+v", d.cfg.Addr, e)
			}
			d.mu.Unlock()
		}
	})
}

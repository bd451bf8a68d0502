package direct

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/health"
	"lycheepond/core/meter"
	"lycheepond/core/relay"
	"lycheepond/core/route"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

// entryPair is an entry that requests placements from another one, the owner of all shards.
type entryPair struct {
	requester, owner *Director
	session          *Session
	// linkDown is set while the link carries no messages.
	linkDown atomic.Bool
	cfg      route.Config
	// route is the index of the next job's route, outputTokens its expected output.
	route, outputTokens int
}

// newEntryPair returns two entries and a pool of the given number of engines with one slot
// each.
func newEntryPair(t *testing.T, engines int) *entryPair {
	t.Helper()
	p := &entryPair{outputTokens: 100}
	p.cfg = route.Config{
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
			Zone: "z", Addr: self, RetryBudget: RetryBudget{Ratio: 0.2, Slack: 50}, Client: hop.New(), Metrics: meter.New(), Log: zap.NewNop(),
			EntryCounts: func() (int, int) { return 20, 20 },
			Peers: Peers{
				Self: self, KeepLinks: func([]string) {},
				Entries: func() []relay.Entry {
					return []relay.Entry{{Name: "asker", Zone: "z", Capacity: 100}, {Name: "owner", Zone: "z", Capacity: 800}}
				},
				Send: func(_ string, m wire.Message) bool {
					if p.linkDown.Load() {
						return false
					}
					go p.session.Handle(m)
					return true
				},
			},
		})
		d.SetConfig(p.cfg)
		d.SetRoster(roster)
		return d
	}
	p.requester, p.owner = entry("asker"), entry("owner")
	p.session = p.owner.NewSession(t.Context(), "asker", "z", func(m wire.Message) error {
		if !p.linkDown.Load() {
			go p.requester.HandlePlaceReply("owner", m.(*wire.PlaceReply))
		}
		return nil
	})
	t.Cleanup(func() {
		p.session.Close()
		time.Sleep(2 * sessionGrace)
	})
	return p
}

func (p *entryPair) job() *Job {
	now := time.Now()
	r := &p.cfg.Routes[p.route]
	return &Job{ID: "1", Route: r, Tier: r.TierOf(nil), Pool: &p.cfg.Pools[0], AcceptedAt: now, Deadline: now.Add(10 * time.Second), PromptTokens: 100, OutputTokens: p.outputTokens}
}

// ownRequests returns how many requests an entry counts as its own at an endpoint.
func ownRequests(d *Director, id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.endpoints[id].ownWork.requests
}

// Guards against a request that is counted twice, or by no entry, when another entry places
// it.
func TestOwnerCountsGrantedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEntryPair(t, 1)
		a, dec := p.requester.admitJob(t.Context(), p.job())
		if dec.Endpoint < 0 || a.id != "a" || a.placement.Owner != "owner" {
			t.Fatalf("placed at %q by %q: %v", a.id, a.placement.Owner, dec.Reason)
		}
		if ownRequests(p.owner, "a") != 1 || ownRequests(p.requester, "a") != 0 {
			t.Errorf("the owner counts %d requests, the requester %d", ownRequests(p.owner, "a"), ownRequests(p.requester, "a"))
		}
		if _, dec := p.requester.admitJob(t.Context(), p.job()); dec.Endpoint >= 0 {
			t.Error("a second request was placed at an engine with one slot")
		}
		a.recordProgress(10)
		a.finish(health.Success)
		synctest.Wait()
		if ownRequests(p.owner, "a") != 0 {
			t.Errorf("the owner counts %d requests after the end", ownRequests(p.owner, "a"))
		}
	})
}

// Guards against a request that is queued at its owner and misses the slot that becomes free.
func TestRequestQueuesAtOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEntryPair(t, 1)
		p.outputTokens = 20
		first, _ := p.requester.admitJob(t.Context(), p.job())
		time.AfterFunc(50*time.Millisecond, func() {
			first.recordProgress(20)
			first.finish(health.Success)
		})
		// The lowest tier has no share of an engine's queue.
		p.route = 1
		a, dec := p.requester.admitJob(t.Context(), p.job())
		if dec.Endpoint < 0 {
			t.Fatalf("refused: %v", dec.Reason)
		}
		if a.placement.QueuedFor != 50*time.Millisecond {
			t.Errorf("waited for %v", a.placement.QueuedFor)
		}
		a.abandon()
	})
}

// A caller leaves while its request is queued. The placement granted to it must not stay
// counted.
func TestGrantOfDepartedCallerIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEntryPair(t, 1)
		first, _ := p.requester.admitJob(t.Context(), p.job())
		ctx, leave := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer leave()
		if _, dec := p.requester.admitJob(ctx, p.job()); dec.Endpoint >= 0 {
			t.Fatal("placed")
		}
		synctest.Wait()
		first.finish(health.Success)
		synctest.Wait()
		if n := ownRequests(p.owner, "a"); n != 0 {
			t.Errorf("the owner counts %d requests", n)
		}
	})
}

// A frozen owner must not hold up the requests of its shards.
func TestSilentOwnerIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEntryPair(t, 2)
		p.session.reply = func(wire.Message) error { return nil }
		start := time.Now()
		a, dec := p.requester.admitJob(t.Context(), p.job())
		if dec.Endpoint < 0 || a.placement.Owner != "" {
			t.Fatalf("placed by %q: %v", a.placement.Owner, dec.Reason)
		}
		if took := time.Since(start); took > ownerAnswerTimeout+100*time.Millisecond {
			t.Errorf("the first request was held up for %v", took)
		}
		synctest.Wait()
		if ownRequests(p.owner, "a")+ownRequests(p.owner, "b") != 0 {
			t.Error("the owner still counts a placement that was given up")
		}
		start = time.Now()
		if _, dec := p.requester.admitJob(t.Context(), p.job()); dec.Endpoint < 0 || time.Since(start) > 0 {
			t.Errorf("the second request was held up for %v: %v", time.Since(start), dec.Reason)
		}
	})
}

// The link to the owner breaks while requests run. If no entry counted them, their slots would
// look free to all entries.
func TestRequestsCountedAfterLinkLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEntryPair(t, 1)
		a, _ := p.requester.admitJob(t.Context(), p.job())
		a.recordProgress(10)
		synctest.Wait()
		p.linkDown.Store(true)
		p.requester.HandleLinkLost("owner")
		p.session.Close()
		if ownRequests(p.requester, "a") != 1 || ownRequests(p.owner, "a") != 1 {
			t.Errorf("right after the link loss the requester counts %d requests, the owner %d", ownRequests(p.requester, "a"), ownRequests(p.owner, "a"))
		}
		if reported := p.requester.Tally(false).Endpoints; len(reported) != 1 || reported[0].Requests != 1 {
			t.Errorf("reported to the peers: %+v", reported)
		}
		time.Sleep(2 * sessionGrace)
		if ownRequests(p.owner, "a") != 0 {
			t.Errorf("the owner still counts %d requests", ownRequests(p.owner, "a"))
		}
		a.finish(health.Success)
		if ownRequests(p.requester, "a") != 0 {
			t.Errorf("the requester counts %d requests after the end", ownRequests(p.requester, "a"))
		}
	})
}

// The link to the owner breaks while a placement request is pending. The requester must place
// the request itself at once.
func TestLinkLostDuringPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEntryPair(t, 2)
		p.session.reply = func(wire.Message) error { return nil }
		time.AfterFunc(10*time.Millisecond, func() {
			p.linkDown.Store(true)
			p.requester.HandleLinkLost("owner")
		})
		start := time.Now()
		a, dec := p.requester.admitJob(t.Context(), p.job())
		if dec.Endpoint < 0 || a.placement.Owner != "" || time.Since(start) != 10*time.Millisecond {
			t.Errorf("placed by %q after %v: %v", a.placement.Owner, time.Since(start), dec.Reason)
		}
	})
}

// An owner with an older instance list grants a placement at an endpoint that the requester
// knows to be leaving. The request must be placed elsewhere, and the owner must stop counting
// it.
func TestGrantAtLeavingEndpointIsDeclined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEntryPair(t, 1)
		r := route.Roster{Revision: 2, Endpoints: []route.Endpoint{
			{ID: "a", Incarnation: 1, Pool: "p", Addr: "a", Zone: "z", Slots: 1, Leaving: true},
			{ID: "b", Incarnation: 1, Pool: "p", Addr: "b", Zone: "z", Slots: 1},
		}}
		p.requester.SetRoster(r)
		a, dec := p.requester.admitJob(t.Context(), p.job())
		if dec.Endpoint < 0 || a.id != "b" {
			t.Errorf("placed at %q: %v", a.id, dec.Reason)
		}
		synctest.Wait()
		if ownRequests(p.owner, "a") != 0 {
			t.Error("the owner still counts a placement that was declined")
		}
		// An endpoint that only the owner knows is used.
		r.Revision, r.Endpoints = 3, []route.Endpoint{{ID: "c", Incarnation: 1, Pool: "p", Addr: "c", Zone: "z", Slots: 1}}
		p.owner.SetRoster(r)
		if a, dec := p.requester.admitJob(t.Context(), p.job()); dec.Endpoint < 0 || a.id != "c" || a.sentAddr != "c" {
			t.Errorf("placed at %q: %v", a.id, dec.Reason)
		}
	})
}

// A full endpoint declines at once and so looks least loaded. Guards against choosing it again
// and again.
func TestDeclineRaisesLoadEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEntryPair(t, 1)
		a, _ := p.requester.admitJob(t.Context(), p.job())
		a.handleDecline(30)
		synctest.Wait()
		for _, d := range []*Director{p.requester, p.owner} {
			d.mu.Lock()
			e := d.view.endpoints["a"]
			if got := e.uncountedRequests(time.Now()); got != 30 {
				t.Errorf("%s: %d uncounted requests", d.cfg.Addr, got)
			}
			if got := e.uncountedRequests(time.Now().Add(declineDecay / 2)); got != 15 {
				t.Errorf("%s: %d uncounted requests after half of the time", d.cfg.Addr, got)
			}
			d.mu.Unlock()
		}
		if _, dec := p.requester.admitJob(t.Context(), p.job()); dec.Endpoint >= 0 {
			t.Error("the next request was placed at the full endpoint")
		}
	})
}

// The address of a crashed endpoint belongs to another one, which declines at once everything
// that is sent to the crashed one. While the crashed one is still listed, it must be skipped.
func TestMovedEndpointIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEntryPair(t, 2)
		a, _ := p.requester.admitJob(t.Context(), p.job())
		a.handleMoved()
		synctest.Wait()
		for range 3 {
			next, dec := p.requester.admitJob(t.Context(), p.job())
			if dec.Endpoint >= 0 && next.id == a.id {
				t.Fatalf("placed at %q again", a.id)
			}
			if dec.Endpoint >= 0 {
				next.abandon()
				synctest.Wait()
			}
		}
		for _, d := range []*Director{p.requester, p.owner} {
			d.mu.Lock()
			if e := d.view.endpoints[a.id]; !e.hasMoved(time.Now()) || e.hasMoved(time.Now().Add(movedTimeout)) || e.ownWork.requests != 0 {
				t.Errorf("%s: the endpoint is not skipped for a while: %+v", d.cfg.Addr, e)
			}
			d.mu.Unlock()
		}
	})
}

// Guards against what an endpoint states before the instance list has it and what is forgotten when
// the list comes, because it was kept under an ID that does not say which start stated it.
func TestStatementBeforeListingHolds(t *testing.T) {
	for _, tt := range []struct {
		name string
		meta Meta
		// holds reports whether a statement of the endpoint is known.
		holds func(v *view, e *endpoint, now time.Duration) bool
	}{
		{"rest", Meta{NotRun: true, HasRest: true, Rest: time.Minute}, func(v *view, e *endpoint, now time.Duration) bool { return v.rests.Left(now, e.startID()) > 0 }},
		{"rate limit", Meta{NotRun: true, HasRateLimit: true, RateLimit: 0.5}, func(v *view, e *endpoint, _ time.Duration) bool {
			rate, ok := v.limits.Rate(e.startID())
			return ok && rate == 0.5
		}},
		{"leaving", Meta{NotRun: true, Leaving: true}, func(_ *view, e *endpoint, _ time.Duration) bool { return e.Leaving }},
	} {
		for _, listedFirst := range []bool{false, true} {
			test := func(t *testing.T) {
				p := newEntryPair(t, 1)
				p.requester.cfg.ReadMeta = func(*hop.Answer) Meta { return tt.meta }
				before := p.requester.Roster()
				after := func(revision, incarnation int64) route.Roster {
					return route.Roster{Revision: revision, Endpoints: []route.Endpoint{{ID: "new", Incarnation: incarnation, Pool: "p", Addr: "new", Zone: "z", Slots: 1}}}
				}
				p.owner.SetRoster(after(3, 1700))
				a, dec := p.requester.admitJob(t.Context(), p.job())
				if dec.Endpoint < 0 || a.id != "new" {
					t.Fatalf("placed at %q: %v", a.id, dec.Reason)
				}
				if listedFirst {
					p.requester.SetRoster(after(3, 1700))
				}
				p.requester.observeHead(a, new(hop.Answer))
				a.recordHead(tt.meta)
				a.handleDecline(0)
				before.Revision++
				p.requester.SetRoster(before)
				p.requester.SetRoster(after(3, 1700))
				v := p.requester.view
				if !tt.holds(v, v.endpoints["new"], p.requester.sinceStart(time.Now())) {
					t.Error("forgotten")
				}
				tally := new(wire.Tally)
				p.requester.AddReports(tally, false)
				p.owner.HandleTally("asker", true, tally)
				time.Sleep(declineDecay)
				if next, dec := p.requester.admitJob(t.Context(), p.job()); dec.Endpoint >= 0 && next.id == "new" {
					t.Error("the next request was placed there")
				}
				// A later start has stated nothing.
				p.requester.SetRoster(after(4, 1701))
				if tt.holds(v, v.endpoints["new"], p.requester.sinceStart(time.Now())) {
					t.Error("holds for the next start")
				}
				time.Sleep(unlistedLimitTTL)
				p.requester.SetRoster(after(5, 1701))
				if !v.limits.Empty() {
					t.Error("the limit of a start that has ended is kept")
				}
			}
			t.Run(fmt.Sprintf("%s, listed first %v", tt.name, listedFirst), func(t *testing.T) { synctest.Test(t, test) })
		}
	}
}

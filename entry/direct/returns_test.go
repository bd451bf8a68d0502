package direct

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/admit"
	"lycheepond/core/health"
	"lycheepond/core/meter"
	"lycheepond/core/relay"
	"lycheepond/core/resv"
	"lycheepond/core/route"
	"lycheepond/core/shard"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

// crowdFleet returns a fleet to which twice as many requests come as it has room for, for 5 s,
// and then half as many.
func crowdFleet(entries, engines int) fleet {
	const slots = 9
	// The kinds hold a slot for about 1.5, 1.2 and 0.9 s.
	rate := float64(engines*slots) / meanHold.Seconds() / 2 / 3
	return fleet{
		workload: workload{
			entries: entries, engines: engines, slots: slots, duration: 16 * time.Second, seed: 11, burst: 4, burstAt: time.Second, burstFor: 5 * time.Second,
			kinds:   []requestKind{{0, rate, 3000, 360}, {1, rate, 2000, 290}, {2, rate, 1000, 215}},
			limits:  [][2]time.Duration{{time.Second, 15 * time.Second}, {time.Second / 2, 12 * time.Second}, {time.Second / 2, 12 * time.Second}},
			silence: 4 * time.Second, retriesRefused: true,
		},
		usesOwners: true, overload: Overload{PlanReturns: true, MinOwnedEntries: 2},
	}
}

// meanHold is the mean time for which the requests of crowdFleet hold a slot.
const meanHold = 1200 * time.Millisecond

// Guards against refused callers that return into the crowd that caused their refusal, and against
// returns that take the place of requests in time. No rig of this package has a store.
func TestReturnsAfterCrowd(t *testing.T) {
	for _, tt := range []struct{ entries, engines int }{{5, 8}, {34, 40}} {
		// replay returns how many are in time, served, and in time of the highest tier.
		replay := func(plans bool) (n [3]int) {
			f := crowdFleet(tt.entries, tt.engines)
			f.overload.PlanReturns = plans
			for _, r := range f.replay(t).requests {
				for i, counts := range []bool{r.metTarget, !r.refused, r.metTarget && r.tier == 0} {
					if counts {
						n[i]++
					}
				}
			}
			return n
		}
		without, with := replay(false), replay(true)
		// A plan that knows the crowd serves late work in the half of the room that is left
		// from the end of the crowd until the last caller has returned.
		ideal := with[0] + int(float64(tt.engines*9)/meanHold.Seconds()/2*5)
		t.Logf("%d entries: %v, without plans %v; a plan that knows the crowd serves %d", tt.entries, with, without, ideal)
		if with[1]*10 < ideal*9 {
			t.Errorf("%d entries: %d served, a plan that knows the crowd serves %d", tt.entries, with[1], ideal)
		}
		if with[0]*100 < without[0]*98 || with[2]*100 < without[2]*98 {
			t.Errorf("%d entries: %d in time, %d of the highest tier; without plans %d and %d", tt.entries, with[0], with[2], without[0], without[2])
		}
	}
}

// Guards against callers that return when told to and are refused again.
func TestReturnsAreServed(t *testing.T) {
	for _, tt := range []struct{ entries, engines int }{{5, 8}, {34, 40}} {
		returned, refused := 0, 0
		for _, r := range crowdFleet(tt.entries, tt.engines).replay(t).requests {
			if r.plan == resv.Later {
				returned++
				if r.refused {
					refused++
				}
			}
		}
		t.Logf("%d entries: %d of %d are refused again", tt.entries, refused, returned)
		if refused*100 > returned*5 {
			t.Errorf("%d entries: %d of %d that returned when told are refused again", tt.entries, refused, returned)
		}
	}
}

// returnRig is three entries, one of which owns the only shard, in front of engines with one slot.
type returnRig struct {
	*testing.T
	network
	cfg route.Config
	// owner owns the shard, asker and other are the other entries; lost holds those that have
	// ended.
	owner, asker, other string
	lostMu              sync.Mutex
	lost                map[string]bool
	// running holds the attempts at the engines.
	running []*attempt
}

// replayReturns runs f with a rig whose engines are all busy and whose callers of the low route
// are told to return later.
func replayReturns(t *testing.T, engines int, f func(r *returnRig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		r := &returnRig{T: t, lost: make(map[string]bool)}
		r.network = network{ctx: ctx, directors: make(map[string]*Director), zones: make(map[string]string), connections: make(map[[2]string]*connection), isLost: r.isCutOff}
		r.cfg = route.Config{Revision: 1, Pools: []route.Pool{{Name: "p", Engine: true, Slots: 1}}, Routes: []route.Route{
			{Name: "low", Tier: 1, Target: time.Second / 2, Timeout: 12 * time.Second, MaxSilence: 4 * time.Second, Shares: []route.Share{{Pool: "p", Weight: 1}}},
		}}
		var running sync.WaitGroup
		for _, self := range []string{"x", "y", "z"} {
			send := func(to string, m wire.Message) bool {
				return !r.isCutOff(self) && !r.isCutOff(to) && r.send(self, to, m)
			}
			d := New(Config{
				Addr: self, RetryBudget: RetryBudget{Ratio: 0.2, Slack: 50}, Client: hop.New(), Metrics: meter.New(), Log: zap.NewNop(), Overload: Overload{PlanReturns: true, MinOwnedEntries: 2},
				EntryCounts: func() (int, int) { return 3, 3 },
				Peers:       Peers{Self: self, Entries: r.reachable, KeepLinks: func([]string) {}, Send: send, SendBookings: send},
			})
			d.SetConfig(r.cfg)
			r.directors[self] = d
			running.Go(func() { d.Run(ctx) })
		}
		r.setEngines(1, engines)
		r.elect()
		for range engines {
			a, dec := r.directors[r.owner].admitJob(ctx, r.job(1))
			if dec.Endpoint < 0 {
				t.Fatalf("no room for the first requests: %v", dec.Reason)
			}
			r.running = append(r.running, a)
		}
		f(r)
		stop()
		running.Wait()
	})
}

func (r *returnRig) isCutOff(name string) bool {
	r.lostMu.Lock()
	defer r.lostMu.Unlock()
	return r.lost[name]
}

func (r *returnRig) reachable() []relay.Entry {
	var out []relay.Entry
	for _, e := range []string{"x", "y", "z"} {
		if !r.isCutOff(e) {
			out = append(out, relay.Entry{Name: e, Capacity: 800})
		}
	}
	return out
}

// setEngines leaves the first n engines in the instance list.
func (r *returnRig) setEngines(revision int64, n int) {
	roster := route.Roster{Revision: revision}
	for i := range n {
		roster.Endpoints = append(roster.Endpoints, route.Endpoint{ID: name(i), Incarnation: 1, Pool: "p", Addr: name(i), Slots: 1})
	}
	for _, d := range r.directors {
		d.SetRoster(roster)
	}
}

// elect names the entries by their parts and has the owner take the low route for crowded.
func (r *returnRig) elect() {
	r.owner = shard.Owner("p", shard.Key{}, r.reachable())
	for _, e := range r.reachable() {
		if e.Name != r.owner {
			r.asker, r.other = e.Name, r.asker
		}
	}
	d := r.directors[r.owner]
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.view.pool("p", d.cfg.RetryBudget, 3)
	for range 100 {
		p.floor.Record(queueClass(r.job(0)), 0, false, false)
	}
}

// cutOff takes an entry off the network.
func (r *returnRig) cutOff(name string) {
	r.lostMu.Lock()
	defer r.lostMu.Unlock()
	r.lost[name] = true
}

// lose ends an entry.
func (r *returnRig) lose(name string) {
	r.cutOff(name)
	for _, d := range r.directors {
		d.HandleLinkLost(name)
	}
}

func (r *returnRig) job(key uint64) *Job {
	now := time.Now()
	return &Job{ID: "1", Route: &r.cfg.Routes[0], Tier: r.cfg.Routes[0].TierOf(nil), Pool: &r.cfg.Pools[0], AcceptedAt: now, Deadline: now.Add(12 * time.Second), PromptTokens: 100, OutputTokens: 20, returnKey: key}
}

// returned returns the job of a caller that has been refused and returns now.
func (r *returnRig) returned(j *Job) *Job {
	again := r.job(j.returnKey)
	again.Deadline = j.Deadline
	return again
}

// refuse sends a job that is refused, and checks what its caller is told.
func (r *returnRig) refuse(entry string, j *Job, plan resv.Plan, atLeast, atMost time.Duration) (*attempt, admit.Decision) {
	r.Helper()
	a, dec := r.directors[entry].admitJob(r.ctx, j)
	if dec.Endpoint >= 0 || a.placement.Plan != plan || dec.RetryAfter < atLeast || dec.RetryAfter > atMost {
		r.Errorf("endpoint %d, plan %q in %v, want a refusal with plan %q in %v to %v", dec.Endpoint, a.placement.Plan, dec.RetryAfter, plan, atLeast, atMost)
	}
	return a, dec
}

// refuseLater sends a job that is told to return later, and sleeps until then.
func (r *returnRig) refuseLater(entry string) *Job {
	r.Helper()
	j := r.job(7)
	_, dec := r.refuse(entry, j, resv.Later, 3*time.Second, 4*time.Second)
	time.Sleep(dec.RetryAfter)
	return r.returned(j)
}

// finishAll frees the slots.
func (r *returnRig) finishAll() {
	for _, a := range r.running {
		a.finish(health.Success)
	}
}

// finishAfter frees the slots after a time, which is positive.
func (r *returnRig) finishAfter(d time.Duration) { time.AfterFunc(d, r.finishAll) }

func (r *returnRig) count(entry, counter string) int64 {
	return r.directors[entry].cfg.Metrics.Counter(counter, meter.Label{Key: "pool", Value: "p"}).Count()
}

// The entry that told a caller to return ends. Guards against a promise that only this entry
// knows: the caller must be recognised at another one and be held until there is room.
func TestReturnAfterEntryHasEnded(t *testing.T) {
	replayReturns(t, 1, func(r *returnRig) {
		j := r.refuseLater(r.asker)
		r.lose(r.asker)
		r.finishAfter(600 * time.Millisecond)
		a, dec := r.directors[r.other].admitJob(r.ctx, j)
		if p := a.placement; dec.Endpoint < 0 || p.Returned < 4*time.Second || p.Held < 590*time.Millisecond || p.Held > 610*time.Millisecond || p.Owner != r.owner {
			t.Errorf("%v: %+v", dec.Reason, p)
		}
		if n := r.count(r.owner, "returns_served"); n != 1 {
			t.Errorf("%d returns are counted as served", n)
		}
	})
}

// The owner and a quarter of the endpoints end. Guards against promises that end with the owner:
// the entries must tell the new owner, so that it recognises the callers, each of them once, and no requests
// of equal content.
func TestReturnAfterOwnerHasEnded(t *testing.T) {
	replayReturns(t, 4, func(r *returnRig) {
		const callers = 40
		entries := []string{r.asker, r.other}
		var jobs []*Job
		for i := range callers {
			jobs = append(jobs, r.job(uint64(i+1)))
			r.refuse(entries[i%2], jobs[i], resv.Later, 3*time.Second, 4*time.Second)
		}
		r.lose(r.owner)
		r.elect()
		time.Sleep(500 * time.Millisecond)
		var running []*attempt
		for i := range uint64(4) {
			if a, dec := r.directors[r.owner].admitJob(r.ctx, r.job(100+i)); dec.Endpoint >= 0 {
				running = append(running, a)
			}
		}
		for key := range uint64(2) {
			equal := r.job(key + 1)
			if a, _ := r.refuse(r.asker, equal, resv.Later, 3*time.Second, 4*time.Second); a.placement.Returned != 0 {
				t.Errorf("a request of equal content counts as a return after %v", a.placement.Returned)
			}
		}
		for _, a := range running {
			a.finish(health.Success)
		}
		r.setEngines(2, 3)
		recognised := 0
		for i, j := range jobs {
			time.Sleep(time.Until(j.AcceptedAt.Add(4050 * time.Millisecond)))
			a, dec := r.directors[entries[(i/2)%2]].admitJob(r.ctx, r.returned(j))
			if a.placement.Returned >= 4*time.Second {
				recognised++
			}
			if dec.Endpoint >= 0 {
				a.finish(health.Success)
			}
		}
		if recognised < callers*95/100 || r.count(r.owner, "returns_recognised") != int64(recognised) {
			t.Errorf("%d of %d callers are recognised, %d at the new owner", recognised, callers, r.count(r.owner, "returns_recognised"))
		}
	})
}

// The owner and the entry that told a caller to return end together. Guards against a caller that
// is worse off than a newcomer.
func TestReturnAfterOwnerAndEntryHaveEnded(t *testing.T) {
	replayReturns(t, 1, func(r *returnRig) {
		j := r.refuseLater(r.asker)
		r.lose(r.asker)
		r.lose(r.owner)
		if a, dec := r.directors[r.other].admitJob(r.ctx, j); dec.Endpoint < 0 || a.placement.Returned != 0 {
			t.Errorf("%v: %+v", dec.Reason, a.placement)
		}
	})
}

// The owner hangs while it holds a request. Guards against a caller that waits until its deadline:
// the entry must place the request itself 60 ms after the stated time.
func TestOwnerHangsWhileHolding(t *testing.T) {
	replayReturns(t, 1, func(r *returnRig) {
		j := r.refuseLater(r.asker)
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { r.cutOff(r.owner) })
		a, dec := r.directors[r.asker].admitJob(r.ctx, j)
		if took := time.Since(start); dec.Endpoint < 0 || a.placement.Owner != "" || took < time.Second || took > 1100*time.Millisecond {
			t.Errorf("decided after %v: %v %+v", took, dec.Reason, a.placement)
		}
	})
}

// Guards against bookings of callers that never return, which would keep room from others.
func TestCallerNeverReturns(t *testing.T) {
	replayReturns(t, 1, func(r *returnRig) {
		r.refuseLater(r.asker)
		time.Sleep(resv.Grace + 500*time.Millisecond)
		synctest.Wait()
		if n, copies := r.count(r.owner, "returns_expired"), len(r.directors[r.asker].ownBookings); n != 1 || copies != 0 {
			t.Errorf("%d bookings have ended at the owner, %d are left at the entry", n, copies)
		}
	})
}

// Guards against a booking whose copy is lost when a request of equal content is decided, and
// against one that takes room twice after a link was lost for a moment.
func TestCopyIsKeptUntilItsCallerReturns(t *testing.T) {
	replayReturns(t, 1, func(r *returnRig) {
		d, j, equal := r.directors[r.asker], r.job(7), r.job(7)
		equal.Deadline = equal.Deadline.Add(-2 * time.Second)
		_, dec := r.refuse(r.asker, j, resv.Later, 3*time.Second, 4*time.Second)
		r.refuse(r.asker, equal, resv.Later, 3*time.Second, 4*time.Second)
		r.finishAll()
		synctest.Wait()
		d.admitJob(r.ctx, r.returned(equal))
		d.HandleLinkLost(r.owner)
		time.Sleep(dec.RetryAfter - 50*time.Millisecond)
		check := func(want int) {
			t.Helper()
			owner := r.directors[r.owner]
			for _, d := range []*Director{d, owner} {
				d.mu.Lock()
				defer d.mu.Unlock()
			}
			if copies, booked := d.ownBookingCount, owner.view.pools["p"].shards[shard.Key{}].late.book.Len(); copies != want || booked != want {
				t.Errorf("%d copies, %d bookings, want %d", copies, booked, want)
			}
		}
		check(1)
		if a, _ := d.admitJob(r.ctx, r.returned(j)); a.placement.Returned == 0 {
			t.Errorf("not recognised: %+v", a.placement)
		}
		check(0)
	})
}

// Guards against more promises to requests of equal content than are counted against the room.
func TestUnbookedCallerGetsNoPlan(t *testing.T) {
	replayReturns(t, 1, func(r *returnRig) {
		for i := range 9 {
			plan, atLeast, j := resv.Later, 2*time.Second, r.job(7)
			j.Deadline = j.Deadline.Add(-time.Duration(i) * 300 * time.Millisecond)
			if i == 8 {
				plan, atLeast = resv.Unplanned, 0
			}
			r.refuse(r.asker, j, plan, atLeast, 4*time.Second)
		}
	})
}

// All endpoints but one are lost after promises were made. Guards against callers that wait in a
// queue which cannot be served, or are told to return once more.
func TestEndpointsAreLostAfterPromises(t *testing.T) {
	replayReturns(t, 2, func(r *returnRig) {
		// At the last known rate, 8 slots become free in 250 ms. So many may be ahead of a request
		// that waits before it is known how much late work is placed.
		const waiting = 9
		var jobs []*Job
		for i := range waiting + 1 {
			jobs = append(jobs, r.job(uint64(i+7)))
			r.refuse(r.asker, jobs[i], resv.Later, 3*time.Second, 4*time.Second)
		}
		r.setEngines(2, 1)
		time.Sleep(4 * time.Second)
		start, decided := time.Now(), make(chan admit.Decision, waiting)
		for _, j := range jobs[:waiting] {
			go func() {
				_, dec := r.directors[r.asker].admitJob(r.ctx, r.returned(j))
				decided <- dec
			}()
			time.Sleep(5 * time.Millisecond)
		}
		last := time.Now()
		a, _ := r.refuse(r.other, r.returned(jobs[waiting]), resv.None, 0, time.Second)
		if a.placement.Returned < 3*time.Second || time.Since(last) > 2*oneWay {
			t.Errorf("refused after %v: %+v", time.Since(last), a.placement)
		}
		r.finishAfter(100 * time.Millisecond)
		placed := 0
		for range waiting {
			if dec := <-decided; dec.Endpoint >= 0 {
				placed++
			}
		}
		if took := time.Since(start); placed != 1 || took > 1100*time.Millisecond {
			t.Errorf("%d placed within %v, want one", placed, took)
		}
	})
}

// Guards against callers that gain or lose by returning before they are told to, and against
// requests that are refused as early returns while slots are free.
func TestEarlyReturnKeepsBooking(t *testing.T) {
	for _, hasRoom := range []bool{false, true} {
		replayReturns(t, 1, func(r *returnRig) {
			j := r.job(7)
			_, dec := r.refuse(r.asker, j, resv.Later, 3*time.Second, 4*time.Second)
			time.Sleep(time.Second)
			start := time.Now()
			r.refuse(r.other, r.returned(j), resv.Later, dec.RetryAfter-1010*time.Millisecond, dec.RetryAfter-990*time.Millisecond)
			if took := time.Since(start); took > 2*oneWay {
				t.Errorf("refused after %v", took)
			}
			r.finishAll()
			synctest.Wait()
			if hasRoom {
				if a, dec := r.directors[r.other].admitJob(r.ctx, r.returned(j)); dec.Endpoint < 0 || time.Since(start) > 4*oneWay {
					t.Errorf("%v after %v", dec.Reason, time.Since(start))
				} else {
					a.finish(health.Success)
				}
			}
			time.Sleep(dec.RetryAfter - time.Second)
			if a, dec := r.directors[r.asker].admitJob(r.ctx, r.returned(j)); dec.Endpoint < 0 || hasRoom == (a.placement.Returned >= 4*time.Second) {
				t.Errorf("placed before %v: %v: %+v", hasRoom, dec.Reason, a.placement)
			}
		})
	}
}

// Guards against a return that waits although no endpoint can finish its answer by the deadline.
func TestReturnTooLongIsRefusedAtOnce(t *testing.T) {
	replayReturns(t, 1, func(r *returnRig) {
		j := r.refuseLater(r.asker)
		r.finishAll()
		synctest.Wait()
		d := r.directors[r.owner]
		// The endpoint has a free slot, but prompts of other entries to process.
		d.mu.Lock()
		d.view.endpoints["a"].peerWork.promptTokens = 1_000_000
		d.mu.Unlock()
		start := time.Now()
		if a, _ := r.refuse(r.asker, j, resv.None, 0, time.Minute); time.Since(start) > 2*oneWay {
			t.Errorf("refused after %v: %+v", time.Since(start), a.placement)
		}
	})
}

// Guards against late work that takes the slot of a request which can meet its target.
func TestRequestInTimeGoesBeforeLateWork(t *testing.T) {
	replayReturns(t, 1, func(r *returnRig) {
		late := r.refuseLater(r.asker)
		order := make(chan string, 2)
		place := func(who string, j *Job) {
			if a, dec := r.directors[r.asker].admitJob(r.ctx, j); dec.Endpoint >= 0 {
				order <- who
				time.AfterFunc(100*time.Millisecond, func() { a.finish(health.Success) })
			}
		}
		go place("late", late)
		time.Sleep(10 * time.Millisecond)
		go place("in time", r.job(8))
		r.finishAfter(30 * time.Millisecond)
		if first, second := <-order, <-order; first != "in time" || second != "late" {
			t.Errorf("placed %s, then %s", first, second)
		}
	})
}

// Guards against entries of older versions, or without the setting, that get a message or a plan
// which they cannot read.
func TestEntryWithoutPlansIsTreatedAsBefore(t *testing.T) {
	replayReturns(t, 1, func(r *returnRig) {
		r.directors[r.asker].cfg.Overload.PlanReturns = false
		for range 2 {
			r.refuse(r.asker, r.job(7), resv.Unplanned, 100*time.Millisecond, time.Second)
		}
		if n := r.count(r.owner, "returns_booked") + r.count(r.owner, "returns_early"); n != 0 {
			t.Errorf("%d requests of an entry without plans were booked", n)
		}
	})
}

// Guards against requests that wait at their full home shard, or are refused there, while another
// shard has free slots.
func TestShardWithRoomIsAskedBeforeHome(t *testing.T) {
	replayReturns(t, 1, func(r *returnRig) {
		r.setEngines(2, 200)
		d, j := r.directors[r.asker], r.job(7)
		d.mu.Lock()
		p, free := d.view.pool("p", d.cfg.RetryBudget, 3), ""
		for k, s := range p.shards {
			if k != p.homeShard(7) {
				free = s.endpoints[0].ID
			}
		}
		d.mu.Unlock()
		for _, d := range r.directors {
			d.mu.Lock()
			for id, e := range d.view.endpoints {
				if id != free {
					e.peerWork.requests = 8
				}
			}
			d.mu.Unlock()
		}
		start := time.Now()
		if a, dec := d.admitJob(r.ctx, j); dec.Endpoint < 0 || a.id != free || time.Since(start) > 2*oneWay {
			t.Errorf("%v after %v: %+v", dec.Reason, time.Since(start), a.placement)
		}
		r.refuse(r.asker, r.job(7), resv.Later, 3*time.Second, 4*time.Second)
	})
}

// Guards against a caller that is told to return before its deadline although there is no room
// until then.
func TestCallerWithoutRoomIsToldATimePastItsDeadline(t *testing.T) {
	replayReturns(t, 1, func(r *returnRig) {
		d := r.directors[r.owner]
		d.mu.Lock()
		book := &d.view.pools["p"].shards[shard.Key{}].late.book
		for i := range uint64(1000) {
			book.Add(resv.Booking{Fingerprint: 100 + i, DueAt: 4 * time.Second, Plan: resv.Later})
		}
		d.mu.Unlock()
		j := r.job(0)
		j.Method, j.Header = "GET", make(http.Header)
		if res := d.Serve(r.ctx, j, Sink{}); res.Outcome != Refused || res.Placement.Plan != resv.None || !res.RefusedUntilRetry || res.RetryAfter < time.Until(j.Deadline) {
			t.Errorf("%+v", res)
		}
	})
}

package direct

import (
	"testing"
	"time"

	"lycheepond/core/admit"
	"lycheepond/core/canary"
	"lycheepond/core/quota"
	"lycheepond/core/route"
	"lycheepond/core/trust"
	"lycheepond/core/wire"
)

func listed(ids ...string) route.Roster {
	r := route.Roster{Revision: 1}
	for _, id := range ids {
		r.Endpoints = append(r.Endpoints, route.Endpoint{ID: id, Incarnation: 1, Pool: "p", Addr: id + ":1", Slots: 4})
	}
	return r
}

// view returns a view of one pool with endpoints.
func newPoolView(ids ...string) (*view, *pool) {
	v := newView("z", canary.Limit{})
	v.setRoster(listed(ids...), 0)
	return v, v.pool("p", Repeats{Ratio: 0.2, Slack: 40}, 5)
}

func (v *view) decide(p *pool) admit.Decision {
	es := v.describe(p, &route.Pool{Engine: true}, time.Unix(100, 0), time.Second)
	return admit.Decide(admit.Request{PromptTokens: 100, OutputTokens: 100, Target: time.Second, UntilTarget: time.Second, UntilDeadline: 10 * time.Second, AvoidEndpoint: -1}, es)
}

// Two entries place requests at the same time. If each saw its own only, both
// would fill the same endpoint while the other stands empty.
func TestPeersWorkCountsInPlacement(t *testing.T) {
	v, p := newPoolView("a", "b")
	v.heard("peer", true, &wire.Tally{Endpoints: []wire.EndpointLoad{{Endpoint: "a", Requests: 6, PromptTokens: 20000, OutputTokens: 3000}}})
	if d := v.decide(p); p.endpoints[d.Endpoint].ID != "b" {
		t.Errorf("sent to the endpoint that a peer has filled")
	}
	v.heard("peer", false, &wire.Tally{Endpoints: []wire.EndpointLoad{{Endpoint: "a"}, {Endpoint: "b", Requests: 6, PromptTokens: 20000, OutputTokens: 3000}}})
	if d := v.decide(p); p.endpoints[d.Endpoint].ID != "a" {
		t.Errorf("sent to the endpoint that a peer has filled since")
	}
}

// A peer dies with requests in flight. Its endpoints have dropped them, and must
// not be taken for full for ever.
func TestLostPeersWorkNoLongerCounts(t *testing.T) {
	v, p := newPoolView("a")
	v.heard("peer", true, &wire.Tally{Endpoints: []wire.EndpointLoad{{Endpoint: "a", Requests: 40, PromptTokens: 90000, OutputTokens: 9000}}})
	if d := v.decide(p); d.Reason != admit.Full {
		t.Fatalf("%+v", d)
	}
	v.lost("peer")
	if d := v.decide(p); d.Endpoint != 0 {
		t.Errorf("%+v", d)
	}
}

// An endpoint starts again under the ID that it had. What was held against it,
// and what ran there, is of the time before.
func TestEndpointBornAgainStartsAnew(t *testing.T) {
	v, p := newPoolView("a", "b")
	v.endpoints["a"].own.add(hold{requests: 3}, 1)
	for range 5 {
		v.trust.RecordResult(time.Second, "a", trust.Unreachable)
	}
	r := listed("a", "b")
	r.Revision, r.Endpoints[0].Incarnation = 2, 2
	if gone := v.setRoster(r, 0); len(gone) != 1 || gone[0] != "a:1" {
		t.Errorf("connections to drop: %v", gone)
	}
	if got := v.endpoints["a"].own.requests; got != 0 {
		t.Errorf("%d requests of the time before", got)
	}
	if !v.describe(p, &route.Pool{}, time.Unix(100, 0), time.Second)[0].Usable {
		t.Error("distrusted for failures of the time before")
	}
	if v.endpoints["b"].Incarnation != 1 || len(p.endpoints) != 2 {
		t.Error("the other endpoint changed")
	}
}

// An endpoint that leaves must get nothing new, while what runs there goes on.
func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	v, p := newPoolView("a", "b")
	r := listed("a", "b")
	r.Revision, r.Endpoints[0].Leaving = 2, true
	if gone := v.setRoster(r, 0); len(gone) != 0 {
		t.Errorf("connections of %v are dropped while requests run on them", gone)
	}
	if len(p.endpoints) != 1 || p.endpoints[0].ID != "b" {
		t.Errorf("%d endpoints to place at", len(p.endpoints))
	}
}

// An endpoint goes dark: connections stay open and nothing comes. It must be
// passed over although no request has failed yet.
func TestSilentEndpointIsPassedOver(t *testing.T) {
	v, p := newPoolView("a", "b")
	now := time.Unix(100, 0)
	e := v.endpoints["a"]
	e.own.add(hold{requests: 1}, 1)
	e.since, e.heard = now.Add(-5*time.Second), now.Add(-4*time.Second)
	es := v.describe(p, &route.Pool{Engine: true}, now, time.Second)
	if es[0].Usable || !es[1].Usable {
		t.Errorf("usable: %v %v", es[0].Usable, es[1].Usable)
	}
	e.heard = now.Add(-100 * time.Millisecond)
	if !v.describe(p, &route.Pool{Engine: true}, now, time.Second)[0].Usable {
		t.Error("passed over although it sends")
	}
}

// A peer restarts and counts from zero again. What it told before must not keep
// its new totals from counting.
func TestPeerThatCountsAnew(t *testing.T) {
	v, _ := newPoolView("a")
	limit := quota.Limit{Rate: 10, Burst: 100}
	v.quota.Take(0, "c", limit, 0)
	v.heard("peer", true, &wire.Tally{Customers: []wire.CustomerUsage{{Customer: "c", Total: 1000}}})
	v.heard("peer", true, &wire.Tally{Customers: []wire.CustomerUsage{{Customer: "c", Total: 5}}})
	now := time.Hour
	if _, ok := v.quota.Take(now, "c", limit, 50); !ok {
		t.Fatal("refused by a full bucket")
	}
	v.heard("peer", false, &wire.Tally{Customers: []wire.CustomerUsage{{Customer: "c", Total: 105}}})
	if _, ok := v.quota.Take(now, "c", limit, 1); ok {
		t.Error("the peer's new use does not count")
	}
}

// Each event of each stream lessens what an endpoint owes. Told one by one, that
// is most of what entries send each other, across availability zones as well,
// and no decision differs by it.
func TestPeersAreToldWhatChangesADecision(t *testing.T) {
	v, p := newPoolView("a")
	d := &Director{v: v, start: time.Now(), cfg: Config{Reach: func() (int, int) { return 1, 1 }}}
	e := v.endpoints["a"]
	stream := &visit{d: d, pool: p, e: e, id: "a", held: hold{requests: 1, prompt: 100, output: 400, tokens: 500}}
	e.own.add(stream.held, 1)
	v.changedHeld["a"] = true
	told := func() int { return len(d.Tally(false).Endpoints) }
	if told() != 1 {
		t.Error("a new request was not told")
	}
	stream.progress(0)
	if told() != 1 {
		t.Error("the end of the prompt was not told")
	}
	stream.progress(5)
	if told() != 0 {
		t.Error("five tokens of 400 were told")
	}
	stream.progress(100)
	if told() != 1 {
		t.Error("a quarter of the output was not told")
	}
	stream.abandon()
	if held := d.Tally(false).Endpoints; len(held) != 1 || held[0].Requests != 0 {
		t.Errorf("the end was not told: %+v", held)
	}
}

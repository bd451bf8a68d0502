package direct

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lycheepond/core/meter"
	"lycheepond/core/route"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

// Guards against an owner that learns of a slow spell only from the end of an answer or takes its
// head for the first event, an owner of an older version that would do that, heads of other
// endpoints, and reports without news.
func TestOwnerIsToldOfHead(t *testing.T) {
	type expected struct {
		reports, uncounted int
		factor             float64
	}
	for name, tt := range map[string]struct {
		ownerPercent int
		meta         Meta
		want         expected
	}{
		"slow":               {100, Meta{Signed: true, Slots: 1, Requests: 1, SlowdownPercent: 250}, expected{1, 0, 2.5}},
		"older owner":        {0, Meta{Signed: true, Slots: 1, Requests: 9, SlowdownPercent: 250}, expected{}},
		"as expected":        {250, Meta{Signed: true, Slots: 1, Requests: 1, SlowdownPercent: 250}, expected{}},
		"praise":             {100, Meta{Signed: true, Slots: 1, Requests: 1, SlowdownPercent: 20}, expected{}},
		"spell has ended":    {250, Meta{Signed: true, Slots: 1, Requests: 1, SlowdownPercent: 100}, expected{1, 0, 1}},
		"three figures":      {100, Meta{Signed: true, Slots: 1, Requests: 1}, expected{}},
		"uncounted requests": {100, Meta{Signed: true, Slots: 1, Requests: 3}, expected{1, 2, 0}},
		"not signed":         {100, Meta{Slots: 1, Requests: 3, SlowdownPercent: 250}, expected{}},
		"other endpoint":     {100, Meta{Signed: true, WrongEndpoint: true, Slots: 1, Requests: 3, SlowdownPercent: 250}, expected{}},
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newEntryPair(t, 1)
			a, _ := p.requester.admitJob(t.Context(), p.job())
			a.ownerPlacement.slowdownPercent = tt.ownerPercent
			var got expected
			send := p.requester.cfg.Peers.Send
			p.requester.cfg.Peers.Send = func(owner string, m wire.Message) bool {
				got.reports++
				return send(owner, m)
			}
			a.recordHead(tt.meta)
			synctest.Wait()
			p.owner.mu.Lock()
			e := p.owner.view.endpoints["a"]
			got.uncounted, got.factor = e.statedExcess(time.Now()), e.stated.factor(p.owner.sinceStart(time.Now()))
			if got != tt.want || e.ownWork.promptTokens != 100 {
				t.Errorf("%s: %+v, want %+v; counted %+v", name, got, tt.want, e.ownWork)
			}
			p.owner.mu.Unlock()
			a.abandon()
			synctest.Wait()
			if b, _ := p.requester.admitJob(t.Context(), p.job()); tt.want.uncounted == 0 && b.placement.Slowdown != max(tt.want.factor, 1) {
				t.Errorf("%s: the next is placed with a slowdown of %v", name, b.placement.Slowdown)
			}
		})
	}
}

// Stated requests must count when they exceed what is counted, for half a second and decreasingly,
// and must not when a request has just ended or when peers have reported them since.
func TestStatedRequestsBeyondCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &endpoint{Endpoint: route.Endpoint{Slots: 9}, ownWork: inFlight{requests: 5}}
		e.noteCounted(time.Now())
		e.ownWork.requests = 3
		for i, step := range []struct {
			after               time.Duration
			stated, peers, want int
		}{
			{10 * time.Millisecond, 5, 0, 0}, {2 * countedWindow, 9, 0, 6}, {0, 0, 2, 4}, {declineDecay / 2, 0, 0, 3}, {declineDecay, 0, 0, 0}, {0, 1_000_000, 0, 18},
		} {
			time.Sleep(step.after)
			e.observeRequests(time.Now(), step.stated, 9)
			e.peerWork.requests = step.peers
			if n := e.statedExcess(time.Now()); n != step.want {
				t.Errorf("step %d: %d more than counted, want %d", i, n, step.want)
			}
		}
	})
}

// Guards against a slowdown that is missing from the log or the metrics.
func TestSlowdownIsLoggedAndCounted(t *testing.T) {
	h := newHarness(t, route.Route{Target: time.Second, Timeout: time.Minute}, newTestEndpoint(t, func(_ *testEndpoint, c net.Conn, _ *http.Request) { writeWhole(c, 200, "x") }))
	for _, meta := range []Meta{{Signed: true, SlowdownPercent: 250}, {Signed: true, LoadRejected: true}} {
		h.logs.TakeAll()
		h.d.cfg.ReadMeta = func(*hop.Answer) Meta { return meta }
		h.send(t.Context(), "1", callerAnswer{})
	}
	v, _ := h.loggedField("request_done", "slowdown")
	label := meter.Label{Key: "pool", Value: "p"}
	if n, m := h.metrics.Histogram("stated_slowdown", label).Count(), h.metrics.Counter("stated_load_rejected", label).Count(); n != 1 || m != 1 || v == nil || v.(float64) < 2 {
		t.Errorf("slowdown %v is logged, %d slowdowns and %d rejected figures are counted", v, n, m)
	}
}

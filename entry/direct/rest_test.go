package direct

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lycheepond/core/route"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

// newRestHarness returns a harness whose first endpoint turns requests away and asks for a
// rest of the time in ask, until that is zero.
func newRestHarness(t *testing.T, target time.Duration, ask *atomic.Int64, others int) (*harness, *testEndpoint) {
	t.Helper()
	resting := newTestEndpoint(t, func(_ *testEndpoint, c net.Conn, _ *http.Request) {
		if ask.Load() == 0 {
			writeWhole(c, http.StatusOK, "first")
			return
		}
		writeWhole(c, http.StatusServiceUnavailable, "")
	})
	endpoints := []*testEndpoint{resting}
	for range others {
		endpoints = append(endpoints, newTestEndpoint(t, func(_ *testEndpoint, c net.Conn, _ *http.Request) { writeWhole(c, http.StatusOK, "other") }))
	}
	h := newHarness(t, route.Route{Attempts: 1, Target: target, Timeout: 30 * time.Second}, endpoints...)
	h.d.cfg.ReadMeta = func(a *hop.Answer) Meta {
		declined := a.Status == http.StatusServiceUnavailable
		return Meta{Signed: true, NotRun: declined, HasRest: declined, Rest: time.Duration(ask.Load())}
	}
	return h, resting
}

// Guards against a rest that counts as a failure of the endpoint, outlives its process, or is
// taken from a time that nobody can mean.
func TestRestOfEndpoint(t *testing.T) {
	for _, tt := range []struct {
		name     string
		ask      time.Duration
		rejected int64
		runs     int32
	}{
		{"asked for", time.Minute, 0, 1},
		{"zero", 1, 0, 4},
		{"negative", -time.Second, 4, 4},
		{"absurd", 48 * time.Hour, 4, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var ask atomic.Int64
			ask.Store(int64(tt.ask))
			h, resting := newRestHarness(t, time.Second, &ask, 1)
			for range 4 {
				if got := h.send(t.Context(), "x", callerAnswer{}); got.Outcome != Complete || got.body.String() != "other" {
					t.Errorf("%v: %q", got.Outcome, got.Reason)
				}
				// The load that a decline suggests would keep requests away as well.
				h.d.mu.Lock()
				h.d.view.endpoints["a"].declineExcess = 0
				h.d.mu.Unlock()
			}
			if n := resting.runs.Load(); n != tt.runs {
				t.Errorf("%d requests reached the endpoint, want %d", n, tt.runs)
			}
			if n := h.metrics.Counter("rests_rejected").Count(); n != tt.rejected {
				t.Errorf("%d rests rejected, want %d", n, tt.rejected)
			}
			if !h.d.view.health.Usable(h.d.sinceStart(time.Now()), "a") {
				t.Error("the endpoint counts as failed")
			}
			ask.Store(0)
			roster := h.d.Roster()
			roster.Revision++
			roster.Endpoints[0].Incarnation++
			h.d.SetRoster(roster)
			if got := h.send(t.Context(), "x", callerAnswer{}); got.body.String() != "first" {
				t.Errorf("the next start got no request: %q", got.body.String())
			}
		})
	}
}

// Guards against a rest that is forgotten because the instance list lacks the endpoint for a
// moment, as after an outage.
func TestRestOutlastsGapInInstanceList(t *testing.T) {
	var ask atomic.Int64
	ask.Store(int64(time.Minute))
	h, resting := newRestHarness(t, time.Second, &ask, 1)
	h.send(t.Context(), "x", callerAnswer{})
	roster := h.d.Roster()
	for _, endpoints := range [][]route.Endpoint{roster.Endpoints[1:], roster.Endpoints} {
		roster.Revision++
		h.d.SetRoster(route.Roster{Revision: roster.Revision, Endpoints: endpoints})
	}
	h.send(t.Context(), "x", callerAnswer{})
	if n := resting.runs.Load(); n != 1 {
		t.Errorf("%d requests reached the endpoint, want 1", n)
	}
}

// Guards against refusals of requests that could wait for the end of a rest, and against
// callers that are told to return during it.
func TestRequestsWaitForEndOfRest(t *testing.T) {
	for _, tt := range []struct {
		name           string
		target         time.Duration
		outcome        Outcome
		minRetry, took time.Duration
	}{
		{"target allows", 3 * time.Second, Complete, 0, 500 * time.Millisecond},
		{"target is sooner", 300 * time.Millisecond, Refused, 400 * time.Millisecond, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var ask atomic.Int64
			ask.Store(int64(500 * time.Millisecond))
			h, resting := newRestHarness(t, tt.target, &ask, 0)
			time.AfterFunc(200*time.Millisecond, func() { ask.Store(0) })
			ctx, stop := contextWithRun(t, h.d)
			defer stop()
			start := time.Now()
			got := h.send(ctx, "x", callerAnswer{})
			if got.Outcome != tt.outcome || time.Since(start) < tt.took || got.RetryAfter < tt.minRetry || got.RefusedUntilRetry != (tt.outcome == Refused) {
				t.Errorf("%v after %v, retry after %v: %q", got.Outcome, time.Since(start), got.RetryAfter, got.Reason)
			}
			if tt.outcome == Refused && time.Since(start) > 300*time.Millisecond {
				t.Errorf("refused only after %v", time.Since(start))
			}
			if tt.outcome == Refused && resting.runs.Load() != 1 {
				t.Errorf("%d requests reached the endpoint", resting.runs.Load())
			}
		})
	}
}

// Guards against an owner of shards that places a peer's request at an endpoint that rests for
// that peer, and against a grant that the peer uses all the same.
func TestOwnerRespectsRestsOfPeer(t *testing.T) {
	for _, ownerKnows := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			p := newEntryPair(t, 2)
			p.requester.mu.Lock()
			p.requester.view.rests.Ask(p.requester.sinceStart(time.Now()), "a@1", 5*time.Second, 0)
			p.requester.mu.Unlock()
			if ownerKnows {
				t := new(wire.Tally)
				p.requester.AddReports(t, false)
				p.owner.HandleTally("asker", true, t)
			}
			a, dec := p.requester.admitJob(t.Context(), p.job())
			if dec.Endpoint < 0 || a.id != "b" || ownerKnows != (a.placement.Owner == "owner") {
				t.Errorf("owner knows %v: placed at %q by %q: %v", ownerKnows, a.id, a.placement.Owner, dec.Reason)
			}
			synctest.Wait()
			if n := ownRequests(p.owner, "a"); n != 0 {
				t.Errorf("owner knows %v: it counts %d requests at the resting endpoint", ownerKnows, n)
			}
		})
	}
}

package direct

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lycheepond/core/drain"
	"lycheepond/core/route"
	"lycheepond/core/wire"
	"lycheepond/entry/hop"
)

// newLeavingHarness returns a harness with two endpoints; the first one's answers state that
// it is leaving.
func newLeavingHarness(t *testing.T, status int) (h *harness, leaving, other *testEndpoint) {
	t.Helper()
	serve := func(status int, body string) func(*testEndpoint, net.Conn, *http.Request) {
		return func(_ *testEndpoint, c net.Conn, _ *http.Request) { writeWhole(c, status, body) }
	}
	leaving, other = newTestEndpoint(t, serve(status, "last")), newTestEndpoint(t, serve(http.StatusOK, "other"))
	h = newHarness(t, route.Route{Repeatable: true, Attempts: 2, Target: time.Second, Timeout: 5 * time.Second}, leaving, other)
	h.d.cfg.ReadMeta = func(a *hop.Answer) Meta {
		return Meta{Signed: true, NotRun: a.Status == http.StatusServiceUnavailable, Leaving: a.Status == status && a.Length == 4}
	}
	return h, leaving, other
}

// Guards against an instance list, an item of the same start or a peer's list that puts an
// endpoint back in service after its answer said that it leaves.
func TestListDoesNotTakeBackThatEndpointLeaves(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusInternalServerError} {
		h, leaving, other := newLeavingHarness(t, status)
		h.send(t.Context(), "x", callerAnswer{})
		if leaving.runs.Load() == 0 {
			t.Fatal("the first request must reach the leaving endpoint: the run is void")
		}
		roster := h.d.Roster()
		for range 3 {
			roster.Revision++
			h.d.SetRoster(roster)
			if got := h.send(t.Context(), "x", callerAnswer{}); got.Outcome != Complete || got.body.String() != "other" {
				t.Errorf("status %d: %v, %q", status, got.Outcome, got.body.String())
			}
		}
		if n := leaving.runs.Load(); n != 1 {
			t.Errorf("status %d: %d requests reached the leaving endpoint, want 1", status, n)
		}
		roster.Revision++
		roster.Endpoints[0].Incarnation++
		roster.Endpoints = roster.Endpoints[:1]
		h.d.SetRoster(roster)
		h.send(t.Context(), "x", callerAnswer{})
		if leaving.runs.Load() != 2 {
			t.Errorf("status %d: the next start of the endpoint is not used; %d requests reached the other", status, other.runs.Load())
		}
	}
}

// Guards against a request that was placed before the endpoint was known to be leaving and is
// sent afterwards.
func TestPlacedRequestIsNotSentToLeavingEndpoint(t *testing.T) {
	h, leaving, _ := newLeavingHarness(t, http.StatusOK)
	h.d.mu.Lock()
	h.d.view.leaving.Merge(drain.Start{Endpoint: "a", Incarnation: 1})
	h.d.mu.Unlock()
	retries := h.spendRetries()
	if got := h.send(t.Context(), "x", callerAnswer{}); got.Outcome != Complete || got.body.String() != "other" {
		t.Errorf("%v: %q", got.Outcome, got.Reason)
	}
	if leaving.runs.Load() != 0 || retries == 0 {
		t.Errorf("%d requests reached the leaving endpoint", leaving.runs.Load())
	}
}

// Guards against the grant of an owner that has not heard yet that the endpoint is leaving, and
// against an answer of another endpoint at the address that counts for the one asked.
func TestGrantOfLeavingEndpointIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEntryPair(t, 2)
		p.requester.HandleTally("peer", true, &wire.Tally{Leaving: []wire.LeavingEndpoint{{Endpoint: "a", Incarnation: 1}}})
		for range 2 {
			a, dec := p.requester.admitJob(t.Context(), p.job())
			if dec.Endpoint >= 0 && a.id != "b" {
				t.Errorf("placed at %q by %q", a.id, a.placement.Owner)
			}
			synctest.Wait()
		}
		if n := ownRequests(p.owner, "a"); n != 0 {
			t.Errorf("the owner still counts %d requests at the leaving endpoint", n)
		}
	})
}

// Guards against an endpoint that is taken out of service by an answer of another one, which
// has its address now.
func TestAnswerOfAnotherEndpointSaysNothing(t *testing.T) {
	h, _, _ := newLeavingHarness(t, http.StatusOK)
	h.d.cfg.ReadMeta = func(*hop.Answer) Meta { return Meta{Signed: true, Leaving: true, WrongEndpoint: true} }
	h.send(t.Context(), "x", callerAnswer{})
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.view.leaving.IsLeaving(drain.Start{Endpoint: "a", Incarnation: 1}) {
		t.Error("the endpoint counts as leaving")
	}
}

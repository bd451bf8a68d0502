package direct

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// An endpoint answers with an error while the other one is too slow to answer in the time that
// is left. If the error is dropped for a retry before that has a placement, nothing is left to
// forward: the caller gets a 502, which says less, and a retry is wasted.
func TestErrorForwardedWhenRetryHasNoEndpoint(t *testing.T) {
	fails := newTestEndpoint(t, func(_ *testEndpoint, c net.Conn, _ *http.Request) {
		writeWhole(c, http.StatusInternalServerError, "sorry")
	})
	other := newPausing(t, -1, 0)
	r := unaryRoute
	h := newHarness(t, r, fails, other)
	h.learnLatency("b", 10*r.Timeout)
	h.learnLatency("a", unaryRoute.Target/2)
	got := h.send(t.Context(), "x", callerAnswer{})
	if got.Outcome != Complete || got.status != http.StatusInternalServerError || got.body.String() != "sorry" {
		t.Errorf("%v, %q: status %d, %q", got.Outcome, got.Reason, got.status, got.body.String())
	}
	if n := other.runs.Load(); n != 0 {
		t.Errorf("ran %d times at the other endpoint", n)
	}
	if n := h.spendRetries(); n != harnessRetries {
		t.Errorf("%d of %d retries are left, and none was needed", n, harnessRetries)
	}
}

// learnLatency has the pool learn how long an endpoint takes.
func (h *harness) learnLatency(endpoint string, took time.Duration) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	for range 200 {
		h.d.view.pool("p", h.d.cfg.RetryBudget, 1).learner.ObserveFirstEvent(endpoint, 0, took, 1)
	}
}

package direct

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// An endpoint answers with an error of its own while the other one is too slow to
// answer in the time that is left. If the error is thrown away for a repeat before
// a place is known, there is nothing left to pass on: the caller gets 502, which
// says less, and a repeat is spent on nothing.
func TestErrorIsPassedOnWhenARepeatHasNoPlace(t *testing.T) {
	fails := stand(t, func(_ *standIn, c net.Conn, _ *http.Request) { whole(c, http.StatusInternalServerError, "sorry") })
	other := silentAfter(t, -1, 0)
	r := plainRoute
	g := newRig(t, r, fails, other)
	g.learn("b", 10*r.Timeout)
	g.learn("a", plainRoute.Target/2)
	got := g.send(t.Context(), "x", taken{})
	if got.Outcome != Complete || got.status != http.StatusInternalServerError || got.body.String() != "sorry" {
		t.Errorf("%v, %q: status %d, %q", got.Outcome, got.Why, got.status, got.body.String())
	}
	if n := other.runs.Load(); n != 0 {
		t.Errorf("ran %d times at the other", n)
	}
	if n := g.spend(); n != rigRepeats {
		t.Errorf("%d of %d repeats are left, and none was needed", n, rigRepeats)
	}
}

// learn lets the rig's pool learn how long an endpoint takes.
func (g *rig) learn(endpoint string, took time.Duration) {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	for range 200 {
		g.d.v.pool("p", g.d.cfg.Repeats, 1).learner.ObserveFirstEvent(endpoint, 0, took)
	}
}

package direct

import (
	"net"
	"net/http"
	"strings"
	"testing"
)

// An endpoint's answer is longer than what is held until it is whole. If the bound
// ends it, the caller gets 502 for an answer that was coming, the endpoint passes
// for broken, and the request runs once more for the same end.
func TestLongAnswerIsPassedOn(t *testing.T) {
	long := strings.Repeat("x", maxPlain+1)
	serve := func(_ *standIn, c net.Conn, _ *http.Request) { whole(c, http.StatusOK, long) }
	first, second := stand(t, serve), stand(t, serve)
	r := plainRoute
	r.Target = r.Timeout
	g := newRig(t, r, first, second)
	got := g.send(t.Context(), "x", taken{})
	if got.Outcome != Complete || got.body.String() != long {
		t.Errorf("%v, %q: %d bytes of %d", got.Outcome, got.Why, got.body.Len(), len(long))
	}
	if n := first.runs.Load() + second.runs.Load(); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// A long answer breaks off after its first part was passed on. It must not pass
// for whole, and no part of another one may follow.
func TestLongAnswerThatBreaksOffIsBroken(t *testing.T) {
	serve := func(_ *standIn, c net.Conn, _ *http.Request) {
		whole(c, http.StatusOK, strings.Repeat("x", maxPlain+1))
	}
	cut := func(_ *standIn, c net.Conn, _ *http.Request) {
		opened(c)
		sent(c, strings.Repeat("x", maxPlain+1))
	}
	first, second := stand(t, cut), stand(t, serve)
	r := plainRoute
	r.Target = r.Timeout
	g := newRig(t, r, first, second)
	got := g.send(t.Context(), "x", taken{})
	if got.Outcome != Broken || got.body.Len() > maxPlain+1 || second.runs.Load() > 0 {
		t.Errorf("%v, %q: %d bytes", got.Outcome, got.Why, got.body.Len())
	}
}

package direct

import (
	"net"
	"net/http"
	"strings"
	"testing"
)

// An endpoint's answer is longer than what is buffered of it. If the bound ends it, the caller
// gets a 502 for an answer that was arriving, the endpoint counts as broken, and the request
// runs once more with the same result.
func TestLongAnswerIsForwarded(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBytes+1)
	serve := func(_ *testEndpoint, c net.Conn, _ *http.Request) { writeWhole(c, http.StatusOK, long) }
	first, second := newTestEndpoint(t, serve), newTestEndpoint(t, serve)
	r := unaryRoute
	r.Target = r.Timeout
	h := newHarness(t, r, first, second)
	got := h.send(t.Context(), "x", callerAnswer{})
	if got.Outcome != Complete || got.body.String() != long {
		t.Errorf("%v, %q: %d bytes of %d", got.Outcome, got.Reason, got.body.Len(), len(long))
	}
	if n := first.runs.Load() + second.runs.Load(); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// A long answer breaks off after its first part was forwarded. It must not count as complete,
// and no part of another answer may follow.
func TestTruncatedLongAnswerIsBroken(t *testing.T) {
	serve := func(_ *testEndpoint, c net.Conn, _ *http.Request) {
		writeWhole(c, http.StatusOK, strings.Repeat("x", maxBufferedBytes+1))
	}
	cut := func(_ *testEndpoint, c net.Conn, _ *http.Request) {
		writeStreamHead(c)
		writeChunk(c, strings.Repeat("x", maxBufferedBytes+1))
	}
	first, second := newTestEndpoint(t, cut), newTestEndpoint(t, serve)
	r := unaryRoute
	r.Target = r.Timeout
	h := newHarness(t, r, first, second)
	got := h.send(t.Context(), "x", callerAnswer{})
	if got.Outcome != Broken || got.body.Len() > maxBufferedBytes+1 || second.runs.Load() > 0 {
		t.Errorf("%v, %q: %d bytes", got.Outcome, got.Reason, got.body.Len())
	}
}

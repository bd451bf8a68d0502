package direct

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// A stream pauses for longer than it may, another endpoint seems to have room and there is one
// retry. The other endpoint then declines or closes the connection, while the first one would
// have gone on. If the first attempt is ended before the other endpoint has answered, the
// caller gets half a stream, and the log says
//
//	"outcome":"broken","why":"the stream was not resumed; no attempt left"
//
// instead of "event":"request_returned" from the other endpoint back to the first, and
// request_done.
func TestSlowStreamKeptWhenReplacementDeclines(t *testing.T) {
	for _, tt := range []struct {
		name  string
		serve func(e *testEndpoint, c net.Conn, req *http.Request)
	}{
		{"declines", func(_ *testEndpoint, c net.Conn, _ *http.Request) { writeWhole(c, http.StatusServiceUnavailable, "") }},
		{"closes", func(*testEndpoint, net.Conn, *http.Request) {}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			slow, other := newPausing(t, 2, 3*minSilenceBound/2), newTestEndpoint(t, tt.serve)
			h := newHarness(t, streamRoute, slow, other)
			h.d.mu.Lock()
			b := h.d.view.pool("p", h.d.cfg.RetryBudget, 1).budget
			for b.Spend() {
			}
			b.Refund()
			h.d.mu.Unlock()
			start := time.Now()
			got := h.send(t.Context(), "x", callerAnswer{})
			if got.Outcome != Complete || got.body.String() != fourEvents {
				t.Errorf("%v after %v, %q: %q", got.Outcome, time.Since(start), got.Reason, got.body.String())
			}
		})
	}
}

package direct

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// A stream pauses for longer than it may, another endpoint seems to have room and
// there is one repeat. The stream is ended for it, and the other endpoint then
// declines or is not there. The first one would have gone on. If it is ended before
// the other has answered, its caller gets half a stream, and the log has
//
//	"outcome":"broken","why":"the stream was not resumed; no attempt left"
//
// where it has to have "event":"request_returned" from the other back to the first,
// and request_done.
func TestSlowStreamIsNotLostToAnotherThatDeclines(t *testing.T) {
	for _, tt := range []struct {
		name  string
		serve func(s *standIn, c net.Conn, q *http.Request)
	}{
		{"declines", func(_ *standIn, c net.Conn, _ *http.Request) { whole(c, http.StatusServiceUnavailable, "") }},
		{"closes", func(*standIn, net.Conn, *http.Request) {}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			slow, other := silentAfter(t, 2, 3*shortestSilence/2), stand(t, tt.serve)
			g := newRig(t, streamed, slow, other)
			g.d.mu.Lock()
			b := g.d.v.pool("p", g.d.cfg.Repeats, 1).budget
			for b.Spend() {
			}
			b.Return()
			g.d.mu.Unlock()
			began := time.Now()
			got := g.send(t.Context(), "x", taken{})
			if got.Outcome != Complete || got.body.String() != fourPieces {
				t.Errorf("%v after %v, %q: %q", got.Outcome, time.Since(began), got.Why, got.body.String())
			}
		})
	}
}

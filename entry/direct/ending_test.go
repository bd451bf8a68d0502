package direct

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"lycheepond/core/route"
)

// The entry ends while it holds requests. Nobody can await their answers, but what
// became of each of them can still be told, as long as its answer has not begun: one
// that was not sent is refused and may be sent to another entry, one that was sent
// may have run. An answer that has begun can only be broken off.
func TestEndOfTheEntryIsToldAsItIs(t *testing.T) {
	once := route.Route{Timeout: time.Minute, Attempts: 1}
	for _, tt := range []struct {
		name    string
		route   route.Route
		unsent  bool
		begins  bool
		outcome Outcome
	}{
		{"not sent", streamed, true, false, Refused},
		{"sent", streamed, false, false, Unknown},
		{"sent and not to be repeated", once, false, false, Unknown},
		{"begun", streamed, false, true, Cut},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			endpoint := stand(t, func(s *standIn, c net.Conn, _ *http.Request) {
				if tt.begins {
					opened(c)
					sent(c, piece(1))
					time.Sleep(100 * time.Millisecond)
				}
				cancel(ErrEnding)
				s.pause(c, 5*time.Second)
			})
			g := newRig(t, tt.route, endpoint)
			if tt.unsent {
				cancel(ErrEnding)
			}
			got := g.send(ctx, "x", taken{})
			if got.Outcome != tt.outcome || got.status != 0 != tt.begins {
				t.Errorf("%v, %q, status %d", got.Outcome, got.Why, got.status)
			}
			if got.Outcome == Refused && (got.Retry == 0 || endpoint.runs.Load() > 0) {
				t.Errorf("refused after %d runs, retry %v", endpoint.runs.Load(), got.Retry)
			}
			if !g.idle() {
				t.Error("work is still counted at the endpoint")
			}
		})
	}
}

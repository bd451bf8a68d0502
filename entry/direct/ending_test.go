package direct

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"lycheepond/core/route"
)

// The entry exits while it holds requests, so their answers can't be awaited. As long as an
// answer has not begun, its caller must still get the outcome: a request that was not sent is
// refused and may be sent to another entry, one that was sent may have run. An answer that has
// begun can only be broken off.
func TestOutcomesAtEntryShutdown(t *testing.T) {
	once := route.Route{Timeout: time.Minute, Attempts: 1}
	for _, tt := range []struct {
		name    string
		route   route.Route
		unsent  bool
		begins  bool
		outcome Outcome
	}{
		{"not sent", streamRoute, true, false, Refused},
		{"sent", streamRoute, false, false, Unknown},
		{"sent and not to be repeated", once, false, false, Unknown},
		{"begun", streamRoute, false, true, ClosedByEntry},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			endpoint := newTestEndpoint(t, func(e *testEndpoint, c net.Conn, _ *http.Request) {
				if tt.begins {
					writeStreamHead(c)
					writeChunk(c, streamEvent(1))
					time.Sleep(100 * time.Millisecond)
				}
				cancel(ErrEnding)
				e.pause(c, 5*time.Second)
			})
			h := newHarness(t, tt.route, endpoint)
			if tt.unsent {
				cancel(ErrEnding)
			}
			got := h.send(ctx, "x", callerAnswer{})
			if got.Outcome != tt.outcome || got.status != 0 != tt.begins {
				t.Errorf("%v, %q, status %d", got.Outcome, got.Reason, got.status)
			}
			if got.Outcome == Refused && (got.RetryAfter == 0 || endpoint.runs.Load() > 0) {
				t.Errorf("refused after %d runs, retry %v", endpoint.runs.Load(), got.RetryAfter)
			}
			if !h.isIdle() {
				t.Error("work is still counted at the endpoint")
			}
		})
	}
}

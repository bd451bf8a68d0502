package direct

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"lycheepond/core/route"
)

var (
	unaryRoute  = route.Route{Repeatable: true, Attempts: 2, Target: 50 * time.Millisecond, Timeout: 10 * time.Second}
	streamRoute = route.Route{Stream: true, Resumable: true, Attempts: 2, Target: 100 * time.Millisecond, Timeout: 10 * time.Second}
)

// Positions of a pause in an answer, in addition to the number of events before it.
const (
	beforeUnary = -1
	beforeHead  = -2
)

// newPausing returns an endpoint that pauses once in its answer: a stream of four events, of
// which pauseAfter come before the pause, or a unary answer. A stream that is resumed after the
// pause has none.
func newPausing(t *testing.T, pauseAfter int, pause time.Duration) *testEndpoint {
	return newPausingEach(t, pauseAfter, func() time.Duration { return pause })
}

// newPausingEach is like newPausing, with a separate pause for each request.
func newPausingEach(t *testing.T, pauseAfter int, pause func() time.Duration) *testEndpoint {
	return newTestEndpoint(t, func(e *testEndpoint, c net.Conn, req *http.Request) {
		if pauseAfter == beforeUnary {
			if e.pause(c, pause()) {
				writeWhole(c, http.StatusOK, "answer")
			}
			return
		}
		if pauseAfter == beforeHead && !e.pause(c, pause()) {
			return
		}
		writeStreamHead(c)
		for i := lastEventOf(req) + 1; i <= 4; i++ {
			if i == pauseAfter+1 && !e.pause(c, pause()) {
				return
			}
			writeChunk(c, streamEvent(i))
		}
		writeStreamEnd(c)
	})
}

const fourEvents = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"

// Guards against a log that reports every answer that ended early as broken. Such a log would
// not distinguish an endpoint that broke off from an entry that gave up the attempt.
func TestLogNamesCauseOfEndedAttempt(t *testing.T) {
	newPrompt := func(t *testing.T) *testEndpoint { return newPausing(t, 9, 0) }
	for _, tt := range []struct {
		name      string
		route     route.Route
		first     *testEndpoint
		why, kind string
		silent    time.Duration
	}{
		{"no head", unaryRoute, newPausing(t, beforeUnary, time.Minute), "no head of the answer for 50ms", "head", 50 * time.Millisecond},
		{"no event", streamRoute, newPausing(t, 2, time.Minute), "endpoint silent for 1s", "silence", time.Second},
		{"endpoint broke off", streamRoute, newTestEndpoint(t, func(_ *testEndpoint, c net.Conn, _ *http.Request) {
			writeStreamHead(c)
			writeChunk(c, streamEvent(1))
		}), "stream broke off: unexpected EOF", "", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			second := newPrompt(t)
			if !tt.route.Stream {
				second = newPausing(t, beforeUnary, 0)
			}
			h := newHarness(t, tt.route, tt.first, second)
			got := h.send(t.Context(), "x", callerAnswer{})
			if got.Outcome != Complete {
				t.Errorf("%+v", got.Result)
			}
			if why, _ := h.loggedField("request_returned", "why"); why != tt.why {
				t.Errorf("why is %q, want %q", why, tt.why)
			}
			if silent, _ := h.loggedField("request_returned", "silent"); silent == nil || silent.(time.Duration) < tt.silent {
				t.Errorf("silent for %v, want %v", silent, tt.silent)
			}
			if bound, _ := h.loggedField("request_returned", "bound"); tt.kind != "" && bound != tt.silent {
				t.Errorf("bound %v, want %v", bound, tt.silent)
			}
			for _, kind := range []string{"head", "silence", "time", "caller", "cut"} {
				if n := h.counterValue("tries_given_up", kind); n > 0 != (kind == tt.kind) {
					t.Errorf("%d attempts given up for %s", n, kind)
				}
			}
		})
	}
}

// An entry that closes its caller's connection by mistake must not log "caller left".
func TestLogNamesWhoClosedCallerConnection(t *testing.T) {
	for _, tt := range []struct {
		name     string
		cause    error
		writeErr error
		outcome  Outcome
		why      string
		level    string
	}{
		{"the caller", nil, nil, CallerLeft, "caller left", "info"},
		{"the entry", errors.New("connection idle for 1s"), nil, ClosedByEntry, "connection idle for 1s", "warn"},
		{"a caller that has left", nil, net.ErrClosed, CallerLeft, "caller left", "info"},
		{"a caller that does not read", nil, os.ErrDeadlineExceeded, ClosedByEntry, "caller did not take the answer in time", "warn"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			endpoint := newTestEndpoint(t, func(e *testEndpoint, c net.Conn, _ *http.Request) {
				writeStreamHead(c)
				writeChunk(c, streamEvent(1))
				if tt.writeErr == nil {
					cancel(tt.cause)
				}
				e.pause(c, 5*time.Second)
			})
			h := newHarness(t, streamRoute, endpoint)
			got := h.send(ctx, "x", callerAnswer{writeErr: tt.writeErr})
			if got.Outcome != tt.outcome || !strings.HasPrefix(got.Reason, tt.why) {
				t.Errorf("%v, %q", got.Outcome, got.Reason)
			}
			event := "request_done"
			if tt.level == "warn" {
				event = "request_unknown"
			}
			if why, level := h.loggedField(event, "why"); level != tt.level {
				t.Errorf("%s at level %q, why %v", event, level, why)
			}
			if n := h.counterValue("tries_given_up", "untaken"); n > 0 != (tt.writeErr == os.ErrDeadlineExceeded) {
				t.Errorf("%d answers that the caller did not accept", n)
			}
			if !h.isIdle() {
				t.Error("work is still counted at the endpoint")
			}
		})
	}
}

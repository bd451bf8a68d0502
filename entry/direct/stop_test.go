package direct

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lycheepond/core/route"
	"lycheepond/entry/hop"
)

// Guards against a request that is sent again during a planned stop although the answer of the
// second endpoint can't be complete before the process ends.
func TestNoRepeatThatOutlastsStop(t *testing.T) {
	for name, tt := range map[string]struct {
		route route.Route
		// first is how the first endpoint answers, and want how the request ends.
		first func(c net.Conn)
		want  Outcome
	}{
		"idempotent": {
			route.Route{Attempts: 2, Target: 10 * time.Second, Timeout: time.Minute, Repeatable: true},
			func(net.Conn) {}, Unknown,
		},
		"refused": {
			route.Route{Attempts: 1, Target: 10 * time.Second, Timeout: time.Minute},
			func(c net.Conn) { writeWhole(c, http.StatusServiceUnavailable, "") }, Refused,
		},
		"stream": {
			route.Route{Attempts: 2, Target: 10 * time.Second, Timeout: time.Minute, Stream: true, Resumable: true},
			func(c net.Conn) { writeStreamHead(c); writeChunk(c, streamEvent(1)) }, Broken,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var h *harness
			first := newTestEndpoint(t, func(_ *testEndpoint, c net.Conn, _ *http.Request) {
				h.d.BeginStop(time.Now().Add(2 * time.Second))
				tt.first(c)
			})
			second := newTestEndpoint(t, func(e *testEndpoint, c net.Conn, _ *http.Request) { e.pause(c, 3*time.Second) })
			h = newHarness(t, tt.route, first, second)
			h.d.cfg.ReadMeta = func(a *hop.Answer) Meta { return Meta{Signed: true, NotRun: a.Status == http.StatusServiceUnavailable} }
			start := time.Now()
			got := h.send(t.Context(), "x", callerAnswer{})
			if got.Outcome != tt.want || second.runs.Load() > 0 || time.Since(start) > time.Second {
				t.Errorf("%v, %q after %v, %d sent to the second endpoint", got.Outcome, got.Reason, time.Since(start), second.runs.Load())
			}
			if !h.isIdle() {
				t.Error("work is still counted at an endpoint")
			}
		})
	}
}

// Guards against a request that waits for an endpoint when a planned stop begins and is refused
// only at the end of its wait, or sent then although its answer would be cut.
func TestWaitingRequestIsRefusedInStop(t *testing.T) {
	var ask atomic.Int64
	ask.Store(int64(5 * time.Second))
	h, resting := newRestHarness(t, 20*time.Second, &ask, 0)
	start := time.Now()
	const stopAfter = 300 * time.Millisecond
	time.AfterFunc(stopAfter, func() { h.d.BeginStop(start.Add(7 * time.Second)) })
	var callers sync.WaitGroup
	// The endpoint asks the first request for a rest, and the second one waits for its end too.
	for _, id := range []string{"turned away", "not sent"} {
		callers.Go(func() {
			got := h.send(t.Context(), id, callerAnswer{})
			if took := time.Since(start); got.Outcome != Refused || took < stopAfter || took > time.Second {
				t.Errorf("%s: %v, %q after %v", id, got.Outcome, got.Reason, took)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	if n := resting.runs.Load(); n != 1 {
		t.Errorf("%d requests sent", n)
	}
}

// Guards against an answer time that is learned for one route and applied to another, and
// against a stop that refuses what is known to end in time.
func TestStopServesRoutesThatAreKnownToBeFast(t *testing.T) {
	endpoint := newTestEndpoint(t, func(_ *testEndpoint, c net.Conn, _ *http.Request) { writeWhole(c, http.StatusOK, "ok") })
	h := newHarness(t, route.Route{Attempts: 1, Target: time.Second, Timeout: time.Minute}, endpoint)
	h.d.cfg.ReadMeta = func(*hop.Answer) Meta { return Meta{Signed: true} }
	for i := range 10 {
		if got := h.send(t.Context(), fmt.Sprint(i), callerAnswer{}); got.Outcome != Complete {
			t.Fatalf("%v, %q", got.Outcome, got.Reason)
		}
	}
	h.d.BeginStop(time.Now().Add(10 * time.Second))
	if got := h.send(t.Context(), "known", callerAnswer{}); got.Outcome != Complete {
		t.Errorf("%v, %q", got.Outcome, got.Reason)
	}
	h.cfg.Routes[0].Name = "other"
	if got := h.send(t.Context(), "unknown", callerAnswer{}); got.Outcome != Refused || got.RetryAfter != StoppingRetryAfter {
		t.Errorf("%v, %q, retry after %v", got.Outcome, got.Reason, got.RetryAfter)
	}
}

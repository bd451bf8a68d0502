package direct

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lycheepond/core/route"
)

// maxObservedOverlap is how long two endpoints may work on one answer.
const maxObservedOverlap = 400 * time.Millisecond

// silenceCase is a way in which an attempt becomes late.
type silenceCase struct {
	name  string
	route route.Route
	// pauseAfter is the position of the pause in the late endpoint's answer.
	pauseAfter int
	// bound is how long the endpoint may be silent. The replacement is sent at the second
	// check after it.
	bound time.Duration
	want  string
}

var silenceCases = []silenceCase{
	{"plain", unaryRoute, beforeUnary, unaryRoute.Target, "answer"},
	{"head", streamRoute, beforeHead, 2 * streamRoute.Target, fourEvents},
	{"event", streamRoute, 2, minSilenceBound, fourEvents},
}

// newPausingBeforeHead returns an endpoint that pauses before the head of its answer.
func (sc silenceCase) newPausingBeforeHead(t *testing.T, pause time.Duration) *testEndpoint {
	if sc.route.Stream {
		return newPausing(t, beforeHead, pause)
	}
	return newPausing(t, beforeUnary, pause)
}

// A late endpoint resumes after its request was sent to another one, which has not answered
// yet. The caller must get the answer that comes first, whole, and the request to the other
// endpoint must be cancelled.
func TestLateEndpointThatResumesIsKept(t *testing.T) {
	for _, sc := range silenceCases {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			slow, other := newPausing(t, sc.pauseAfter, sc.bound+silenceRecheck+maxOverlap/2), sc.newPausingBeforeHead(t, time.Minute)
			h := newHarness(t, sc.route, slow, other)
			got := h.send(t.Context(), "x", callerAnswer{})
			if got.Outcome != Complete || got.body.String() != sc.want || got.Placement.Endpoint != "a" {
				t.Errorf("%v of endpoint %s, %q: %q", got.Outcome, got.Placement.Endpoint, got.Reason, got.body.String())
			}
			if !eventually(func() bool { return other.cancelled.Load() == 1 }) || slow.cancelled.Load() != 0 {
				t.Errorf("%d requests were cancelled at the other endpoint, %d at the late one", other.cancelled.Load(), slow.cancelled.Load())
			}
			if a, b := slow.runs.Load(), other.runs.Load(); a != 1 || b != 1 {
				t.Errorf("ran %d times at the late endpoint, %d at the other", a, b)
			}
			if remaining := h.spendRetries(); remaining != harnessRetries-1 {
				t.Errorf("%d retries were taken", harnessRetries-remaining)
			}
			if !h.isIdle() {
				t.Error("work is still counted at an endpoint")
			}
		})
	}
}

// The replacement takes long to answer. Two endpoints must not keep working on one answer, so
// the late attempt must be cancelled before that.
func TestOverlapWithReplacementIsBounded(t *testing.T) {
	for _, sc := range silenceCases {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			slow := newPausing(t, sc.pauseAfter, time.Minute)
			var overlapNS atomic.Int64
			other := newTestEndpoint(t, func(e *testEndpoint, c net.Conn, req *http.Request) {
				start := time.Now()
				eventually(func() bool { return slow.cancelled.Load() > 0 })
				overlapNS.Store(int64(time.Since(start)))
				if !e.pause(c, maxOverlap) {
					return
				}
				if !sc.route.Stream {
					writeWhole(c, http.StatusOK, sc.want)
					return
				}
				writeStreamHead(c)
				for i := lastEventOf(req) + 1; i <= 4; i++ {
					writeChunk(c, streamEvent(i))
				}
				writeStreamEnd(c)
			})
			h := newHarness(t, sc.route, slow, other)
			got := h.send(t.Context(), "x", callerAnswer{})
			if got.Outcome != Complete || got.body.String() != sc.want || got.Placement.Endpoint != "b" {
				t.Errorf("%v of endpoint %s, %q: %q", got.Outcome, got.Placement.Endpoint, got.Reason, got.body.String())
			}
			if overlap := time.Duration(overlapNS.Load()); overlap > maxObservedOverlap {
				t.Errorf("both endpoints worked for %v", overlap)
			}
		})
	}
}

// An event of the late endpoint is read just after the switch to the replacement, which was
// sent to resume after the event before. If it is forwarded, the caller gets it twice.
func TestNothingForwardedAfterSwitch(t *testing.T) {
	h := newHarness(t, streamRoute, newPausing(t, 9, 0), newPausing(t, 9, 0))
	_, w := startedWatchdog(t)
	w.task.d = h.d
	var body bytes.Buffer
	w.task.sink = Sink{
		Head:  func(int, http.Header, int64) {},
		Write: func(p []byte) error { body.Write(p); return nil },
		Flush: func() error { return nil },
		Abort: func() {},
	}
	h.d.mu.Lock()
	a, _ := h.d.placeJob(w.task.job, placementOptions{entryShare: 1})
	next, _ := h.d.placeJob(w.task.job, placementOptions{avoidID: a.id, entryShare: 1})
	h.d.mu.Unlock()
	x := w.task.newExchange(a)
	answer, err := w.task.sendRequest(x)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	w = w.task.newWatchdog(a, x.cancel)
	w.replacement, w.switched, w.silence = next, true, &silenceError{bound: minSilenceBound}
	got := w.task.relayStream(answer, a, w)
	if body.Len() > 0 || got.isFinal || got.result.Reason != w.silence.Error() {
		t.Errorf("%+v after %q", got, body.String())
	}
}

// The late endpoint and its replacement answer at the same moment. Whichever is used, each
// caller must get its answer whole and once, each run but the first must have taken a retry,
// and no work may stay counted at an endpoint.
func TestEndpointsAnswerSimultaneously(t *testing.T) {
	const requests, step, answer = 48, 500 * time.Microsecond, 20 * time.Millisecond
	for _, sc := range silenceCases {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int32
			slow := newPausingEach(t, sc.pauseAfter, func() time.Duration {
				return sc.bound + silenceRecheck + answer + time.Duration(n.Add(1)-requests/3)*step
			})
			other := sc.newPausingBeforeHead(t, answer)
			h := newHarness(t, sc.route, slow, other)
			var all sync.WaitGroup
			for i := range requests {
				all.Go(func() {
					got := h.send(t.Context(), fmt.Sprint(i), callerAnswer{})
					if got.Outcome != Complete || got.body.String() != sc.want {
						t.Errorf("%v, %q: %q", got.Outcome, got.Reason, got.body.String())
					}
				})
			}
			all.Wait()
			if !eventually(h.isIdle) {
				t.Error("work is still counted at an endpoint")
			}
			spent := harnessRetries - h.spendRetries()
			if !eventually(func() bool { return int(slow.runs.Load()+other.runs.Load()) == requests+spent }) {
				t.Errorf("%d requests ran %d and %d times with %d retries", requests, slow.runs.Load(), other.runs.Load(), spent)
			}
			t.Logf("%d of %d requests were sent to the other endpoint, %d of them were cancelled there and %d at the late endpoint", spent, requests, other.cancelled.Load(), slow.cancelled.Load())
		})
	}
}

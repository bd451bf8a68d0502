package direct

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// readDelay is how long a process that resumes after a pause takes to read the waiting bytes.
// Its timers expire before that.
const readDelay = time.Millisecond

// startedWatchdog returns the watchdog of an attempt at one endpoint while another one has
// room.
func startedWatchdog(t *testing.T) (*harness, *watchdog) {
	h := newHarness(t, streamRoute, &testEndpoint{addr: "a"}, &testEndpoint{addr: "b"})
	ctx, cancel := context.WithCancelCause(t.Context())
	now := time.Now()
	j := &Job{
		ID: "x", Route: &h.cfg.Routes[0], Pool: &h.cfg.Pools[0], Method: "GET", Target: "/", Host: "h", Header: make(http.Header),
		AcceptedAt: now, Deadline: now.Add(time.Minute),
	}
	h.d.mu.Lock()
	a, _ := h.d.placeJob(j, placementOptions{entryShare: 1})
	h.d.mu.Unlock()
	return h, (&task{d: h.d, job: j, caller: ctx, ctx: ctx}).newWatchdog(a, cancel)
}

// A process is paused for a moment while its streams wait for their next events. When it
// resumes, the timers of all streams expire before the bytes are read that arrived in the
// meantime. If that ends the attempts, all streams of the process run again at another
// endpoint at once, their answers so far are discarded, and no retries are left when an
// endpoint does fail. With a single check each attempt was "given up for endpoint b though the
// event had come".
func TestProcessPauseIsNotEndpointSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, w := startedWatchdog(t)
		for range 3 {
			w.startWait(minSilenceBound, awaitData)
			time.Sleep(minSilenceBound + readDelay)
			w.endWait()
			if next := w.currentReplacement(); next != nil {
				t.Fatalf("given up for endpoint %s though the event had come", next.id)
			}
		}
	})
}

// The same pause happens while a late answer is awaited because there is no retry, and during
// the pause a retry becomes available.
func TestProcessPauseWhileAwaitingLateAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, w := startedWatchdog(t)
		h.spendRetries()
		w.startWait(minSilenceBound, awaitData)
		time.Sleep(minSilenceBound + silenceRecheck + readDelay)
		if lacks, _ := h.loggedField("answer_late", "lacks"); lacks == nil {
			t.Fatal("no replacement was searched for")
		}
		h.d.mu.Lock()
		w.attempt.pool.budget.Refund()
		h.d.mu.Unlock()
		time.Sleep(replacementInterval)
		w.endWait()
		if next := w.currentReplacement(); next != nil {
			t.Errorf("given up for endpoint %s though the event had come", next.id)
		}
	})
}

// An endpoint that is really silent is replaced after the second check.
func TestSilenceConfirmedBySecondCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, w := startedWatchdog(t)
		w.startWait(minSilenceBound, awaitData)
		time.Sleep(minSilenceBound + silenceRecheck + readDelay)
		if next := w.currentReplacement(); next == nil {
			t.Error("the attempt was not replaced")
		}
	})
}

// The process is paused until the requests' time is up. Their endpoints are not at fault: what
// they sent waits to be read. If the timeouts count against them, they become unusable, and
// endpoints that answer get no requests: "endpoint a counts as away".
func TestTimeoutAfterProcessPauseKeepsEndpointUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, w := startedWatchdog(t)
		for range 8 {
			w.startWait(minSilenceBound, awaitData)
			time.Sleep(minSilenceBound + readDelay)
			w.endWait()
			w.attempt.handleTimeout()
			h.d.mu.Lock()
			w.attempt, _ = h.d.placeJob(w.task.job, placementOptions{entryShare: 1})
			h.d.mu.Unlock()
		}
		if away, _ := h.loggedField("endpoint_away", "endpoint"); away != nil {
			t.Errorf("endpoint %s counts as away", away)
		}
	})
}

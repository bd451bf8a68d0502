package direct

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lycheepond/core/route"
	"lycheepond/core/wire"
)

// fillOther fills the other endpoint with requests of another entry, many times its slots.
func fillOther(h *harness) {
	h.d.HandleTally("entry-2", true, &wire.Tally{Endpoints: []wire.EndpointLoad{{Endpoint: "b", Requests: 100 * harnessSlots}}})
}

// An endpoint becomes slow: it sends nothing for longer than an answer may pause, and then
// goes on. A replacement needs a retry in the budget, an attempt that the route still allows,
// and room at another endpoint. If the entry's timer ends the attempt although one of them is
// missing, the caller loses an answer that was on its way: its stream breaks off, or it gets a
// 502 instead of a late answer, and the entry's log says
//
//	"outcome":"broken","why":"endpoint silent for 1s; no repeat left in the budget"
//	"outcome":"unknown","why":"no head of the answer for 50ms; no repeat left in the budget"
//
// instead of "event":"answer_late","why":"endpoint silent for 1s","lacks":"no repeat left in
// the budget", and later request_done.
func TestLateAnswerAwaitedWithoutReplacement(t *testing.T) {
	const longer = 3 * minSilenceBound / 2
	for _, tt := range []struct {
		name  string
		route route.Route
		// pauseAfter is the position of the pause, which is longer than the silence bound that
		// applies if there is a retry.
		pauseAfter int
		pause      time.Duration
		want       string
	}{
		{"plain", unaryRoute, beforeUnary, 3 * unaryRoute.Target, "answer"},
		{"stream without a head", streamRoute, beforeHead, longer, fourEvents},
		{"stream without an event", streamRoute, 0, longer, fourEvents},
		{"stream", streamRoute, 2, longer, fourEvents},
	} {
		for _, lack := range []struct {
			name  string
			apply func(h *harness)
			// logged is what the log says is missing; nil if the attempt may not be given up.
			logged any
		}{
			{"retry", func(h *harness) { h.spendRetries() }, "no repeat left in the budget"},
			{"room", fillOther, "full"},
			{"attempt", func(h *harness) { h.cfg.Routes[0].Attempts = 1 }, nil},
		} {
			t.Run(tt.name+", no "+lack.name, func(t *testing.T) {
				t.Parallel()
				slow, other := newPausing(t, tt.pauseAfter, tt.pause), newPausing(t, tt.pauseAfter, 0)
				h := newHarness(t, tt.route, slow, other)
				lack.apply(h)
				got := h.send(t.Context(), "x", callerAnswer{})
				if got.Outcome != Complete || got.status != http.StatusOK || got.body.String() != tt.want {
					t.Errorf("%v, %q: status %d, %q", got.Outcome, got.Reason, got.status, got.body.String())
				}
				if a, b := slow.runs.Load(), other.runs.Load(); a != 1 || b != 0 {
					t.Errorf("ran %d times at the slow endpoint, %d at the other", a, b)
				}
				if logged, _ := h.loggedField("answer_late", "lacks"); logged != lack.logged {
					t.Errorf("the log says that %v is missing, want %v", logged, lack.logged)
				}
				if !h.isIdle() {
					t.Error("work is still counted at an endpoint")
				}
			})
		}
	}
}

// While a caller is slow to accept an event, nothing is read from the endpoint. If that time
// counts as the endpoint's silence, its stream is ended and run again.
func TestSlowCallerIsNotEndpointSilence(t *testing.T) {
	endpoint, other := newPausing(t, 9, 0), newPausing(t, 9, 0)
	h := newHarness(t, streamRoute, endpoint, other)
	got := h.send(t.Context(), "x", callerAnswer{firstWriteDelay: 3 * minSilenceBound / 2})
	if got.Outcome != Complete || got.body.String() != fourEvents {
		t.Errorf("%v, %q: %q", got.Outcome, got.Reason, got.body.String())
	}
	if n := endpoint.runs.Load() + other.runs.Load(); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// An endpoint that stays silent is replaced by another one if that has room.
func TestSilentEndpointIsReplaced(t *testing.T) {
	for _, r := range []route.Route{unaryRoute, streamRoute} {
		pauseAfter, want := beforeUnary, "answer"
		if r.Stream {
			pauseAfter, want = 2, fourEvents
		}
		silent, other := newPausing(t, pauseAfter, time.Minute), newPausing(t, pauseAfter, 0)
		h := newHarness(t, r, silent, other)
		got := h.send(t.Context(), "x", callerAnswer{})
		if got.Outcome != Complete || got.body.String() != want {
			t.Errorf("%v, %q: %q", got.Outcome, got.Reason, got.body.String())
		}
		if a, b := silent.runs.Load(), other.runs.Load(); a != 1 || b != 1 {
			t.Errorf("ran %d times at the silent endpoint, %d at the other", a, b)
		}
	}
}

// An unusable endpoint gets no requests. An endpoint that was slow but answered must stay
// usable; one that was silent until the time was up must become unusable, even if its request
// could not be sent to another one.
func TestOnlySilenceMakesEndpointUnusable(t *testing.T) {
	for _, tt := range []struct {
		pause time.Duration
		away  bool
	}{{3 * unaryRoute.Target, false}, {time.Minute, true}} {
		r := unaryRoute
		r.Timeout = 20 * r.Target
		h := newHarness(t, r, newPausing(t, beforeUnary, tt.pause), newPausing(t, beforeUnary, 0))
		h.spendRetries()
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() { h.send(t.Context(), "x", callerAnswer{}) })
		}
		all.Wait()
		if away, _ := h.loggedField("endpoint_away", "endpoint"); away != nil != tt.away {
			t.Errorf("silent for %v: away %v, want %v", tt.pause, away, tt.away)
		}
	}
}

// Endpoints answer at the moment when their attempts would be replaced. Whatever comes first,
// each caller must get its answer whole and once, no request may run more often than retries
// were taken for it, and unused reservations must be returned.
func TestAnswersArriveAsAttemptsAreReplaced(t *testing.T) {
	for _, tt := range []struct {
		name       string
		route      route.Route
		pauseAfter int
		bound      time.Duration
		want       string
	}{
		{"plain", unaryRoute, beforeUnary, unaryRoute.Target, "answer"},
		{"head", streamRoute, beforeHead, 2 * streamRoute.Target, fourEvents},
		{"event", streamRoute, 2, minSilenceBound, fourEvents},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			const requests, step = 48, 100 * time.Microsecond
			var endpoints []*testEndpoint
			for range 2 {
				var n atomic.Int32
				endpoints = append(endpoints, newPausingEach(t, tt.pauseAfter, func() time.Duration {
					return tt.bound + silenceRecheck + time.Duration(n.Add(1)-requests/3)*step
				}))
			}
			h := newHarness(t, tt.route, endpoints...)
			var all sync.WaitGroup
			for i := range requests {
				all.Go(func() {
					got := h.send(t.Context(), fmt.Sprint(i), callerAnswer{})
					if got.Outcome != Complete || got.body.String() != tt.want {
						t.Errorf("%v, %q: %q", got.Outcome, got.Reason, got.body.String())
					}
				})
			}
			all.Wait()
			if !eventually(h.isIdle) {
				t.Error("work is still counted at an endpoint")
			}
			ran := func() int { return int(endpoints[0].runs.Load() + endpoints[1].runs.Load()) }
			spent := harnessRetries - h.spendRetries()
			if !eventually(func() bool { return ran() == requests+spent }) {
				t.Errorf("%d requests ran %d times with %d retries", requests, ran(), spent)
			}
			t.Logf("%d of %d requests were replaced", spent, requests)
		})
	}
}

func eventually(f func() bool) bool {
	for range 500 {
		if f() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

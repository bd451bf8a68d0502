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

// noRoom fills the other endpoint with requests of another entry: they take its
// slots many times over.
func noRoom(g *rig) {
	g.d.Heard("entry-2", true, &wire.Tally{Endpoints: []wire.EndpointLoad{{Endpoint: "b", Requests: 100 * rigSlots}}})
}

// An endpoint becomes slow: it sends nothing for longer than an answer may pause,
// and goes on. If the entry's timer ends the try before anyone asks whether a
// repeat, an attempt and room elsewhere can be had, and they cannot, the
// caller loses an answer that was on its way. Its stream breaks off midway, or it
// gets 502 in place of a late answer; the entry's log has
//
//	"outcome":"broken","why":"endpoint silent for 1s; no repeat left in the budget"
//	"outcome":"unknown","why":"no head of the answer for 50ms; no repeat left in the budget"
//
// where it has to have "event":"answer_late","why":"endpoint silent for 1s",
// "lacks":"no repeat left in the budget", and later request_done.
func TestSlowAnswerIsAwaitedWhenThereIsNoOther(t *testing.T) {
	const longer = 3 * shortestSilence / 2
	for _, tt := range []struct {
		name  string
		route route.Route
		// after is where the pause comes. It is longer than what is waited for where
		// there is a repeat.
		after int
		pause time.Duration
		want  string
	}{
		{"plain", plainRoute, beforePlain, 3 * plainRoute.Target, "answer"},
		{"stream without a head", streamed, beforeHead, longer, fourPieces},
		{"stream without an event", streamed, 0, longer, fourPieces},
		{"stream", streamed, 2, longer, fourPieces},
	} {
		for _, lack := range []struct {
			what string
			of   func(g *rig)
			// told is what the log calls it; nothing if the try may not be given up.
			told any
		}{
			{"repeat", func(g *rig) { g.spend() }, "no repeat left in the budget"},
			{"room", noRoom, "full"},
			{"attempt", func(g *rig) { g.cfg.Routes[0].Attempts = 1 }, nil},
		} {
			t.Run(tt.name+", no "+lack.what, func(t *testing.T) {
				t.Parallel()
				slow, other := silentAfter(t, tt.after, tt.pause), silentAfter(t, tt.after, 0)
				g := newRig(t, tt.route, slow, other)
				lack.of(g)
				got := g.send(t.Context(), "x", taken{})
				if got.Outcome != Complete || got.status != http.StatusOK || got.body.String() != tt.want {
					t.Errorf("%v, %q: status %d, %q", got.Outcome, got.Why, got.status, got.body.String())
				}
				if a, b := slow.runs.Load(), other.runs.Load(); a != 1 || b != 0 {
					t.Errorf("ran %d times at the slow endpoint, %d at the other", a, b)
				}
				if told, _ := g.said("answer_late", "lacks"); told != lack.told {
					t.Errorf("the log says that it lacks %v, want %v", told, lack.told)
				}
				if !g.idle() {
					t.Error("work is still counted at an endpoint")
				}
			})
		}
	}
}

// While a caller takes an event slowly, nothing is read from the endpoint. If that
// time counts as the endpoint's silence, its stream is ended and run again.
func TestSlowCallerIsNotTheEndpointsSilence(t *testing.T) {
	endpoint, other := silentAfter(t, 9, 0), silentAfter(t, 9, 0)
	g := newRig(t, streamed, endpoint, other)
	got := g.send(t.Context(), "x", taken{slow: 3 * shortestSilence / 2})
	if got.Outcome != Complete || got.body.String() != fourPieces {
		t.Errorf("%v, %q: %q", got.Outcome, got.Why, got.body.String())
	}
	if n := endpoint.runs.Load() + other.runs.Load(); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// An endpoint that stays silent is left for another one if that has room.
func TestSilentEndpointIsLeftForOneWithRoom(t *testing.T) {
	for _, r := range []route.Route{plainRoute, streamed} {
		after, want := beforePlain, "answer"
		if r.Stream {
			after, want = 2, fourPieces
		}
		silent, other := silentAfter(t, after, time.Minute), silentAfter(t, after, 0)
		g := newRig(t, r, silent, other)
		got := g.send(t.Context(), "x", taken{})
		if got.Outcome != Complete || got.body.String() != want {
			t.Errorf("%v, %q: %q", got.Outcome, got.Why, got.body.String())
		}
		if a, b := silent.runs.Load(), other.runs.Load(); a != 1 || b != 1 {
			t.Errorf("ran %d times at the silent endpoint, %d at the other", a, b)
		}
	}
}

// What is held against an endpoint keeps requests away from it. One that was slow
// and answered after all has done no wrong; one that was silent until the time was
// up has, also where its request could go nowhere else.
func TestOnlySilenceCostsTrust(t *testing.T) {
	for _, tt := range []struct {
		pause time.Duration
		away  bool
	}{{3 * plainRoute.Target, false}, {time.Minute, true}} {
		r := plainRoute
		r.Timeout = 20 * r.Target
		g := newRig(t, r, silentAfter(t, beforePlain, tt.pause), silentAfter(t, beforePlain, 0))
		g.spend()
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() { g.send(t.Context(), "x", taken{}) })
		}
		all.Wait()
		if away, _ := g.said("endpoint_away", "endpoint"); away != nil != tt.away {
			t.Errorf("silent for %v: away %v, want %v", tt.pause, away, tt.away)
		}
	}
}

// Endpoints answer in the moment in which they would be given up. Whatever comes
// first, each caller has to get its answer whole and once, nothing may run more
// often than repeats were taken for it, and what was reserved in vain has to be
// given back.
func TestAnswersThatComeAsTheyAreGivenUp(t *testing.T) {
	for _, tt := range []struct {
		name  string
		route route.Route
		after int
		bound time.Duration
		want  string
	}{
		{"plain", plainRoute, beforePlain, plainRoute.Target, "answer"},
		{"head", streamed, beforeHead, 2 * streamed.Target, fourPieces},
		{"event", streamed, 2, shortestSilence, fourPieces},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			const requests, step = 48, 100 * time.Microsecond
			var endpoints []*standIn
			for range 2 {
				var n atomic.Int32
				endpoints = append(endpoints, silentAfterEach(t, tt.after, func() time.Duration {
					return tt.bound + lookAgain + time.Duration(n.Add(1)-requests/3)*step
				}))
			}
			g := newRig(t, tt.route, endpoints...)
			var all sync.WaitGroup
			for i := range requests {
				all.Go(func() {
					got := g.send(t.Context(), fmt.Sprint(i), taken{})
					if got.Outcome != Complete || got.body.String() != tt.want {
						t.Errorf("%v, %q: %q", got.Outcome, got.Why, got.body.String())
					}
				})
			}
			all.Wait()
			if !soon(g.idle) {
				t.Error("work is still counted at an endpoint")
			}
			ran := func() int { return int(endpoints[0].runs.Load() + endpoints[1].runs.Load()) }
			spent := rigRepeats - g.spend()
			if !soon(func() bool { return ran() == requests+spent }) {
				t.Errorf("%d requests ran %d times with %d repeats", requests, ran(), spent)
			}
			t.Logf("%d of %d requests were given up", spent, requests)
		})
	}
}

func soon(f func() bool) bool {
	for range 500 {
		if f() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

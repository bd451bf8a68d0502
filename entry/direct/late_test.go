package direct

import (
	"net/http"
	"testing"
	"time"

	"lycheepond/core/route"
	"lycheepond/core/wire"
)

// noBudget uses up the repeats of a rig's pool.
func noBudget(g *rig) {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	for spent := true; spent; {
		spent = g.d.v.pool("p", g.d.cfg.Repeats, 1).budget.Spend()
	}
}

// noRoom fills the other endpoint with requests of another entry.
func noRoom(g *rig) {
	g.d.Heard("entry-2", true, &wire.Tally{Held: []wire.Held{{Endpoint: "b", Requests: rigSlots}}})
}

// An endpoint becomes slow: it sends nothing for longer than an answer may pause,
// and goes on. The entry's timer ends the try, and only then is it asked whether
// there are a repeat, an attempt and a place for another one. Where there is none,
// the caller loses an answer that was on its way: its stream breaks off midway, or
// it gets 502 in place of a late answer.
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
			name string
			of   func(g *rig)
		}{
			{"repeat", noBudget},
			{"room", noRoom},
			{"attempt", func(g *rig) { g.cfg.Routes[0].Attempts = 1 }},
		} {
			t.Run(tt.name+", no "+lack.name, func(t *testing.T) {
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

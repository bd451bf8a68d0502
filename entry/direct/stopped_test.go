package direct

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// reading is how long a process that goes on after a stop takes to read the bytes
// that wait: its timers go off before.
const reading = time.Millisecond

// waiting begins a try at an endpoint, beside which another one has room.
func waiting(t *testing.T) (*rig, *watch) {
	g := newRig(t, streamed, &standIn{addr: "a"}, &standIn{addr: "b"})
	ctx, cancel := context.WithCancelCause(t.Context())
	now := time.Now()
	j := &Job{
		ID: "x", Route: &g.cfg.Routes[0], Pool: &g.cfg.Pools[0], Method: "GET", Target: "/", Host: "h", Header: make(http.Header),
		Accepted: now, Deadline: now.Add(time.Minute),
	}
	g.d.mu.Lock()
	v, _ := g.d.place(j, trial{part: 1})
	g.d.mu.Unlock()
	return g, (&task{d: g.d, job: j, caller: ctx, ctx: ctx}).watch(v, cancel)
}

// A process is stopped for a moment while its streams wait for their next events.
// When it goes on, the timers of all streams go off before the bytes are read that
// came meanwhile. If that ends the tries, each stream of the process is run again
// at another endpoint at once, its answer so far is thrown away, and the repeats
// are gone when an endpoint does fail. With one look only each try was "given up for
// endpoint b though the event had come".
func TestStopOfTheProcessIsNotTheEndpointsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, w := waiting(t)
		for range 3 {
			w.wait(shortestSilence, false)
			time.Sleep(shortestSilence + reading)
			w.came()
			if next := w.replaced(); next != nil {
				t.Fatalf("given up for endpoint %s though the event had come", next.id)
			}
		}
	})
}

// The same stop comes while a late answer is awaited for want of a repeat, and in
// it a repeat comes up.
func TestStopWhileALateAnswerIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, w := waiting(t)
		g.spend()
		w.wait(shortestSilence, false)
		time.Sleep(shortestSilence + lookAgain + reading)
		if lacks, _ := g.said("answer_late", "lacks"); lacks == nil {
			t.Fatal("no other try was asked for")
		}
		g.d.mu.Lock()
		w.v.pool.budget.Return()
		g.d.mu.Unlock()
		time.Sleep(askAgain)
		w.came()
		if next := w.replaced(); next != nil {
			t.Errorf("given up for endpoint %s though the event had come", next.id)
		}
	})
}

// An endpoint that is silent itself is left after the second look.
func TestSilenceIsFoundAtTheSecondLook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, w := waiting(t)
		w.wait(shortestSilence, false)
		time.Sleep(shortestSilence + lookAgain + reading)
		if next := w.replaced(); next == nil {
			t.Error("the try goes on")
		}
	})
}

// The stop lasts until the requests' time is up. Their endpoints have done no wrong:
// what they sent waits to be read. If it is held against them, they count as away,
// and the next requests are kept from endpoints that answer: "endpoint a counts as
// away".
func TestTimeUpAfterAStopCostsNoTrust(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, w := waiting(t)
		for range 8 {
			w.wait(shortestSilence, false)
			time.Sleep(shortestSilence + reading)
			w.came()
			w.v.outOfTime()
			g.d.mu.Lock()
			w.v, _ = g.d.place(w.t.job, trial{part: 1})
			g.d.mu.Unlock()
		}
		if away, _ := g.said("endpoint_away", "endpoint"); away != nil {
			t.Errorf("endpoint %s counts as away", away)
		}
	})
}

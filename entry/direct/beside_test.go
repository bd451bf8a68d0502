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

// together is how long two endpoints may work for one answer.
const together = 400 * time.Millisecond

// late is how a try at an endpoint becomes late, and when another one is sent.
type late struct {
	name  string
	route route.Route
	after int
	// bound is how long is waited for the endpoint; the other one is sent at the
	// second look after it.
	bound time.Duration
	want  string
}

var lates = []late{
	{"plain", plainRoute, beforePlain, plainRoute.Target, "answer"},
	{"head", streamed, beforeHead, 2 * streamed.Target, fourPieces},
	{"event", streamed, 2, shortestSilence, fourPieces},
}

// head returns an endpoint that pauses before the head of its answer.
func (l late) head(t *testing.T, pause time.Duration) *standIn {
	if l.route.Stream {
		return silentAfter(t, beforeHead, pause)
	}
	return silentAfter(t, beforePlain, pause)
}

// A late endpoint goes on after its request was sent to another one, which has not
// answered yet. Its caller gets the answer that comes first, whole, and the other
// endpoint is told to stop.
func TestLateEndpointThatGoesOnIsKept(t *testing.T) {
	for _, l := range lates {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			slow, other := silentAfter(t, l.after, l.bound+lookAgain+besideFor/2), l.head(t, time.Minute)
			g := newRig(t, l.route, slow, other)
			got := g.send(t.Context(), "x", taken{})
			if got.Outcome != Complete || got.body.String() != l.want || got.Basis.Endpoint != "a" {
				t.Errorf("%v of endpoint %s, %q: %q", got.Outcome, got.Basis.Endpoint, got.Why, got.body.String())
			}
			if !soon(func() bool { return other.cut.Load() == 1 }) || slow.cut.Load() != 0 {
				t.Errorf("%d requests were ended at the other endpoint, %d at the late one", other.cut.Load(), slow.cut.Load())
			}
			if a, b := slow.runs.Load(), other.runs.Load(); a != 1 || b != 1 {
				t.Errorf("ran %d times at the late endpoint, %d at the other", a, b)
			}
			if left := g.spend(); left != rigRepeats-1 {
				t.Errorf("%d repeats were taken", rigRepeats-left)
			}
			if !g.idle() {
				t.Error("work is still counted at an endpoint")
			}
		})
	}
}

// The other endpoint takes long to answer. Two must not work on for one answer, so
// the late one is told to stop before that.
func TestLateEndpointDoesNotWorkOnBesideAnother(t *testing.T) {
	for _, l := range lates {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			slow := silentAfter(t, l.after, time.Minute)
			var beside atomic.Int64
			other := stand(t, func(s *standIn, c net.Conn, q *http.Request) {
				began := time.Now()
				soon(func() bool { return slow.cut.Load() > 0 })
				beside.Store(int64(time.Since(began)))
				if !s.pause(c, besideFor) {
					return
				}
				if !l.route.Stream {
					whole(c, http.StatusOK, l.want)
					return
				}
				opened(c)
				for i := from(q) + 1; i <= 4; i++ {
					sent(c, piece(i))
				}
				closed(c)
			})
			g := newRig(t, l.route, slow, other)
			got := g.send(t.Context(), "x", taken{})
			if got.Outcome != Complete || got.body.String() != l.want || got.Basis.Endpoint != "b" {
				t.Errorf("%v of endpoint %s, %q: %q", got.Outcome, got.Basis.Endpoint, got.Why, got.body.String())
			}
			if both := time.Duration(beside.Load()); both > together {
				t.Errorf("both endpoints worked for %v", both)
			}
		})
	}
}

// An event of the late endpoint is read in the moment after the other one was taken,
// which was sent for what comes behind the event before. If it is passed on, the
// caller gets it twice.
func TestNothingIsPassedOnOnceAnotherIsTaken(t *testing.T) {
	g := newRig(t, streamed, silentAfter(t, 9, 0), silentAfter(t, 9, 0))
	_, w := waiting(t)
	w.t.d = g.d
	var body bytes.Buffer
	w.t.sink = Sink{
		Head:  func(int, http.Header, int64) {},
		Write: func(p []byte) error { body.Write(p); return nil },
		Flush: func() error { return nil },
	}
	g.d.mu.Lock()
	v, _ := g.d.place(w.t.job, trial{part: 1})
	next, _ := g.d.place(w.t.job, trial{avoid: v.id, part: 1})
	g.d.mu.Unlock()
	x := w.t.exchange(v)
	a, err := w.t.ask(x.ctx, v)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	w = w.t.watch(v, x.cancel)
	w.next, w.taken, w.why = next, true, &lateError{bound: shortestSilence}
	got := w.t.relay(a, v, w)
	if body.Len() > 0 || got.done || got.res.Why != w.why.Error() {
		t.Errorf("%+v after %q", got, body.String())
	}
}

// The late endpoint and the other one answer in the same moment. Whichever is
// taken, each caller has to get its answer whole and once, each run but the first
// has to have its repeat, and nothing may stay counted at an endpoint.
func TestBothEndpointsAnswerInTheSameMoment(t *testing.T) {
	const requests, step, answer = 48, 500 * time.Microsecond, 20 * time.Millisecond
	for _, l := range lates {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int32
			slow := silentAfterEach(t, l.after, func() time.Duration {
				return l.bound + lookAgain + answer + time.Duration(n.Add(1)-requests/3)*step
			})
			other := l.head(t, answer)
			g := newRig(t, l.route, slow, other)
			var all sync.WaitGroup
			for i := range requests {
				all.Go(func() {
					got := g.send(t.Context(), fmt.Sprint(i), taken{})
					if got.Outcome != Complete || got.body.String() != l.want {
						t.Errorf("%v, %q: %q", got.Outcome, got.Why, got.body.String())
					}
				})
			}
			all.Wait()
			if !soon(g.idle) {
				t.Error("work is still counted at an endpoint")
			}
			spent := rigRepeats - g.spend()
			if !soon(func() bool { return int(slow.runs.Load()+other.runs.Load()) == requests+spent }) {
				t.Errorf("%d requests ran %d and %d times with %d repeats", requests, slow.runs.Load(), other.runs.Load(), spent)
			}
			t.Logf("%d of %d were sent to the other endpoint, which was ended at %d of them; the late one was at %d", spent, requests, other.cut.Load(), slow.cut.Load())
		})
	}
}

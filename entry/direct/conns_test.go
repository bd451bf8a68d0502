package direct

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"lycheepond/core/route"
	"lycheepond/entry/hop"
)

// Guards against a request that is refused for want of a connection after the operator has removed
// the limit: its job still has the pool of the configuration before.
func TestRemovedLimitRefusesNothing(t *testing.T) {
	h := newHarness(t, route.Route{Attempts: 1, Target: time.Minute, Timeout: time.Minute}, newTestEndpoint(t, func(_ *testEndpoint, c net.Conn, _ *http.Request) {
		writeWhole(c, http.StatusOK, "ok")
	}))
	before := route.Pool{Name: "p", MaxConns: 10}
	now := time.Now()
	j := &Job{ID: "x", Route: &h.cfg.Routes[0], Pool: &before, AcceptedAt: now, Deadline: now.Add(time.Minute)}
	if _, dec := h.d.admitJob(t.Context(), j); dec.Endpoint < 0 {
		t.Errorf("refused: %v", dec.Reason)
	}
}

// Guards against a request that waits for a connection and is then sent to an endpoint that has begun
// to leave, or with the time that was left before the wait.
func TestRequestIsCheckedAfterWaitForConnection(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		first := make(chan bool)
		e := newTestEndpoint(t, func(e *testEndpoint, c net.Conn, _ *http.Request) {
			if e.runs.Load() == 1 {
				<-first
			}
			writeWhole(c, http.StatusOK, "ok")
		})
		h := newHarness(t, route.Route{Attempts: 1, Target: time.Minute, Timeout: time.Minute}, e)
		h.cfg.Revision, h.cfg.Pools[0].MaxConns = 2, 1
		h.d.SetConfig(h.cfg)
		var timesLeft []time.Duration
		h.d.cfg.StampHeaders = func(_ *hop.Request, o AttemptInfo) { timesLeft = append(timesLeft, o.TimeLeft) }
		now := time.Now()
		j := &Job{ID: "x", Route: &h.cfg.Routes[0], Pool: &h.cfg.Pools[0], Method: "GET", Target: "/", Host: "h", Header: make(http.Header), AcceptedAt: now, Deadline: now.Add(time.Minute)}
		a, dec := h.d.admitJob(t.Context(), j)
		if dec.Endpoint < 0 {
			t.Fatal(dec.Reason)
		}
		h.d.cfg.Client.SetLimit(e.addr, 1)
		firstEnded := make(chan error, 1)
		go func() {
			answer, err := h.d.cfg.Client.Do(t.Context(), e.addr, &hop.Request{ID: "first", Method: "GET", Target: "/", Host: "h", Header: make(http.Header), MatchAnswer: func(int, http.Header) hop.Match { return hop.Named }})
			if err == nil {
				answer.Close()
			}
			firstEnded <- err
		}()
		for e.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.AfterFunc(100*time.Millisecond, func() {
			if leaves {
				h.d.mu.Lock()
				h.d.view.leaving.Record(a.start)
				h.d.mu.Unlock()
			}
			close(first)
		})
		task := &task{d: h.d, job: j, caller: t.Context(), ctx: t.Context()}
		answer, err := task.sendRequest(task.newExchange(a))
		if err == nil {
			answer.Close()
		}
		if leaves && (!errors.Is(err, errLeaving) || e.runs.Load() != 1) || !leaves && err != nil {
			t.Errorf("endpoint leaves %v: %v, %d requests arrived", leaves, err, e.runs.Load())
		}
		if n := len(timesLeft); n != 2 || timesLeft[0]-timesLeft[1] < 100*time.Millisecond {
			t.Errorf("the times left at the sends were %v", timesLeft)
		}
		if err := <-firstEnded; err != nil {
			t.Error(err)
		}
	}
}

package proof

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"lycheepond/core/plat"
	"lycheepond/core/wire"
	"lycheepond/trial/engin"
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/platf"
	"lycheepond/trial/proxy"
)

// leaveWithin is how soon an endpoint that is leaving must get no new work.
const leaveWithin = 3 * time.Second

// poured is the most requests that pour has on their way: fewer than one engine serves at
// once, so that nothing need be refused on a slow machine.
const poured = 3

// pour sends short work through both entries until stop is closed.
func (r *rig) pour(b *batch, tag string, stop <-chan struct{}) {
	b.wait.Go(func() {
		tick := time.NewTicker(15 * time.Millisecond)
		defer tick.Stop()
		var one batch
		places := make(chan struct{}, poured)
		for n := 0; ; n++ {
			select {
			case <-stop:
				b.add(one.end())
				return
			case <-r.ctx.Done():
				b.add(one.end())
				return
			case <-tick.C:
			}
			places <- struct{}{}
			one.wait.Go(func() {
				defer func() { <-places }()
				one.add([]load.Result{r.callers[n%2].Send(r.ctx, 0, ask(n%4, fmt.Sprintf("%s-%d", tag, n), 4, n%2 == 0))})
			})
		}
	})
}

// An instance is about to go. Its own agent says so, or only the platform's
// list does, or both. Work that is sent to it after a few seconds would be lost
// with it.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name       string
		self, list bool
	}{
		{"told by itself", true, false},
		{"told by the instance list", false, true},
		{"told by both", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, shape{engines: []engin.Config{quick(), quick()}, entries: 2})
			u := r.fleet.Unit("engine-1")
			var b batch
			stop := make(chan struct{})
			r.pour(&b, "pour", stop)
			r.await("the endpoint works", func() bool { return len(r.records(u)) > 5 })
			if tc.list {
				r.must(r.fleet.SetState(r.ctx, u, plat.StateLeaving))
			}
			if tc.self {
				r.must(u.Agent.Signal(syscall.SIGTERM))
			}
			time.Sleep(leaveWithin)
			before := len(r.records(u))
			others := len(r.records(r.fleet.Unit("engine-2")))
			r.await("the other endpoint works on", func() bool {
				return len(r.records(r.fleet.Unit("engine-2"))) > others+20
			})
			if after := len(r.records(u)); after != before {
				t.Errorf("%d requests were started on the leaving endpoint", after-before)
			}
			close(stop)
			seen := r.judge(b.end())
			if seen[load.Unknown]+seen[load.Refused] > 0 {
				t.Errorf("outcomes %v", seen)
			}
		})
	}
}

// An agent dies without a word while the instance list, which lags, still calls
// it live. It gets no new work, because it claims none.
func TestSilentAgentGetsNoNewWork(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{engines: []engin.Config{quick(), quick()}, entries: 2})
	r.must(r.fleet.Platform().Fault(r.ctx, platf.Fault{Lag: 60e9}))
	u := r.fleet.Unit("engine-1")
	r.must(u.Agent.Pause())
	var b batch
	for i := range 24 {
		r.send(&b, i%2, ask(i%4, fmt.Sprintf("silent-%d", i), 6, i%2 == 0))
	}
	seen := r.judge(b.end())
	if seen[load.Complete] != 24 {
		t.Errorf("outcomes %v", seen)
	}
	if n := len(r.records(u)); n != 0 {
		t.Errorf("%d requests on the silent endpoint", n)
	}
	r.must(u.Agent.Resume())
}

// records returns what one endpoint executed.
func (r *rig) records(u *fleet.Unit) []engin.Record {
	r.t.Helper()
	recs, err := u.Records(r.ctx)
	r.must(err)
	return recs
}

// An operator restarts an agent or an entry as planned, while answers stream
// through it. Every answer that has begun comes to its end, and the process
// leaves by itself.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	t.Parallel()
	for _, who := range []string{"agent", "entry"} {
		t.Run(who, func(t *testing.T) {
			r := newRig(t, shape{engines: []engin.Config{quick(), quick()}, services: 1, work: 700 * time.Millisecond, entries: 2})
			proc := r.fleet.Unit("engine-1").Agent
			if who == "entry" {
				proc = r.fleet.Entries()[0].Proc
			}
			var b batch
			for i := range 8 {
				r.send(&b, i%2, ask(i%4, fmt.Sprintf("stop-%d", i), 200, i%2 == 0))
			}
			for i := range 2 {
				j := post(fmt.Sprintf("stop-call-%d", i), "")
				r.send(&b, i%2, j)
			}
			// Which endpoint gets the streams is the placement's choice.
			r.await("engine-1 works and answers stream", func() bool {
				pieces := 0
				for _, p := range r.proxies {
					pieces += p.Seen(proxy.Down, wire.KindChunk)
				}
				return pieces >= 3 && len(r.records(r.fleet.Unit("engine-1"))) > 0
			})
			r.await("the service works", func() bool { return len(r.records(r.fleet.Unit("service-1"))) == 2 })
			r.must(proc.Signal(syscall.SIGTERM))
			seen := r.judge(b.end())
			if seen[load.Complete] != 10 {
				t.Errorf("outcomes %v", seen)
			}
			select {
			case <-proc.Done():
				if proc.ExitErr() != nil {
					t.Errorf("%s ended with %v", who, proc.ExitErr())
				}
			case <-r.ctx.Done():
				t.Errorf("%s did not end", who)
			}
		})
	}
}

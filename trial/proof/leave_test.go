package proof

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"lycheepond/core/plat"
	"lycheepond/core/wire"
	"lycheepond/trial/fleet"
	"lycheepond/trial/load"
	"lycheepond/trial/proxy"
	"lycheepond/trial/simapi"
	"lycheepond/trial/simeng"
)

// maxLeaveDelay is the time after the announcement within which a leaving endpoint
// may still get new requests.
const maxLeaveDelay = 3 * time.Second

// maxContinuousInFlight is the maximum number of requests of sendContinuously
// in flight. It is less than the slots of one engine, so that no request has to
// be refused on a slow machine.
const maxContinuousInFlight = 3

// sendContinuously starts to send short requests through both entries, which it
// continues until stop is closed. Then the results are added to b. tag must be
// unique within a test.
func (r *rig) sendContinuously(b *requestBatch, tag string, stop <-chan struct{}) {
	b.wg.Go(func() {
		tick := time.NewTicker(15 * time.Millisecond)
		defer tick.Stop()
		var sent requestBatch
		slots := make(chan struct{}, maxContinuousInFlight)
		for n := 0; ; n++ {
			select {
			case <-stop:
				b.add(sent.wait())
				return
			case <-r.ctx.Done():
				b.add(sent.wait())
				return
			case <-tick.C:
			}
			slots <- struct{}{}
			sent.wg.Go(func() {
				defer func() { <-slots }()
				sent.add([]load.Result{r.callers[n%2].Send(r.ctx, 0, modelJob(n%4, fmt.Sprintf("%s-%d", tag, n), 4, n%2 == 0))})
			})
		}
	})
}

// An instance is about to be removed. This is announced by its agent, by the
// platform's instance list, or by both. After maxLeaveDelay it must get no new
// requests, because they would be lost with it.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name            string
		byAgent, byList bool
	}{
		{"announced by its agent", true, false},
		{"announced by the instance list", false, true},
		{"announced by both", true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine(), fastEngine()}, entries: 2})
			u := r.fleet.Unit("engine-1")
			var b requestBatch
			stop := make(chan struct{})
			r.sendContinuously(&b, "pour", stop)
			r.await("the endpoint executes requests", func() bool { return len(r.records(u)) > 5 })
			if tc.byList {
				r.must(r.fleet.SetState(r.ctx, u, plat.StateLeaving))
			}
			if tc.byAgent {
				r.must(u.Agent.Signal(syscall.SIGTERM))
			}
			time.Sleep(maxLeaveDelay)
			recordsBefore := len(r.records(u))
			otherRecords := len(r.records(r.fleet.Unit("engine-2")))
			r.await("the other endpoint executes more requests", func() bool {
				return len(r.records(r.fleet.Unit("engine-2"))) > otherRecords+20
			})
			if recordsAfter := len(r.records(u)); recordsAfter != recordsBefore {
				t.Errorf("%d requests were started on the leaving endpoint", recordsAfter-recordsBefore)
			}
			close(stop)
			outcomes := r.checkResults(b.wait())
			if outcomes[load.Unknown]+outcomes[load.Refused] > 0 {
				t.Errorf("outcomes %v", outcomes)
			}
		})
	}
}

// An agent stops responding without notice, while the lagging instance list still
// shows it as live. It must get no requests, because it claims none.
func TestUnresponsiveAgentGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine(), fastEngine()}, entries: 2})
	r.must(r.fleet.Platform().SetFault(r.ctx, simapi.Fault{Lag: 60e9}))
	u := r.fleet.Unit("engine-1")
	r.must(u.Agent.Pause())
	var b requestBatch
	for i := range 24 {
		r.send(&b, i%2, modelJob(i%4, fmt.Sprintf("silent-%d", i), 6, i%2 == 0))
	}
	outcomes := r.checkResults(b.wait())
	if outcomes[load.Complete] != 24 {
		t.Errorf("outcomes %v", outcomes)
	}
	if n := len(r.records(u)); n != 0 {
		t.Errorf("%d requests were executed by the endpoint of the paused agent", n)
	}
	r.must(u.Agent.Resume())
}

// records returns the executions that an endpoint recorded.
func (r *rig) records(u *fleet.Unit) []simeng.Record {
	r.t.Helper()
	recs, err := u.Records(r.ctx)
	r.must(err)
	return recs
}

// An operator stops an agent or an entry as planned while it streams answers.
// Every request in flight must complete, and the process must then exit without
// an error.
func TestPlannedStopInterruptsNothing(t *testing.T) {
	t.Parallel()
	for _, role := range []string{"agent", "entry"} {
		t.Run(role, func(t *testing.T) {
			r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine(), fastEngine()}, services: 1, callTime: 700 * time.Millisecond, entries: 2})
			proc := r.fleet.Unit("engine-1").Agent
			if role == "entry" {
				proc = r.fleet.Entries()[0].Proc
			}
			var b requestBatch
			for i := range 8 {
				r.send(&b, i%2, modelJob(i%4, fmt.Sprintf("stop-%d", i), 200, i%2 == 0))
			}
			for i := range 2 {
				j := serviceJob(fmt.Sprintf("stop-call-%d", i), "")
				r.send(&b, i%2, j)
			}
			// The streams may be placed at either engine, so count frames at all
			// proxies.
			r.await("engine-1 executes a request and answers are streamed", func() bool {
				chunks := 0
				for _, p := range r.proxies {
					chunks += p.FramesForwarded(proxy.Down, wire.KindChunk)
				}
				return chunks >= 3 && len(r.records(r.fleet.Unit("engine-1"))) > 0
			})
			r.await("the service executes both calls", func() bool { return len(r.records(r.fleet.Unit("service-1"))) == 2 })
			r.must(proc.Signal(syscall.SIGTERM))
			outcomes := r.checkResults(b.wait())
			if outcomes[load.Complete] != 10 {
				t.Errorf("outcomes %v", outcomes)
			}
			select {
			case <-proc.Done():
				if proc.ExitErr() != nil {
					t.Errorf("%s ended with %v", role, proc.ExitErr())
				}
			case <-r.ctx.Done():
				t.Errorf("%s did not end", role)
			}
		})
	}
}

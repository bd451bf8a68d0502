package proof

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"lycheepond/core/spec"
	"lycheepond/trial/engin"
	"lycheepond/trial/load"
	"lycheepond/trial/plain"
	"lycheepond/trial/platf"
)

// runs returns how often the endpoints ran a job.
func (r *rig) runs(j load.Job) int { return r.executed()[digest(j)] }

// homed waits until keyed calls are served, which needs the first table.
func (r *rig) homed() {
	r.t.Helper()
	n := 0
	r.await("keyed calls are served", func() bool {
		n++
		return r.callers[n%len(r.callers)].Send(r.ctx, 0, post(fmt.Sprintf("warm-%d", n), newKey(r.t))).Outcome == load.Complete
	})
}

// newKey returns a key that tells when it was made.
func newKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

// held slows every call of the services down, so that a test can act while
// one runs.
func (r *rig) held(d time.Duration) {
	r.t.Helper()
	for _, u := range r.fleet.Units() {
		if u.Plain != nil {
			r.must(u.Fault(r.ctx, plain.Fault{Delay: spec.Duration(d)}))
		}
	}
}

// An entry is killed after it handed a register submission to an agent. The
// caller, who saw its connection break, retries with the same key through the
// other entry. It gets the answer of the first run; the submission is made
// once.
func TestRetryThroughOtherEntryAfterKill(t *testing.T) {
	t.Parallel()
	for _, platformDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform-down=%v", platformDown), func(t *testing.T) {
			r := newRig(t, shape{services: 2, work: 10 * time.Millisecond, entries: 2})
			r.homed()
			r.held(1500 * time.Millisecond)
			if platformDown {
				r.must(r.fleet.Platform().Fault(r.ctx, platf.Fault{Down: true}))
			}
			j := post("submission", newKey(t))
			var b batch
			r.send(&b, 0, j)
			r.await("the submission runs", func() bool { return r.runs(j) == 1 })
			r.must(r.fleet.Entries()[0].Proc.Kill())
			first := b.end()[0]
			if first.Outcome != load.Unknown {
				t.Errorf("the caller of the killed entry saw %s", first.Outcome)
			}
			retry := r.callers[1].Send(r.ctx, 0, j)
			if retry.Outcome != load.Complete {
				t.Errorf("the retry ended as %s: %s", retry.Outcome, retry.Detail)
			}
			if n := r.runs(j); n != 1 {
				t.Errorf("the submission ran %d times", n)
			}
		})
	}
}

// The agent that ran a submission is killed before it could answer and is
// started again, without any memory of it. The caller's retries are never run:
// they hear unknown, or not-run while nobody may act for the key. Fresh keys are
// served again soon.
func TestRetryAfterAgentRestart(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{services: 2, work: 10 * time.Millisecond, entries: 2})
	r.homed()
	r.held(1500 * time.Millisecond)
	j := post("submission", newKey(t))
	var b batch
	r.send(&b, 0, j)
	r.await("the submission runs", func() bool { return r.runs(j) == 1 })
	for _, u := range r.fleet.Units() {
		r.must(u.Agent.Kill())
		r.must(r.fleet.RestartAgent(r.ctx, u))
	}
	first := b.end()[0]
	if first.Outcome == load.Refused {
		t.Errorf("the caller was told that its submission was not run")
	}
	r.held(0)
	r.homed()
	for i := range 2 {
		retry := r.callers[i].Send(r.ctx, 0, j)
		if retry.Outcome != load.Unknown {
			t.Errorf("retry %d ended as %s: %s", i, retry.Outcome, retry.Detail)
		}
	}
	if n := r.runs(j); n != 1 {
		t.Errorf("the submission ran %d times", n)
	}
}

// The agent that ran a submission is stopped as planned, as in each of the
// nightly restarts, and the caller, whose line broke, asks again with the same
// key. Through either entry it gets the answer that was made, soon and not only
// after the lease of the agent that left; the register sees the submission once.
// Keys that were never used, made before the stop, are served too.
func TestRetryAfterPlannedStopOfHome(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{services: 2, work: 10 * time.Millisecond, entries: 2})
	r.homed()
	var jobs, unused []load.Job
	stopped := ""
	for i := range 12 {
		jobs = append(jobs, post(fmt.Sprintf("submission-%d", i), newKey(t)))
		unused = append(unused, post(fmt.Sprintf("unused-%d", i), newKey(t)))
		first := r.callers[i%2].Send(r.ctx, 0, jobs[i])
		if first.Outcome != load.Complete {
			t.Fatalf("first: %s %s", first.Outcome, first.Detail)
		}
	}
	for _, u := range r.fleet.Units() {
		if len(r.records(u)) > 0 {
			stopped = u.Name
		}
	}
	home := r.fleet.Unit(stopped).Agent
	r.must(home.Signal(syscall.SIGTERM))
	select {
	case <-home.Done():
	case <-r.ctx.Done():
		t.Fatal("the agent did not end")
	}
	begun := time.Now()
	for i, j := range append(jobs, unused...) {
		for c := range 2 {
			var res load.Result
			r.await("the key is answered", func() bool {
				res = r.callers[c].Send(r.ctx, 0, j)
				return res.Outcome != load.Refused
			})
			if res.Outcome != load.Complete {
				t.Errorf("job %d through entry %d ended as %s: %s", i, c, res.Outcome, res.Detail)
			}
		}
		if n := r.runs(j); n != 1 {
			t.Errorf("job %d ran %d times", i, n)
		}
	}
	t.Logf("%s left; its keys were answered within %v", stopped, time.Since(begun))
}

// Two retries of one confirmation arrive at the same moment through two
// entries, as when an impatient caller presses twice. Both get the one answer;
// the referee is confirmed once.
func TestRacingRetries(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{services: 2, work: 50 * time.Millisecond, entries: 2})
	r.homed()
	var b batch
	for i := range 10 {
		j := post(fmt.Sprintf("confirm-%d", i), newKey(t))
		for n := range 4 {
			r.send(&b, n%2, j)
		}
	}
	results := b.end()
	seen := r.judge(results)
	if seen[load.Complete] != len(results) {
		t.Errorf("outcomes %v", seen)
	}
}

// A caller uses one key for two different submissions by mistake. The second is
// refused as a mistake and is not run in place of the first.
func TestKeyUsedForAnotherRequest(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{services: 1, work: 10 * time.Millisecond, entries: 1})
	r.homed()
	key := newKey(t)
	if res := r.callers[0].Send(r.ctx, 0, post("one", key)); res.Outcome != load.Complete {
		t.Fatalf("first: %s %s", res.Outcome, res.Detail)
	}
	other := post("two", key)
	res := r.callers[0].Send(r.ctx, 0, other)
	if res.Status != 409 || r.runs(other) != 0 {
		t.Errorf("status %d, ran %d times", res.Status, r.runs(other))
	}
}

// The platform is away for longer than the lease of the keys' homes. Calls with
// a key are refused, truthfully and at once, with a time to come back; all other
// work goes on. When the platform is back, keyed calls are served and none ran
// twice.
func TestPlatformAwayLongerThanLease(t *testing.T) {
	t.Parallel()
	r := newRig(t, shape{engines: []engin.Config{quick()}, services: 2, work: 10 * time.Millisecond, entries: 2})
	r.homed()
	r.must(r.fleet.Platform().Fault(r.ctx, platf.Fault{Down: true}))
	var results []load.Result
	n := 0
	r.await("the lease has run out", func() bool {
		n++
		res := r.callers[n%2].Send(r.ctx, 0, post(fmt.Sprintf("away-%d", n), newKey(t)))
		results = append(results, res)
		return res.Outcome == load.Refused
	})
	if last := results[len(results)-1]; last.RetryAfter <= 0 {
		t.Errorf("refused without a time to come back: %s", last.Detail)
	}
	var b batch
	for i := range 8 {
		r.send(&b, i%2, ask(i%spec.Tiers, fmt.Sprintf("model-%d", i), 10, true))
	}
	if seen := r.judge(b.end()); seen[load.Complete] != 8 {
		t.Errorf("work without a key: %v", seen)
	}
	r.must(r.fleet.Platform().Fault(r.ctx, platf.Fault{}))
	r.homed()
	r.judge(results)
}

package proof

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"lycheepond/core/spec"
	"lycheepond/trial/load"
	"lycheepond/trial/plain"
	"lycheepond/trial/simapi"
	"lycheepond/trial/simeng"
)

// countRuns returns the number of executions of a job at all endpoints.
func (r *rig) countRuns(j load.Job) int { return r.executions()[jobDigest(j)] }

// awaitKeyedCalls waits until calls with an idempotency key are served, for
// which the entries need the first table of homes.
func (r *rig) awaitKeyedCalls() {
	r.t.Helper()
	sent := 0
	r.await("keyed calls are served", func() bool {
		sent++
		return r.callers[sent%len(r.callers)].Send(r.ctx, 0, serviceJob(fmt.Sprintf("warm-%d", sent), newKey(r.t))).Outcome == load.Complete
	})
}

// newKey returns a new idempotency key, a UUIDv7, which contains its creation
// time.
func newKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

// delayServices adds delay d to every call of the plain services, so that a
// test can act while a call runs.
func (r *rig) delayServices(d time.Duration) {
	r.t.Helper()
	for _, u := range r.fleet.Units() {
		if u.Plain != nil {
			r.must(u.SetFault(r.ctx, plain.Fault{Delay: spec.Duration(d)}))
		}
	}
}

// An entry is killed while an agent runs a call that it forwarded. The caller's
// connection breaks, and the caller retries with the same idempotency key through
// the other entry. It must get the answer of the first execution, without a
// second one, also while the platform is down.
func TestRetryThroughOtherEntryAfterKill(t *testing.T) {
	t.Parallel()
	for _, platformDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform-down=%v", platformDown), func(t *testing.T) {
			r := newRig(t, rigConfig{services: 2, callTime: 10 * time.Millisecond, entries: 2})
			r.awaitKeyedCalls()
			r.delayServices(1500 * time.Millisecond)
			if platformDown {
				r.must(r.fleet.Platform().SetFault(r.ctx, simapi.Fault{Down: true}))
			}
			j := serviceJob("submission", newKey(t))
			var b requestBatch
			r.send(&b, 0, j)
			r.await("the submission runs", func() bool { return r.countRuns(j) == 1 })
			r.must(r.fleet.Entries()[0].Proc.Kill())
			first := b.wait()[0]
			if first.Outcome != load.Unknown {
				t.Errorf("the caller of the killed entry saw %s", first.Outcome)
			}
			retry := r.callers[1].Send(r.ctx, 0, j)
			if retry.Outcome != load.Complete {
				t.Errorf("the retry ended as %s: %s", retry.Outcome, retry.Detail)
			}
			if n := r.countRuns(j); n != 1 {
				t.Errorf("the submission ran %d times", n)
			}
		})
	}
}

// All agents are killed while one of them runs a call, and are restarted without
// any record of it. Retries with the same idempotency key must never run: they
// are answered unknown, or not-run while the key has no home. Calls with new keys
// must be served again.
func TestRetryAfterAgentRestart(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{services: 2, callTime: 10 * time.Millisecond, entries: 2})
	r.awaitKeyedCalls()
	r.delayServices(1500 * time.Millisecond)
	j := serviceJob("submission", newKey(t))
	var b requestBatch
	r.send(&b, 0, j)
	r.await("the submission runs", func() bool { return r.countRuns(j) == 1 })
	for _, u := range r.fleet.Units() {
		r.must(u.Agent.Kill())
		r.must(r.fleet.RestartAgent(r.ctx, u))
	}
	first := b.wait()[0]
	if first.Outcome == load.Refused {
		t.Errorf("the caller was answered not-run although its submission ran")
	}
	r.delayServices(0)
	r.awaitKeyedCalls()
	for i := range 2 {
		retry := r.callers[i].Send(r.ctx, 0, j)
		if retry.Outcome != load.Unknown {
			t.Errorf("retry %d ended as %s: %s", i, retry.Outcome, retry.Detail)
		}
	}
	if n := r.countRuns(j); n != 1 {
		t.Errorf("the submission ran %d times", n)
	}
}

// The agent that ran keyed calls is stopped as planned, as in a nightly restart,
// and callers whose connection broke retry with the same keys. Through either
// entry they must get the stored answer, before the lease of the stopped agent
// expires, and no call runs twice. Unused keys that were created before the stop
// must be served too.
func TestRetryAfterPlannedStopOfHome(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{services: 2, callTime: 10 * time.Millisecond, entries: 2})
	r.awaitKeyedCalls()
	var jobs, unusedKeyJobs []load.Job
	stoppedName := ""
	for i := range 12 {
		jobs = append(jobs, serviceJob(fmt.Sprintf("submission-%d", i), newKey(t)))
		unusedKeyJobs = append(unusedKeyJobs, serviceJob(fmt.Sprintf("unused-%d", i), newKey(t)))
		first := r.callers[i%2].Send(r.ctx, 0, jobs[i])
		if first.Outcome != load.Complete {
			t.Fatalf("first: %s %s", first.Outcome, first.Detail)
		}
	}
	for _, u := range r.fleet.Units() {
		if len(r.records(u)) > 0 {
			stoppedName = u.Name
		}
	}
	agent := r.fleet.Unit(stoppedName).Agent
	r.must(agent.Signal(syscall.SIGTERM))
	select {
	case <-agent.Done():
	case <-r.ctx.Done():
		t.Fatal("the stopped agent did not end")
	}
	stoppedAt := time.Now()
	for i, j := range append(jobs, unusedKeyJobs...) {
		for entry := range 2 {
			var res load.Result
			r.await("the key is answered", func() bool {
				res = r.callers[entry].Send(r.ctx, 0, j)
				return res.Outcome != load.Refused
			})
			if res.Outcome != load.Complete {
				t.Errorf("job %d through entry %d ended as %s: %s", i, entry, res.Outcome, res.Detail)
			}
		}
		if n := r.countRuns(j); n != 1 {
			t.Errorf("job %d ran %d times", i, n)
		}
	}
	t.Logf("%s stopped; its keys were answered within %v", stoppedName, time.Since(stoppedAt))
}

// A call arrives four times at the same moment with the same idempotency key,
// through two entries, as when a user submits a form repeatedly. It must run
// once, and every caller must get its answer.
func TestConcurrentRetries(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{services: 2, callTime: 50 * time.Millisecond, entries: 2})
	r.awaitKeyedCalls()
	var b requestBatch
	for i := range 10 {
		j := serviceJob(fmt.Sprintf("confirm-%d", i), newKey(t))
		for n := range 4 {
			r.send(&b, n%2, j)
		}
	}
	results := b.wait()
	outcomes := r.checkResults(results)
	if outcomes[load.Complete] != len(results) {
		t.Errorf("outcomes %v", outcomes)
	}
}

// A caller uses one idempotency key for two different calls by mistake. The
// second must be refused with status 409 and must not run.
func TestKeyUsedForAnotherRequest(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{services: 1, callTime: 10 * time.Millisecond, entries: 1})
	r.awaitKeyedCalls()
	key := newKey(t)
	if res := r.callers[0].Send(r.ctx, 0, serviceJob("one", key)); res.Outcome != load.Complete {
		t.Fatalf("first: %s %s", res.Outcome, res.Detail)
	}
	otherJob := serviceJob("two", key)
	res := r.callers[0].Send(r.ctx, 0, otherJob)
	if res.Status != 409 || r.countRuns(otherJob) != 0 {
		t.Errorf("status %d, ran %d times", res.Status, r.countRuns(otherJob))
	}
}

// The platform is down for longer than the lease of the agents that are homes of
// idempotency keys. Calls with a key must then be refused at once with a
// Retry-After time, and must not run; requests without a key are still served.
// Once the platform is back, calls with a key must be served again, and none ran
// twice.
func TestPlatformDownLongerThanLease(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigConfig{engines: []simeng.Config{fastEngine()}, services: 2, callTime: 10 * time.Millisecond, entries: 2})
	r.awaitKeyedCalls()
	r.must(r.fleet.Platform().SetFault(r.ctx, simapi.Fault{Down: true}))
	var results []load.Result
	n := 0
	r.await("the lease has run out", func() bool {
		n++
		res := r.callers[n%2].Send(r.ctx, 0, serviceJob(fmt.Sprintf("away-%d", n), newKey(t)))
		results = append(results, res)
		return res.Outcome == load.Refused
	})
	if last := results[len(results)-1]; last.RetryAfter <= 0 {
		t.Errorf("refused without Retry-After: %s", last.Detail)
	}
	var b requestBatch
	for i := range 8 {
		r.send(&b, i%2, modelJob(i%spec.Tiers, fmt.Sprintf("model-%d", i), 10, true))
	}
	if outcomes := r.checkResults(b.wait()); outcomes[load.Complete] != 8 {
		t.Errorf("requests without a key: outcomes %v", outcomes)
	}
	r.must(r.fleet.Platform().SetFault(r.ctx, simapi.Fault{}))
	r.awaitKeyedCalls()
	r.checkResults(results)
}

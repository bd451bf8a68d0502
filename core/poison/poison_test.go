package poison

import (
	"fmt"
	"testing"
	"time"
)

func fingerprint(name string) Fingerprint {
	return NewFingerprint("POST", "h", "/", "customer", []byte(name))
}

func first() time.Duration { return 0 }

// crashUnder has an endpoint crash under requests.
func crashUnder(b *Book, now time.Duration, id string, all ...Fingerprint) {
	for _, f := range all {
		b.RunLost(now, f, id)
	}
	b.Crashed(now, id)
}

// Guards against placing a request that has crashed three endpoints.
func TestQuarantineAfterThreeCrashes(t *testing.T) {
	b, bad := New(), fingerprint("bad")
	for i := range crashLimit {
		if wait := b.Wait(time.Second, bad, first); wait > 0 {
			t.Fatalf("quarantined for %v after %d crashes", wait, i)
		}
		crashUnder(b, time.Second, fmt.Sprint("e", i), bad)
		// One crash may be noticed in several ways.
		crashUnder(b, time.Second, fmt.Sprint("e", i), bad)
	}
	if wait := b.Wait(time.Second, bad, first); wait != firstQuarantine {
		t.Errorf("quarantined for %v, want %v", wait, firstQuarantine)
	}
	if got := b.Changes(); len(got) != 1 || got[0].Fingerprint != bad || len(got[0].Endpoints) != crashLimit || !got[0].Local {
		t.Errorf("changes %+v", got)
	}
}

// Guards against suspecting requests on endpoints that truncate answers without crashing.
func TestTruncatedAnswersAreNoCrashes(t *testing.T) {
	b, f := New(), fingerprint("c")
	now := time.Second
	for i := range 20 {
		id := fmt.Sprint("e", i%4)
		b.RunLost(now, f, id)
		b.Completed(now+time.Second, fingerprint("other"), id)
		now += 2 * time.Second
	}
	for i := range 4 {
		b.Crashed(now, fmt.Sprint("e", i))
	}
	b.RunLost(now, f, "e9")
	b.Crashed(now+2*confirmWithin, "e9")
	if b.Suspect(now, f) {
		t.Error("a request is a suspect because of truncated answers")
	}
}

// Guards against quarantining a popular request that runs beside every crash.
func TestPopularRequestBesideCrashes(t *testing.T) {
	b, bad, popular := New(), fingerprint("bad"), fingerprint("popular")
	b.Completed(0, popular, "e")
	for i := range crashLimit {
		crashUnder(b, time.Second, fmt.Sprint("e", i), popular, bad)
	}
	crashUnder(b, 2*time.Second, "e8", popular)
	crashUnder(b, 2*time.Second, "e9", popular)
	if b.Wait(2*time.Second, bad, first) == 0 {
		t.Error("the poison request is not quarantined")
	}
	if b.Wait(2*time.Second, popular, first) > 0 {
		t.Error("the popular request is quarantined for what the other one did")
	}
	for i := range provenLimit {
		crashUnder(b, 3*time.Second, fmt.Sprint("f", i), popular)
	}
	if b.Wait(3*time.Second, popular, first) == 0 {
		t.Error("a request that completed once may crash endpoints for ever")
	}
}

// Guards against quarantines that an innocent request cannot leave, and against probes that
// crash many endpoints.
func TestQuarantineEndsWithOneProbe(t *testing.T) {
	b, bad, good := New(), fingerprint("bad"), fingerprint("good")
	for i := range crashLimit {
		crashUnder(b, 0, fmt.Sprint("e", i), bad, good)
	}
	if b.Wait(firstQuarantine, good, func() time.Duration { return probeDelay }) != probeDelay {
		t.Error("an entry does not wait for its delay")
	}
	if b.Admit(firstQuarantine, bad, first) > 0 {
		t.Fatal("no probe after the first quarantine")
	}
	if b.Admit(firstQuarantine, bad, first) == 0 || b.Admit(firstQuarantine, good, first) == 0 {
		t.Error("two probes run beside each other")
	}
	if !b.Suspect(firstQuarantine, bad) {
		t.Error("the entry would retry the probe")
	}
	crashUnder(b, firstQuarantine+1, "e7", bad)
	if wait := b.Wait(firstQuarantine+1, bad, first); wait != nextQuarantine {
		t.Errorf("quarantined for %v after the probe crashed an endpoint, want %v", wait, nextQuarantine)
	}
	if b.Admit(firstQuarantine+1, good, first) > 0 {
		t.Fatal("the other request is not probed")
	}
	b.Completed(firstQuarantine+2, good, "e8")
	if b.Wait(firstQuarantine+2, good, first) > 0 || b.Suspect(firstQuarantine+2, good) {
		t.Error("completing does not clear a request")
	}
	for range 20 {
		now := b.suspects[bad].until
		if b.Admit(now, bad, first) > 0 {
			t.Fatal("no probe")
		}
		crashUnder(b, now+1, fmt.Sprint("f", now), bad)
	}
	if left := b.suspects[bad].until - b.suspects[bad].since; left != longestQuarantine {
		t.Errorf("quarantined for %v in the end, want %v", left, longestQuarantine)
	}
}

const probeDelay = time.Second

// Guards against a probe that found no endpoint and blocks all others.
func TestAbortedProbe(t *testing.T) {
	a, b, f := New(), New(), fingerprint("c")
	for i := range crashLimit {
		crashUnder(a, 0, fmt.Sprint("e", i), f)
	}
	pass(a, b, firstQuarantine)
	a.Admit(firstQuarantine, f, first)
	pass(a, b, firstQuarantine)
	if b.Wait(firstQuarantine, f, first) == 0 {
		t.Error("the other entry probes at the same time")
	}
	a.NotRun(f)
	pass(a, b, firstQuarantine)
	if a.Wait(firstQuarantine, f, first) > 0 || b.Wait(firstQuarantine, f, first) > 0 {
		t.Error("a probe that did not run blocks the next one")
	}
}

// pass merges the reports of a into b.
func pass(a, b *Book, now time.Duration) {
	for _, r := range a.Reports(now, false) {
		b.Merge(now, r)
	}
}

// Guards against callers that exhaust the memory with invented requests, or evict a
// quarantine by them.
func TestMemoryIsBounded(t *testing.T) {
	b, bad := New(), fingerprint("bad")
	for i := range crashLimit {
		crashUnder(b, 0, fmt.Sprint("e", i), bad)
	}
	for i := range 50 * maxSuspects {
		f := fingerprint(fmt.Sprint("invented", i))
		b.Completed(time.Second, f, "e")
		crashUnder(b, time.Second, fmt.Sprint("f", i%(4*maxEndpoints)), f)
		b.Merge(time.Second, Report{Fingerprint: fingerprint(fmt.Sprint("told", i)), Completed: -1, Probed: -1, Crashes: []CrashReport{{Endpoint: fmt.Sprint("g", i)}}})
	}
	if len(b.suspects) > maxSuspects || b.completed.Len() > maxCompleted || b.endpoints.Len() > maxEndpoints {
		t.Errorf("%d suspects, %d completed, %d endpoints", len(b.suspects), b.completed.Len(), b.endpoints.Len())
	}
	if b.Wait(time.Second, bad, first) == 0 {
		t.Error("invented requests evicted a quarantine")
	}
}

// Guards against forgetting quarantines when all entries are restarted.
func TestRestoredQuarantine(t *testing.T) {
	b, f := New(), fingerprint("c")
	b.Restore(0, f, time.Minute, time.Minute, 2)
	if wait := b.Wait(time.Second, f, first); wait != time.Minute-time.Second {
		t.Errorf("quarantined for %v", wait)
	}
	if b.Admit(time.Minute, f, first) > 0 {
		t.Fatal("no probe")
	}
	crashUnder(b, time.Minute+1, "e", f)
	if wait := b.Wait(time.Minute+1, f, first); wait != 2*nextQuarantine {
		t.Errorf("quarantined for %v after one more crash, want %v", wait, 2*nextQuarantine)
	}
}

// Guards against a fleet whose entries tell each other everything whenever links break: a
// hub passes the reports of all entries on.
func TestReportsAreBounded(t *testing.T) {
	b := New()
	for i := range maxSuspects {
		for j := range crashLimit {
			crashUnder(b, time.Second, fmt.Sprint("e", i, "-", j), fingerprint(fmt.Sprint(i)))
		}
	}
	reported := make(map[Fingerprint]bool)
	for again := true; ; again = false {
		got := b.Reports(time.Second, again)
		if len(got) > maxReports {
			t.Fatalf("%d reports at once", len(got))
		}
		if len(got) == 0 {
			break
		}
		for _, r := range got {
			reported[r.Fingerprint] = true
		}
	}
	if len(reported) != maxSuspects {
		t.Errorf("%d of %d suspects were reported", len(reported), maxSuspects)
	}
}

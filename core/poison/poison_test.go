package poison

import (
	"fmt"
	"testing"
	"time"
)

func fingerprint(name string) Fingerprint {
	return NewFingerprint("POST", "h", "/", "customer", []byte(name))
}

// whole returns a request without parts.
func whole(f Fingerprint) Request { return NewRequest(f, "customer", nil) }

func noDelay() time.Duration { return 0 }

// crashDuring crashes an endpoint while it is running the given requests.
func crashDuring(tracker *Tracker, now time.Duration, id string, all ...Fingerprint) {
	for _, f := range all {
		tracker.RecordLostRun(now, whole(f), id, true)
	}
	tracker.RecordCrash(now, id)
}

// A request that has crashed three endpoints must not be placed again.
func TestQuarantineAfterThreeCrashes(t *testing.T) {
	tracker, bad := New(), fingerprint("bad")
	for i := range crashLimit {
		if wait := tracker.Wait(time.Second, whole(bad), noDelay); wait > 0 {
			t.Fatalf("quarantined for %v after %d crashes", wait, i)
		}
		crashDuring(tracker, time.Second, fmt.Sprint("e", i), bad)
		// One crash may be noticed in several ways.
		crashDuring(tracker, time.Second, fmt.Sprint("e", i), bad)
	}
	if wait := tracker.Wait(time.Second, whole(bad), noDelay); wait != firstQuarantine {
		t.Errorf("quarantined for %v, want %v", wait, firstQuarantine)
	}
	if got := tracker.TakeChanges(); len(got) != 1 || got[0].Fingerprint != bad || len(got[0].Endpoints) != crashLimit || !got[0].Local {
		t.Errorf("changes %+v", got)
	}
}

// An endpoint that truncates answers without crashing must not make requests suspect.
func TestTruncatedAnswersAreNotCrashes(t *testing.T) {
	tracker, f := New(), fingerprint("c")
	now := time.Second
	for i := range 20 {
		id := fmt.Sprint("e", i%4)
		tracker.RecordLostRun(now, whole(f), id, true)
		tracker.RecordCompleted(now+time.Second, whole(fingerprint("other")), id, true)
		now += 2 * time.Second
	}
	for i := range 4 {
		tracker.RecordCrash(now, fmt.Sprint("e", i))
	}
	tracker.RecordLostRun(now, whole(f), "e9", true)
	tracker.RecordCrash(now+2*crashConfirmTimeout, "e9")
	if tracker.IsSuspect(now, whole(f)) {
		t.Error("a request is suspect because of truncated answers")
	}
}

// A popular request is running during every crash and must not be quarantined for it, as
// long as it also completes.
func TestPopularRequestDuringCrashesIsNotQuarantined(t *testing.T) {
	tracker, bad, popular := New(), fingerprint("bad"), fingerprint("popular")
	tracker.RecordCompleted(0, whole(popular), "e", true)
	for i := range crashLimit {
		crashDuring(tracker, time.Second, fmt.Sprint("e", i), popular, bad)
	}
	crashDuring(tracker, 2*time.Second, "e8", popular)
	crashDuring(tracker, 2*time.Second, "e9", popular)
	if tracker.Wait(2*time.Second, whole(bad), noDelay) == 0 {
		t.Error("the poison request is not quarantined")
	}
	if tracker.Wait(2*time.Second, whole(popular), noDelay) > 0 {
		t.Error("the popular request is quarantined for crashes that the other one caused")
	}
	for i := range provenCrashLimit {
		crashDuring(tracker, 3*time.Second, fmt.Sprint("f", i), popular)
	}
	if tracker.Wait(3*time.Second, whole(popular), noDelay) == 0 {
		t.Error("a request that completed once may crash endpoints without limit")
	}
}

// An innocent request must be able to leave its quarantine, and probes must not crash many
// endpoints.
func TestQuarantineEndsWithOneProbe(t *testing.T) {
	tracker, bad, good := New(), fingerprint("bad"), fingerprint("good")
	for i := range crashLimit {
		crashDuring(tracker, 0, fmt.Sprint("e", i), bad, good)
	}
	if tracker.Wait(firstQuarantine, whole(good), func() time.Duration { return probeDelay }) != probeDelay {
		t.Error("the delay of the entry is not added")
	}
	if tracker.Admit(firstQuarantine, whole(bad), noDelay) > 0 {
		t.Fatal("no probe after the first quarantine")
	}
	if tracker.Admit(firstQuarantine, whole(bad), noDelay) == 0 || tracker.Admit(firstQuarantine, whole(good), noDelay) == 0 {
		t.Error("two probes run at the same time")
	}
	if !tracker.IsSuspect(firstQuarantine, whole(bad)) {
		t.Error("the entry would retry the probe")
	}
	crashDuring(tracker, firstQuarantine+1, "e7", bad)
	if wait := tracker.Wait(firstQuarantine+1, whole(bad), noDelay); wait != nextQuarantine {
		t.Errorf("quarantined for %v after the probe crashed an endpoint, want %v", wait, nextQuarantine)
	}
	if tracker.Admit(firstQuarantine+1, whole(good), noDelay) > 0 {
		t.Fatal("the other request is not probed")
	}
	tracker.RecordCompleted(firstQuarantine+2, whole(good), "e8", true)
	if tracker.Wait(firstQuarantine+2, whole(good), noDelay) > 0 || tracker.IsSuspect(firstQuarantine+2, whole(good)) {
		t.Error("completing does not clear a request")
	}
	for range 20 {
		now := tracker.suspects[bad].quarantinedUntil
		if tracker.Admit(now, whole(bad), noDelay) > 0 {
			t.Fatal("no probe")
		}
		crashDuring(tracker, now+1, fmt.Sprint("f", now), bad)
	}
	if left := tracker.suspects[bad].quarantinedUntil - tracker.suspects[bad].quarantinedAt; left != maxQuarantine {
		t.Errorf("last quarantined for %v, want %v", left, maxQuarantine)
	}
}

const probeDelay = time.Second

// A probe that found no endpoint must not block all later probes.
func TestAbortedProbeDoesNotBlockNext(t *testing.T) {
	a, b, f := New(), New(), fingerprint("c")
	for i := range crashLimit {
		crashDuring(a, 0, fmt.Sprint("e", i), f)
	}
	sendReports(a, b, firstQuarantine)
	a.Admit(firstQuarantine, whole(f), noDelay)
	sendReports(a, b, firstQuarantine)
	if b.Wait(firstQuarantine, whole(f), noDelay) == 0 {
		t.Error("the other entry may probe at the same time")
	}
	a.RecordNotRun(whole(f))
	sendReports(a, b, firstQuarantine)
	if a.Wait(firstQuarantine, whole(f), noDelay) > 0 || b.Wait(firstQuarantine, whole(f), noDelay) > 0 {
		t.Error("a probe that did not run blocks the next one")
	}
}

// sendReports merges the reports of a into b.
func sendReports(a, b *Tracker, now time.Duration) {
	for _, r := range a.Reports(now, false) {
		b.Merge(now, "peer", r)
	}
}

// Callers must not be able to exhaust memory with invented requests, nor to evict a
// quarantine with them.
func TestMemoryIsBounded(t *testing.T) {
	tracker, bad := New(), fingerprint("bad")
	for i := range crashLimit {
		crashDuring(tracker, 0, fmt.Sprint("e", i), bad)
	}
	for i := range 50 * maxSuspects {
		f := fingerprint(fmt.Sprint("invented", i))
		tracker.RecordCompleted(time.Second, whole(f), "e", true)
		crashDuring(tracker, time.Second, fmt.Sprint("f", i%(4*maxEndpoints)), f)
		tracker.Merge(time.Second, "peer", Report{Fingerprint: fingerprint(fmt.Sprint("reported", i)), CompletedAge: -1, ProbeAge: -1, Crashes: []CrashReport{{Endpoint: fmt.Sprint("g", i)}}})
	}
	if len(tracker.suspects) > maxSuspects || tracker.completed.Len() > maxCompleted || tracker.endpoints.Len() > maxEndpoints {
		t.Errorf("%d suspects, %d completed, %d endpoints", len(tracker.suspects), tracker.completed.Len(), tracker.endpoints.Len())
	}
	if tracker.Wait(time.Second, whole(bad), noDelay) == 0 {
		t.Error("invented requests evicted a quarantine")
	}
}

// Quarantines must survive a restart of all entries.
func TestQuarantineIsRestored(t *testing.T) {
	tracker, f := New(), fingerprint("c")
	tracker.Restore(0, Stored{Fingerprint: f, Age: time.Minute, Left: time.Minute, Quarantines: 2})
	if wait := tracker.Wait(time.Second, whole(f), noDelay); wait != time.Minute-time.Second {
		t.Errorf("quarantined for %v", wait)
	}
	if tracker.Admit(time.Minute, whole(f), noDelay) > 0 {
		t.Fatal("no probe")
	}
	crashDuring(tracker, time.Minute+1, "e", f)
	if wait := tracker.Wait(time.Minute+1, whole(f), noDelay); wait != 2*nextQuarantine {
		t.Errorf("quarantined for %v after one more crash, want %v", wait, 2*nextQuarantine)
	}
}

// Whenever links break, entries send each other all their reports, and a hub forwards the
// reports of all entries. The number of reports in one call must be bounded.
func TestReportsPerCallAreBounded(t *testing.T) {
	tracker := New()
	for i := range maxSuspects {
		for j := range crashLimit {
			crashDuring(tracker, time.Second, fmt.Sprint("e", i, "-", j), fingerprint(fmt.Sprint(i)))
		}
	}
	reported := make(map[Fingerprint]bool)
	for again := true; ; again = false {
		got := tracker.Reports(time.Second, again)
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

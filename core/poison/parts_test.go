package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// part returns a request of a customer with the given shared parts; no two are alike.
func part(customer string, parts ...string) Request {
	lastRequest++
	return NewRequest(fingerprint(fmt.Sprint("request", lastRequest)), customer, parts)
}

var lastRequest int

// crashUnder crashes an endpoint while requests that have just begun are running on it.
func crashUnder(t *Tracker, now time.Duration, id string, all ...Request) {
	for _, r := range all {
		t.RecordLostRun(now, r, id, false)
	}
	t.RecordCrash(now, id)
}

func expectRefused(t *testing.T, tracker *Tracker, now time.Duration, want bool, what string, r Request) {
	t.Helper()
	if wait := tracker.Wait(now, r, noDelay); (wait > 0) != want {
		t.Errorf("%s: refused for %v, refused wanted: %v", what, wait, want)
	}
}

// Guards against evidence under whole requests, which requests that share only a part never meet.
func TestPartIsQuarantinedAfterThreeCrashes(t *testing.T) {
	tracker := New()
	tracker.RecordPassed(0, part("c", "popular"))
	for i := range crashLimit {
		expectRefused(t, tracker, time.Second, false, fmt.Sprint("after ", i, " crashes"), part("c", "popular", "deadly"))
		crashUnder(tracker, time.Second, fmt.Sprint("e", i), part("c", "popular", "deadly"))
	}
	expectRefused(t, tracker, time.Second, true, "the deadly part", part("c", "popular", "deadly"))
	expectRefused(t, tracker, time.Second, true, "the deadly part alone", part("c", "deadly"))
	expectRefused(t, tracker, time.Second, false, "a part that requests got past", part("c", "popular", "other"))
	if f, name := tracker.Culprit(time.Second, part("c", "popular", "deadly")); name != "deadly" || f != newPart("c", "deadly").fingerprint {
		t.Errorf("the culprit is %q", name)
	}
	if got := tracker.TakeChanges(); len(got) != 1 || got[0].Part != "deadly" || got[0].Customer != "c" || len(got[0].Endpoints) != crashLimit {
		t.Errorf("changes %+v", got)
	}
}

// Guards against blaming requests that were placed beside deadly ones, and the parts that they
// share with them.
func TestPartsBesideDeadlyOneAreNotBlamed(t *testing.T) {
	tracker := New()
	// Nothing has got past its beginning, and a bystander was on each endpoint.
	for i := range crashLimit {
		crashUnder(tracker, time.Second, fmt.Sprint("e", i), part("c", "first", "deadly"), part("c", "first", "bystander"))
	}
	expectRefused(t, tracker, time.Second, true, "what was on all endpoints", part("c", "first", "deadly", "bystander"))
	expectRefused(t, tracker, time.Second, false, "a part of what was on all endpoints", part("c", "first", "new"))
	// The next crash leaves the bystander out.
	crashUnder(tracker, 1100*time.Millisecond, "f", part("c", "first", "deadly"))
	expectRefused(t, tracker, 1100*time.Millisecond, false, "the bystander", part("c", "bystander"))
	expectRefused(t, tracker, 1100*time.Millisecond, true, "the deadly part", part("c", "first", "deadly"))
	// A sound request tells the first part and the deadly one apart.
	sound := part("c", "first", "new")
	if wait := tracker.Admit(1200*time.Millisecond, sound, noDelay); wait > 0 {
		t.Fatalf("a request that tells the parts apart is refused for %v", wait)
	}
	expectRefused(t, tracker, 1200*time.Millisecond, true, "a second one at the same time", part("c", "first", "new"))
	tracker.RecordPassed(1600*time.Millisecond, sound)
	expectRefused(t, tracker, 1600*time.Millisecond, false, "the first part", part("c", "first", "new"))
	expectRefused(t, tracker, 1600*time.Millisecond, true, "the deadly part afterwards", part("c", "first", "deadly"))
}

// Guards against a probe that has crashed an endpoint and keeps others waiting for its result.
func TestCrashEndsProbe(t *testing.T) {
	a, b := New(), New()
	for i := range crashLimit {
		crashUnder(a, 0, fmt.Sprint("e", i), part("c", "first", "deadly"), part("c", "first", "bystander"))
	}
	sendReports(a, b, 0)
	probe := part("c", "first", "deadly")
	if a.Admit(time.Millisecond, probe, noDelay) > 0 {
		t.Fatal("no probe")
	}
	sendReports(a, b, time.Millisecond)
	expectRefused(t, b, time.Millisecond, true, "a second probe", part("c", "first", "new"))
	crashUnder(a, 2*time.Millisecond, "f", probe)
	sendReports(a, b, 2*time.Millisecond)
	expectRefused(t, a, 3*time.Millisecond, false, "the next probe", part("c", "first", "new"))
	expectRefused(t, b, 3*time.Millisecond, false, "the next probe at a peer", part("c", "first", "new"))
}

// Guards against one crash that counts twice, because an entry knew the endpoint before it was listed.
func TestCrashOfUnlistedEndpointCountsOnce(t *testing.T) {
	a, b := New(), New()
	for i := range crashLimit - 1 {
		crashUnder(a, 0, fmt.Sprint("e", i, "@1700"), part("c", "deadly"))
		crashUnder(b, 0, fmt.Sprint("e", i), part("c", "deadly"))
	}
	sendReports(a, b, 0)
	sendReports(b, a, 0)
	expectRefused(t, a, 0, false, "after two crashes", part("c", "deadly"))
	expectRefused(t, b, 0, false, "after two crashes, at the peer", part("c", "deadly"))
	crashUnder(a, 0, "e10@1700", part("c", "deadly"))
	crashUnder(a, 0, "e1@1701", part("c", "deadly"))
	expectRefused(t, a, 0, true, "after starts of which one was seen before", part("c", "deadly"))
}

// Guards against two deadly parts that hide each other.
func TestTwoDeadlyParts(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		tracker, ended := New(), map[string]int{}
		for i := range 200 {
			now := time.Duration(i) * 50 * time.Millisecond
			var on []Request
			for _, deadly := range []string{"deadly1", "deadly2"} {
				r := part("c", "first", deadly)
				if random.IntN(3) > 0 && tracker.Admit(now, r, noDelay) == 0 {
					on = append(on, r)
				}
			}
			sound := part("c", "first", fmt.Sprint("session", random.IntN(5)))
			if tracker.Admit(now, sound, noDelay) == 0 && random.IntN(2) == 0 {
				tracker.RecordPassed(now, sound)
			} else if len(on) > 0 {
				on = append(on, sound)
			}
			if len(on) == 0 {
				continue
			}
			crashUnder(tracker, now, fmt.Sprint("e", i), on...)
			for _, r := range on {
				if d := r.parts[1].part; len(d) == len("deadly1") && d[:6] == "deadly" {
					ended[d]++
				}
			}
		}
		for d, n := range ended {
			if n > maxCrashesOfOnePart {
				t.Errorf("seed %d: %d endpoints ended under %s, %d allowed", seed, n, d, maxCrashesOfOnePart)
			}
		}
	}
}

// maxCrashesOfOnePart is how many endpoints may end under one part for good: five, and three more.
const maxCrashesOfOnePart = 5 + 3

// Guards against a part that is blamed because many endpoints ended for another reason, such as
// a power failure.
func TestEndpointsThatEndTogetherDoNotCondemnPopularPart(t *testing.T) {
	tracker := New()
	tracker.RecordPassed(0, part("c", "popular"))
	for i := range 20 {
		crashUnder(tracker, time.Second, fmt.Sprint("e", i), part("c", "popular", fmt.Sprint("session", i)))
	}
	expectRefused(t, tracker, time.Second, false, "a popular part", part("c", "popular", "session1"))
	// It may become deadly, when the endpoints' software changes.
	for i := range 2 * provenCrashLimit {
		crashUnder(tracker, time.Duration(2+i)*time.Second, fmt.Sprint("f", i), part("c", "popular"))
	}
	expectRefused(t, tracker, 12*time.Second, true, "a part that became deadly", part("c", "popular"))
}

// Guards against probes that crash one endpoint after the other for as long as requests come.
func TestProbesOfPartAreBoundedForHours(t *testing.T) {
	tracker, crashes := New(), 0
	for now := time.Duration(0); now < 20*time.Hour; now += time.Second {
		r := part("c", "first", "deadly")
		if tracker.Admit(now, r, noDelay) == 0 {
			crashUnder(tracker, now, fmt.Sprint("e", crashes), r)
			crashes++
		}
	}
	if crashes > crashLimit+2 {
		t.Errorf("%d endpoints crashed in 20 hours", crashes)
	}
}

// Guards against a customer who writes another's part into requests that crash endpoints.
func TestLiarTakesNothingFromAnotherCustomer(t *testing.T) {
	tracker := New()
	for i := range 30 {
		crashUnder(tracker, time.Second, fmt.Sprint("e", i), part("liar", "shared", fmt.Sprint("invented", i)), part("victim", "other"))
	}
	expectRefused(t, tracker, time.Second, true, "the liar's part", part("liar", "shared"))
	expectRefused(t, tracker, time.Second, false, "the victim's part", part("victim", "shared"))
	// Nor does what the liar's requests survive help a part that crashes the victim's.
	for i := range crashLimit {
		crashUnder(tracker, 2*time.Second, fmt.Sprint("f", i), part("victim", "deadly"))
	}
	tracker.RecordPassed(3*time.Second, part("liar", "deadly"))
	expectRefused(t, tracker, 3*time.Second, true, "the victim's deadly part", part("victim", "deadly"))
}

// Guards against invented parts that push out what is known about others.
func TestInventedPartsPushOutNothing(t *testing.T) {
	tracker := New()
	tracker.RecordPassed(0, part("victim", "popular"))
	for i := range crashLimit {
		crashUnder(tracker, 0, fmt.Sprint("e", i), part("victim", "deadly"))
	}
	for i := range 3000 {
		var invented []string
		for j := range 20 {
			invented = append(invented, fmt.Sprint(i, "-", j))
		}
		r := part("liar", invented...)
		if i%2 == 0 {
			tracker.RecordPassed(time.Second, r)
		}
		crashUnder(tracker, time.Second, fmt.Sprint("f", i%(4*maxEndpoints)), r)
		tracker.Merge(time.Second, "peer", Report{Customer: "liar", Part: fmt.Sprint("told", i), CompletedAge: -1, ProbeAge: -1, Crashes: []CrashReport{{Endpoint: fmt.Sprint("g", i)}}})
		tracker.Reports(time.Second, false)
	}
	if len(tracker.suspects) > maxSuspects || tracker.passes.Len() > maxPassCustomers {
		t.Errorf("%d suspects, %d customers", len(tracker.suspects), tracker.passes.Len())
	}
	expectRefused(t, tracker, time.Second, true, "the deadly part", part("victim", "deadly"))
	if tracker.passedAt(newPart("victim", "popular")) == nil {
		t.Error("it was forgotten that requests got past the popular part")
	}
}

// Guards against a part that several customers send and that crashes an endpoint for each of them.
func TestPartOfSeveralCustomers(t *testing.T) {
	tracker, crashes := New(), 0
	for i := range 400 {
		now := time.Duration(i) * 100 * time.Millisecond
		r := part(fmt.Sprint("c", i%5), "deadly")
		if tracker.Admit(now, r, noDelay) == 0 {
			crashUnder(tracker, now, fmt.Sprint("e", crashes), r)
			crashes++
		}
	}
	if crashes > maxCrashesOfOnePart {
		t.Errorf("%d endpoints crashed", crashes)
	}
}

// Guards against a quarantine at an entry that gets few requests with a part, while requests with
// it get past their beginnings at others.
func TestPassesAtPeersCount(t *testing.T) {
	few, many := New(), New()
	many.RecordPassed(0, part("c", "popular"))
	for i := range crashLimit {
		crashUnder(few, time.Second, fmt.Sprint("e", i), part("c", "popular"))
	}
	expectRefused(t, few, time.Second, true, "a part that seems deadly", part("c", "popular"))
	sendReports(few, many, time.Second)
	sendReports(many, few, time.Second)
	expectRefused(t, few, time.Second, false, "a part that requests got past at a peer", part("c", "popular"))
	expectRefused(t, many, time.Second, false, "the same at the peer", part("c", "popular"))
}

// Guards against runs of which only the connection's end shows that they are over, and against
// blame for runs that had got past their beginnings.
func TestOnlyBeginningsAreEvidence(t *testing.T) {
	tracker := New()
	for i := range 10 {
		id := fmt.Sprint("e", i)
		tracker.RecordLostRun(time.Second, part("c", "long"), id, true)
		tracker.RecordCompleted(time.Second, part("c", "unframed"), id, false)
		tracker.RecordEndedRun(time.Second, part("c", "unframed"), id)
		tracker.RecordCrash(time.Second, id)
	}
	expectRefused(t, tracker, time.Second, false, "a part of runs past their beginnings", part("c", "long"))
	expectRefused(t, tracker, time.Second, true, "a part of runs that only seemed complete", part("c", "unframed"))
	tracker.RecordEndedRun(2*time.Second, part("c", "unframed"), "f")
	tracker.RecordCompleted(2*time.Second, part("c", "framed"), "f", true)
	expectRefused(t, tracker, 2*time.Second, true, "before the endpoint has outlived the run", part("c", "unframed"))
	tracker.RecordCompleted(3*time.Second, part("c", "framed"), "f", true)
	expectRefused(t, tracker, 3*time.Second, false, "once the endpoint has outlived the run", part("c", "unframed"))
}

// Guards against a quarantine of a part that all entries forget when they are restarted.
func TestPartIsRestored(t *testing.T) {
	tracker := New()
	for _, id := range []string{"deadly", "first"} {
		tracker.Restore(0, Stored{Customer: "c", Part: id, Age: time.Minute, Left: time.Hour, Quarantines: 2})
	}
	expectRefused(t, tracker, time.Second, true, "restored parts", part("c", "first", "deadly"))
	expectRefused(t, tracker, time.Second, false, "another customer's", part("d", "deadly"))
	// They are told apart although their crashes are forgotten.
	sound := part("c", "first", "other")
	if wait := tracker.Admit(time.Second, sound, noDelay); wait > 0 {
		t.Fatalf("a request that tells restored parts apart is refused for %v", wait)
	}
	tracker.RecordPassed(2*time.Second, sound)
	expectRefused(t, tracker, 2*time.Second, false, "the restored first part", part("c", "first", "other"))
	expectRefused(t, tracker, 2*time.Second, true, "the restored deadly part", part("c", "deadly"))
	if tracker.Admit(time.Hour, part("c", "deadly"), noDelay) > 0 {
		t.Fatal("no probe")
	}
	crashUnder(tracker, time.Hour+1, "e", part("c", "deadly"))
	if wait := tracker.Wait(time.Hour+2, part("c", "deadly"), noDelay); wait < partTTL-time.Second {
		t.Errorf("quarantined for %v after one more crash, want %v", wait, partTTL)
	}
}

// BenchmarkRequestWithParts measures what a request with four shared parts costs while other parts
// are suspects.
func BenchmarkRequestWithParts(b *testing.B) {
	tracker := New()
	for i := range maxSuspects / 2 {
		crashUnder(tracker, 0, fmt.Sprint("e", i%20), part("c", fmt.Sprint("suspect", i)))
	}
	f, parts := fingerprint("request"), []string{"first", "second", "third", "session"}
	b.ReportAllocs()
	for b.Loop() {
		r := NewRequest(f, "c", parts)
		if tracker.Admit(time.Second, r, noDelay) > 0 {
			b.Fatal("refused")
		}
		tracker.RecordPassed(time.Second, r)
	}
}

package blame

import (
	"fmt"
	"testing"
	"time"
)

func content(name string) Content { return Of("POST", "h", "/", "customer", []byte(name)) }

func first() time.Duration { return 0 }

// crash has an endpoint end under contents.
func crash(b *Book, now time.Duration, id string, all ...Content) {
	for _, c := range all {
		b.Lost(now, c, id)
	}
	b.Ended(now, id)
}

// Guards against sending on what has ended three endpoints.
func TestContentIsHeldAfterThreeEnds(t *testing.T) {
	b, bad := New(), content("bad")
	for i := range enough {
		if wait := b.Wait(time.Second, bad, first); wait > 0 {
			t.Fatalf("held for %v after %d ends", wait, i)
		}
		crash(b, time.Second, fmt.Sprint("e", i), bad)
		// Both ways to learn of an end may tell of the same one.
		crash(b, time.Second, fmt.Sprint("e", i), bad)
	}
	if wait := b.Wait(time.Second, bad, first); wait != firstHold {
		t.Errorf("held for %v, want %v", wait, firstHold)
	}
	if got := b.Changes(); len(got) != 1 || got[0].Content != bad || len(got[0].Endpoints) != enough || !got[0].Own {
		t.Errorf("changes %+v", got)
	}
}

// Guards against blaming requests for endpoints that break answers off and live on.
func TestBrokenAnswersAloneAreNoEvidence(t *testing.T) {
	b, c := New(), content("c")
	now := time.Second
	for i := range 20 {
		id := fmt.Sprint("e", i%4)
		b.Lost(now, c, id)
		b.Served(now+time.Second, content("other"), id)
		now += 2 * time.Second
	}
	for i := range 4 {
		b.Ended(now, fmt.Sprint("e", i))
	}
	b.Lost(now, c, "e9")
	b.Ended(now+2*lostFor, "e9")
	if b.Doubtful(now, c) {
		t.Error("a content is blamed for answers that broke off")
	}
}

// Guards against blaming what many ask for alike when it runs beside each crash.
func TestPopularContentOutlastsACrashBesideIt(t *testing.T) {
	b, bad, popular := New(), content("bad"), content("popular")
	b.Served(0, popular, "e")
	for i := range enough {
		crash(b, time.Second, fmt.Sprint("e", i), popular, bad)
	}
	crash(b, 2*time.Second, "e8", popular)
	crash(b, 2*time.Second, "e9", popular)
	if b.Wait(2*time.Second, bad, first) == 0 {
		t.Error("the crashing content is not held")
	}
	if b.Wait(2*time.Second, popular, first) > 0 {
		t.Error("the popular content is held for what the other one did")
	}
	for i := range enoughServed {
		crash(b, 3*time.Second, fmt.Sprint("f", i), popular)
	}
	if b.Wait(3*time.Second, popular, first) == 0 {
		t.Error("a content that was answered once may end endpoints for ever")
	}
}

// Guards against contents that are held back for good since nothing of them can be
// answered any more, and against trials that end many endpoints.
func TestHeldContentIsTriedOnce(t *testing.T) {
	b, bad, good := New(), content("bad"), content("good")
	for i := range enough {
		crash(b, 0, fmt.Sprint("e", i), bad, good)
	}
	if b.Wait(firstHold, good, func() time.Duration { return trialStepOfTest }) != trialStepOfTest {
		t.Error("an entry does not wait for its turn")
	}
	if b.Admit(firstHold, bad, first) > 0 {
		t.Fatal("no trial after the first hold")
	}
	if b.Admit(firstHold, bad, first) == 0 || b.Admit(firstHold, good, first) == 0 {
		t.Error("two trials run beside each other")
	}
	if !b.Doubtful(firstHold, bad) {
		t.Error("the entry would repeat the trial")
	}
	crash(b, firstHold+1, "e7", bad)
	if wait := b.Wait(firstHold+1, bad, first); wait != nextHold {
		t.Errorf("held for %v after a trial that ended an endpoint, want %v", wait, nextHold)
	}
	if b.Admit(firstHold+1, good, first) > 0 {
		t.Fatal("the other content is not tried")
	}
	b.Served(firstHold+2, good, "e8")
	if b.Wait(firstHold+2, good, first) > 0 || b.Doubtful(firstHold+2, good) {
		t.Error("an answer does not acquit")
	}
	for range 20 {
		now := b.contents[bad].until
		if b.Admit(now, bad, first) > 0 {
			t.Fatal("no trial")
		}
		crash(b, now+1, fmt.Sprint("f", now), bad)
	}
	if left := b.contents[bad].until - b.contents[bad].heldAt; left != longestHold {
		t.Errorf("held for %v in the end, want %v", left, longestHold)
	}
}

const trialStepOfTest = time.Second

// Guards against a trial that found no endpoint and keeps all others from beginning.
func TestTrialThatDidNotRunIsTakenBack(t *testing.T) {
	a, b, c := New(), New(), content("c")
	for i := range enough {
		crash(a, 0, fmt.Sprint("e", i), c)
	}
	pass(a, b, firstHold)
	a.Admit(firstHold, c, first)
	pass(a, b, firstHold)
	if b.Wait(firstHold, c, first) == 0 {
		t.Error("the other entry begins a trial beside this one")
	}
	a.Untried(c)
	pass(a, b, firstHold)
	if a.Wait(firstHold, c, first) > 0 || b.Wait(firstHold, c, first) > 0 {
		t.Error("a trial that did not run is waited for")
	}
}

// pass has b hear what a has to tell.
func pass(a, b *Book, now time.Duration) {
	for _, w := range a.Tell(now, false) {
		b.Told(now, w)
	}
}

// Guards against callers that fill the memory with contents of their invention, or drive
// out by them what is held back.
func TestMemoryIsBounded(t *testing.T) {
	b, bad := New(), content("bad")
	for i := range enough {
		crash(b, 0, fmt.Sprint("e", i), bad)
	}
	for i := range 50 * maxContents {
		c := content(fmt.Sprint("invented", i))
		b.Served(time.Second, c, "e")
		crash(b, time.Second, fmt.Sprint("f", i%(4*maxEndpoints)), c)
		b.Told(time.Second, Word{Content: content(fmt.Sprint("told", i)), Served: -1, Tried: -1, Ends: []End{{Endpoint: fmt.Sprint("g", i)}}})
	}
	if len(b.contents) > maxContents || b.served.Len() > maxServed || b.endpoints.Len() > maxEndpoints {
		t.Errorf("%d contents, %d answered, %d endpoints", len(b.contents), b.served.Len(), b.endpoints.Len())
	}
	if b.Wait(time.Second, bad, first) == 0 {
		t.Error("invented contents drove out the one that is held")
	}
}

// Guards against a start of all entries that forgets what is held back.
func TestRestoredContentIsHeld(t *testing.T) {
	b, c := New(), content("c")
	b.Restore(0, c, time.Minute, time.Minute, 2)
	if wait := b.Wait(time.Second, c, first); wait != time.Minute-time.Second {
		t.Errorf("held for %v", wait)
	}
	if b.Admit(time.Minute, c, first) > 0 {
		t.Fatal("no trial")
	}
	crash(b, time.Minute+1, "e", c)
	if wait := b.Wait(time.Minute+1, c, first); wait != 2*nextHold {
		t.Errorf("held for %v after one more end, want %v", wait, 2*nextHold)
	}
}

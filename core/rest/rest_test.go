package rest

import (
	"fmt"
	"testing"
	"time"
)

const s = time.Second

// Guards against a rest that ends early, never, or because a shorter one follows it.
func TestRestLastsAsLongAsAsked(t *testing.T) {
	var tracker Tracker
	if tracker.Ask(0, "a", 3*s, 0) != Begun || tracker.Ask(s, "a", s, 0) != Unchanged || tracker.Ask(s, "a", 4*s, 0) != Prolonged {
		t.Error("the longest of the rests must count")
	}
	for now, want := range map[time.Duration]time.Duration{2 * s: 3 * s, 5*s - 1: 1, 5 * s: 0, 9 * s: 0} {
		if got := tracker.Left(now, "a"); got != want {
			t.Errorf("%v left at %v, want %v", got, now, want)
		}
	}
	if tracker.Left(0, "b") != 0 {
		t.Error("an endpoint that did not ask rests")
	}
	if tracker.Ask(6*s, "a", s, 0) != Begun {
		t.Error("a rest after the end of another must begin")
	}
	tracker.Sweep(7 * s)
	if tracker.Empty() {
		t.Error("forgotten before its slots are back")
	}
	tracker.Sweep(7*s + rampTime)
	if !tracker.Empty() {
		t.Error("kept after its end")
	}
}

// Guards against unbounded memory.
func TestMemoryIsBounded(t *testing.T) {
	var tracker Tracker
	for i := range 2 * maxRests {
		tracker.Ask(0, fmt.Sprint(i), s, 0)
	}
	if n := len(tracker.rests); n != maxRests {
		t.Errorf("%d rests kept, want %d", n, maxRests)
	}
	if tracker.Ask(0, "0", 2*s, 0) != Prolonged {
		t.Error("a rest that is kept cannot be prolonged")
	}
}

// Guards against times that would shut an endpoint out for hours, or that lie in the past.
func TestAbsurdTimesChangeNothing(t *testing.T) {
	var tracker Tracker
	for _, d := range []time.Duration{-1, MaxTime + 1, 1 << 62} {
		if tracker.Ask(0, "a", d, 1) != Rejected {
			t.Errorf("a rest of %v was accepted", d)
		}
		tracker.Set(0, "a", 2*d)
	}
	if !tracker.Empty() {
		t.Error("an absurd time began a rest")
	}
}

// Guards against all that has waited reaching an endpoint in the instant in which its rest
// ends, from one entry or from all of them.
func TestSlotsComeBackGradually(t *testing.T) {
	var tracker Tracker
	tracker.Ask(0, "a", 2*s, 0)
	last := 0
	for now := 2 * s; now <= 2*s+rampTime; now += rampTime / 10 {
		n := tracker.Slots(now, "a", 10)
		if n < 1 || n > 10 || n < last || n > last+1 && last > 0 {
			t.Errorf("%d slots %v after the rest, %d before", n, now-2*s, last)
		}
		last = n
	}
	if last != 10 {
		t.Errorf("%d slots at the end of the ramp", last)
	}
	tracker.Ask(0, "b", 2*s, 1)
	if gap := tracker.Left(0, "b") - tracker.Left(0, "a"); gap != 400*time.Millisecond {
		t.Errorf("entries asked together return within %v", gap)
	}
	if ReturnDelay(0, 1, 0) != 0 || ReturnDelay(2, 3, 0.999) >= rampTime || ReturnDelay(0, 0, 0.999) >= rampTime {
		t.Error("callers return after the ramp")
	}
	if ReturnDelay(0, 3, 0.999) >= ReturnDelay(1, 3, 0) {
		t.Error("a lower tier returns before a higher one")
	}
}

// Guards against a tally for each request that a resting endpoint turns away.
func TestReportsAreFew(t *testing.T) {
	var tracker Tracker
	reports := 0
	for now := time.Duration(0); now < s; now += 10 * time.Millisecond {
		tracker.Ask(now, "a", 3*s, 0)
		reports += len(tracker.Reports(now, false))
	}
	if reports < 2 || reports > 5 {
		t.Errorf("%d reports in a second", reports)
	}
	if got := tracker.Reports(s, true); len(got) != 1 || got[0].Endpoint != "a" || got[0].Left <= 2*s {
		t.Errorf("all reports: %v", got)
	}
	if got := tracker.Reports(9*s, true); got != nil {
		t.Errorf("a rest that has ended is reported: %v", got)
	}
}

package drain

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against a later start that is shut out, and an earlier one that is used again.
func TestStatementHoldsForOneStart(t *testing.T) {
	tracker := New()
	if !tracker.Record(Start{"a", 5}) || tracker.Record(Start{"a", 5}) {
		t.Error("a statement must be new once")
	}
	for incarnation, want := range map[int64]bool{4: true, 5: true, 6: false} {
		if got := tracker.IsLeaving(Start{"a", incarnation}); got != want {
			t.Errorf("start %d is leaving: %v, want %v", incarnation, got, want)
		}
	}
	if tracker.Merge(Start{"a", 4}) || !tracker.IsLeaving(Start{"a", 5}) {
		t.Error("a late report about an earlier start changed the state")
	}
	if !tracker.Merge(Start{"a", 6}) || !tracker.IsLeaving(Start{"a", 6}) {
		t.Error("a report about a later start was ignored")
	}
	if tracker.IsLeaving(Start{"b", 1}) {
		t.Error("an endpoint that stated nothing is leaving")
	}
}

// Guards against statements that peers never receive, and against reports that echo.
func TestReportsAreOwnAndSentOnce(t *testing.T) {
	tracker := New()
	tracker.Record(Start{"a", 1})
	tracker.Merge(Start{"b", 1})
	if got := tracker.Reports(false); !slices.Equal(got, []Start{{"a", 1}}) {
		t.Errorf("reports %v, want a", got)
	}
	if got := tracker.Reports(false); got != nil {
		t.Errorf("reports %v a second time", got)
	}
	if got := tracker.Reports(true); !slices.Equal(got, []Start{{"a", 1}}) {
		t.Errorf("reports %v to a new peer, want a", got)
	}
	seen := make(map[string]bool)
	for i := range 3*maxReports - 1 {
		tracker.Record(Start{fmt.Sprint(i), 1})
	}
	for range 3 {
		got := tracker.Reports(false)
		if len(got) > maxReports {
			t.Errorf("%d reports at once", len(got))
		}
		for _, s := range got {
			seen[s.Endpoint] = true
		}
	}
	if len(seen) != 3*maxReports-1 {
		t.Errorf("%d of %d reported", len(seen), 3*maxReports-1)
	}
}

// Guards against unbounded memory, and against forgetting an endpoint that is still listed.
func TestMemoryIsBounded(t *testing.T) {
	tracker := New()
	for i := range 2 * maxEndpoints {
		tracker.Record(Start{fmt.Sprint(i), 1})
		tracker.IsLeaving(Start{"0", 1})
	}
	if n := tracker.latest.Len(); n != maxEndpoints {
		t.Errorf("%d endpoints kept, want %d", n, maxEndpoints)
	}
	if !tracker.IsLeaving(Start{"0", 1}) {
		t.Error("an endpoint that is looked up was forgotten")
	}
}

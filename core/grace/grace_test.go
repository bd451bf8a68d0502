package grace

import (
	"testing"
	"time"
)

// Guards against an estimate that comes from too few answers or from ones that are long past,
// that ignores the size of an answer, that follows single outliers, or that is shorter than
// most recent answers of its size.
func TestLongestFollowsRecentAnswers(t *testing.T) {
	var answers Answers
	usual := func(w Work) time.Duration { return time.Duration(w.PromptTokens+10*w.OutputTokens) * time.Millisecond }
	check := func(what string, want time.Duration, wantOK bool) {
		t.Helper()
		if got, ok := answers.Longest(Work{500, 50}, usual); got != want || ok != wantOK {
			t.Errorf("%s: %v, %v, want %v, %v", what, got, ok, want, wantOK)
		}
	}
	for range minAnswers - 1 {
		answers.Observe(Work{1000, 100}, 4*time.Second)
	}
	check("too few", 0, false)
	answers.Observe(Work{0, 10}, 300*time.Millisecond)
	check("the slowest for its size", 3*time.Second, true)
	for range recentAnswers {
		answers.Observe(Work{500, 50}, time.Second)
	}
	check("only recent ones", time.Second, true)
	for range recentAnswers / outlierDivisor {
		answers.Observe(Work{500, 50}, 9*time.Second)
	}
	check("outliers", time.Second, true)
	answers.Observe(Work{500, 50}, 9*time.Second)
	check("more than outliers", 9*time.Second, true)
}

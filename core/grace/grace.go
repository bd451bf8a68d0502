// Package grace estimates how long answers take at most, so that a process that stops at a given
// time can tell which answers would still be complete by then.
//
// The package uses no network, clock or random source.
package grace

import (
	"slices"
	"time"
)

const (
	// recentAnswers is the number of latest answers that an estimate is based on.
	recentAnswers = 32
	// minAnswers is the smallest number of answers that an estimate is based on.
	minAnswers = 8
	// outlierDivisor sets how many answers are left out as outliers: one in outlierDivisor.
	outlierDivisor = 16
)

// Work is what an endpoint has to do for an answer. Both counts are zero at plain services.
type Work struct{ PromptTokens, OutputTokens int }

// answer is a whole answer: its work, as stated when it was sent, and the time that it took.
type answer struct {
	work Work
	took time.Duration
}

// Answers holds the latest whole answers of one kind. The zero value is empty and ready for use.
// It is not safe for concurrent use.
type Answers struct {
	// latest holds the answers in no order. next is the index of the oldest once it is full.
	latest []answer
	next   int
}

// Observe records a whole answer.
func (a *Answers) Observe(w Work, took time.Duration) {
	if len(a.latest) < recentAnswers {
		a.latest = append(a.latest, answer{w, took})
		return
	}
	a.latest[a.next] = answer{w, took}
	a.next = (a.next + 1) % recentAnswers
}

// Longest returns how long an answer with the work w takes if it exceeds its usual time by as
// much as the slowest of the latest answers, less the share of outliers. usual returns the usual
// time for some work, which is positive. Longest returns false if too few answers are known.
func (a *Answers) Longest(w Work, usual func(Work) time.Duration) (time.Duration, bool) {
	if len(a.latest) < minAnswers {
		return 0, false
	}
	ratios := make([]float64, len(a.latest))
	for i, x := range a.latest {
		ratios[i] = float64(x.took) / float64(max(usual(x.work), 1))
	}
	slices.Sort(ratios)
	ratio := ratios[len(ratios)-1-len(ratios)/outlierDivisor]
	return time.Duration(ratio * float64(usual(w))), true
}

package fresh

import (
	"testing"
	"time"
)

// A link is new, and its first tally was held up for three seconds. If that was what
// the next ones are compared to, one that is two seconds late would pass for one
// that was quick, and the claim in it for new.
func TestWayThatBeganWithALateTally(t *testing.T) {
	var w Way
	for n, late := range []time.Duration{3 * time.Second, 2 * time.Second, 2500 * ms, 1900 * ms} {
		told := time.Duration(n) * 2 * time.Second
		if _, ok := w.Late(told+late, told); ok {
			t.Errorf("tally %d, %v late, is taken for one whose way is known", n, late)
		}
	}
}

// An entry was stopped while its peer went on telling, and reads a dozen tallies at
// once as the first that it has of it. All of them are late, each a little less.
func TestWayThatBeganWithTalliesHeldUpTogether(t *testing.T) {
	var w Way
	for n := range 12 {
		if late, ok := w.Late(5*time.Second+time.Duration(n)*10*time.Microsecond, time.Duration(n)*250*ms); ok {
			t.Errorf("tally %d is taken for one that is %v late", n, late)
		}
	}
}

package fresh

import (
	"testing"
	"time"
)

// The first tally of a new link is delayed by three seconds. If later ones were compared
// with it, a tally delayed by two seconds would seem fast, and the claim in it new.
func TestLateFirstTallyGivesNoEstimate(t *testing.T) {
	var d DelayEstimator
	for n, delay := range []time.Duration{3 * time.Second, 2 * time.Second, 2500 * ms, 1900 * ms} {
		sentAt := time.Duration(n) * 2 * time.Second
		if _, ok := d.ExtraDelay(sentAt+delay, sentAt); ok {
			t.Errorf("tally %d, %v late, is used for an estimate", n, delay)
		}
	}
}

// An entry was paused while its peer continued to send, and the first tallies that it reads
// are a dozen at once. All of them are late, each a little less than the one before.
func TestLateTalliesArrivingTogetherGiveNoEstimate(t *testing.T) {
	var d DelayEstimator
	for n := range 12 {
		if extraDelay, ok := d.ExtraDelay(5*time.Second+time.Duration(n)*10*time.Microsecond, time.Duration(n)*250*ms); ok {
			t.Errorf("tally %d is estimated to be %v late", n, extraDelay)
		}
	}
}

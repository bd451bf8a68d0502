package fresh

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// Thirty entries list everything at the same moment. If each derived the order from its own
// check, none might be the first, and the fleet would check late.
func TestSimultaneousChecksGiveOneOrder(t *testing.T) {
	trackers := make([]Tracker, 30)
	var names []string
	for i := range trackers {
		names = append(names, fmt.Sprint("entry-", i))
		trackers[i].RecordCheck(Claim{Revision: 5, At: time.Duration(i) * ms, CheckID: NewCheckID(names[i], 1)})
	}
	for i := range trackers {
		for j := range trackers {
			if i != j {
				trackers[i].MergeClaim(Claim{Revision: 5, At: time.Duration(j)*ms - RelayAllowance, CheckID: NewCheckID(names[j], 1)})
			}
		}
	}
	ranks := make(map[int]bool)
	for i, tracker := range trackers {
		c, _ := tracker.LatestClaim(5)
		ranks[Rank(names[i], names, c.CheckID)] = true
	}
	if len(ranks) != len(trackers) {
		t.Errorf("%d of %d ranks are taken", len(ranks), len(trackers))
	}
	trackers[0].MergeClaim(Claim{Revision: 5, At: time.Second, CheckID: 1 << 31})
	if c, _ := trackers[0].LatestClaim(5); c.CheckID != 1<<31 {
		t.Error("a later check does not give a new order")
	}
}

// A peer has just checked and has revision 9. An entry that still has 7 must not use that
// claim until 9 has arrived.
func TestClaimHoldsOnlyWithItsRevision(t *testing.T) {
	var tracker Tracker
	tracker.RecordCheck(Claim{Revision: 7, At: 100 * ms, CheckID: 1})
	tracker.MergeClaim(Claim{Revision: 9, At: 900 * ms, CheckID: 2})
	tracker.MergeClaim(Claim{Revision: 8, At: 600 * ms, CheckID: 3})
	for _, tc := range []struct {
		revision int64
		at       time.Duration
	}{{7, 100 * ms}, {8, 600 * ms}, {9, 900 * ms}, {12, 900 * ms}} {
		if c, ok := tracker.BestClaim(tc.revision); !ok || c.At != tc.at {
			t.Errorf("with revision %d in use: %v, %v, want %v", tc.revision, c.At, ok, tc.at)
		}
	}
}

// The list changes faster than it is passed on, so an entry is always one revision behind
// the claims of others. It must keep those for revisions that it does reach.
func TestEntryLaggingOneRevisionKeepsClaims(t *testing.T) {
	var tracker Tracker
	for n := range 100 {
		at := time.Duration(n) * 50 * ms
		tracker.MergeClaim(Claim{Revision: int64(n), At: at})
		if n < 2 {
			continue
		}
		if c, ok := tracker.BestClaim(int64(n - 1)); !ok || at-c.At > 50*ms {
			t.Fatalf("revision %d: known as of %v, %v at %v", n-1, c.At, ok, at)
		}
	}
}

// The number of claims in memory must be bounded, and the claim for the revision in use
// must be kept.
func TestClaimsAreBounded(t *testing.T) {
	var tracker Tracker
	tracker.MergeClaim(Claim{Revision: 1, At: ms})
	for n := range 100 {
		tracker.MergeClaim(Claim{Revision: int64(n + 2), At: time.Duration(n+2) * ms})
	}
	if len(tracker.claims) > maxClaims {
		t.Errorf("%d claims", len(tracker.claims))
	}
	if c, ok := tracker.BestClaim(1); !ok || c.At != ms {
		t.Errorf("the claim for the revision in use is missing: %v, %v", c, ok)
	}
}

// After an outage, the platform's new list is not used for a while. The entry knows the
// newest revision but must not claim to peers that the revision in use is the newest one.
func TestClaimOfUnusedRevisionIsNotSent(t *testing.T) {
	var tracker Tracker
	tracker.RecordCheck(Claim{Revision: 5, At: 100 * ms})
	tracker.RecordCheck(Claim{Revision: 8, At: 700 * ms})
	if c, _ := tracker.LatestClaim(5); c.At != 700*ms {
		t.Errorf("known as of %v", c.At)
	}
	if c, _ := tracker.BestClaim(5); c.At != 100*ms {
		t.Errorf("sent to others as of %v", c.At)
	}
}

// The first entry in order may be dead, the second cut off and the third stopped. The
// others must check soon after, and before that no two at the same time.
func TestRanksCheckInTurn(t *testing.T) {
	policy := Policy{MaxAge: 2 * time.Second}
	for _, reachable := range []int{2, 3, 5, 30, 420} {
		last := time.Duration(0)
		for rank := range reachable {
			age := policy.CheckAge(rank, reachable)
			if age < last || rank > 0 && rank <= sequentialChecks && age-last < policy.StepTime() {
				t.Errorf("of %d entries rank %d is due at %v, the one before at %v", reachable, rank, age, last)
			}
			if age > policy.shareOfMaxAge(firstCheckShare+(sequentialChecks+1)*stepShare) {
				t.Errorf("of %d entries rank %d is due as late as %v", reachable, rank, age)
			}
			last = age
		}
	}
	if age := policy.CheckAge(0, 1); age > policy.MaxAge/2 {
		t.Errorf("an entry without peers checks at %v", age)
	}
}

// All entries must agree on who checks first, and over time each must have its turn,
// because the number of calls from one small machine is limited.
func TestOrderIsSharedAndChanges(t *testing.T) {
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprint("entry-", i))
	}
	first := make(map[string]int)
	for n := range uint32(3000) {
		checkID, ranks := NewCheckID("entry-3", n), make(map[int]string)
		for _, name := range names {
			ranks[Rank(name, names, checkID)] = name
		}
		if len(ranks) != len(names) {
			t.Fatalf("%d ranks of %d entries", len(ranks), len(names))
		}
		first[ranks[0]]++
	}
	for _, name := range names {
		if first[name] < 50 || first[name] > 200 {
			t.Errorf("%s is first %d times of 3000, expected about 100", name, first[name])
		}
	}
}

// An entry is paused for four seconds and then reads what has arrived. The tallies in its
// buffers look recent but are seconds old.
func TestLateTallyIsDetected(t *testing.T) {
	d := newTestEstimator(10 * time.Second)
	if extraDelay, ok := d.ExtraDelay(11*time.Second+30*ms, time.Second); !ok || extraDelay < 25*ms || extraDelay > 30*ms {
		t.Errorf("30 ms late: %v, %v", extraDelay, ok)
	}
	extraDelay, _ := d.ExtraDelay(16*time.Second, 2*time.Second)
	if extraDelay < 3900*ms || extraDelay > 4*time.Second {
		t.Errorf("4 s late: %v", extraDelay)
	}
	if c := PeerClaim(16*time.Second, extraDelay, 20*ms, 7, 1); c.At > 12*time.Second {
		t.Errorf("taken as of %v, sent at about 12s", c.At)
	}
}

// newTestEstimator returns an estimator that has seen enough tallies without delay, the
// last one at now by this clock and at 0 by the peer's.
func newTestEstimator(now time.Duration) *DelayEstimator {
	d := new(DelayEstimator)
	for n := minTallies - 1; n >= 0; n-- {
		beforeNow := time.Duration(n) * 250 * ms
		d.ExtraDelay(now-beforeNow, -beforeNow)
	}
	return d
}

// One clock runs slower than the other, by less than the maximum drift. Even after hours,
// the peer's tallies must not count as late.
func TestClockDriftIsNotTakenForDelay(t *testing.T) {
	d := newTestEstimator(0)
	for n := range 3600 {
		now := time.Duration(n) * time.Second
		if extraDelay, _ := d.ExtraDelay(now, time.Duration(0.9995*float64(now))); extraDelay > ms {
			t.Fatalf("after %v: %v late", now, extraDelay)
		}
	}
}

package canary

import "testing"

// A pool has so few requests that the usual part of the trial's share brings fewer answers
// than a good version needs. It must not be rolled back for that more often than the doubt
// at the deadline allows, one in 20.
func TestGoodVersionWithFewRequestsCompletes(t *testing.T) {
	const (
		runs          = 60
		maxRolledBack = runs / 20
	)
	for _, rate := range []float64{10, 15} {
		rolledBack := 0
		for seed := range uint64(runs) {
			f := newModelFleet(seed, 5, 4, rate, fault{route: -1}, false)
			f.run()
			if f.storedState == RolledBack {
				rolledBack++
			}
			if f.excessRequests() > 0 {
				t.Errorf("rate %v, seed %d: %d of %d requests at the target", rate, seed, f.targetInTime, f.requestsInTime)
			}
		}
		if rolledBack > maxRolledBack {
			t.Errorf("rate %v: %d of %d good versions rolled back", rate, rolledBack, runs)
		}
	}
}

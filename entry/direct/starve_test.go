package direct

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"lycheepond/core/shard"
)

// minSizeShare is the smallest share of the service rate of its tier that the largest requests
// must get.
const minSizeShare = 0.5

// serviceBySize returns the fraction of the requests of a tier that were served, and that of the
// largest tenth and of the fifth below it.
func serviceBySize(results []requestResult, tier int) (all, largestTenth, fifthBelow float64) {
	var requests []requestResult
	for _, r := range results {
		if r.tier == tier {
			requests = append(requests, r)
		}
	}
	slices.SortFunc(requests, func(a, b requestResult) int { return cmp.Compare(a.size, b.size) })
	served := func(part []requestResult) float64 {
		n := 0
		for _, r := range part {
			if !r.refused {
				n++
			}
		}
		return float64(n) / float64(max(len(part), 1))
	}
	n := len(requests)
	return served(requests), served(requests[n*9/10:]), served(requests[n*7/10 : n*9/10])
}

// Guards against large requests that stand behind every smaller one of their tier for as long as
// a crowd lasts.
func TestLargeRequestsAreServedUnderLastingCrowd(t *testing.T) {
	for _, entries := range []int{5, 10, 30, 300} {
		if entries > *maxFleetEntries {
			continue
		}
		for _, crowd := range []float64{1.8, 2.6} {
			t.Run(fmt.Sprint(entries, " entries, ", crowd), func(t *testing.T) {
				scale := float64(entries) / 5
				f := fleet{
					workload: workload{
						entries: entries, engines: entries * 9 / 5, slots: 12, duration: 14 * time.Second, seed: 7,
						burst: crowd, burstAt: 0, burstFor: time.Minute, retriesRefused: true, estimateSpread: 0.5,
						kinds: []requestKind{{0, 18.9 * scale, 6610, 380}, {1, 27.8 * scale, 628, 290}, {2, 34.7 * scale, 1800, 25}},
					},
					usesOwners: shard.HasOwners(entries),
				}
				results := f.replay(t).requests
				for tier := range f.kinds {
					all, largest, below := serviceBySize(results, tier)
					t.Logf("tier %d: served %.2f, the largest tenth %.2f, the fifth below it %.2f", tier, all, largest, below)
					if all > 0.02 && min(largest, below) < minSizeShare*all {
						t.Errorf("tier %d: the largest tenth is served at %.2f of the rate of its tier, the fifth below it at %.2f", tier, largest/all, below/all)
					}
				}
			})
		}
	}
}

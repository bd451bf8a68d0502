package direct

import (
	"testing"
	"time"
)

// In a pool of 46 engines the highest tier alone takes nearly all slots. Guards against shards
// so small that one of them refuses the highest tier while others serve lower ones.
func TestShardsDoNotRefuseHighestTier(t *testing.T) {
	f := fleet{
		workload: workload{
			entries: 25, engines: 46, slots: 9, duration: 4 * time.Second, seed: 5,
			burst: 1.5, burstAt: 1500 * time.Millisecond, burstFor: 2 * time.Second,
			kinds: []requestKind{{0, 450, 2890, 130}, {1, 300, 1800, 150}},
		},
		usesOwners: true,
	}
	top, refused, inverted := countInversions(f.replay(t).requests, tallyInterval)
	t.Logf("of %d requests of the highest tier %d refused, %d of them while a lower tier was admitted", top, refused, inverted)
	if inverted*100 > top*2 {
		t.Errorf("%d of %d of the highest tier refused while a lower tier was admitted", inverted, top)
	}
}

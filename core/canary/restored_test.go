package canary

import (
	"testing"
	"time"

	"lycheepond/core/eras"
)

// restoredPool returns a controller with a pool whose order to move to v2 has ended with a
// state, at revision 20 of era 0.
func restoredPool(t *testing.T, end State) (*Controller, Order) {
	t.Helper()
	c := New(Limit{Share: 0.1, Slack: 10})
	c.RecordOrdersRead(0)
	c.SetVersions(0, "p", map[string]int{"v1": 3, "v2": 3})
	o := Order{Pool: "p", Target: "v2", Duration: time.Minute, CreateRevision: 18, Revision: 18}
	c.AddOrder(0, o, 0)
	c.MergeStored(0, "p", "v2", end, 20)
	if p := c.pools["p"]; p.rollout.state != end {
		t.Fatalf("the order is %v, want %v", p.rollout.state, end)
	}
	return c, o
}

func tick(c *Controller, now time.Duration) []StateWrite {
	return c.Tick(now, Fleet{
		OldRequests: func(string, string) int { return 0 }, MaxRequestTime: func(string) time.Duration { return time.Second },
		Spread: func(string) Spread { return Spread{Deviation: 0.5} },
	})
}

// Guards against an order that begins anew because the platform lost it and the operator wrote
// it again, and against a state that is not written again.
func TestOrderWrittenAgainKeepsItsState(t *testing.T) {
	for _, end := range []State{Running, Complete, RolledBack} {
		c, o := restoredPool(t, end)
		c.CancelOrder(time.Second, "p", eras.Join(1, 12))
		tick(c, 2*time.Second)
		o.CreateRevision, o.Revision = eras.Join(1, 15), eras.Join(1, 15)
		c.AddOrder(2*time.Second, o, 0)
		c.MergeStored(2*time.Second, "p", "", 0, o.Revision)
		writes := tick(c, 2*time.Minute)
		if r := c.pools["p"].rollout; r == nil || r.Revision != o.Revision || end != Running && r.state != end {
			t.Errorf("%v: the order is now %+v", end, r)
		}
		if len(writes) != 1 || end != Running && writes[0].State != end {
			t.Errorf("%v: writes %v", end, writes)
		}
	}
}

// Guards against a pool that goes back to the target of an earlier order because the platform
// came back with it, or that forgets its order.
func TestOrderOfOlderCopyTakesEffectOnlyIfItStays(t *testing.T) {
	older := Order{Pool: "p", Target: "v1", Duration: time.Minute, CreateRevision: eras.Join(1, 5), Revision: eras.Join(1, 9)}
	for _, cancelled := range []bool{false, true} {
		c, o := restoredPool(t, Complete)
		apply := func(now time.Duration) {
			if cancelled {
				c.CancelOrder(now, "p", eras.Join(1, 12))
				return
			}
			c.AddOrder(now, older, 0)
			c.MergeStored(now, "p", "v1", Complete, older.Revision)
		}
		apply(time.Second)
		apply(2 * time.Second)
		if writes := tick(c, time.Second+settleTime-1); c.RoleOf("p", "v2") != InService || len(writes) > 0 {
			t.Errorf("cancelled %v: v2 is %v while the copy is unsettled, writes %v", cancelled, c.RoleOf("p", "v2"), writes)
		}
		again := o
		again.CreateRevision, again.Revision = eras.Join(1, 14), eras.Join(1, 14)
		c.AddOrder(3*time.Second, again, 0)
		tick(c, time.Minute)
		if c.RoleOf("p", "v2") != InService || c.pools["p"].rollout.Target != "v2" {
			t.Errorf("cancelled %v: the order that was written again did not stay in force", cancelled)
		}
		c, _ = restoredPool(t, Complete)
		apply(time.Second)
		tick(c, time.Second+settleTime)
		if r := c.pools["p"].rollout; cancelled && r != nil || !cancelled && (r == nil || r.Target != "v1" || r.state != Complete || c.RoleOf("p", "v1") != InService) {
			t.Errorf("cancelled %v: what the platform holds for good did not take effect: %+v", cancelled, r)
		}
	}
}

package canary

import (
	"fmt"
	"testing"
	"time"
)

const second = time.Second

// newTestController returns a controller that knows version v1 of pool p and an order of v2
// over 10 s, given at 1 s.
func newTestController() *Controller {
	c := New(Limit{Share: 0.1, Slack: 50})
	c.RecordOrdersRead(0)
	c.SetVersions(0, "p", map[string]int{"v1": 4})
	c.AddOrder(second, order("v2", 10), 0)
	c.SetVersions(second, "p", map[string]int{"v1": 4, "v2": 4})
	return c
}

func order(target string, revision int64) Order {
	return Order{Pool: "p", Target: target, Duration: 10 * second, CreateRevision: 10, Revision: revision}
}

// singleEntry is a fleet of one entry without requests at the old version.
var singleEntry = Fleet{
	OldRequests:    func(string, string) int { return 0 },
	MaxRequestTime: func(string) time.Duration { return 15 * second },
	Spread:         func(string) Spread { return Spread{Deviation: 0.2} },
}

// sendLoad sends ten requests every 100 ms between two times. Those at the target fail if
// targetFails returns true. It returns the last state to be written and the number of
// requests sent to the target.
func sendLoad(c *Controller, from, to time.Duration, targetFails func(n int) bool) (last State, sent int) {
	n := 0
	for now := from; now < to; now += 100 * time.Millisecond {
		for i := range 10 {
			n++
			s := Sample{Pool: "p", Version: "v1", Route: "r", Endpoint: fmt.Sprint("e", i%4)}
			if c.RoleOf("p", "v1") != InService || c.pools["p"].endpointCounts["v2"] > 0 && c.AdmitToTrial(now, "p", Request{Route: "r", ExpectedDuration: 50 * time.Millisecond, Entries: 1, Random: float64(n%17) / 17}) {
				s.Version = "v2"
				sent++
			} else {
				c.RecordOldRequest("p", "r")
			}
			if s.Version == "v2" && targetFails(n) {
				s.Kind = Failed
			}
			c.Observe(now, s)
		}
		for _, w := range c.Tick(now, singleEntry) {
			last = w.State
		}
	}
	return last, sent
}

func neverFails(int) bool { return false }

// A version whose answers never fail must replace the old one.
func TestGoodVersionCompletes(t *testing.T) {
	c := newTestController()
	last, _ := sendLoad(c, second, 12*second, neverFails)
	if last != Complete || c.RoleOf("p", "v2") != InService || c.RoleOf("p", "v1") != OutOfService {
		t.Errorf("the order is %v, v1 %v, v2 %v", last, c.RoleOf("p", "v1"), c.RoleOf("p", "v2"))
	}
}

// A version that fails a third of its answers must be rolled back after few requests.
func TestBadVersionIsRolledBack(t *testing.T) {
	c := newTestController()
	last, sent := sendLoad(c, second, 12*second, func(n int) bool { return n%3 == 0 })
	if last != RolledBack || c.RoleOf("p", "v2") != OutOfService || c.RoleOf("p", "v1") != InService {
		t.Errorf("the order is %v, v1 %v, v2 %v", last, c.RoleOf("p", "v1"), c.RoleOf("p", "v2"))
	}
	if sent > 60 {
		t.Errorf("%d of 1,100 requests were sent to the target", sent)
	}
}

// If both versions fail the same share of a route's requests, the new one must not be
// blamed.
func TestEqualFailureRatesDoNotRollBack(t *testing.T) {
	c := newTestController()
	for n := range 400 {
		c.Observe(second, Sample{Pool: "p", Version: "v1", Route: "r", Kind: SampleKind(1 - min(n%4, 1))})
	}
	for n := range 100 {
		c.Observe(second, Sample{Pool: "p", Version: "v2", Route: "r", Endpoint: fmt.Sprint("e", n%5), Kind: SampleKind(1 - min(n%4, 1))})
	}
	c.Tick(2*second, singleEntry)
	if c.RoleOf("p", "v2") != OnTrial {
		t.Errorf("v2 is %v after failing as often as v1", c.RoleOf("p", "v2"))
	}
}

// A version must not be rolled back because of a fault of one of its endpoints.
func TestOneFailingEndpointDoesNotRollBack(t *testing.T) {
	c := newTestController()
	for range 400 {
		c.Observe(second, Sample{Pool: "p", Version: "v1", Route: "r"})
	}
	for n := range 100 {
		s := Sample{Pool: "p", Version: "v2", Route: "r", Endpoint: fmt.Sprint("e", n%4)}
		if n%4 == 0 {
			s.Kind = Failed
		}
		c.Observe(second, s)
	}
	c.Tick(2*second, singleEntry)
	if c.RoleOf("p", "v2") != OnTrial {
		t.Errorf("v2 is %v because of one endpoint that fails", c.RoleOf("p", "v2"))
	}
}

// A bad version must be rolled back even if it has only one endpoint.
func TestBadVersionWithOneEndpointIsRolledBack(t *testing.T) {
	for name, s := range map[string]Sample{"fails": {Kind: Failed}, "slow": {Kind: FirstEvent, Elapsed: second}} {
		c := New(Limit{Share: 0.1, Slack: 50})
		c.RecordOrdersRead(0)
		c.SetVersions(0, "p", map[string]int{"v1": 4})
		c.AddOrder(second, order("v2", 10), 0)
		c.SetVersions(second, "p", map[string]int{"v1": 4, "v2": 1})
		for range 400 {
			c.Observe(second, Sample{Pool: "p", Version: "v1", Route: "r"})
			c.Observe(second, Sample{Pool: "p", Version: "v1", Route: "r", Kind: FirstEvent, Elapsed: 50 * time.Millisecond})
		}
		for range 40 {
			s.Pool, s.Version, s.Route, s.Endpoint = "p", "v2", "r", "e"
			c.Observe(second, s)
		}
		c.Tick(2*second, singleEntry)
		if c.RoleOf("p", "v2") != OutOfService {
			t.Errorf("%s: v2 is %v", name, c.RoleOf("p", "v2"))
		}
	}
}

// The target of an order has no endpoints. The order must end, and the old version must
// stay in service.
func TestOrderWithoutEndpointsIsRolledBack(t *testing.T) {
	c := New(Limit{Share: 0.1, Slack: 50})
	c.RecordOrdersRead(0)
	c.SetVersions(0, "p", map[string]int{"v1": 4})
	c.AddOrder(second, order("v2", 10), 0)
	if last, _ := sendLoad(c, second, 12*second, neverFails); last != RolledBack || c.RoleOf("p", "v1") != InService {
		t.Errorf("the order is %v, v1 %v", last, c.RoleOf("p", "v1"))
	}
}

// An order of the only version in service must complete at once, as there is no other
// version to move from.
func TestOrderOfVersionInServiceCompletes(t *testing.T) {
	c := New(Limit{Share: 0.1, Slack: 50})
	c.RecordOrdersRead(0)
	c.SetVersions(0, "p", map[string]int{"v1": 4})
	c.AddOrder(second, order("v1", 10), 0)
	if c.RoleOf("p", "v1") != InService {
		t.Fatalf("v1 is %v", c.RoleOf("p", "v1"))
	}
	if last, _ := sendLoad(c, second, 2*second, neverFails); last != Complete {
		t.Errorf("the order is %v", last)
	}
}

// New endpoints may be listed before their order is known. They must not receive all
// requests before the orders are read, and must receive requests afterwards if there is no
// order.
func TestUnknownVersionWaitsForOrders(t *testing.T) {
	c := New(Limit{Share: 0.1, Slack: 50})
	c.RecordOrdersRead(0)
	c.SetVersions(0, "p", map[string]int{"v1": 4})
	c.SetVersions(5*second, "p", map[string]int{"v1": 4, "v2": 1})
	c.RecordOrdersRead(4 * second)
	if c.RoleOf("p", "v2") != OutOfService || !c.AwaitsOrders() {
		t.Errorf("v2 is %v before the orders were read", c.RoleOf("p", "v2"))
	}
	c.RecordOrdersRead(6 * second)
	if c.RoleOf("p", "v2") != InService || c.AwaitsOrders() {
		t.Errorf("v2 is %v after the orders were read", c.RoleOf("p", "v2"))
	}
}

// A version must not be put in service because its order is removed or replaced.
func TestVersionOfRemovedOrderIsOutOfService(t *testing.T) {
	for name, remove := range map[string]func(c *Controller){
		"removed":  func(c *Controller) { c.CancelOrder(2*second, "p", 11) },
		"replaced": func(c *Controller) { c.AddOrder(2*second, order("v3", 11), 0) },
	} {
		c := newTestController()
		remove(c)
		c.RecordOrdersRead(3 * second)
		if c.RoleOf("p", "v2") != OutOfService || c.RoleOf("p", "v1") != InService {
			t.Errorf("%s: v1 is %v, v2 %v", name, c.RoleOf("p", "v1"), c.RoleOf("p", "v2"))
		}
	}
}

// A version that was rolled back is ordered again. The stored end of the first order must
// not end the second one.
func TestSameTargetCanBeOrderedAgain(t *testing.T) {
	c := newTestController()
	sendLoad(c, second, 6*second, func(n int) bool { return n%2 == 0 })
	c.MergeStored(6*second, "p", "v2", RolledBack, 12)
	again := order("v2", 14)
	again.Duration = 20 * second
	c.AddOrder(7*second, again, 0)
	c.MergeStored(7*second, "p", "v2", RolledBack, 14)
	if c.RoleOf("p", "v2") != OnTrial {
		t.Errorf("v2 is %v after it was ordered again", c.RoleOf("p", "v2"))
	}
	c.MergeStored(8*second, "p", "v2", RolledBack, 15)
	if c.RoleOf("p", "v2") != OutOfService {
		t.Errorf("v2 is %v after its end was stored", c.RoleOf("p", "v2"))
	}
}

// Two entries end an order differently. The state in the store must take precedence at
// both.
func TestStoredStateTakesPrecedence(t *testing.T) {
	c := newTestController()
	sendLoad(c, second, 12*second, neverFails)
	c.MergeStored(12*second, "p", "v2", RolledBack, 20)
	if c.RoleOf("p", "v2") != OutOfService || c.RoleOf("p", "v1") != InService {
		t.Errorf("v1 is %v, v2 %v", c.RoleOf("p", "v1"), c.RoleOf("p", "v2"))
	}
}

// An entry that starts after an order was rolled back must not use the version again.
func TestEntryStartedAfterOrderEnded(t *testing.T) {
	c := New(Limit{Share: 0.1, Slack: 50})
	c.AddOrder(0, order("v2", 12), 0)
	c.MergeStored(0, "p", "v2", RolledBack, 12)
	c.RecordOrdersRead(0)
	c.SetVersions(second, "p", map[string]int{"v1": 4, "v2": 4})
	if c.RoleOf("p", "v2") != OutOfService || c.RoleOf("p", "v1") != InService {
		t.Errorf("v1 is %v, v2 %v", c.RoleOf("p", "v1"), c.RoleOf("p", "v2"))
	}
}

// An entry that starts during an order must not estimate the requests in the order's whole
// duration from those sent since its start. It would move too early and exceed its share.
func TestEntryStartedDuringOrderKeepsShare(t *testing.T) {
	c := New(Limit{Share: 0.1, Slack: 50})
	c.RecordOrdersRead(0)
	c.AddOrder(8*second, order("v2", 10), 7*second)
	c.SetVersions(8*second, "p", map[string]int{"v1": 4, "v2": 4})
	for n := range 100 {
		c.Observe(8*second, Sample{Pool: "p", Version: "v2", Route: "r", Endpoint: fmt.Sprint("e", n%4)})
	}
	all, sent := 0, 0
	for now := 8 * second; now < 11*second; now += 50 * time.Millisecond {
		c.Tick(now, singleEntry)
		all++
		if c.RoleOf("p", "v1") != InService || c.AdmitToTrial(now, "p", Request{Route: "r", ExpectedDuration: second, Entries: 1, Random: 0.99}) {
			sent++
		} else {
			c.RecordOldRequest("p", "r")
		}
	}
	if float64(sent) > 0.1*float64(all)+1 {
		t.Errorf("%d of %d requests were sent to the version on trial", sent, all)
	}
}

// Entries must not each use the whole slack.
func TestEntriesKeepShareTogether(t *testing.T) {
	const entries, requestsPerEntry = 103, 40
	sent := 0
	for range entries {
		c := newTestController()
		for range requestsPerEntry {
			if c.AdmitToTrial(2*second, "p", Request{Route: "r", Entries: entries}) {
				sent++
			} else {
				c.RecordOldRequest("p", "r")
			}
		}
	}
	if allowed := 0.1*entries*requestsPerEntry + 50; float64(sent) > allowed {
		t.Errorf("%d of %d requests were sent to the version on trial, %.0f allowed", sent, entries*requestsPerEntry, allowed)
	}
}

// Peers report their counts again when asked to resend them. The counts must not be added a
// second time.
func TestRepeatedReportsAreCountedOnce(t *testing.T) {
	sender, receiver := newTestController(), newTestController()
	for range 30 {
		sender.Observe(2*second, Sample{Pool: "p", Version: "v2", Route: "r", Endpoint: "e"})
	}
	all := sender.Reports(3*second, true, 2)
	for range 3 {
		for _, r := range all {
			receiver.Merge(3*second, "a", r)
		}
	}
	if n := receiver.pools["p"].rollout.targetAnswers(); n != 30 {
		t.Errorf("%d answers after 30 were reported", n)
	}
	if len(sender.Reports(4*second, false, 2)) != 0 {
		t.Error("unchanged cells are reported again")
	}
}

func BenchmarkObserveWithoutOrder(b *testing.B) {
	c := New(Limit{Share: 0.1, Slack: 50})
	c.RecordOrdersRead(0)
	c.SetVersions(0, "p", map[string]int{"v1": 4})
	for b.Loop() {
		if c.HasOpenOrder("p") {
			b.Fatal("an order is open")
		}
		c.Observe(second, Sample{Pool: "p", Version: "v1", Route: "r", Endpoint: "e", Kind: FirstEvent, Elapsed: time.Millisecond})
		c.Observe(second, Sample{Pool: "p", Version: "v1", Route: "r", Endpoint: "e"})
	}
}

// Guards against streams that go on at a version on trial without its admission, at one that was
// rolled back, or at the old version after the order is complete, when its endpoints end.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	c := newTestController()
	check := func(when, version string, want bool) {
		t.Helper()
		if got := c.MayGoOn("p", version); got != want {
			t.Errorf("%s: %s may go on: %v, want %v", when, version, got, want)
		}
	}
	check("on trial", "v1", true)
	check("on trial", "v2", false)
	sendLoad(c, second, 12*second, neverFails)
	check("complete", "v2", true)
	check("complete", "v1", false)
	bad := newTestController()
	sendLoad(bad, second, 12*second, func(int) bool { return true })
	c = bad
	check("rolled back", "v1", true)
	check("rolled back", "v2", false)
}

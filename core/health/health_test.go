package health

import (
	"testing"
	"time"
)

// An endpoint crashes while the instance list still names it. Only one request may fail
// there. After that, the endpoint is probed with a few connections in ten seconds.
func TestUnreachableEndpointIsAvoidedImmediately(t *testing.T) {
	tracker, sent, probes := New(), 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		tracker.StartConnectProbes(now, func(id string) {
			probes++
			tracker.RecordResult(now+time.Millisecond, id, Unreachable)
		})
		if tracker.Usable(now, "e") {
			sent++
			tracker.RecordSent(now, "e")
			tracker.RecordResult(now+time.Millisecond, "e", Unreachable)
		}
	}
	if sent > 1 || probes < 3 || probes > 7 {
		t.Errorf("%d of 1000 requests and %d connections went to an unreachable endpoint", sent, probes)
	}
}

// A service normally answers one request in seven with an error. Avoiding its endpoints in
// turn would only overload the others.
func TestUsualErrorRateKeepsEndpointUsable(t *testing.T) {
	tracker := New()
	for i := range 2000 {
		r := Success
		if i%7 == 0 {
			r = ServerError
		}
		if tracker.RecordResult(time.Duration(i)*10*time.Millisecond, "e", r) == BecameUnusable {
			t.Fatalf("avoided after %d requests", i)
		}
	}
}

// An endpoint breaks off nine of twenty requests while its health check succeeds. Callers
// would lose these requests as long as the fault lasts.
func TestEndpointWithBrokenAnswersIsAvoided(t *testing.T) {
	tracker, sent := New(), 0
	for i := range 1000 {
		now := time.Duration(i) * 10 * time.Millisecond
		if !tracker.Usable(now, "e") {
			continue
		}
		sent++
		tracker.RecordSent(now, "e")
		r := Success
		if i%20 < 9 {
			r = Broken
		}
		tracker.RecordResult(now, "e", r)
	}
	if sent > 400 {
		t.Errorf("%d of 1000 requests went to an endpoint that fails half of them", sent)
	}
}

// After a restart, an endpoint must receive requests again within the longest pause.
func TestEndpointIsUsedAgainAfterRestart(t *testing.T) {
	tracker := New()
	for i := range 20 {
		tracker.RecordResult(time.Duration(i)*time.Millisecond, "e", Unreachable)
	}
	now := time.Second + maxPause
	if tracker.Usable(now, "e") {
		t.Fatal("usable before a connection could be made")
	}
	tracker.StartConnectProbes(now, func(id string) { tracker.RecordConnected(now, id) })
	if !tracker.Usable(now, "e") {
		t.Fatal("not usable after a connection could be made")
	}
	tracker.RecordSent(now, "e")
	if tracker.Usable(now, "e") {
		t.Fatal("usable for a second request before the probe has a result")
	}
	tracker.RecordResult(now, "e", Success)
	if !tracker.Usable(now, "e") {
		t.Fatal("still avoided after a successful probe")
	}
}

package trust

import (
	"testing"
	"time"
)

// An endpoint crashes and the list still names it. One request meets it; from
// then on it is tried with connections, a few in ten seconds.
func TestUnreachableEndpointIsAvoidedAtOnce(t *testing.T) {
	b, sent, tried := New(), 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		b.Due(now, func(id string) {
			tried++
			b.Ended(now+time.Millisecond, id, Unreachable)
		})
		if b.Usable(now, "e") {
			sent++
			b.Sent(now, "e")
			b.Ended(now+time.Millisecond, "e", Unreachable)
		}
	}
	if sent > 1 || tried < 3 || tried > 7 {
		t.Errorf("%d of 1000 requests and %d connections went to an endpoint that was gone", sent, tried)
	}
}

// A service answers one request in seven with an error of its own. That is how
// it is, and avoiding its endpoints in turn would only crowd the others.
func TestUsualErrorsAreNoReasonToAvoid(t *testing.T) {
	b := New()
	for i := range 2000 {
		r := Good
		if i%7 == 0 {
			r = Error
		}
		if b.Ended(time.Duration(i)*10*time.Millisecond, "e", r) == Lost {
			t.Fatalf("avoided after %d requests", i)
		}
	}
}

// An endpoint fails nine requests in twenty by breaking off while its health
// check is good. Callers would lose these requests for as long as it lasts.
func TestEndpointThatBreaksOffIsAvoided(t *testing.T) {
	b, sent := New(), 0
	for i := range 1000 {
		now := time.Duration(i) * 10 * time.Millisecond
		if !b.Usable(now, "e") {
			continue
		}
		sent++
		b.Sent(now, "e")
		r := Good
		if i%20 < 9 {
			r = Broken
		}
		b.Ended(now, "e", r)
	}
	if sent > 400 {
		t.Errorf("%d of 1000 requests went to an endpoint that fails half of them", sent)
	}
}

// After its restart the endpoint is good again and must get its share back
// within the longest pause.
func TestEndpointComesBack(t *testing.T) {
	b := New()
	for i := range 20 {
		b.Ended(time.Duration(i)*time.Millisecond, "e", Unreachable)
	}
	now := time.Second + longestPause
	if b.Usable(now, "e") {
		t.Fatal("a caller's request is sent before a connection could be made")
	}
	b.Due(now, func(id string) { b.Reached(now, id) })
	if !b.Usable(now, "e") {
		t.Fatal("not tried again after a connection could be made")
	}
	b.Sent(now, "e")
	if b.Usable(now, "e") {
		t.Fatal("a second request before the trial has its result")
	}
	b.Ended(now, "e", Good)
	if !b.Usable(now, "e") {
		t.Fatal("still avoided after a good trial")
	}
}

package wire

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

const testIdle = 8 * time.Second

// newTestLiveness returns the liveness of a link that carried its last request at
// start.
func newTestLiveness(t *testing.T) (p *liveness, start time.Time) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	p = newLiveness(near, time.Second, testIdle)
	return p, p.lastRequestAt
}

// A busy link must send every heartbeat and an idle link one in eight. Only messages
// of requests make a link busy.
func TestIdleLinkSkipsHeartbeats(t *testing.T) {
	p, start := newTestLiveness(t)
	if p.maySkip(1, start.Add(5*time.Second)) {
		t.Error("a heartbeat is skipped while the link counts as busy")
	}
	idleAt := start.Add(10 * time.Second)
	if !p.maySkip(1, idleAt) || !p.maySkip(7, idleAt) || p.maySkip(8, idleAt) {
		t.Error("want seven of eight skipped")
	}
	if err := p.recordMessage(KindLeaseRequest, idleAt); err != nil || !p.maySkip(1, idleAt) {
		t.Error("a lease request made the link busy", err)
	}
	if err := p.recordMessage(KindOffer, idleAt); err != nil || p.maySkip(1, idleAt) {
		t.Error("an offer left the link idle", err)
	}
}

// A link becomes idle between two heartbeats of its peer. The read deadline was set
// while the link was busy. Without the second check of the deadline, the peer would
// count as dead and every caller on it would have to wait for a new link.
func TestLinkThatBecomesIdleStaysOpen(t *testing.T) {
	p, start := newTestLiveness(t)
	lastFrame := start.Add(5 * time.Second)
	if err := p.recordReceived(lastFrame); err != nil {
		t.Fatal(err)
	}
	if !p.extendIfAlive(lastFrame.Add(4 * time.Second)) {
		t.Error("the peer of a link that became idle counts as dead")
	}
	if p.extendIfAlive(lastFrame.Add(3*testIdle + time.Second)) {
		t.Error("three missed heartbeats of an idle link are not detected")
	}
}

// An agent freezes while its link is idle, and then a request is offered to it. The
// dead agent must be detected after three heartbeats and not only after three of the
// longer idle periods, because the request goes to another agent only then.
func TestOfferOnIdleLinkFindsDeadPeer(t *testing.T) {
	p, start := newTestLiveness(t)
	if err := p.recordReceived(start.Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	offeredAt := start.Add(15 * time.Second)
	if err := p.recordMessage(KindOffer, offeredAt); err != nil {
		t.Fatal(err)
	}
	if got := p.readDeadline.Sub(offeredAt); got > 4*time.Second {
		t.Errorf("the deadline is %v after the offer", got)
	}
	if p.extendIfAlive(offeredAt.Add(4 * time.Second)) {
		t.Error("the dead peer was not detected")
	}
}

// The process is paused while a request is on the link, and the read deadline is handled
// only after the time for which the link counts as busy. The dead peer must be detected
// then, not after three of the longer idle periods.
func TestPauseDoesNotMakeABusyLinkIdle(t *testing.T) {
	p, start := newTestLiveness(t)
	if err := p.recordReceived(start); err != nil {
		t.Fatal(err)
	}
	if p.extendIfAlive(start.Add(20 * time.Second)) {
		t.Error("the dead peer was not detected")
	}
}

// A peer accepts the connection and then sends nothing, as a paused process does. The
// link must end, because its requests wait until then.
func TestSilentPeerEndsLink(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	go func() {
		for b := make([]byte, 1<<10); ; {
			if _, err := far.Read(b); err != nil {
				return
			}
		}
	}()
	l := New(near, Hello{IdleHeartbeatMS: 3_600_000}, Config{Heartbeat: 5 * time.Millisecond, IdleHeartbeat: time.Hour})
	if err := l.Send(new(Offer)); err != nil {
		t.Fatal(err)
	}
	if err := l.Run(context.Background(), func(Message) {}); !errors.Is(err, ErrSilent) {
		t.Errorf("the link ended with %v", err)
	}
}

// Both ends state an idle heartbeat period. The shorter one applies, and never less
// than the heartbeat period.
func TestShorterIdlePeriodApplies(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	for _, v := range []struct{ own, peer, want time.Duration }{
		{0, 0, time.Second},
		{testIdle, 0, time.Second},
		{0, testIdle, time.Second},
		{testIdle, 5 * time.Second, 5 * time.Second},
	} {
		l := New(near, Hello{IdleHeartbeatMS: uint32(v.peer.Milliseconds())}, Config{Heartbeat: time.Second, IdleHeartbeat: v.own})
		if l.liveness.idleHeartbeat != v.want {
			t.Errorf("own %v, peer's %v: got %v", v.own, v.peer, l.liveness.idleHeartbeat)
		}
	}
}

// A heartbeat counts as changed for a different load or state of the sender, but not
// for a new configuration version alone.
func TestSameHeartbeat(t *testing.T) {
	a := &Heartbeat{Load: Load{InFlight: 3}, ConfigVersion: 7}
	if !sameHeartbeat(a, &Heartbeat{Load: Load{InFlight: 3}, ConfigVersion: 8}) {
		t.Error("a new configuration version alone counts as a change")
	}
	if sameHeartbeat(a, &Heartbeat{Load: Load{InFlight: 4}, ConfigVersion: 7}) || sameHeartbeat(a, &Heartbeat{Load: a.Load, Leaving: true}) || sameHeartbeat(a, new(Deny)) {
		t.Error("a change is not detected")
	}
}

package wire

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

const testIdle = 8 * time.Second

// paced returns the pace of a link that carried its last request at start.
func paced(t *testing.T) (p *pace, start time.Time) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	p = newPace(near, time.Second, testIdle)
	return p, p.worked
}

func TestIdleLinkSparesBeats(t *testing.T) {
	p, start := paced(t)
	if p.spares(1, start.Add(5*time.Second)) {
		t.Error("a heartbeat is left out while the link counts as busy")
	}
	calm := start.Add(10 * time.Second)
	if !p.spares(1, calm) || !p.spares(7, calm) || p.spares(8, calm) {
		t.Error("want seven of eight left out")
	}
	if err := p.pass(KindLeaseAsk, calm); err != nil || !p.spares(1, calm) {
		t.Error("the question about a lease made the link busy", err)
	}
	if err := p.pass(KindOffer, calm); err != nil || p.spares(1, calm) {
		t.Error("an offer left the link idle", err)
	}
}

// A link becomes idle between two heartbeats of the peer. Without the second
// look at the deadline, which was set while the link was busy, the peer would
// be taken for dead and every caller on it would wait for a new link.
func TestLinkThatBecomesIdleStays(t *testing.T) {
	p, start := paced(t)
	last := start.Add(5 * time.Second)
	if err := p.listen(last); err != nil {
		t.Fatal(err)
	}
	if !p.patient(last.Add(4 * time.Second)) {
		t.Error("the peer of a link that became idle is taken for dead")
	}
	if p.patient(last.Add(3*testIdle + time.Second)) {
		t.Error("three missed heartbeats of an idle link are not noticed")
	}
}

// An agent freezes while nobody asks for anything, and the next caller's request
// is offered to it. The caller must not wait for the long period of an idle
// link until the request goes to another agent for good.
func TestOfferOnIdleLinkFindsDeadPeer(t *testing.T) {
	p, start := paced(t)
	if err := p.listen(start.Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	asked := start.Add(15 * time.Second)
	if err := p.pass(KindOffer, asked); err != nil {
		t.Fatal(err)
	}
	if got := p.limit.Sub(asked); got > 4*time.Second {
		t.Errorf("the deadline is %v behind the offer", got)
	}
	if p.patient(asked.Add(4 * time.Second)) {
		t.Error("the dead peer is still waited for")
	}
}

// A peer accepts the connection and then says nothing more, as a paused process
// does. Its requests wait until the link is given up.
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
	l := New(near, Hello{IdleMS: 3_600_000}, Config{Heartbeat: 5 * time.Millisecond, Idle: time.Hour})
	if err := l.Send(new(Offer)); err != nil {
		t.Fatal(err)
	}
	if err := l.Run(context.Background(), func(Message) {}); !errors.Is(err, ErrSilent) {
		t.Errorf("the link ended with %v", err)
	}
}

func TestShorterIdleHolds(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	for _, v := range []struct{ own, peer, want time.Duration }{
		{0, 0, time.Second},
		{testIdle, 0, time.Second},
		{0, testIdle, time.Second},
		{testIdle, 5 * time.Second, 5 * time.Second},
	} {
		l := New(near, Hello{IdleMS: uint32(v.peer.Milliseconds())}, Config{Heartbeat: time.Second, Idle: v.own})
		if l.pace.idle != v.want {
			t.Errorf("own %v, peer's %v: got %v", v.own, v.peer, l.pace.idle)
		}
	}
}

func TestSameBeat(t *testing.T) {
	a := &Beat{Load: Load{InFlight: 3}, Config: 7}
	if !sameBeat(a, &Beat{Load: Load{InFlight: 3}, Config: 8}) {
		t.Error("a configuration version alone is news")
	}
	if sameBeat(a, &Beat{Load: Load{InFlight: 4}, Config: 7}) || sameBeat(a, &Beat{Load: a.Load, Leaving: true}) || sameBeat(a, new(Deny)) {
		t.Error("a change would not be told")
	}
}

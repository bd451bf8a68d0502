package slot

import (
	"context"
	"time"

	"lycheepond/agent/call"
	"lycheepond/agent/engine"
	"lycheepond/core/wire"
)

// event is something that the owner takes in.
type event interface {
	apply(o *Owner, now time.Duration)
}

// Peer is one link to an entry.
type Peer struct {
	// Name and Incarnation are the entry's.
	Name        string
	Incarnation uint64
	// Send queues a message without waiting; SendWait waits for room.
	Send     func(m wire.Message) error
	SendWait func(ctx context.Context, m wire.Message) error
}

type linkUp struct{ p *Peer }

func (e linkUp) apply(o *Owner, now time.Duration) { o.linkUp(now, e.p) }

type linkDown struct{ p *Peer }

func (e linkDown) apply(o *Owner, now time.Duration) { o.linkDown(now, e.p) }

type message struct {
	p *Peer
	m wire.Message
}

func (e message) apply(o *Owner, now time.Duration) { o.message(now, e.p, e.m) }

// taskEnd reports the end of a goroutine and what it found.
type taskEnd struct{ ev event }

func (e taskEnd) apply(o *Owner, now time.Duration) {
	o.tasks--
	if e.ev != nil {
		e.ev.apply(o, now)
	}
}

type finished struct {
	r   *rec
	res call.Result
}

func (e finished) apply(o *Owner, now time.Duration) { o.finish(now, e.r, e.res) }

type followed struct {
	r *rec
	f *following
	// whole is set when the answer was sent to its end.
	whole bool
}

func (e followed) apply(_ *Owner, _ time.Duration) {
	e.r.told = e.r.told || e.whole
	if e.r.follow == e.f {
		e.r.follow = nil
	}
}

type report struct {
	load engine.Load
	err  error
}

func (e report) apply(o *Owner, now time.Duration) { o.report(now, e.load, e.err) }

type leave struct{}

func (leave) apply(o *Owner, now time.Duration) { o.leave(now) }

// LinkUp tells the owner of a new link. The caller's goroutine waits while the
// ring is full, which holds the sender of the messages back.
func (o *Owner) LinkUp(ctx context.Context, p *Peer) error { return o.events.Put(ctx, linkUp{p}) }

// LinkDown tells the owner that a link has ended, after its last message.
func (o *Owner) LinkDown(p *Peer) error { return o.events.Put(o.life, linkDown{p}) }

// Message hands a message from a link to the owner.
func (o *Owner) Message(ctx context.Context, p *Peer, m wire.Message) error {
	return o.events.Put(ctx, message{p, m})
}

// Report hands the endpoint's report of itself, or why there was none, to the
// owner.
func (o *Owner) Report(ctx context.Context, l engine.Load, err error) error {
	return o.events.Put(ctx, report{l, err})
}

// Leave begins a planned stop.
func (o *Owner) Leave(ctx context.Context) error { return o.events.Put(ctx, leave{}) }

func (o *Owner) message(now time.Duration, p *Peer, m wire.Message) {
	switch m := m.(type) {
	case *wire.Offer:
		o.offer(now, p, m)
	case *wire.Withdraw:
		o.withdraw(now, p, m.ID)
	case *wire.Grant:
		o.grant(now, p, m)
	case *wire.Deny:
		o.deny(now, p, m.ID)
	case *wire.Cancel:
		o.cancel(now, p, m)
	case *wire.Attach:
		o.attach(now, p, m)
	case *wire.ShedLevel:
		o.level(now, p, m)
	case *wire.ObjectUpdate:
		o.news(now, m)
	case *wire.LeaseReply:
		o.leaseAck(now, p, m)
	case *wire.Handover:
		o.handover(now, p, m)
	case *wire.HandoverAck:
		o.handAck(now, m)
	}
}

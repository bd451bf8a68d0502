package slot

import (
	"context"
	"time"

	"lycheepond/agent/call"
	"lycheepond/agent/engine"
	"lycheepond/core/wire"
)

// event is something that happened and that the owner's goroutine applies to its
// state.
type event interface {
	apply(o *Owner, now time.Duration)
}

// Peer is an entry process at the other end of one link. A new link to the same
// process gets a new Peer.
type Peer struct {
	// Name and Incarnation identify the entry process.
	Name        string
	Incarnation uint64
	// Send queues a message and fails if the link's queue is full; SendWait waits
	// for room in the queue.
	Send     func(m wire.Message) error
	SendWait func(ctx context.Context, m wire.Message) error
}

type linkUpEvent struct{ p *Peer }

func (e linkUpEvent) apply(o *Owner, now time.Duration) { o.handleLinkUp(now, e.p) }

type linkDownEvent struct{ p *Peer }

func (e linkDownEvent) apply(o *Owner, now time.Duration) { o.handleLinkDown(now, e.p) }

type messageEvent struct {
	p *Peer
	m wire.Message
}

func (e messageEvent) apply(o *Owner, now time.Duration) { o.handleMessage(now, e.p, e.m) }

// taskEndEvent reports the end of a goroutine, with its result as another event.
type taskEndEvent struct{ ev event }

func (e taskEndEvent) apply(o *Owner, now time.Duration) {
	o.taskCount--
	if e.ev != nil {
		e.ev.apply(o, now)
	}
}

type runEndEvent struct {
	r   *record
	res call.Result
}

func (e runEndEvent) apply(o *Owner, now time.Duration) { o.handleRunEnd(now, e.r, e.res) }

type followEndEvent struct {
	r *record
	f *followTask
	// answerSent is set when the answer was sent up to its end.
	answerSent bool
}

func (e followEndEvent) apply(_ *Owner, _ time.Duration) {
	e.r.answerSent = e.r.answerSent || e.answerSent
	if e.r.follower == e.f {
		e.r.follower = nil
	}
}

type reportEvent struct {
	load engine.Load
	err  error
}

func (e reportEvent) apply(o *Owner, now time.Duration) { o.handleReport(now, e.load, e.err) }

type leaveEvent struct{}

func (leaveEvent) apply(o *Owner, now time.Duration) { o.beginLeave(now) }

// LinkUp reports a new link. It waits while the event ring is full, which slows
// the sender of the link's messages down.
func (o *Owner) LinkUp(ctx context.Context, p *Peer) error { return o.events.Put(ctx, linkUpEvent{p}) }

// LinkDown reports that a link has ended. It must be called after Message for the
// link's last message.
func (o *Owner) LinkDown(p *Peer) error { return o.events.Put(o.lifeCtx, linkDownEvent{p}) }

// Message passes a message from a link to the owner.
func (o *Owner) Message(ctx context.Context, p *Peer, m wire.Message) error {
	return o.events.Put(ctx, messageEvent{p, m})
}

// Report passes the endpoint's load report, or the error that prevented it, to the
// owner.
func (o *Owner) Report(ctx context.Context, l engine.Load, err error) error {
	return o.events.Put(ctx, reportEvent{l, err})
}

// Leave begins a planned stop.
func (o *Owner) Leave(ctx context.Context) error { return o.events.Put(ctx, leaveEvent{}) }

func (o *Owner) handleMessage(now time.Duration, p *Peer, m wire.Message) {
	switch m := m.(type) {
	case *wire.Offer:
		o.handleOffer(now, p, m)
	case *wire.Withdraw:
		o.handleWithdraw(now, p, m.ID)
	case *wire.Grant:
		o.handleGrant(now, p, m)
	case *wire.Deny:
		o.handleDeny(now, p, m.ID)
	case *wire.Cancel:
		o.handleCancel(now, p, m)
	case *wire.Attach:
		o.handleAttach(now, p, m)
	case *wire.ShedLevel:
		o.handleLevel(now, p, m)
	case *wire.ObjectUpdate:
		o.handleObjectUpdate(now, m)
	case *wire.LeaseReply:
		o.handleLeaseReply(now, p, m)
	case *wire.Handover:
		o.handleHandover(now, p, m)
	case *wire.HandoverAck:
		o.handleHandoverAck(now, m)
	}
}

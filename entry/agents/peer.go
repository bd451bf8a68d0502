// Package agents maintains an entry's links to the agents, which run beside the
// endpoints.
package agents

import (
	"sync/atomic"
	"time"

	"lycheepond/core/once"
	"lycheepond/core/plat"
	"lycheepond/core/wire"
)

// fullPeriod is how long an agent counts as full after it returned an offer because
// it was full. Without it the same offer would go back and forth until the agent's
// next load shows its state.
const fullPeriod = 200 * time.Millisecond

// Peer is an agent that the entry links to. It is safe for concurrent use.
type Peer struct {
	name string
	// instance is the agent's latest instance in the instance list.
	instance atomic.Pointer[plat.Instance]
	// link is nil while there is no link.
	link atomic.Pointer[wire.Link]
	// load is the last load received over the current link, nil without one.
	load atomic.Pointer[wire.Load]
	// incarnation is the agent's incarnation on the current or the last link.
	incarnation atomic.Uint64
	// isUnlisted is set while the instance list doesn't name the agent.
	isUnlisted atomic.Bool
	// fullUntil is the time until which the agent counts as full, in nanoseconds on
	// the entry's clock.
	fullUntil atomic.Int64
	// uncountedOffers counts the offers sent since the last load, which doesn't
	// include them yet.
	uncountedOffers atomic.Int32
	// linkLostAt is when the last link ended, in nanoseconds on the entry's clock.
	linkLostAt atomic.Int64
	// servedModel is the model that the endpoint serves, as last reported over the
	// current link; nil if unknown.
	servedModel atomic.Pointer[modelVersion]
	// stop ends the goroutine that keeps the link, and waits for it.
	stop func()
}

// modelVersion is a version of a model.
type modelVersion struct{ model, version string }

// NewPeer returns a Peer without a link.
func NewPeer(inst *plat.Instance) *Peer {
	p := &Peer{name: inst.Name}
	p.instance.Store(inst)
	return p
}

// Connect puts a link into use. first is the first message received over it.
func (p *Peer) Connect(link *wire.Link, first wire.Message) {
	p.incarnation.Store(link.Peer().Incarnation)
	p.servedModel.Store(nil)
	p.uncountedOffers.Store(0)
	p.recordLoad(first)
	p.link.Store(link)
}

// Disconnect records that the link ended at now.
func (p *Peer) Disconnect(now time.Duration) {
	p.linkLostAt.Store(int64(now))
	p.link.Store(nil)
	p.load.Store(nil)
}

// Name returns the name of the agent's instance.
func (p *Peer) Name() string { return p.name }

// Instance returns the agent's latest instance in the instance list.
func (p *Peer) Instance() plat.Instance { return *p.instance.Load() }

// Zone returns the agent's availability zone.
func (p *Peer) Zone() string { return p.instance.Load().Zone }

// IsLinked reports whether there is a link now.
func (p *Peer) IsLinked() bool { return p.link.Load() != nil }

// Link returns the current link, or nil.
func (p *Peer) Link() *wire.Link { return p.link.Load() }

// Agent returns the name and incarnation of the agent on the current or the last
// link.
func (p *Peer) Agent() once.Agent { return once.Agent{Name: p.name, Incarnation: p.incarnation.Load()} }

// Load returns the last load received over the current link, and false if there is
// none.
func (p *Peer) Load() (wire.Load, bool) {
	l := p.load.Load()
	if l == nil {
		return wire.Load{}, false
	}
	return *l, true
}

// IsLeaving reports whether the agent accepts no new requests, according to its
// load or to the instance list, whichever says so first.
func (p *Peer) IsLeaving() bool {
	if p.isUnlisted.Load() || p.instance.Load().State == plat.StateLeaving {
		return true
	}
	l := p.load.Load()
	return l != nil && l.Leaving
}

// IsFull reports whether the agent recently returned an offer because it was full.
func (p *Peer) IsFull(now time.Duration) bool { return p.fullUntil.Load() > int64(now) }

// MarkFull records at now that the agent returned an offer because it was full.
func (p *Peer) MarkFull(now time.Duration) { p.fullUntil.Store(int64(now + fullPeriod)) }

// UncountedOffers returns how many offers the agent's last load doesn't include
// yet.
func (p *Peer) UncountedOffers() int { return int(p.uncountedOffers.Load()) }

// ServedModel returns the model and version that the endpoint serves. Both are
// empty until the agent has reported them.
func (p *Peer) ServedModel() (model, version string) {
	if s := p.servedModel.Load(); s != nil {
		return s.model, s.version
	}
	return "", ""
}

// Send queues m for the agent. After an error nothing was queued.
func (p *Peer) Send(m wire.Message) error {
	l := p.link.Load()
	if l == nil {
		return wire.ErrClosed
	}
	if m.Kind() == wire.KindOffer {
		p.uncountedOffers.Add(1)
	}
	return l.Send(m)
}

// recordLoad records the load from messages that hold one, and the served model
// from heartbeats.
func (p *Peer) recordLoad(m wire.Message) {
	switch m := m.(type) {
	case *wire.Heartbeat:
		p.setLoad(&m.Load)
		if m.Version != "" {
			p.servedModel.Store(&modelVersion{m.Model, m.Version})
		}
	case *wire.Claim:
		p.setLoad(&m.Load)
	case *wire.Return:
		p.setLoad(&m.Load)
	case *wire.End:
		p.setLoad(&m.Load)
	}
}

// setLoad records a load, which includes all offers sent so far.
func (p *Peer) setLoad(l *wire.Load) {
	p.load.Store(l)
	p.uncountedOffers.Store(0)
}

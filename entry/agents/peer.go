// Package agents keeps the entry's links to the agents beside the endpoints.
package agents

import (
	"sync/atomic"
	"time"

	"lycheepond/core/once"
	"lycheepond/core/plat"
	"lycheepond/core/wire"
)

// fullHold is how long an agent that returned an offer for want of room is
// passed over. Its next Load tells more; without the hold the same offer would
// bounce between entry and agent until then.
const fullHold = 200 * time.Millisecond

// Peer is one agent that the entry links to. It is safe for concurrent use.
type Peer struct {
	name string
	// inst is the last line of the instance list about the agent.
	inst atomic.Pointer[plat.Instance]
	// link is nil while there is no link.
	link atomic.Pointer[wire.Link]
	// load is the last load heard over the present link, nil without one.
	load atomic.Pointer[wire.Load]
	// inc is the incarnation behind the present or the last link.
	inc atomic.Uint64
	// gone is set while the instance list does not name the agent.
	gone atomic.Bool
	// full is until when the agent counts as full, in nanoseconds since start.
	full atomic.Int64
	// offered counts offers made since the last load; the agent has not
	// counted them yet.
	offered atomic.Int32
	// lost is when the last link ended, in nanoseconds since start.
	lost atomic.Int64
	// serves is what the endpoint was last said to serve, nil if unknown.
	serves atomic.Pointer[served]
	stop   func()
}

// served is a version of a model.
type served struct{ model, version string }

// NewPeer returns an agent without a link.
func NewPeer(inst *plat.Instance) *Peer {
	p := &Peer{name: inst.Name}
	p.inst.Store(inst)
	return p
}

// Connect puts a link into use; first is the first message that came over it.
func (p *Peer) Connect(link *wire.Link, first wire.Message) {
	p.inc.Store(link.Peer().Incarnation)
	p.serves.Store(nil)
	p.offered.Store(0)
	p.hear(first)
	p.link.Store(link)
}

// Disconnect notes that the link has ended.
func (p *Peer) Disconnect(now time.Duration) {
	p.lost.Store(int64(now))
	p.link.Store(nil)
	p.load.Store(nil)
}

// Name returns the name of the agent's instance.
func (p *Peer) Name() string { return p.name }

// Instance returns what the instance list last said of the agent.
func (p *Peer) Instance() plat.Instance { return *p.inst.Load() }

// Zone returns the agent's availability zone.
func (p *Peer) Zone() string { return p.inst.Load().Zone }

// Linked reports whether there is a link now.
func (p *Peer) Linked() bool { return p.link.Load() != nil }

// Link returns the present link, or nil.
func (p *Peer) Link() *wire.Link { return p.link.Load() }

// Agent returns the incarnation behind the present or the last link.
func (p *Peer) Agent() once.Agent { return once.Agent{Name: p.name, Incarnation: p.inc.Load()} }

// Load returns the last load heard over the present link.
func (p *Peer) Load() (wire.Load, bool) {
	l := p.load.Load()
	if l == nil {
		return wire.Load{}, false
	}
	return *l, true
}

// Leaving reports whether the agent or the instance list, whichever spoke
// first, says that it takes no new work.
func (p *Peer) Leaving() bool {
	if p.gone.Load() || p.inst.Load().State == plat.StateLeaving {
		return true
	}
	l := p.load.Load()
	return l != nil && l.Leaving
}

// Full reports whether the agent returned an offer for want of room lately.
func (p *Peer) Full(now time.Duration) bool { return p.full.Load() > int64(now) }

// MarkFull notes such a return.
func (p *Peer) MarkFull(now time.Duration) { p.full.Store(int64(now + fullHold)) }

// Offered returns how many offers the agent's last load does not count yet.
func (p *Peer) Offered() int { return int(p.offered.Load()) }

// Serves returns the model and version that the endpoint serves, both empty
// while the agent has not told.
func (p *Peer) Serves() (model, version string) {
	if s := p.serves.Load(); s != nil {
		return s.model, s.version
	}
	return "", ""
}

// Send queues m for the agent. An error means that nothing was queued.
func (p *Peer) Send(m wire.Message) error {
	l := p.link.Load()
	if l == nil {
		return wire.ErrClosed
	}
	if m.Kind() == wire.KindOffer {
		p.offered.Add(1)
	}
	return l.Send(m)
}

// hear takes the load out of the messages that carry one.
func (p *Peer) hear(m wire.Message) {
	switch m := m.(type) {
	case *wire.Heartbeat:
		p.setLoad(&m.Load)
		if m.Version != "" {
			p.serves.Store(&served{m.Model, m.Version})
		}
	case *wire.Claim:
		p.setLoad(&m.Load)
	case *wire.Return:
		p.setLoad(&m.Load)
	case *wire.End:
		p.setLoad(&m.Load)
	}
}

func (p *Peer) setLoad(l *wire.Load) {
	p.load.Store(l)
	p.offered.Store(0)
}

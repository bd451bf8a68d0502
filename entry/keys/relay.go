package keys

import (
	"lycheepond/core/once"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
)

// Relay carries the messages of a handover from one agent to the other and
// reports whether m was one. What cannot be carried now is dropped: the sender
// tries again, perhaps through another entry.
func (k *Keeper) Relay(p *agents.Peer, m wire.Message) bool {
	var from, to wire.AgentProcess
	switch m := m.(type) {
	case *wire.Handover:
		from, to = m.From, m.To
	case *wire.HandoverAck:
		from, to = m.From, m.To
	default:
		return false
	}
	// An agent speaks for itself only; otherwise one that was restarted could
	// give the word of its former self, which may still wake.
	if p.Agent() != (once.Agent{Name: from.Name, Incarnation: from.Incarnation}) {
		return true
	}
	target, ok := k.cfg.Peer(to.Name)
	if !ok {
		k.cfg.Want(to.Name)
		return true
	}
	if target.Agent() == (once.Agent{Name: to.Name, Incarnation: to.Incarnation}) {
		// An error means that the link has ended; the part will come again.
		_ = target.Send(m)
	}
	return true
}

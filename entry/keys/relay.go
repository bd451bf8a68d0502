package keys

import (
	"lycheepond/core/once"
	"lycheepond/core/wire"
	"lycheepond/entry/agents"
)

// RelayHandover passes m on to the other agent if it belongs to a handover, and
// reports whether it does. A message that can't be passed on now is dropped. The
// sender sends it again, perhaps through another entry.
func (k *Keeper) RelayHandover(p *agents.Peer, m wire.Message) bool {
	var from, to wire.AgentProcess
	switch m := m.(type) {
	case *wire.Handover:
		from, to = m.From, m.To
	case *wire.HandoverAck:
		from, to = m.From, m.To
	default:
		return false
	}
	// An agent may speak only for its own incarnation. Otherwise a restarted agent
	// could answer for its former process, which may still resume.
	if p.Agent() != (once.Agent{Name: from.Name, Incarnation: from.Incarnation}) {
		return true
	}
	target, ok := k.cfg.Peer(to.Name)
	if !ok {
		k.cfg.RequestLink(to.Name)
		return true
	}
	if target.Agent() == (once.Agent{Name: to.Name, Incarnation: to.Incarnation}) {
		// An error means that the link has ended. The sender will send this part
		// again.
		_ = target.Send(m)
	}
	return true
}

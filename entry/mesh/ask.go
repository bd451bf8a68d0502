package mesh

import (
	"time"

	"lycheepond/core/relay"
	"lycheepond/core/wire"
)

// requestedLinkTTL is how long a link is kept after its peer was last passed to
// KeepLinks.
const requestedLinkTTL = 5 * time.Second

// ReachableEntries returns the reachable entries, including this one.
func (m *Mesh) ReachableEntries() []relay.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []relay.Entry{m.self()}
	for name, p := range m.peers {
		if p.isReachable {
			out = append(out, p.entry(name))
		}
	}
	return out
}

// KeepLinks requests links to the given peers, so that Send can reach them. Each
// link is kept for requestedLinkTTL after the last call that names its peer.
func (m *Mesh) KeepLinks(peers []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, name := range peers {
		m.requestedLinks[name] = now
	}
	for name, at := range m.requestedLinks {
		if now.Sub(at) > requestedLinkTTL {
			delete(m.requestedLinks, name)
		}
	}
}

// Send sends a message over the link to a peer, place messages as the peer's version
// reads them. It reports false if there is no such link, the peer does not read the
// message or sending fails.
func (m *Mesh) Send(peer string, msg wire.Message) bool {
	m.mu.Lock()
	var link *wire.Link
	if p := m.peers[peer]; p != nil {
		if d := m.dials[p.addr]; d != nil && d.peer == peer {
			link = d.link
		}
		if link != nil && !p.readsExtensionsOver(link) {
			msg = wire.Basic(msg)
		}
	}
	m.mu.Unlock()
	return link != nil && msg != nil && link.Send(msg) == nil
}

// handleReply handles a message that a peer sends over a link that this entry
// dialled.
func (m *Mesh) handleReply(peer string, msg wire.Message) {
	switch t := msg.(type) {
	case *wire.PlaceReply:
		if m.cfg.OnPlaceReply != nil {
			m.cfg.OnPlaceReply(peer, t)
		}
	case *wire.PlaceHold:
		if m.cfg.OnPlaceHold != nil {
			m.cfg.OnPlaceHold(peer, t)
		}
	case *wire.OriginReply:
		if m.cfg.OnOriginReply != nil {
			m.cfg.OnOriginReply(t)
		}
	}
}

// SendOrigins is like Send for messages about streams' origins, which peers of older versions
// can't read.
func (m *Mesh) SendOrigins(peer string, msg wire.Message) bool {
	m.mu.Lock()
	p := m.peers[peer]
	reads := p != nil && p.readsOrigins
	m.mu.Unlock()
	return reads && m.Send(peer, msg)
}

// addPlacementLinks adds n to the number of links over which peers request
// placements from this entry.
func (m *Mesh) addPlacementLinks(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.placementLinks += n
}

package mesh

import (
	"time"

	"lycheepond/core/relay"
	"lycheepond/core/wire"
)

// askedFor is for how long a link is kept after its peer was last named to Link.
const askedFor = 5 * time.Second

// Entries returns the entries that are heard, this one included.
func (m *Mesh) Entries() []relay.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []relay.Entry{m.self()}
	for name, p := range m.peers {
		if p.reached {
			out = append(out, p.entry(name))
		}
	}
	return out
}

// Link has links to peers kept, for messages that Send takes.
func (m *Mesh) Link(peers []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, name := range peers {
		m.asked[name] = now
	}
	for name, at := range m.asked {
		if now.Sub(at) > askedFor {
			delete(m.asked, name)
		}
	}
}

// Send sends a message over the link to a peer and reports false if there is none.
func (m *Mesh) Send(peer string, msg wire.Message) bool {
	m.mu.Lock()
	var link *wire.Link
	if p := m.peers[peer]; p != nil {
		if d := m.dials[p.addr]; d != nil && d.peer == peer {
			link = d.link
		}
	}
	m.mu.Unlock()
	return link != nil && link.Send(msg) == nil
}

// replied takes in what the other end of a link says to this entry, which dialled it.
func (m *Mesh) replied(peer string, msg wire.Message) {
	if ack, ok := msg.(*wire.PlaceReply); ok && m.cfg.Acked != nil {
		m.cfg.Acked(peer, ack)
	}
}

// serve notes that n more links are used to ask this entry for places.
func (m *Mesh) serve(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serving += n
}

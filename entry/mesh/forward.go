package mesh

import (
	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/relay"
	"lycheepond/core/wire"
)

// maxRelayQueue bounds the number of tallies that wait to be relayed: about twenty
// from each of 400 entries. A peer that misses one requests a full tally.
const maxRelayQueue = 1 << 13

// queuedTally is a tally that waits to be relayed by this hub.
type queuedTally struct {
	origin relay.Entry
	from   relay.Source
	tally  wire.RelayedTally
}

// enqueueRelay queues a tally to be relayed, if this entry is a hub. It is called
// with mu held.
func (m *Mesh) enqueueRelay(o origin, from relay.Source, t *wire.Tally, body []byte) {
	if !m.plan.IsHub() || from == relay.OwnHub || len(m.relayQueue) >= maxRelayQueue {
		return
	}
	if body == nil {
		body = m.encode(t)
	}
	if body != nil {
		m.relayQueue = append(m.relayQueue, queuedTally{relay.Entry{Name: o.name, Zone: o.zone}, from, o.relayedTally(body)})
	}
}

// encode returns the encoded tally. It logs an error and returns nil then.
func (m *Mesh) encode(t *wire.Tally) []byte {
	body, err := t.Encode()
	if err != nil {
		logs.Error(m.cfg.Log, logs.EventFailed, zap.String("what", "encoding a tally for others"), zap.Error(err))
		return nil
	}
	return body
}

// relayedTally returns the form in which a hub sends an encoded tally of o.
func (o origin) relayedTally(body []byte) wire.RelayedTally {
	return wire.RelayedTally{Name: o.name, Zone: o.zone, Incarnation: o.incarnation, Body: body}
}

// relayTallies sends the tallies received since the last call to the entries that
// this hub relays them to.
func (m *Mesh) relayTallies() {
	for _, l := range m.selectLinks(m.becomesRelayTarget) {
		m.extendAll = true
		m.relayFull(l)
	}
	m.mu.Lock()
	queued, plan := m.relayQueue, m.plan
	m.relayQueue = nil
	m.mu.Unlock()
	if len(queued) == 0 {
		return
	}
	for _, l := range m.selectLinks(func(d *dial) bool { return d.isRelayTarget }) {
		to := m.entry(l.peer)
		var out wire.Relay
		for _, q := range queued {
			if plan.Forwards(q.origin, q.from, to) {
				out.Tallies = append(out.Tallies, q.tally)
			}
		}
		if len(out.Tallies) > 0 {
			_ = l.link.Send(&out)
		}
	}
}

// becomesRelayTarget updates isRelayTarget of a link, and reports whether this entry
// has just become the hub that relays tallies over it. The peer then needs full
// tallies first, because it cannot use a change of an entry that it doesn't know.
// becomesRelayTarget is called with mu held.
func (m *Mesh) becomesRelayTarget(d *dial) bool {
	relays := m.plan.IsHub() && d.sendsTallies && !d.needsFull && m.plan.HasLink(m.self(), m.peer(d.peer).entry(d.peer))
	begins := relays && !d.isRelayTarget
	d.isRelayTarget = relays
	return begins
}

// entry returns what relay.New needs to know about the named peer.
func (m *Mesh) entry(name string) relay.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peer(name).entry(name)
}

// relayFull sends over a new link the full tallies of all entries that this entry
// relays to the peer.
func (m *Mesh) relayFull(l target) {
	to := m.entry(l.peer)
	// While tallyMu is held no tally is processed, so the state matches the
	// sequence number sent with it.
	m.tallyMu.Lock()
	defer m.tallyMu.Unlock()
	var out wire.Relay
	for _, o := range m.relayedOrigins(to) {
		t := m.cfg.FullTally(o.name)
		m.mu.Lock()
		p := m.peer(o.name)
		t.Addr, t.ConfigRevision, t.ConfigAhead, t.RosterRevision, t.Seq, t.Full = p.addr, p.config, p.configAhead, p.roster, p.seq, true
		if p.readsExtensions {
			t.SetAcceptsMoreFields()
		}
		if p.readsOrigins {
			t.SetReadsOrigins()
		}
		if p.readsPlaceExtensions {
			t.SetReadsPlaceExtensions()
		}
		m.mu.Unlock()
		if body := m.encode(t); body != nil {
			out.Tallies = append(out.Tallies, o.relayedTally(body))
		}
	}
	if len(out.Tallies) > 0 {
		_ = l.link.Send(&out)
	}
}

// relayedOrigins returns the processes whose tallies this entry relays to a peer.
// It omits those of which a tally is missing here.
func (m *Mesh) relayedOrigins(to relay.Entry) []origin {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []origin
	for name, p := range m.peers {
		from := relay.Direct
		if !m.plan.SameGroup(p.entry(name)) {
			from = relay.OtherHub
		}
		if p.isReachable && !p.hasGap && m.plan.Forwards(p.entry(name), from, to) {
			out = append(out, origin{name, p.zone, p.incarnation})
		}
	}
	return out
}

package mesh

import (
	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/relay"
	"lycheepond/core/wire"
)

// maxPassing bounds the tallies that wait to be passed on: some twenty of each of
// four hundred entries. Whoever misses one asks for everything.
const maxPassing = 1 << 13

// passing is a tally that a hub passes on.
type passing struct {
	origin relay.Entry
	from   relay.Source
	tally  wire.RelayedTally
}

// keep notes a tally to be passed on, if this entry is a hub. It is called with
// mu held.
func (m *Mesh) keep(o origin, from relay.Source, t *wire.Tally, body []byte) {
	if !m.plan.Hub() || from == relay.Within || len(m.passing) >= maxPassing {
		return
	}
	if body == nil {
		body = m.encoded(t)
	}
	if body != nil {
		m.passing = append(m.passing, passing{relay.Entry{Name: o.name, Zone: o.zone}, from, o.relayed(body)})
	}
}

// encoded returns a tally as it is passed on, nil if it cannot be.
func (m *Mesh) encoded(t *wire.Tally) []byte {
	body, err := t.Encode()
	if err != nil {
		logs.Error(m.cfg.Log, logs.EventFailed, zap.String("what", "encoding a tally for others"), zap.Error(err))
		return nil
	}
	return body
}

func (o origin) relayed(body []byte) wire.RelayedTally {
	return wire.RelayedTally{Name: o.name, Zone: o.zone, Incarnation: o.incarnation, Body: body}
}

// pass sends what has been heard since the last call to those that hear it from
// this entry.
func (m *Mesh) pass() {
	for _, l := range m.links(m.follower) {
		m.retell = true
		m.passWhole(l)
	}
	m.mu.Lock()
	kept, plan := m.passing, m.plan
	m.passing = nil
	m.mu.Unlock()
	if len(kept) == 0 {
		return
	}
	for _, l := range m.links(func(d *dial) bool { return d.passed }) {
		to := m.entry(l.peer)
		var out wire.Relay
		for _, p := range kept {
			if plan.Passes(p.origin, p.from, to) {
				out.Tallies = append(out.Tallies, p.tally)
			}
		}
		if len(out.Tallies) > 0 {
			_ = l.link.Send(&out)
		}
	}
}

// follower reports whether this entry has become the one that passes on to the
// other end of a link. A process that is told a change of an entry that it does
// not know could do nothing with it. It is called with mu held.
func (m *Mesh) follower(d *dial) bool {
	leads := m.plan.Hub() && d.tells && !d.fresh && m.plan.Tells(m.self(), m.peer(d.peer).entry(d.peer))
	begins := leads && !d.passed
	d.passed = leads
	return begins
}

func (m *Mesh) entry(name string) relay.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peer(name).entry(name)
}

// passWhole sends all that is known of the entries that a new link's other end
// hears from this one.
func (m *Mesh) passWhole(l target) {
	to := m.entry(l.peer)
	// No tally is taken in meanwhile, so what is sent is as new as its seq says.
	m.taking.Lock()
	defer m.taking.Unlock()
	var out wire.Relay
	for _, o := range m.heardFor(to) {
		t := m.cfg.Whole(o.name)
		m.mu.Lock()
		p := m.peer(o.name)
		t.Addr, t.ConfigRevision, t.RosterRevision, t.Seq, t.Full = p.addr, p.config, p.roster, p.seq, true
		if p.readsOn {
			t.SetAcceptsMoreFields()
		}
		m.mu.Unlock()
		if body := m.encoded(t); body != nil {
			out.Tallies = append(out.Tallies, o.relayed(body))
		}
	}
	if len(out.Tallies) > 0 {
		_ = l.link.Send(&out)
	}
}

// heardFor returns the entries whose tallies this one passes on to another and
// knows whole.
func (m *Mesh) heardFor(to relay.Entry) []origin {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []origin
	for name, p := range m.peers {
		from := relay.Direct
		if !m.plan.Near(p.entry(name)) {
			from = relay.Between
		}
		if p.reached && !p.gap && m.plan.Passes(p.entry(name), from, to) {
			out = append(out, origin{name, p.zone, p.incarnation})
		}
	}
	return out
}

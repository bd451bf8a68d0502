package mesh

import (
	"context"
	"hash/fnv"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

// tell sends tallies until ctx ends. It is the one goroutine that calls
// cfg.Tally, so that a link that was told everything misses no change after it.
func (m *Mesh) tell(ctx context.Context) {
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.pause()):
		}
		m.expire()
		m.greet()
		t := m.cfg.Tally(false)
		if len(t.Used) == 0 && len(t.Held) == 0 && time.Since(last) < tellAtLeast {
			continue
		}
		last = time.Now()
		m.send(t, func(d *dial) bool { return !d.fresh })
		m.passOn()
	}
}

// pause is the time between two tallies. It grows with the links, so that what
// an entry spends on telling and hearing does not: at 27 links a tally each 25 ms
// would be 1,080 messages a second in each direction.
func (m *Mesh) pause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(max(tellEvery, time.Duration(len(m.dials))*tellEach), tellAtLeast)
}

// greet tells everything over links that are new.
func (m *Mesh) greet() {
	fresh := func(d *dial) bool { return d.fresh }
	if m.links(fresh) == nil {
		return
	}
	t := m.cfg.Tally(true)
	t.Entries = m.entries()
	m.send(t, func(*dial) bool { return true })
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.dials {
		d.fresh = d.fresh && d.link == nil
	}
}

func (m *Mesh) entries() []wire.EntryAddr {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []wire.EntryAddr
	for name, p := range m.peers {
		if p.addr != "" && p.reached {
			out = append(out, wire.EntryAddr{Name: name, Addr: p.addr})
		}
	}
	return out
}

func (m *Mesh) send(t *wire.Tally, to func(*dial) bool) {
	for _, link := range m.links(to) {
		// A link that cannot take it closes itself and is dialled again.
		_ = link.Send(t)
	}
}

func (m *Mesh) links(to func(*dial) bool) []*wire.Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*wire.Link
	for _, d := range m.dials {
		if d.link != nil && to(d) {
			out = append(out, d.link)
		}
	}
	return out
}

// expire notes the peers that fell silent.
func (m *Mesh) expire() {
	var lost []string
	m.mu.Lock()
	for name, p := range m.peers {
		if p.reached && time.Since(p.heard) > heardWithin {
			p.reached = false
			lost = append(lost, name)
		}
	}
	m.mu.Unlock()
	for _, name := range lost {
		logs.Warn(m.cfg.Log, logs.EventPeerSilent, zap.String("peer", name), zap.Duration("within", heardWithin))
		m.cfg.Lost(name)
	}
}

// parcel is a version to be sent over a link.
type parcel struct {
	link *wire.Link
	what uint8
}

// passOn sends newer versions to the peers that lag behind.
func (m *Mesh) passOn() {
	for _, o := range m.parcels() {
		s, err := m.cfg.Snapshot(o.what)
		if err != nil {
			logs.Error(m.cfg.Log, logs.EventFailed, zap.String("what", "encoding a version for a peer"), zap.Error(err))
			continue
		}
		_ = o.link.Send(s)
	}
}

func (m *Mesh) parcels() []parcel {
	config, roster := m.cfg.Revisions()
	var out []parcel
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		oldConfig, oldRoster := p.config < config, p.roster < roster
		if !p.reached || !oldConfig && !oldRoster {
			p.behind = time.Time{}
			continue
		}
		if p.behind.IsZero() {
			p.behind = time.Now()
		}
		d := m.dials[p.addr]
		if d == nil || d.link == nil || time.Since(p.behind) < m.turn(name, p, config, roster) {
			continue
		}
		// The next one only when the peer has had time to tell that it has it.
		p.behind = time.Now().Add(turnTime)
		if oldConfig {
			out = append(out, parcel{d.link, wire.SnapshotConfig})
		}
		if oldRoster {
			out = append(out, parcel{d.link, wire.SnapshotRoster})
		}
	}
	return out
}

// turn returns for how long a peer must have lagged behind before this entry
// passes versions on to it. The entries that have them take turns, in an order
// of their own for each peer. If all sent at once, a large configuration that a
// few peers missed would cross each of their links as many times as there are
// entries, and callers' requests wait behind it. It is called with mu held.
func (m *Mesh) turn(name string, p *peer, config, roster int64) time.Duration {
	own, ahead := order(name, m.cfg.Self.Name), 0
	for other, o := range m.peers {
		if other != name && o.reached && o.config >= config && o.roster >= roster && order(name, other) < own {
			ahead++
		}
	}
	wait := time.Duration(ahead) * turnTime
	if p.config != 0 {
		wait += passOnAfter
	}
	return wait
}

// order returns the place of an entry among those that pass versions on to a
// peer.
func order(peer, entry string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(peer + "\x00" + entry))
	return h.Sum64()
}

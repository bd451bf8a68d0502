package mesh

import (
	"hash/fnv"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/relay"
	"lycheepond/core/wire"
)

const (
	// passOnAfter is how long a peer may lag behind before it is sent a newer
	// version: the platform usually tells it sooner and for nothing.
	passOnAfter = 150 * time.Millisecond
	// turnTime is how much later the next entry passes a version on, if the one
	// before did not: a version's way and the tally that tells of its arrival.
	turnTime = 2 * tellAtLeast
)

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
// passes versions on to it. The entries that have them and keep a link to the
// peer take turns, in an order of their own for each peer. If all sent at once, a
// large configuration that a few peers missed would cross each of their links as
// many times as there are entries, and callers' requests wait behind it. It is
// called with mu held.
func (m *Mesh) turn(name string, p *peer, config, roster int64) time.Duration {
	to := relay.Entry{Name: name, Zone: p.zone}
	own, ahead := order(name, m.cfg.Self.Name), 0
	for other, o := range m.peers {
		has := o.reached && o.config >= config && o.roster >= roster
		if other != name && has && m.plan.Tells(relay.Entry{Name: other, Zone: o.zone}, to) && order(name, other) < own {
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

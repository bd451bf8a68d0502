package mesh

import (
	"hash/fnv"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

const (
	// passOnAfter is how long a peer may lag behind before it is sent a newer
	// version: the platform usually tells it sooner and for nothing.
	passOnAfter = 150 * time.Millisecond
	// turnTimes is how much later the next entry passes a version on, if the one
	// before did not, in the longest times between two tallies: a version's way
	// and the tally that tells of its arrival.
	turnTimes = 2
	// versionRate is how many bytes a second of versions one peer is sent, and
	// longestExtra the longest that a peer which lags behind is left alone for
	// them. A list of three thousand endpoints has 240 KB; as they start, it
	// changes all the time, and a hub of sixteen entries would send 4 MB a second
	// of lists that the platform tells of by differences meanwhile.
	versionRate  = 200 << 10
	longestExtra = 1200 * time.Millisecond
	// startExtra is the same for a peer that has just started: it usually reads
	// the list from the platform itself in this time.
	startExtra = 300 * time.Millisecond
	// strangers is by how many turns later at least an entry passes a version on
	// to one that it is linked to only because one does not hear the other, and
	// strangerTurns over how many turns such entries spread: after the start of a
	// large fleet a peer has up to thirty-two of them, and each may have a list
	// that the peer has not read yet.
	strangers     = 2
	strangerTurns = 4
	// startSpread and startStep spread those that pass versions on to a peer that
	// has just started: of 32 that are linked to it some four send within a
	// second, the others find that it has what they have.
	startSpread = 16
	startStep   = 500 * time.Millisecond
)

func (m *Mesh) turnTime() time.Duration { return turnTimes * m.alive() }

// parcel is a version to be sent over a link.
type parcel struct {
	link *wire.Link
	what uint8
}

// passOn sends newer versions to the peers that lag behind.
func (m *Mesh) passOn() {
	for _, o := range m.parcels() {
		s, err := m.version(o.what)
		if err != nil {
			logs.Error(m.cfg.Log, logs.EventFailed, zap.String("what", "encoding a version for a peer"), zap.Error(err))
			continue
		}
		_ = o.link.Send(s)
	}
}

// version returns the version in force, encoded once for all that it is sent to.
// It is called by the goroutine that tells.
func (m *Mesh) version(what uint8) (*wire.Snapshot, error) {
	config, roster := m.cfg.Revisions()
	revision := config
	if what == wire.SnapshotRoster {
		revision = roster
	}
	if s := m.versions[what]; s != nil && s.Revision == revision {
		return s, nil
	}
	s, err := m.cfg.Snapshot(what)
	if err == nil {
		m.versions[what] = s
	}
	return s, err
}

// extra is how long the sending of a version may take; it goes by the last one
// that was encoded. A peer without any version serves nobody until it has one.
func (m *Mesh) extra(what uint8, has int64) time.Duration {
	s := m.versions[what]
	if s == nil {
		return 0
	}
	most := longestExtra
	if has == 0 {
		most = startExtra
	}
	return min(time.Duration(len(s.Body))*time.Second/versionRate, most)
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
		var extra time.Duration
		if oldRoster {
			extra = m.extra(wire.SnapshotRoster, p.roster)
		}
		if oldConfig {
			extra = max(extra, m.extra(wire.SnapshotConfig, p.config))
		}
		d := m.dials[p.addr]
		if d == nil || d.link == nil || time.Since(p.behind) < m.turn(name, p, config, roster)+extra {
			continue
		}
		// The next one only when the peer has had time to tell that it has it.
		p.behind = time.Now().Add(m.turnTime() + extra)
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
	to := p.entry(name)
	own, ahead := order(name, m.cfg.Self.Name), 0
	for other, o := range m.peers {
		has := o.reached && o.config >= config && o.roster >= roster
		if other != name && has && m.plan.Tells(o.entry(other), to) && order(name, other) < own {
			ahead++
		}
	}
	stranger := !m.plan.Tells(m.self(), to)
	if stranger && (p.config == 0 || p.roster == 0) {
		// It serves nobody before it has both, and may not know its hub yet.
		return startExtra + time.Duration(own%startSpread)*startStep
	}
	if stranger {
		ahead += strangers + int(own%strangerTurns)
	}
	wait := time.Duration(ahead) * m.turnTime()
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

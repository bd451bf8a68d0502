package mesh

import (
	"hash/fnv"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

const (
	// snapshotDelay is how long a peer may have an older revision before peers send
	// it the newer version. Usually it gets that from the platform earlier, at no
	// cost to the peers.
	snapshotDelay = 150 * time.Millisecond
	// turnIntervals is the length of a turn in longest tally intervals. After a
	// turn the next entry sends the version, if the one before did not. The time
	// suffices for the version to arrive and for the tally that reports it.
	turnIntervals = 2
	// snapshotBytesPerSecond is the rate in bytes per second at which versions are
	// sent to a peer, and maxTransferTime the longest extra wait that follows from
	// it. A list of 3,000 endpoints has 240 KB and changes all the time while they
	// start. Without the limit a hub of sixteen entries would send 4 MB of lists a
	// second, although the platform sends just the differences.
	snapshotBytesPerSecond = 200 << 10
	maxTransferTime        = 1200 * time.Millisecond
	// startDelay replaces maxTransferTime for a peer that has just started, which
	// usually reads the list from the platform within this time.
	startDelay = 300 * time.Millisecond
	// extraLinkTurns is how many turns later an entry sends a version over an extra
	// link, which exists only because one of the two lacks tallies of the other.
	// extraLinkTurnSpread is the number of further turns over which these sends are
	// spread. After the start of a large fleet a peer has up to 32 extra links, and
	// each of these entries may have a list that the peer has not read yet.
	extraLinkTurns      = 2
	extraLinkTurnSpread = 4
	// startSlots is the number of slots, startSlotTime apart, over which entries
	// with an extra link spread their sends to a peer that has just started. Of 32
	// linked entries about four send within a second. The others find that the peer
	// already has the version.
	startSlots    = 16
	startSlotTime = 500 * time.Millisecond
)

// turnDuration returns the length of a turn. It is called with mu held.
func (m *Mesh) turnDuration() time.Duration { return turnIntervals * m.maxIntervalLocked() }

// snapshotSend is a version to be sent over a link: the configuration or the roster.
type snapshotSend struct {
	link    *wire.Link
	content uint8
}

// sendSnapshots sends newer versions to the peers whose revisions are stale.
func (m *Mesh) sendSnapshots() {
	for _, due := range m.dueSnapshots() {
		s, err := m.snapshot(due.content)
		if err != nil {
			logs.Error(m.cfg.Log, logs.EventFailed, zap.String("what", "encoding a version for a peer"), zap.Error(err))
			continue
		}
		_ = due.link.Send(s)
	}
}

// snapshot returns the version in force of a content, encoded once for all peers.
// Only the sendTallies goroutine calls it.
func (m *Mesh) snapshot(content uint8) (*wire.Snapshot, error) {
	config, roster := m.cfg.Revisions()
	version := snapshotVersion{revision: roster}
	if content == wire.SnapshotConfig {
		version = snapshotVersion{config, m.configAhead()}
	}
	if s := m.snapshots[content]; s != nil && m.encoded[content] == version {
		return s, nil
	}
	s, err := m.cfg.Snapshot(content)
	if err == nil {
		m.snapshots[content], m.encoded[content] = s, version
	}
	return s, err
}

// snapshotVersion tells apart the versions of one content.
type snapshotVersion struct{ revision, ahead int64 }

// configAhead returns Config.ConfigAhead.
func (m *Mesh) configAhead() int64 {
	if m.cfg.ConfigAhead == nil {
		return 0
	}
	return m.cfg.ConfigAhead()
}

// hasConfig reports whether the peer has a configuration at least as new as one of the given
// revision. ahead is that one's wire.Tally.ConfigAhead.
func (p *peer) hasConfig(revision, ahead int64) bool {
	return p.config > revision || p.config == revision && p.configAhead >= ahead
}

// transferTime estimates how long sending a version takes, from the size of the one
// encoded last. A peer without any revision serves no requests until it has one, so
// its limit is startDelay.
func (m *Mesh) transferTime(content uint8, peerRevision int64) time.Duration {
	s := m.snapshots[content]
	if s == nil {
		return 0
	}
	limit := maxTransferTime
	if peerRevision == 0 {
		limit = startDelay
	}
	return min(time.Duration(len(s.Body))*time.Second/snapshotBytesPerSecond, limit)
}

// dueSnapshots returns the versions to send now to peers whose revisions are stale,
// and schedules when they may be sent again.
func (m *Mesh) dueSnapshots() []snapshotSend {
	config, roster := m.cfg.Revisions()
	ahead := m.configAhead()
	var out []snapshotSend
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		staleConfig, staleRoster := !p.hasConfig(config, ahead), p.roster < roster
		if !p.isReachable || !staleConfig && !staleRoster {
			p.staleSince = time.Time{}
			continue
		}
		if p.staleSince.IsZero() {
			p.staleSince = time.Now()
		}
		var transfer time.Duration
		if staleRoster {
			transfer = m.transferTime(wire.SnapshotRoster, p.roster)
		}
		if staleConfig {
			transfer = max(transfer, m.transferTime(wire.SnapshotConfig, p.config))
		}
		d := m.dials[p.addr]
		if d == nil || d.link == nil || time.Since(p.staleSince) < m.snapshotWait(name, p, config, ahead, roster)+transfer {
			continue
		}
		// Wait until the peer has had time to report the new revision.
		p.staleSince = time.Now().Add(m.turnDuration() + transfer)
		if staleConfig {
			out = append(out, snapshotSend{d.link, wire.SnapshotConfig})
		}
		if staleRoster {
			out = append(out, snapshotSend{d.link, wire.SnapshotRoster})
		}
	}
	return out
}

// snapshotWait returns how long a peer must have had a stale revision before this
// entry sends it the newer versions. The entries that have them and keep a link to
// the peer take turns, in an order that differs for each peer. If all sent at once,
// a large configuration that a few peers missed would cross each of their links
// once for every entry, and callers' requests would wait behind it. It is called
// with mu held.
func (m *Mesh) snapshotWait(name string, p *peer, config, ahead, roster int64) time.Duration {
	to := p.entry(name)
	ownOrder, turnsAhead := turnOrder(name, m.cfg.Self.Name), 0
	for other, o := range m.peers {
		isCurrent := o.isReachable && o.hasConfig(config, ahead) && o.roster >= roster
		if other != name && isCurrent && m.plan.HasLink(o.entry(other), to) && turnOrder(name, other) < ownOrder {
			turnsAhead++
		}
	}
	isExtraLink := !m.plan.HasLink(m.self(), to)
	if isExtraLink && (p.config == 0 || p.roster == 0) {
		// The peer serves no requests before it has both, and may not know its hub
		// yet.
		return startDelay + time.Duration(ownOrder%startSlots)*startSlotTime
	}
	if isExtraLink {
		turnsAhead += extraLinkTurns + int(ownOrder%extraLinkTurnSpread)
	}
	wait := time.Duration(turnsAhead) * m.turnDuration()
	if p.config != 0 {
		wait += snapshotDelay
	}
	return wait
}

// turnOrder returns the sort key of an entry among those that send versions to a
// peer: a hash, so that the order differs for each peer.
func turnOrder(peer, entry string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(peer + "\x00" + entry))
	return h.Sum64()
}

package mesh

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

const (
	// minTallyInterval is the shortest time between two tallies. Requests arrive at
	// one entry tens of milliseconds apart, so within 25 ms the state of a queue
	// changes by less than one request.
	minTallyInterval = 25 * time.Millisecond
	// tallyIntervalPerLink, times the number of links over which tallies are sent,
	// is the shortest time between two tallies. It bounds the rate of all links
	// together to 200 messages a second.
	tallyIntervalPerLink = 5 * time.Millisecond
	// tallyIntervalPerEntry, times the number of known entries, is the shortest
	// time between two tallies of an entry that sends only to a hub, because each
	// of its tallies reaches every entry.
	tallyIntervalPerEntry = 2500 * time.Microsecond
	// maxTallyInterval is the longest time between two tallies, even if nothing has
	// changed, because peers use tallies as heartbeats. In a large fleet it is
	// replaced by tallyIntervalPerEntry times the number of entries, if that is
	// longer.
	maxTallyInterval = 250 * time.Millisecond
	// fullTallyMargin is added to the longest tally interval. A peer that reports a
	// gap gets no second full tally before the sum has passed, as the first one may
	// still be on its way.
	fullTallyMargin = 50 * time.Millisecond
	// maxMissingFrom bounds how many entries one tally names as those whose tallies
	// are missing. The others are named once these are reachable or forgotten.
	maxMissingFrom = 16
)

// sendTallies sends tallies until ctx ends. Only its goroutine calls Config.Tally, so
// a link over which a full tally was sent misses no later change.
func (m *Mesh) sendTallies(ctx context.Context) {
	last := time.Now()
	m.mu.Lock()
	m.silenceCheckedAt = last
	m.mu.Unlock()
	for {
		if !m.await(ctx) {
			return
		}
		m.expireSilentPeers()
		m.adjustLinks(ctx)
		m.sendFullTallies()
		t := m.cfg.Tally(false)
		t.Freshness, t.UptimeMS = m.freshness()
		if m.allReadExtensions() {
			t.Capacity = m.cfg.Capacity
			if m.cfg.Extend != nil {
				m.cfg.Extend(t, m.extendAll)
			}
			m.extendAll = false
		}
		if t.HasChanges() || time.Since(last) >= m.maxInterval() {
			last = time.Now()
			m.sendTally(t)
		}
		m.relayTallies()
		m.sendSnapshots()
	}
}

// await waits until the next tally is due and relays urgent tallies meanwhile. It
// reports false when ctx ends. Even a tally requested by SendTallySoon waits until
// minTallyInterval has passed.
func (m *Mesh) await(ctx context.Context) bool {
	began, due := time.Now(), time.After(m.tallyInterval())
	for {
		select {
		case <-ctx.Done():
			return false
		case <-due:
			return true
		case <-m.sendSoon:
			return waitMinInterval(ctx, began)
		case <-m.relaySoon:
			if !waitMinInterval(ctx, began) {
				return false
			}
			m.relayTallies()
			began = time.Now()
		}
	}
}

// waitMinInterval waits until minTallyInterval has passed since a time. It reports
// false when ctx ends.
func waitMinInterval(ctx context.Context, since time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(since.Add(minTallyInterval))):
		return true
	}
}

// allReadExtensions reports whether all reachable peers read tallies with fields
// that older versions lack.
func (m *Mesh) allReadExtensions() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.isReachable && !p.readsExtensions {
			return false
		}
	}
	return true
}

// freshness returns the evidence for the next tally of how current the versions in
// force are. It returns none while a reachable peer could not read it.
func (m *Mesh) freshness() (evidence []wire.Freshness, uptimeMS uint64) {
	if m.cfg.Freshness == nil || !m.allReadExtensions() {
		return nil, 0
	}
	return m.cfg.Freshness()
}

// tallyInterval returns the time until the next tally. It grows with the number of
// links, so that the cost of sending and receiving doesn't: with 27 links, a tally
// every 25 ms would be 1,080 messages a second in each direction.
func (m *Mesh) tallyInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	wait := max(minTallyInterval, time.Duration(len(m.dials))*tallyIntervalPerLink)
	// An entry that owns shards doesn't wait that long, because the others choose
	// by its tallies where to request placements.
	if !m.plan.IsHub() && m.placementLinks == 0 {
		wait = max(wait, time.Duration(m.known)*tallyIntervalPerEntry)
	}
	return min(wait, m.maxIntervalLocked())
}

// maxIntervalLocked returns the longest time between two tallies of any entry. It
// is called with mu held.
func (m *Mesh) maxIntervalLocked() time.Duration {
	return max(maxTallyInterval, time.Duration(m.known)*tallyIntervalPerEntry)
}

// maxInterval is maxIntervalLocked for callers that don't hold mu.
func (m *Mesh) maxInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.maxIntervalLocked()
}

// sendTally sends a tally over all links that carry tallies.
func (m *Mesh) sendTally(t *wire.Tally) {
	m.mu.Lock()
	m.seq++
	t.Seq, t.MissingFrom = m.seq, m.entriesWithGaps()
	m.mu.Unlock()
	for _, l := range m.selectLinks(func(d *dial) bool { return d.sendsTallies && !d.needsFull }) {
		// A link that cannot accept the tally closes itself and is dialled again.
		_ = l.link.Send(t)
	}
}

// entriesWithGaps returns the names of up to maxMissingFrom entries whose tallies
// are missing here. It is called with mu held.
func (m *Mesh) entriesWithGaps() []string {
	var out []string
	for name, p := range m.peers {
		if len(out) < maxMissingFrom && (!p.isReachable || p.hasGap) && p.mayExist() {
			out = append(out, name)
		}
	}
	return out
}

// sendFullTallies sends full tallies over new links and to peers that report
// missing tallies. All other links get only the changes with the next tally.
func (m *Mesh) sendFullTallies() {
	now := time.Now()
	newLinks := m.selectLinks(func(d *dial) bool { return d.sendsTallies && d.needsFull })
	gapLinks := m.selectLinks(func(d *dial) bool { return d.sendsTallies && !d.needsFull && m.hasReportedGap(d) })
	if len(newLinks)+len(gapLinks) == 0 {
		return
	}
	m.extendAll = true
	t := m.cfg.Tally(true)
	t.Full = true
	m.mu.Lock()
	t.Seq, t.MissingFrom = m.seq, m.entriesWithGaps()
	m.mu.Unlock()
	t.SetAcceptsMoreFields()
	t.SetReadsOrigins()
	t.SetReadsPlaceExtensions()
	m.sendFull(gapLinks, t, now)
	// A peer that has just connected may know no other entry.
	known := *t
	known.Entries = m.reachableAddrs()
	m.sendFull(newLinks, &known, now)
}

// sendFull sends a full tally over links and records the time.
func (m *Mesh) sendFull(links []target, t *wire.Tally, now time.Time) {
	for _, l := range links {
		m.mu.Lock()
		if l.dial.link == l.link {
			l.dial.needsFull, l.dial.fullSentAt = false, now
		}
		m.mu.Unlock()
		_ = l.link.Send(t)
	}
}

// hasReportedGap reports whether the peer of a link reported that it lacks tallies
// of this entry, and did so long enough after the last full tally was sent. It is
// called with mu held.
func (m *Mesh) hasReportedGap(d *dial) bool {
	p := m.peers[d.peer]
	return p != nil && p.gapReportedAt.After(d.fullSentAt.Add(m.maxIntervalLocked()+fullTallyMargin))
}

// reachableAddrs returns the names and addresses of the reachable peers.
func (m *Mesh) reachableAddrs() []wire.EntryAddr {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []wire.EntryAddr
	for name, p := range m.peers {
		if p.addr != "" && p.isReachable {
			out = append(out, wire.EntryAddr{Name: name, Addr: p.addr})
		}
	}
	return out
}

// target is an open link and the entry at its other end.
type target struct {
	link *wire.Link
	peer string
	dial *dial
}

// selectLinks returns the open links for which selects returns true. selects is
// called with mu held.
func (m *Mesh) selectLinks(selects func(*dial) bool) []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []target
	for _, d := range m.dials {
		if d.link != nil && selects(d) {
			out = append(out, target{d.link, d.peer, d})
		}
	}
	return out
}

// expireSilentPeers marks silent peers as unreachable and reports each to
// Config.OnPeerLost.
func (m *Mesh) expireSilentPeers() {
	var lost []string
	m.mu.Lock()
	silenceLimit, grace := silentIntervals*m.maxIntervalLocked(), m.maxIntervalLocked()
	now := time.Now()
	pause := now.Sub(m.silenceCheckedAt)
	m.silenceCheckedAt = now
	for name, p := range m.peers {
		// After a pause of this process, the tallies that peers sent during it are
		// still unread.
		if pause > pauseIntervals*grace && !p.graceAt.After(p.tallyAt) {
			p.graceAt = now
		}
		if p.isReachable && now.Sub(p.tallyAt) > silenceLimit && now.Sub(p.graceAt) > grace {
			// OnPeerLost drops the state that the peer's next changes would build
			// on, so a full tally is needed.
			p.isReachable, p.hasGap, p.seq = false, true, 0
			lost = append(lost, name)
		}
	}
	m.mu.Unlock()
	if pause > pauseIntervals*grace {
		logs.Warn(m.cfg.Log, logs.EventProcessPaused, zap.Duration("away", pause), zap.Duration("spare", grace))
	}
	for _, name := range lost {
		logs.Warn(m.cfg.Log, logs.EventPeerSilent, zap.String("peer", name), zap.Duration("within", silenceLimit))
		m.cfg.OnPeerLost(name)
	}
}

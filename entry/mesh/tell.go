package mesh

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

const (
	// tellEvery is the shortest time between two tallies. Requests come tens of
	// milliseconds apart at one entry; knowing them 25 ms late costs less than
	// a place in one queue.
	tellEvery = 25 * time.Millisecond
	// tellEach is the same for each link that a tally goes out over: 200 messages
	// a second at most.
	tellEach = 5 * time.Millisecond
	// tellPerEntry is the same for each known entry, for those that tell a hub
	// only: all that they tell reaches every entry.
	tellPerEntry = 2500 * time.Microsecond
	// tellAtLeast is the longest time between two tallies, also without news:
	// peers take it for a sign of life. In a fleet so large that tellPerEntry is
	// more, it is that.
	tellAtLeast = 250 * time.Millisecond
	// wholeMargin is by how much longer than the time between two tallies a peer
	// that has not heard everything is left alone after it was told: the way of
	// what was told.
	wholeMargin = 50 * time.Millisecond
	// maxLacks bounds how many unheard entries one tally names. The others are
	// named once these are heard or forgotten.
	maxLacks = 16
)

// tell sends tallies until ctx ends. It is the one goroutine that calls
// cfg.Tally, so that a link that was told everything misses no change after it.
func (m *Mesh) tell(ctx context.Context) {
	last := time.Now()
	m.mu.Lock()
	m.ran = last
	m.mu.Unlock()
	for {
		if !m.await(ctx) {
			return
		}
		m.expire()
		m.adjust(ctx)
		m.greet()
		t := m.cfg.Tally(false)
		t.Freshness, t.UptimeMS = m.fresh()
		if m.readOn() {
			t.Capacity = m.cfg.Capacity
			if m.cfg.Extend != nil {
				m.cfg.Extend(t, m.retell)
			}
			m.retell = false
		}
		if t.HasChanges() || time.Since(last) >= m.aliveNow() {
			last = time.Now()
			m.send(t)
		}
		m.pass()
		m.passOn()
	}
}

// await waits until the next tally is due, passing on what cannot wait, and
// reports false when ctx ends. Also in a hurry it leaves tellEvery between two.
func (m *Mesh) await(ctx context.Context) bool {
	began, due := time.Now(), time.After(m.pause())
	for {
		select {
		case <-ctx.Done():
			return false
		case <-due:
			return true
		case <-m.hurry:
			return rest(ctx, began)
		case <-m.hurryOn:
			if !rest(ctx, began) {
				return false
			}
			m.pass()
			began = time.Now()
		}
	}
}

// rest waits until tellEvery has passed and reports false when ctx ends.
func rest(ctx context.Context, since time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(since.Add(tellEvery))):
		return true
	}
}

// readOn reports whether all entries that are heard read tallies with fields that
// older versions lack.
func (m *Mesh) readOn() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.reached && !p.readsOn {
			return false
		}
	}
	return true
}

// fresh returns what the next tally tells of how new the versions are: nothing
// while an entry is heard that could not read it.
func (m *Mesh) fresh() (told []wire.Freshness, clock uint64) {
	if m.cfg.Fresh == nil || !m.readOn() {
		return nil, 0
	}
	return m.cfg.Fresh()
}

// pause is the time between two tallies. It grows with the links, so that what
// an entry spends on telling and hearing does not: at 27 links a tally each 25 ms
// would be 1,080 messages a second in each direction.
func (m *Mesh) pause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	wait := max(tellEvery, time.Duration(len(m.dials))*tellEach)
	// What the owner of a shard tells decides where others ask for places.
	if !m.plan.Hub() && m.serving == 0 {
		wait = max(wait, time.Duration(m.known)*tellPerEntry)
	}
	return min(wait, m.alive())
}

// alive is the longest time between two tallies of any entry; it is called with
// mu held.
func (m *Mesh) alive() time.Duration {
	return max(tellAtLeast, time.Duration(m.known)*tellPerEntry)
}

func (m *Mesh) aliveNow() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive()
}

// send tells a tally over all links.
func (m *Mesh) send(t *wire.Tally) {
	m.mu.Lock()
	m.seq++
	t.Seq, t.MissingFrom = m.seq, m.lacks()
	m.mu.Unlock()
	for _, l := range m.links(func(d *dial) bool { return d.tells && !d.fresh }) {
		// A link that cannot take it closes itself and is dialled again.
		_ = l.link.Send(t)
	}
}

// lacks names the entries of which not everything was heard; it is called with
// mu held.
func (m *Mesh) lacks() []string {
	var out []string
	for name, p := range m.peers {
		if len(out) < maxLacks && (!p.reached || p.gap) && p.maybe() {
			out = append(out, name)
		}
	}
	return out
}

// greet tells everything over links that are new, and to peers that miss
// something. Over the other links the next tally holds what changed.
func (m *Mesh) greet() {
	now := time.Now()
	anew := m.links(func(d *dial) bool { return d.tells && d.fresh })
	again := m.links(func(d *dial) bool { return d.tells && !d.fresh && m.misses(d) })
	if len(anew)+len(again) == 0 {
		return
	}
	m.retell = true
	t := m.cfg.Tally(true)
	t.Full = true
	m.mu.Lock()
	t.Seq, t.MissingFrom = m.seq, m.lacks()
	m.mu.Unlock()
	t.SetAcceptsMoreFields()
	m.sendWhole(again, t, now)
	// Whoever has just been reached may know nobody else.
	known := *t
	known.Entries = m.entries()
	m.sendWhole(anew, &known, now)
}

// sendWhole sends a whole tally over links and notes that it did.
func (m *Mesh) sendWhole(links []target, t *wire.Tally, now time.Time) {
	for _, l := range links {
		m.mu.Lock()
		if l.dial.link == l.link {
			l.dial.fresh, l.dial.whole = false, now
		}
		m.mu.Unlock()
		_ = l.link.Send(t)
	}
}

// misses reports whether the peer at the other end said that it does not hear
// this entry, after it was last told everything. It is called with mu held.
func (m *Mesh) misses(d *dial) bool {
	p := m.peers[d.peer]
	return p != nil && p.lacksUs.After(d.whole.Add(m.alive()+wholeMargin))
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

// target is a link to send over and the entry behind it.
type target struct {
	link *wire.Link
	peer string
	dial *dial
}

// links returns those that are up and that to chooses; to is called with mu held.
func (m *Mesh) links(to func(*dial) bool) []target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []target
	for _, d := range m.dials {
		if d.link != nil && to(d) {
			out = append(out, target{d.link, d.peer, d})
		}
	}
	return out
}

// expire notes the peers that fell silent.
func (m *Mesh) expire() {
	var lost []string
	m.mu.Lock()
	within, spare := heardTimes*m.alive(), m.alive()
	now := time.Now()
	away := now.Sub(m.ran)
	m.ran = now
	for name, p := range m.peers {
		// After a stop of this process what peers told meanwhile is yet to be read.
		if away > awayTimes*spare && !p.spared.After(p.heard) {
			p.spared = now
		}
		if p.reached && now.Sub(p.heard) > within && now.Sub(p.spared) > spare {
			// What it had in flight is forgotten, so what it tells next follows on
			// nothing.
			p.reached, p.gap, p.seq = false, true, 0
			lost = append(lost, name)
		}
	}
	m.mu.Unlock()
	if away > awayTimes*spare {
		logs.Warn(m.cfg.Log, logs.EventProcessPaused, zap.Duration("away", away), zap.Duration("spare", spare))
	}
	for _, name := range lost {
		logs.Warn(m.cfg.Log, logs.EventPeerSilent, zap.String("peer", name), zap.Duration("within", within))
		m.cfg.Lost(name)
	}
}

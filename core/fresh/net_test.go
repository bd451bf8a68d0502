package fresh

import (
	"time"

	"lycheepond/core/relay"
)

// The network model follows entry/mesh: each entry sends a tally at least every 250 ms,
// through hubs if there are many entries. Links time out and are made again. Entries send
// revisions in turn to peers that lag behind.
const (
	minTickInterval       = 25 * time.Millisecond
	tickTimePerLink       = 5 * time.Millisecond
	heartbeatTimePerEntry = 2500 * time.Microsecond
	maxMissedHeartbeats   = 4
	// A peer is mute if nothing has arrived over its own link for muteMargin longer than the
	// heartbeat interval, or if that link was closed within brokenLinkTime. For
	// missingReportTime after a peer reported that it does not receive this entry's tallies,
	// they are sent to it directly. A link that has not been needed for idleLinkTimeout is
	// closed.
	muteMargin        = 200 * time.Millisecond
	brokenLinkTime    = 2 * time.Second
	missingReportTime = 3 * time.Second
	idleLinkTimeout   = 3 * time.Second
	// linkTimeout is the time after which a silent link is closed, and maxRedialTime the
	// longest time until it is dialed again.
	linkTimeout       = 900 * time.Millisecond
	maxRedialTime     = 800 * time.Millisecond
	maxPeerLatency    = 20 * time.Millisecond
	sendRevisionDelay = 150 * time.Millisecond
)

// peer is an entry's state of another entry and of the link to it.
type peer struct {
	// receivedAt is the time at which a tally of the peer last arrived, and
	// directlyReceivedAt the time at which the peer last sent something over its own link.
	// linkBrokenAt is the time at which that link was closed. reportedMissingAt is the time
	// at which the peer last reported that it does not receive this entry's tallies.
	// laggingSince is the time since which the peer has lagged behind this entry's
	// revision; after a revision was sent to it, it is later than now.
	receivedAt, directlyReceivedAt, linkBrokenAt, reportedMissingAt, laggingSince time.Duration
	delay                                                                         DelayEstimator
	// reachable is set while tallies of the peer arrive. hasInboundLink is set while the
	// peer has a link to this entry.
	reachable, hasInboundLink bool
	lastTally                 tally
	// linkPlanned is set if the plan has a link to the peer. linkUp is set while there is
	// one, and dialing while one is being made.
	linkPlanned, linkUp, linkNew, allForwarded, dialing bool
	linkNeededAt                                        time.Duration
}

// tally is the periodic report of an entry's state.
type tally struct {
	origin      *entry
	incarnation int
	seq         int
	revision    int
	unreachable []int
	// sentAt is the time at which the tally was sent, or never if a hub sends a copy that
	// it has kept. If hasClaim is set, claim is the sender's evidence for its revision.
	sentAt   time.Duration
	hasClaim bool
	claim    Claim
}

// forwardedTally is a tally that a hub forwards.
type forwardedTally struct {
	tally
	from relay.Source
}

func (w *world) heartbeatInterval() time.Duration {
	return max(250*time.Millisecond, time.Duration(len(w.entries))*heartbeatTimePerEntry)
}

func (w *world) connected(a, b *entry) bool {
	return a.isRunning() && b.isRunning() && w.cutCounts[a.index][b.index] == 0
}

// send delivers a message to another entry unless they are cut off from each other.
func (w *world) send(from, to *entry, deliver func()) {
	if !w.connected(from, to) {
		return
	}
	incarnation := to.incarnation
	w.after(time.Millisecond+w.randomUpTo(maxPeerLatency), func() {
		if to.isRunning() && to.incarnation == incarnation && w.cutCounts[from.index][to.index] == 0 {
			deliver()
		}
	})
}

// scheduleTick schedules the next tick after d, and cancels the one scheduled before.
func (e *entry) scheduleTick(d time.Duration) {
	e.nextTick++
	tick := e.nextTick
	e.after(d, func() {
		if e.nextTick == tick {
			e.tick()
		}
	})
}

// tick runs one round of the entry's periodic work.
func (e *entry) tick() {
	w := e.w
	e.lastTickAt = w.now
	e.expirePeers()
	e.updatePlan()
	e.sendTally()
	e.forwardTallies()
	e.sendRevisions()
	links := 0
	for _, p := range e.peers {
		if p.linkUp {
			links++
		}
	}
	pause := max(minTickInterval, time.Duration(links)*tickTimePerLink)
	if !e.plan.IsHub() {
		pause = max(pause, time.Duration(len(w.entries))*heartbeatTimePerEntry)
	}
	e.scheduleTick(min(pause, w.heartbeatInterval()))
}

func (e *entry) expirePeers() {
	for _, p := range e.peers {
		if p.reachable && e.w.now-p.receivedAt > maxMissedHeartbeats*e.w.heartbeatInterval() {
			p.reachable = false
		}
	}
}

// isMute reports whether the peer sends nothing over its own link.
func (e *entry) isMute(p *peer) bool {
	if p.hasInboundLink {
		return e.w.now-p.directlyReceivedAt > e.w.heartbeatInterval()+muteMargin
	}
	return p.linkBrokenAt != never && e.w.now-p.linkBrokenAt < brokenLinkTime
}

// updatePlan updates the plan and the links that it requires.
func (e *entry) updatePlan() {
	w := e.w
	var reachable []relay.Entry
	key := make([]byte, len(e.peers))
	for i, p := range e.peers {
		if p.reachable {
			reachable = append(reachable, w.entries[i].id)
			key[i] = 1
			if e.isMute(p) {
				key[i] = 2
			}
		}
	}
	if string(key) != e.planKey {
		e.planKey = string(key)
		e.plan = relay.New(e.id, len(w.entries), reachable, func(o relay.Entry) bool { return key[w.indexOf[o.Name]] == 1 })
		for i, o := range w.entries {
			e.peers[i].linkPlanned = e.plan.HasLink(e.id, o.id)
		}
	}
	for i, p := range e.peers {
		if i == e.index {
			continue
		}
		if !p.reachable || p.linkPlanned || p.reportedMissingAt != never && w.now-p.reportedMissingAt < missingReportTime {
			p.linkNeededAt = w.now
			e.dial(w.entries[i], p)
		} else if p.linkUp && w.now-p.linkNeededAt > idleLinkTimeout {
			e.closeLink(w.entries[i])
		}
	}
}

// dial makes a link, with a second attempt if the first one fails.
func (e *entry) dial(to *entry, p *peer) {
	if p.linkUp || p.dialing {
		return
	}
	p.dialing = true
	w := e.w
	dialTime := time.Millisecond + w.randomUpTo(maxPeerLatency)
	if !w.connected(e, to) {
		dialTime = maxRedialTime/2 + w.randomUpTo(maxRedialTime/2)
	}
	e.after(dialTime, func() {
		p.dialing = false
		if w.connected(e, to) {
			p.linkUp, p.linkNew, p.allForwarded = true, true, false
			other := to.peers[e.index]
			other.hasInboundLink, other.directlyReceivedAt = true, w.now
		}
	})
}

// closeLink closes the link to another entry, if there is one.
func (e *entry) closeLink(to *entry) {
	if e.peers[to.index].linkUp {
		e.peers[to.index].linkUp = false
		other := to.peers[e.index]
		other.hasInboundLink, other.linkBrokenAt = false, e.w.now
	}
}

// sendTally sends this entry's tally over all links if it is due, and over new links
// immediately.
func (e *entry) sendTally() {
	w := e.w
	t := tally{origin: e, incarnation: e.incarnation, revision: e.revision, sentAt: w.now}
	e.addClaim(&t)
	due := t.hasClaim || w.now-e.tallySentAt >= w.heartbeatInterval()
	for i, p := range e.peers {
		if i != e.index && !p.reachable {
			t.unreachable = append(t.unreachable, i)
		}
	}
	if due {
		e.tallySentAt = w.now
		e.seq++
	}
	t.seq = e.seq
	for i, p := range e.peers {
		if p.linkUp && (due || p.linkNew) {
			p.linkNew = false
			to := w.entries[i]
			w.send(e, to, func() { to.receiveTally(t, relay.Direct) })
		}
	}
}

// receiveTally handles a received tally.
func (e *entry) receiveTally(t tally, from relay.Source) {
	p, now := e.peers[t.origin.index], e.w.now
	if t.origin == e {
		return
	}
	if from == relay.Direct {
		p.directlyReceivedAt = now
	}
	for _, n := range t.unreachable {
		if n == e.index {
			p.reportedMissingAt = now
		}
	}
	if p.reachable && p.lastTally.incarnation == t.incarnation && t.seq <= p.lastTally.seq || t.incarnation < p.lastTally.incarnation {
		return
	}
	if p.lastTally.incarnation != t.incarnation {
		p.delay = DelayEstimator{}
	}
	p.receivedAt, p.reachable, p.lastTally = now, true, t
	e.mergeClaim(p, &t)
	if e.plan.IsHub() && from != relay.OwnHub {
		e.toForward = append(e.toForward, forwardedTally{t, from})
	}
}

// forwardTallies forwards the tallies that a hub has received, and all known tallies over
// links on which forwarding begins.
func (e *entry) forwardTallies() {
	w, newTallies := e.w, e.toForward
	e.toForward = nil
	if !e.plan.IsHub() {
		return
	}
	for i, p := range e.peers {
		to := w.entries[i]
		forwards := p.linkUp && !p.linkNew && p.linkPlanned && e.plan.IsHub()
		out := newTallies
		if forwards && !p.allForwarded {
			out = e.allTallies()
		}
		p.allForwarded = forwards
		var tallies []tally
		for _, f := range out {
			if forwards && e.plan.Forwards(f.origin.id, f.from, to.id) {
				tallies = append(tallies, f.tally)
			}
		}
		if len(tallies) > 0 {
			w.send(e, to, func() { to.receiveForwarded(e, tallies) })
		}
	}
}

func (e *entry) allTallies() []forwardedTally {
	var out []forwardedTally
	for i, p := range e.peers {
		if !p.reachable {
			continue
		}
		from := relay.Direct
		if !e.plan.SameGroup(e.w.entries[i].id) {
			from = relay.OtherHub
		}
		t := p.lastTally
		t.hasClaim, t.sentAt = false, never
		out = append(out, forwardedTally{t, from})
	}
	return out
}

func (e *entry) receiveForwarded(hub *entry, tallies []tally) {
	e.peers[hub.index].directlyReceivedAt = e.w.now
	from := relay.OtherHub
	if e.plan.SameGroup(hub.id) {
		from = relay.OwnHub
	}
	for _, t := range tallies {
		e.receiveTally(t, from)
	}
}

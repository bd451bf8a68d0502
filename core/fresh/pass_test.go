package fresh

import "time"

// sendRevisions sends this entry's revision to peers that lag behind. The entries take
// turns.
func (e *entry) sendRevisions() {
	w := e.w
	for i, p := range e.peers {
		if !p.reachable || p.lastTally.revision >= e.revision {
			p.laggingSince = never
			continue
		}
		if p.laggingSince == never {
			p.laggingSince = w.now
		}
		if !p.linkUp || w.now-p.laggingSince < e.sendRevisionAfter(i, p) {
			continue
		}
		p.laggingSince = w.now + 2*w.heartbeatInterval()
		to, revision := w.entries[i], e.revision
		w.send(e, to, func() { to.learnRevision(revision) })
	}
}

// sendRevisionAfter returns how long a peer must have lagged behind before this entry sends
// it the revision.
func (e *entry) sendRevisionAfter(peer int, p *peer) time.Duration {
	w := e.w
	to, ownKey, ahead := w.entries[peer].id, sendOrderKey(peer, e.index), 0
	for i, o := range e.peers {
		if i != peer && o.reachable && o.lastTally.revision >= e.revision && e.plan.HasLink(w.entries[i].id, to) && sendOrderKey(peer, i) < ownKey {
			ahead++
		}
	}
	unplanned := !p.linkPlanned
	if unplanned && p.lastTally.revision == 0 {
		return 300*time.Millisecond + time.Duration(ownKey%16)*500*time.Millisecond
	}
	if unplanned {
		ahead += 2 + int(ownKey%4)
	}
	wait := time.Duration(ahead) * 2 * w.heartbeatInterval()
	if p.lastTally.revision != 0 {
		wait += sendRevisionDelay
	}
	return wait
}

func sendOrderKey(peer, entry int) uint64 {
	h := uint64(peer*1009+entry+1) * 0x9e3779b97f4a7c15
	return h ^ h>>29
}

package fresh

import "time"

// passOn sends what this entry knows to the peers that lag behind, each entry in
// its turn.
func (e *entry) passOn() {
	w := e.w
	for i, p := range e.peers {
		if !p.reached || p.last.revision >= e.revision {
			p.behind = never
			continue
		}
		if p.behind == never {
			p.behind = w.now
		}
		if !p.up || w.now-p.behind < e.lag(i, p) {
			continue
		}
		p.behind = w.now + 2*w.alive()
		to, revision := w.all[i], e.revision
		w.send(e, to, func() { to.learn(revision) })
	}
}

// lag is for how long a peer must have lagged behind before this entry tells it.
func (e *entry) lag(peer int, p *peer) time.Duration {
	w := e.w
	to, own, ahead := w.all[peer].id, place(peer, e.n), 0
	for i, o := range e.peers {
		if i != peer && o.reached && o.last.revision >= e.revision && e.plan.Tells(w.all[i].id, to) && place(peer, i) < own {
			ahead++
		}
	}
	stranger := !p.told
	if stranger && p.last.revision == 0 {
		return 300*time.Millisecond + time.Duration(own%16)*500*time.Millisecond
	}
	if stranger {
		ahead += 2 + int(own%4)
	}
	wait := time.Duration(ahead) * 2 * w.alive()
	if p.last.revision != 0 {
		wait += passOnAfter
	}
	return wait
}

func place(peer, entry int) uint64 {
	h := uint64(peer*1009+entry+1) * 0x9e3779b97f4a7c15
	return h ^ h>>29
}

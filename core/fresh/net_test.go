package fresh

import (
	"time"

	"lycheepond/core/relay"
)

// What follows is how entries tell each other, with the times of entry/mesh: a
// tally of each in 250 ms at most, through hubs when there are many; links that
// are given up and made anew; versions passed on in turns to those that lag
// behind.
const (
	tellEvery    = 25 * time.Millisecond
	tellEach     = 5 * time.Millisecond
	tellPerEntry = 2500 * time.Microsecond
	heardTimes   = 4
	hubMargin    = 200 * time.Millisecond
	brokeFor     = 2 * time.Second
	lackFor      = 3 * time.Second
	unlinkAfter  = 3 * time.Second
	// linkSilent is after how long a link that went silent is given up, redial how
	// long it takes at most to try again.
	linkSilent  = 900 * time.Millisecond
	redial      = 800 * time.Millisecond
	peerWay     = 20 * time.Millisecond
	passOnAfter = 150 * time.Millisecond
)

// peer is what an entry knows of another one, and its link to it.
type peer struct {
	heard, direct, broke, lacksUs, behind time.Duration
	way                                   Way
	// reached is set while it counts as heard; accepted while it has a link here.
	reached, accepted bool
	last              tally
	// told is set if the plan has this entry tell it; up while there is a link to it, dialling while one is made.
	told, up, fresh, passed, dialling bool
	needed                            time.Duration
}

// tally is what an entry tells of itself: what it knows and how old that is.
type tally struct {
	origin   *entry
	life     int
	seq      int
	revision int
	lacks    []int
	// at is when it was told, never if it comes from another entry's memory; claim,
	// if it has one, is what the sender knows its revision by.
	at     time.Duration
	claims bool
	claim  Claim
}

// passing is a tally that a hub passes on.
type passing struct {
	tally
	from relay.Source
}

func (w *world) alive() time.Duration {
	return max(250*time.Millisecond, time.Duration(len(w.all))*tellPerEntry)
}

func (w *world) joined(a, b *entry) bool { return a.alive() && b.alive() && w.apart[a.n][b.n] == 0 }

// send carries something to another entry, unless they are apart.
func (w *world) send(from, to *entry, take func()) {
	if !w.joined(from, to) {
		return
	}
	life := to.life
	w.after(time.Millisecond+w.upTo(peerWay), func() {
		if to.alive() && to.life == life && w.apart[from.n][to.n] == 0 {
			take()
		}
	})
}

// tickIn has the next round of what an entry tells in d, however soon or late
// the one planned is.
func (e *entry) tickIn(d time.Duration) {
	e.turn++
	turn := e.turn
	e.later(d, func() {
		if e.turn == turn {
			e.tick()
		}
	})
}

// tick is one round of what an entry tells.
func (e *entry) tick() {
	w := e.w
	e.turned = w.now
	e.expire()
	e.adjust()
	e.tell()
	e.pass()
	e.passOn()
	links := 0
	for _, p := range e.peers {
		if p.up {
			links++
		}
	}
	pause := max(tellEvery, time.Duration(links)*tellEach)
	if !e.plan.Hub() {
		pause = max(pause, time.Duration(len(w.all))*tellPerEntry)
	}
	e.tickIn(min(pause, w.alive()))
}

func (e *entry) expire() {
	for _, p := range e.peers {
		if p.reached && e.w.now-p.heard > heardTimes*e.w.alive() {
			p.reached = false
		}
	}
}

// mute reports whether a peer tells nothing over its own link.
func (e *entry) mute(p *peer) bool {
	if p.accepted {
		return e.w.now-p.direct > e.w.alive()+hubMargin
	}
	return p.broke != never && e.w.now-p.broke < brokeFor
}

// adjust makes the plan and the links that it needs.
func (e *entry) adjust() {
	w := e.w
	var heard []relay.Entry
	key := make([]byte, len(e.peers))
	for i, p := range e.peers {
		if p.reached {
			heard = append(heard, w.all[i].id)
			key[i] = 1
			if e.mute(p) {
				key[i] = 2
			}
		}
	}
	if string(key) != e.planned {
		e.planned = string(key)
		e.plan = relay.New(e.id, len(w.all), heard, func(o relay.Entry) bool { return key[w.number[o.Name]] == 1 })
		for i, o := range w.all {
			e.peers[i].told = e.plan.Tells(e.id, o.id)
		}
	}
	for i, p := range e.peers {
		if i == e.n {
			continue
		}
		if !p.reached || p.told || p.lacksUs != never && w.now-p.lacksUs < lackFor {
			p.needed = w.now
			e.dial(w.all[i], p)
		} else if p.up && w.now-p.needed > unlinkAfter {
			e.unlink(w.all[i])
		}
	}
}

// dial makes a link, at the second try if the first came to nothing.
func (e *entry) dial(to *entry, p *peer) {
	if p.up || p.dialling {
		return
	}
	p.dialling = true
	w := e.w
	try := time.Millisecond + w.upTo(peerWay)
	if !w.joined(e, to) {
		try = redial/2 + w.upTo(redial/2)
	}
	e.later(try, func() {
		p.dialling = false
		if w.joined(e, to) {
			p.up, p.fresh, p.passed = true, true, false
			other := to.peers[e.n]
			other.accepted, other.direct = true, w.now
		}
	})
}

// unlink ends the link to another entry, if there is one.
func (e *entry) unlink(to *entry) {
	if e.peers[to.n].up {
		e.peers[to.n].up = false
		other := to.peers[e.n]
		other.accepted, other.broke = false, e.w.now
	}
}

// tell sends this entry's tally over all links when it is due, and at once over
// new ones.
func (e *entry) tell() {
	w := e.w
	t := tally{origin: e, life: e.life, revision: e.revision, at: w.now}
	e.claim(&t)
	due := t.claims || w.now-e.sent >= w.alive()
	for i, p := range e.peers {
		if i != e.n && !p.reached {
			t.lacks = append(t.lacks, i)
		}
	}
	if due {
		e.sent = w.now
		e.seq++
	}
	t.seq = e.seq
	for i, p := range e.peers {
		if p.up && (due || p.fresh) {
			p.fresh = false
			to := w.all[i]
			w.send(e, to, func() { to.take(t, relay.Direct) })
		}
	}
}

// take takes in a tally.
func (e *entry) take(t tally, from relay.Source) {
	p, now := e.peers[t.origin.n], e.w.now
	if t.origin == e {
		return
	}
	if from == relay.Direct {
		p.direct = now
	}
	for _, n := range t.lacks {
		if n == e.n {
			p.lacksUs = now
		}
	}
	if p.reached && p.last.life == t.life && t.seq <= p.last.seq || t.life < p.last.life {
		return
	}
	if p.last.life != t.life {
		p.way = Way{}
	}
	p.heard, p.reached, p.last = now, true, t
	e.hear(p, &t)
	if e.plan.Hub() && from != relay.Within {
		e.passing = append(e.passing, passing{t, from})
	}
}

// pass passes on what a hub has heard, and all that it knows to those that begin
// to hear it.
func (e *entry) pass() {
	w, kept := e.w, e.passing
	e.passing = nil
	if !e.plan.Hub() {
		return
	}
	for i, p := range e.peers {
		to := w.all[i]
		leads := p.up && !p.fresh && p.told && e.plan.Hub()
		out := kept
		if leads && !p.passed {
			out = e.whole()
		}
		p.passed = leads
		var tallies []tally
		for _, k := range out {
			if leads && e.plan.Passes(k.origin.id, k.from, to.id) {
				tallies = append(tallies, k.tally)
			}
		}
		if len(tallies) > 0 {
			w.send(e, to, func() { to.unpack(e, tallies) })
		}
	}
}

func (e *entry) whole() []passing {
	var out []passing
	for i, p := range e.peers {
		if !p.reached {
			continue
		}
		from := relay.Direct
		if !e.plan.Near(e.w.all[i].id) {
			from = relay.Between
		}
		t := p.last
		t.claims, t.at = false, never
		out = append(out, passing{t, from})
	}
	return out
}

func (e *entry) unpack(hub *entry, tallies []tally) {
	e.peers[hub.n].direct = e.w.now
	from := relay.Between
	if e.plan.Near(hub.id) {
		from = relay.Within
	}
	for _, t := range tallies {
		e.take(t, from)
	}
}

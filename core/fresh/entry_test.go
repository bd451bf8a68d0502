package fresh

import (
	"time"

	"lycheepond/core/relay"
)

// rules are those by which entries follow the list.
type rules struct {
	// bound is within how long a change must be in force.
	bound time.Duration
	// follow begins to follow the list.
	follow func(e *entry)
	// hurry is set if evidence is told at once.
	hurry bool
}

const (
	// callTime bounds a call to the store that does not wait and waitExtra what one
	// may take beyond its wait.
	callTime  = 2 * time.Second
	waitExtra = 1500 * time.Millisecond
	// retellShare is the part of the bound between two tellings of what others
	// showed.
	retellShare = 0.3
)

// entry is one entry: what it knows, whom it hears and how it tells.
type entry struct {
	w  *world
	n  int
	id relay.Entry
	// stops counts what keeps it from running and life its starts.
	stops, life int
	// revision is what it has in force, and book what it knows of that.
	revision int
	book     Book
	// looks counts the calls of its own that were evidence, own is set while the
	// others have to be told of one. told is the mark of the claim that they were told
	// last, at toldAt.
	looks, told uint32
	own         bool
	toldAt      time.Duration

	peers   []*peer
	plan    relay.Plan
	planned string
	passing []passing
	// seq counts its tallies, the last of which left at sent; turn is the number of
	// its next tick and turned when the last one was.
	seq, turn    int
	sent, turned time.Duration
}

func (e *entry) alive() bool { return e.stops == 0 }

// start starts an entry that knows nothing.
func (e *entry) start() {
	w := e.w
	*e = entry{w: w, n: e.n, id: e.id, life: e.life + 1, planned: "none", sent: w.now - w.upTo(w.alive())}
	for range w.all {
		e.peers = append(e.peers, &peer{broke: never, lacksUs: never, behind: never, last: tally{life: -1}})
	}
	w.rules.follow(e)
	e.tickIn(w.upTo(tellEvery))
}

// stop ends an entry; its links break at once.
func (e *entry) stop() {
	if e.stops++; e.stops > 1 {
		return
	}
	for i, other := range e.w.all {
		if i != e.n {
			e.unlink(other)
			other.unlink(e)
		}
	}
}

// resume starts an entry again.
func (e *entry) resume() {
	if e.stops--; e.stops == 0 {
		e.start()
	}
}

// later runs something in d from now unless the entry has ended by then.
func (e *entry) later(d time.Duration, run func()) {
	life := e.life
	e.w.after(d, func() {
		if e.alive() && e.life == life {
			run()
		}
	})
}

// heard names the other entries that are heard.
func (e *entry) heard() []string {
	var out []string
	for i, p := range e.peers {
		if p.reached {
			out = append(out, e.w.all[i].id.Name)
		}
	}
	return out
}

// learn takes in what the store or a peer told.
func (e *entry) learn(revision int) { e.revision = max(e.revision, revision) }

// looked notes that a call which was sent at a time and answered at once showed
// that there is nothing newer than revision.
func (e *entry) looked(revision int, sent time.Duration) {
	e.learn(revision)
	e.looks++
	mark := Mark(e.id.Name, e.looks)
	before, _ := e.book.Known(int64(e.revision))
	e.book.Looked(Claim{Revision: int64(revision), At: sent, Mark: mark})
	after, _ := e.book.Known(int64(e.revision))
	if after.At-before.At < (Rule{e.w.rules.bound}).Step() {
		return
	}
	e.own = true
	if e.w.rules.hurry {
		e.tickIn(max(0, e.turned+tellEvery-e.w.now))
	}
}

// hear takes in what a peer's tally says of what it knows.
func (e *entry) hear(p *peer, t *tally) {
	if t.at == never {
		return
	}
	late, ok := p.way.Late(e.w.now, t.at)
	if !ok || !t.claims {
		return
	}
	before, _ := e.book.Known(int64(e.revision))
	e.book.Told(Told(e.w.now, late, t.at-t.claim.At, int64(t.revision), t.claim.Mark))
	after, _ := e.book.Known(int64(e.revision))
	if after.At-before.At >= (Rule{e.w.rules.bound}).Step() && e.w.rules.hurry && e.plan.Hub() {
		e.later(max(0, e.turned+tellEvery-e.w.now), e.pass)
	}
}

// claim adds to a tally what is to be told of what this entry knows.
func (e *entry) claim(t *tally) {
	c, ok := e.book.Best(int64(e.revision))
	again := e.w.now-e.toldAt >= time.Duration(retellShare*float64(e.w.rules.bound))
	if ok && (e.own || c.Mark != e.told && again) {
		t.claim, t.claims = c, true
		e.own, e.told, e.toldAt = false, c.Mark, e.w.now
	}
}

// backOff is how long a caller waits after so many calls that failed.
func (w *world) backOff(failed int) time.Duration {
	pause := min(100*time.Millisecond<<min(failed-1, 8), 800*time.Millisecond)
	return time.Duration((0.5 + w.rnd.Float64()/2) * float64(pause))
}

// gather is for how long an entry gathers changes before it asks for more.
func (e *entry) gather() time.Duration {
	if e.plan.Led() {
		return time.Duration(0.4 * float64(e.w.rules.bound))
	}
	return min(time.Duration(len(e.heard())+1)*10*time.Millisecond, 200*time.Millisecond)
}

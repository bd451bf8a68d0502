package fresh

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	// storeWay is the longest way of a call to the store or of its answer while
	// all is well, and slowWay while the store is slow: sixty times as long.
	storeWay = 5 * time.Millisecond
	slowWay  = 300 * time.Millisecond
	// heldFor is how long a store that forgets waiting calls leaves them alone
	// before it cuts them, if it does.
	heldFor = time.Second
)

// world is a fleet and its store on simulated time.
type world struct {
	now   time.Duration
	queue queue
	rnd   *rand.Rand
	rules rules
	store store
	all   []*entry
	// number holds the entries' numbers by name.
	number map[string]int
	// apart counts what cuts a pair of entries; both orders are kept.
	apart [][]int
	// since holds from when on an entry could learn through another one, itself
	// included, without a break; never means that it cannot.
	since [][]time.Duration
}

const never = time.Duration(-1)

type event struct {
	at  time.Duration
	n   int
	run func()
}

type queue struct {
	events []event
	n      int
}

func (q *queue) Len() int { return len(q.events) }
func (q *queue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at < b.at || a.at == b.at && a.n < b.n
}
func (q *queue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *queue) Push(x any)    { q.events = append(q.events, x.(event)) }
func (q *queue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// after runs something in d from now.
func (w *world) after(d time.Duration, run func()) {
	w.queue.n++
	heap.Push(&w.queue, event{w.now + d, w.queue.n, run})
}

// play runs all that happens before end.
func (w *world) play(end time.Duration) {
	for len(w.queue.events) > 0 && w.queue.events[0].at < end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// upTo returns a random time.
func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rnd.Int64N(int64(d) + 1)) }

// store is the platform's store with its troubles, each a count of what causes
// it.
type store struct {
	// revision counts changes; made holds when each was acknowledged.
	revision int
	made     []time.Duration
	// floor is the oldest revision from which changes are still known.
	floor   int
	waiting []*call
	// calls counts all that were made.
	calls int

	down, silent, slow, lossy, forgets, cuts, drops, holds int
	// refuses and mute count by entry what has it alone refused or not answered.
	refuses, mute []int
}

// call is one call of an entry.
type call struct {
	from *entry
	life int
	done func(answer)
	// since and until are those of a waiting call.
	since int
	until time.Duration
	// deaf is set once the store has forgotten it, lost once it will never be
	// answered and over once it has ended.
	deaf, lost, over bool
}

// answer is what a call came to.
type answer struct {
	// failed is set if there was none or a refusal, history if the changes asked
	// for are gone; else revision is what is known, and news whether it is newer
	// than asked for.
	failed, history, news bool
	revision              int
}

// end hands the answer to a call, once, unless the entry has ended meanwhile.
func (c *call) end(a answer) {
	if c.over {
		return
	}
	c.over = true
	if c.from.alive() && c.from.life == c.life {
		c.done(a)
	}
}

// whole stands for the whole list instead of the changes since a revision.
const whole = -1

// ask calls the store for an entry, which gives up after limit.
func (w *world) ask(from *entry, since int, wait, limit time.Duration, done func(answer)) *call {
	w.store.calls++
	c := &call{from: from, life: from.life, done: done, since: since}
	w.after(limit, func() { c.end(answer{failed: true}) })
	w.after(w.way()/2, func() { w.arrive(c, wait) })
	return c
}

func (w *world) way() time.Duration {
	if w.store.slow > 0 {
		return slowWay/2 + w.upTo(slowWay/2)
	}
	return time.Millisecond + w.upTo(storeWay)
}

func (w *world) arrive(c *call, wait time.Duration) {
	s := &w.store
	switch {
	case c.over || s.silent+s.mute[c.from.n] > 0:
	case s.down > 0 || s.refuses[c.from.n] > 0:
		w.reply(c, answer{failed: true})
	case c.since != whole && s.holds > 0:
		w.after(heldFor, func() { w.reply(c, answer{failed: true}) })
	case c.since != whole && c.since < s.floor:
		w.reply(c, answer{history: true})
	case c.since < s.revision:
		w.reply(c, answer{revision: s.revision, news: true})
	default:
		c.until = w.now + wait
		s.waiting = append(s.waiting, c)
		w.after(wait, func() { w.reply(c, answer{revision: c.since}) })
		if s.forgets > 0 {
			w.forget(c)
		}
	}
}

// reply sends an answer, which a store in trouble may lose.
func (w *world) reply(c *call, a answer) {
	s := &w.store
	if c.lost || s.silent+s.mute[c.from.n] > 0 || s.lossy > 0 && w.rnd.IntN(2) == 0 {
		return
	}
	w.after(w.way()/2, func() { c.end(a) })
}

// change makes a change, which waiting calls hear unless they were forgotten.
func (w *world) change() {
	s := &w.store
	s.revision++
	s.made = append(s.made, w.now)
	if s.drops > 0 {
		s.floor = s.revision
	}
	waiting := s.waiting
	s.waiting = nil
	for _, c := range waiting {
		switch {
		case c.over || c.until <= w.now:
		case c.deaf:
			s.waiting = append(s.waiting, c)
		default:
			w.reply(c, answer{revision: s.revision, news: true})
		}
	}
}

// forget makes a waiting call deaf; it is cut later or left waiting.
func (w *world) forget(c *call) {
	c.deaf = true
	if w.store.cuts+w.store.holds > 0 {
		w.after(heldFor, func() { w.reply(c, answer{failed: true}) })
	}
}

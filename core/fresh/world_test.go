package fresh

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	// maxStoreLatency is the largest latency of a call to the store, with its answer,
	// without faults. maxSlowLatency applies while the store is slow and is sixty times as
	// large.
	maxStoreLatency = 5 * time.Millisecond
	maxSlowLatency  = 300 * time.Millisecond
	// holdTime is the time after which a store that has forgotten or holds back a call cuts
	// it off, if it does.
	holdTime = time.Second
)

// world simulates a fleet and its store, on simulated time.
type world struct {
	now      time.Duration
	queue    eventQueue
	rnd      *rand.Rand
	strategy strategy
	store    store
	entries  []*entry
	// indexOf holds the index of each entry by name.
	indexOf map[string]int
	// cutCounts counts the faults that cut off each pair of entries, in both orders.
	cutCounts [][]int
	// reachableSince holds the time since which an entry could learn through another one,
	// or itself, without a break. never means that it cannot.
	reachableSince [][]time.Duration
}

const never = time.Duration(-1)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue struct {
	events []event
	seq    int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// after calls run after d.
func (w *world) after(d time.Duration, run func()) {
	w.queue.seq++
	heap.Push(&w.queue, event{w.now + d, w.queue.seq, run})
}

// runUntil runs all events before end.
func (w *world) runUntil(end time.Duration) {
	for len(w.queue.events) > 0 && w.queue.events[0].at < end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// randomUpTo returns a random duration of at most d.
func (w *world) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.rnd.Int64N(int64(d) + 1))
}

// store simulates the platform's store.
type store struct {
	// revision counts changes, and changedAt holds the time at which each was acknowledged.
	revision  int
	changedAt []time.Duration
	// oldestRevision is the oldest revision since which the changes are still known.
	oldestRevision int
	waiting        []*call
	// callCount counts all calls.
	callCount int

	// The following fields count, for each kind of fault, the faults that are active.
	down, silent, slow, lossy, forgets, cuts, drops, holds int
	// refuses and ignores count, by entry, the faults that make the store refuse it or not
	// answer it.
	refuses, ignores []int
}

// call is one call of an entry to the store.
type call struct {
	from        *entry
	incarnation int
	done        func(answer)
	// sinceRevision and until are those of a waiting call.
	sinceRevision int
	until         time.Duration
	// forgotten is set once the store has forgotten the call, unanswerable once it will
	// never be answered, and ended once it has ended.
	forgotten, unanswerable, ended bool
}

// answer is the result of a call.
type answer struct {
	// failed is set if there was no answer or a refusal, historyLost if the requested
	// changes are no longer available. Otherwise revision is the newest one, and changed is
	// set if it is newer than sinceRevision.
	failed, historyLost, changed bool
	revision                     int
}

// end completes a call with an answer, once, unless the entry has been stopped meanwhile.
func (c *call) end(a answer) {
	if c.ended {
		return
	}
	c.ended = true
	if c.from.isRunning() && c.from.incarnation == c.incarnation {
		c.done(a)
	}
}

// wholeList requests the whole list instead of the changes since a revision.
const wholeList = -1

// startCall calls the store for an entry, with the given timeout.
func (w *world) startCall(from *entry, sinceRevision int, wait, timeout time.Duration, done func(answer)) *call {
	w.store.callCount++
	c := &call{from: from, incarnation: from.incarnation, done: done, sinceRevision: sinceRevision}
	w.after(timeout, func() { c.end(answer{failed: true}) })
	w.after(w.randomLatency()/2, func() { w.handleCall(c, wait) })
	return c
}

func (w *world) randomLatency() time.Duration {
	if w.store.slow > 0 {
		return maxSlowLatency/2 + w.randomUpTo(maxSlowLatency/2)
	}
	return time.Millisecond + w.randomUpTo(maxStoreLatency)
}

func (w *world) handleCall(c *call, wait time.Duration) {
	s := &w.store
	switch {
	case c.ended || s.silent+s.ignores[c.from.index] > 0:
	case s.down > 0 || s.refuses[c.from.index] > 0:
		w.reply(c, answer{failed: true})
	case c.sinceRevision != wholeList && s.holds > 0:
		w.after(holdTime, func() { w.reply(c, answer{failed: true}) })
	case c.sinceRevision != wholeList && c.sinceRevision < s.oldestRevision:
		w.reply(c, answer{historyLost: true})
	case c.sinceRevision < s.revision:
		w.reply(c, answer{revision: s.revision, changed: true})
	default:
		c.until = w.now + wait
		s.waiting = append(s.waiting, c)
		w.after(wait, func() { w.reply(c, answer{revision: c.sinceRevision}) })
		if s.forgets > 0 {
			w.forgetCall(c)
		}
	}
}

// reply sends an answer, which a faulty store may lose.
func (w *world) reply(c *call, a answer) {
	s := &w.store
	if c.unanswerable || s.silent+s.ignores[c.from.index] > 0 || s.lossy > 0 && w.rnd.IntN(2) == 0 {
		return
	}
	w.after(w.randomLatency()/2, func() { c.end(a) })
}

// makeChange makes a change and reports it to waiting calls that are not forgotten.
func (w *world) makeChange() {
	s := &w.store
	s.revision++
	s.changedAt = append(s.changedAt, w.now)
	if s.drops > 0 {
		s.oldestRevision = s.revision
	}
	waiting := s.waiting
	s.waiting = nil
	for _, c := range waiting {
		switch {
		case c.ended || c.until <= w.now:
		case c.forgotten:
			s.waiting = append(s.waiting, c)
		default:
			w.reply(c, answer{revision: s.revision, changed: true})
		}
	}
}

// forgetCall makes the store forget a waiting call, which is cut off later or left waiting.
func (w *world) forgetCall(c *call) {
	c.forgotten = true
	if w.store.cuts+w.store.holds > 0 {
		w.after(holdTime, func() { w.reply(c, answer{failed: true}) })
	}
}

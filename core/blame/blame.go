// Package blame decides which requests are held back because endpoints end under
// them.
//
// The load it answers is a request that crashes each endpoint that begins to run it
// and that its caller sends again and again. Placed like any other, it takes a whole
// pool down and breaks off all that runs beside it. What ends with an endpoint is a
// suspect; what is a suspect at several ends and was never answered in between is
// held back. A whole answer anywhere acquits: an endpoint has lived through it. What is
// held back for no fault of its own would never be answered, so that after a short time
// one request of it is admitted as a trial.
//
// All entries tell each other what they know, so that it is counted over the fleet
// and not by entry.
//
// It uses no network, clock or random source. One goroutine owns a Book.
package blame

import (
	"slices"
	"time"

	"lycheepond/core/recent"
)

const (
	// enough is at how many ends a content that was never answered is held back,
	// enoughServed the same for one that was answered within servedFor: it is known
	// to run, and popular ones run beside each crash.
	enough       = 3
	enoughServed = 5
	servedFor    = 5 * time.Minute
	// doubtful is at how many ends a content is not sent again by the entry itself.
	doubtful = 2
	// oneLoss is within which time runs break off at an endpoint that has ended, and
	// after which whole answers show that it has not.
	oneLoss = 200 * time.Millisecond
	// lostFor is how long a run that broke off may wait for the word that its
	// endpoint has ended: the instance list tells within some heartbeats.
	lostFor = 10 * time.Second
	// firstHold is how long a content is first held back: until endpoints that crashed
	// are back. Once its trial has ended another one it is held back for nextHold, and
	// twice as long each time after that, up to longestHold.
	firstHold   = 2 * time.Second
	nextHold    = 5 * time.Minute
	longestHold = time.Hour
	// trialFor is how long a trial may take until another one may begin.
	trialFor = 10 * time.Second
	// endFor is how long an end counts.
	endFor = 30 * time.Minute
)

// Bounds of memory. What is held back goes last.
const (
	maxContents  = 256
	maxServed    = 2048
	maxEndpoints = 256
	// maxLost bounds the contents of one endpoint that broke off: more than it has
	// slots and a queue.
	maxLost = 256
	// maxEnds bounds the ends of one content.
	maxEnds = 8
)

// Book keeps what is known of contents.
type Book struct {
	// contents holds the suspects, at most maxContents.
	contents map[Content]*record
	// served holds when contents were last answered.
	served *recent.Table[Content, time.Duration]
	// endpoints holds those at which runs broke off or that have ended.
	endpoints *recent.Table[string, endpoint]
	// changes holds what Changes has not returned yet.
	changes []Change
}

// record is what is known of a suspect.
type record struct {
	// served is when it was last answered, valid if wasServed. All ends are later.
	served    time.Duration
	wasServed bool
	ends      []end
	// heldAt and until are the beginning and the end of the time for which it is held
	// back; until is zero if it never was. holds counts these times.
	heldAt, until time.Duration
	holds         int
	// tried is when its trial began, after until; valid if trying, which is set until
	// the trial has shown what it is for.
	tried  time.Duration
	trying bool
	// over is set while the peers have not been told that a trial did not run.
	over bool
	// own is set if a run of it was lost at this entry.
	own bool
	// changed is set while the peers have not been told.
	changed bool
	// touched is when anything last changed.
	touched time.Duration
}

type end struct {
	endpoint string
	at       time.Duration
}

// endpoint is what is known of one at which runs broke off, or that has ended.
type endpoint struct {
	// lost holds the contents of the runs that broke off, until it is known whether
	// the endpoint has ended.
	lost   []Content
	lostAt time.Duration
	// ended is set once it is known that it has, endedAt when.
	ended   bool
	endedAt time.Duration
	// asked is set once it was asked whether it still listens.
	asked bool
	// guilty is the content that explains the end; valid if explained.
	guilty    Content
	explained bool
}

// New returns an empty book.
func New() *Book {
	return &Book{
		contents: make(map[Content]*record), served: recent.New[Content, time.Duration](maxServed), endpoints: recent.New[string, endpoint](maxEndpoints),
	}
}

// Wait returns zero if a request may be sent, else after how long to come back. turn
// returns how much later than others this entry may begin a trial, so that they do not
// all do at once.
func (b *Book) Wait(now time.Duration, c Content, turn func() time.Duration) time.Duration {
	r := b.contents[c]
	if r == nil || r.holds == 0 {
		return 0
	}
	if begin := r.until + turn(); now < begin {
		return begin - now
	}
	for _, o := range b.contents {
		if o.trying && now-o.tried < trialFor {
			return o.tried + trialFor - now
		}
	}
	return 0
}

// Admit is Wait for a request that is sent if it returns zero. A content that was held
// back is admitted once, as its trial, and one content at a time, so that none is blamed
// for what another one does.
func (b *Book) Admit(now time.Duration, c Content, turn func() time.Duration) time.Duration {
	wait := b.Wait(now, c, turn)
	if r := b.contents[c]; wait == 0 && r != nil && r.holds > 0 {
		r.tried, r.trying, r.changed = now, true, true
	}
	return wait
}

// Untried notes that a request which was admitted has not run.
func (b *Book) Untried(c Content) {
	if r := b.contents[c]; r != nil && r.trying {
		r.trying, r.over, r.changed = false, true, true
	}
}

// Doubtful reports whether endpoints have ended under a content often enough that
// it is left to its caller to send it again.
func (b *Book) Doubtful(now time.Duration, c Content) bool {
	r := b.contents[c]
	return r != nil && (now < r.until || b.evidence(now, r, c) >= doubtful && !r.known(now))
}

// Lost notes that a run broke off together with its connection.
func (b *Book) Lost(now time.Duration, c Content, id string) {
	e := b.endpoints.Get(id)
	if e.ended {
		b.charge(now, c, id)
		b.judge(now, c)
		return
	}
	if now-e.lostAt > lostFor {
		e.lost = nil
	}
	if now-e.lostAt > oneLoss {
		e.asked = false
	}
	e.lostAt = now
	if len(e.lost) < maxLost && !slices.Contains(e.lost, c) {
		e.lost = append(e.lost, c)
	}
}

// Ended notes that an endpoint has ended. All that broke off there a short time
// before is suspected.
func (b *Book) Ended(now time.Duration, id string) {
	e := b.endpoints.Get(id)
	if e.ended {
		return
	}
	lost := e.lost
	e.ended, e.endedAt, e.lost = true, now, nil
	if now-e.lostAt > lostFor {
		return
	}
	for _, c := range lost {
		b.charge(now, c, id)
	}
	for _, c := range lost {
		b.judge(now, c)
	}
}

// Doubted reports whether runs broke off lately at an endpoint of which it is not known
// whether it has ended.
func (b *Book) Doubted(now time.Duration, id string) bool {
	e := b.endpoints.Peek(id)
	return e != nil && e.doubted(now)
}

func (e *endpoint) doubted(now time.Duration) bool {
	return !e.ended && len(e.lost) > 0 && now-e.lostAt <= lostFor
}

// Ask calls f with each endpoint of which it is to be found out whether it still
// listens, once for all that broke off there together.
func (b *Book) Ask(now time.Duration, f func(id string)) {
	b.endpoints.Each(func(id string, e *endpoint) {
		if !e.asked && e.doubted(now) {
			e.asked = true
			f(id)
		}
	})
}

// Served notes a whole answer of an endpoint. It acquits its content, and what broke
// off at the endpoint before.
func (b *Book) Served(now time.Duration, c Content, id string) {
	*b.served.Get(c) = now
	if e := b.endpoints.Peek(id); e != nil {
		if now-e.lostAt > oneLoss {
			e.lost = nil
		}
		// It did not listen yet when it seemed to have ended.
		e.ended = e.ended && now-e.endedAt <= oneLoss
	}
	r := b.contents[c]
	if r == nil {
		return
	}
	r.changed = r.changed || len(r.ends) > 0 || r.holds > 0
	b.acquit(now, now, c, r)
}

// acquit drops what spoke against a content when it was answered at a time.
func (b *Book) acquit(now, at time.Duration, c Content, r *record) {
	r.served, r.wasServed, r.touched = at, true, now
	r.ends = slices.DeleteFunc(r.ends, func(e end) bool { return e.at <= at })
	if r.holds > 0 && r.heldAt <= at {
		if now < r.until {
			b.changes = append(b.changes, Change{Content: c, Released: true, Own: r.own})
		}
		r.heldAt, r.until, r.holds, r.trying = 0, 0, 0, false
	}
	b.endpoints.Each(func(_ string, e *endpoint) {
		e.lost = slices.DeleteFunc(e.lost, func(l Content) bool { return l == c })
		if e.explained && e.guilty == c {
			e.explained = false
		}
	})
}

// charge notes that an endpoint has ended under a content.
func (b *Book) charge(now time.Duration, c Content, id string) {
	r := b.record(now, c)
	r.own = true
	r.add(now, end{id, now})
}

// add adds an end unless it is known, or older than the last answer.
func (r *record) add(now time.Duration, n end) bool {
	if r.wasServed && n.at <= r.served || now-n.at > endFor || slices.ContainsFunc(r.ends, func(e end) bool { return e.endpoint == n.endpoint }) {
		return false
	}
	if len(r.ends) >= maxEnds {
		r.ends = slices.Delete(r.ends, 0, 1)
	}
	r.ends = append(r.ends, n)
	r.changed, r.touched = true, now
	return true
}

// judge holds a content back if there is enough evidence.
func (b *Book) judge(now time.Duration, c Content) {
	r := b.contents[c]
	if r == nil || now < r.until {
		return
	}
	need := enough
	if r.known(now) {
		need = enoughServed
	}
	if b.evidence(now, r, c) < need {
		return
	}
	left := firstHold
	if r.holds > 0 {
		left = min(nextHold<<min(r.holds-1, 8), longestHold)
	}
	r.holds++
	r.heldAt, r.until, r.trying = now, now+left, false
	r.changed, r.touched = true, now
	ch := Change{Content: c, Left: r.until - now, Holds: r.holds, Own: r.own}
	for _, e := range r.ends {
		ch.Endpoints = append(ch.Endpoints, e.endpoint)
		if p := b.endpoints.Get(e.endpoint); !p.explained {
			p.explained, p.guilty = true, c
		}
	}
	b.changes = append(b.changes, ch)
}

// Change is a content that has begun or ceased to be held back.
type Change struct {
	Content Content
	// Released is set if it was answered, so that it is held back no more.
	Released bool
	// Left is how long it is held back, Holds how often it was.
	Left  time.Duration
	Holds int
	// Endpoints have ended under it.
	Endpoints []string
	// Own is set if a run of it was lost at this entry.
	Own bool
}

// Changes returns what has changed since the last call.
func (b *Book) Changes() []Change {
	out := b.changes
	b.changes = nil
	return out
}

// known reports whether a content was answered lately.
func (r *record) known(now time.Duration) bool { return r.wasServed && now-r.served <= servedFor }

// evidence counts the ends that speak against a content. Those before a time for which
// it was held back count as one less than it takes, so that a single further one holds
// it back anew. Whoever is known to run is not charged with what another content
// explains.
func (b *Book) evidence(now time.Duration, r *record, c Content) int {
	before, after := 0, 0
	for _, e := range r.ends {
		p := b.endpoints.Peek(e.endpoint)
		switch {
		case now-e.at > endFor:
		case r.known(now) && p != nil && p.explained && p.guilty != c:
		case e.at <= r.until:
			before++
		default:
			after++
		}
	}
	if r.holds > 0 {
		before = enough - 1
	}
	return before + after
}

// record returns the record of a content.
func (b *Book) record(now time.Duration, c Content) *record {
	if r := b.contents[c]; r != nil {
		return r
	}
	if len(b.contents) >= maxContents {
		b.evict(now)
	}
	r := &record{touched: now}
	if at := b.served.Peek(c); at != nil {
		r.served, r.wasServed = *at, true
	}
	b.contents[c] = r
	return r
}

// evict drops the record that matters least: one that is not held back before one that
// is, one with fewer ends before one with more, the one that changed longest ago.
func (b *Book) evict(now time.Duration) {
	var least Content
	var of *record
	for c, r := range b.contents {
		if of == nil || r.compare(of, now) < 0 {
			least, of = c, r
		}
	}
	delete(b.contents, least)
}

func (r *record) compare(o *record, now time.Duration) int {
	switch held, other := now < r.until, now < o.until; {
	case held != other && held, held == other && len(r.ends) > len(o.ends):
		return 1
	case held != other, len(r.ends) < len(o.ends):
		return -1
	}
	return int(r.touched - o.touched)
}

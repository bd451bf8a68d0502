package blame

import (
	"time"
)

// sameHold is by how much entries may differ on when a content was last held back: they
// find it out one after the other.
const sameHold = time.Second

// Word is what an entry tells the others of one content. Times are ages, since clocks
// differ.
type Word struct {
	Content Content
	// Served is how long ago it was last answered; negative if that is not known.
	Served time.Duration
	Ends   []End
	// Held is how long ago it was last held back and Left for how long it still is;
	// Holds counts these times and is zero if it never was.
	Held, Left time.Duration
	Holds      int
	// Tried is how long ago a trial began that has shown nothing yet; negative if none is
	// known. Over is set if the last one did not run.
	Tried time.Duration
	Over  bool
}

// End is an endpoint that ended under a content.
type End struct {
	Endpoint string
	Age      time.Duration
}

// Tell returns what the peers have not been told, or all that is known.
func (b *Book) Tell(now time.Duration, all bool) []Word {
	var out []Word
	for c, r := range b.contents {
		if !all && !r.changed {
			continue
		}
		r.changed = false
		w := Word{Content: c, Served: -1, Holds: r.holds, Tried: -1, Over: r.over}
		r.over = false
		if r.trying {
			w.Tried = now - r.tried
		}
		if r.wasServed {
			w.Served = now - r.served
		}
		if r.holds > 0 {
			w.Held, w.Left = now-r.heldAt, max(r.until-now, 0)
		}
		for _, e := range r.ends {
			w.Ends = append(w.Ends, End{e.endpoint, now - e.at})
		}
		out = append(out, w)
	}
	return out
}

// Told takes in what a peer tells. What is older than the last answer to the content
// is passed over.
func (b *Book) Told(now time.Duration, w Word) {
	r := b.contents[w.Content]
	if r == nil {
		if len(w.Ends) == 0 && w.Holds == 0 {
			return
		}
		r = b.record(now, w.Content)
	}
	if at := now - w.Served; w.Served >= 0 && (!r.wasServed || at > r.served) {
		b.acquit(now, at, w.Content, r)
	}
	changed := r.changed
	for _, e := range w.Ends[:min(len(w.Ends), maxEnds)] {
		r.add(now, end{e.Endpoint, now - e.Age})
		// What was lost there at this entry is suspected as well.
		b.Ended(now, e.Endpoint)
	}
	// The peer has told everyone.
	r.changed = changed
	if w.Holds > 0 {
		b.hold(now, w.Content, r, now-w.Held, w.Left, w.Holds)
	}
	switch {
	case r.holds == 0 || r.holds != w.Holds:
	case w.Over:
		r.trying = false
	case w.Tried >= 0 && !r.trying:
		r.tried, r.trying = now-w.Tried, true
	}
	b.judge(now, w.Content)
}

// hold takes in that a content is held back since a time at which it was not answered
// yet.
func (b *Book) hold(now time.Duration, c Content, r *record, at, left time.Duration, holds int) {
	if r.wasServed && at <= r.served {
		return
	}
	if holds < r.holds || holds == r.holds && at <= r.heldAt+sameHold {
		return
	}
	left = min(left, longestHold)
	if holds > r.holds {
		b.changes = append(b.changes, Change{Content: c, Left: left, Holds: holds, Own: r.own})
	}
	r.heldAt, r.until, r.holds, r.trying, r.touched = at, now+left, holds, false, now
}

// Restore takes in a content that was held back before this entry started, some time
// ago and for some time longer; it awaits its trial if that time is over.
func (b *Book) Restore(now time.Duration, c Content, age, left time.Duration, holds int) {
	b.hold(now, c, b.record(now, c), now-age, max(left, 0), max(holds, 1))
}

package fresh

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"lycheepond/core/relay"
)

// The troubles of a schedule.
const (
	// forgets makes the store forget the calls that wait and those that begin to
	// wait: they hear nothing of changes, and how says whether they are cut a second
	// later or left waiting.
	forgets = iota
	// holds makes it hold back all calls for changes, short ones too, while it takes
	// changes and is read as ever; each is cut after a second.
	holds
	// drops makes it lose its history, again at each change.
	drops
	// down makes it refuse all calls, silent answer none; both forget those that
	// wait, and all entries come back at once.
	down
	silent
	slow
	// lossy makes it lose half of the answers.
	lossy
	// refuses makes it refuse some entries, or answer them nothing.
	refuses
	// cut parts some entries from the others, and how says whether from the store
	// too.
	cut
	// kill ends some entries, which are started again at its end.
	kill
	kinds
)

// trouble is one trouble from At on for For, both in milliseconds.
type trouble struct {
	Kind, At, For int
	// Who says by its bits which entries it concerns.
	Who uint32
	How bool
}

// schedule is all that happens in a run; Changes are the times of changes in
// milliseconds.
type schedule struct {
	Zones, Each int
	Changes     []int
	Troubles    []trouble
	Seed        uint64
}

const (
	// span is the time in which troubles and changes begin, in milliseconds, and
	// nearly how close one may be drawn to another.
	span   = 15000
	nearly = 300
)

func schedules() *rapid.Generator[schedule] {
	return rapid.Custom(func(t *rapid.T) schedule {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		s := schedule{Zones: zones, Each: rapid.IntRange((4+zones)/zones, 30/zones).Draw(t, "each")}
		for range rapid.IntRange(0, 6).Draw(t, "troubles") {
			begin := moment(t, s.Troubles)
			s.Troubles = append(s.Troubles, trouble{
				Kind: rapid.IntRange(0, kinds-1).Draw(t, "kind"), At: begin, For: rapid.IntRange(50, 6000).Draw(t, "for"),
				Who: rapid.Uint32().Draw(t, "who"), How: rapid.Bool().Draw(t, "how"),
			})
		}
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			s.Changes = append(s.Changes, moment(t, s.Troubles))
		}
		s.Seed = rapid.Uint64Range(0, 1<<16).Draw(t, "seed")
		return s
	})
}

// moment draws a time, often one beside the begin or the end of a trouble.
func moment(t *rapid.T, troubles []trouble) int {
	n := rapid.IntRange(0, 2*len(troubles)).Draw(t, "near")
	if n == 0 {
		return rapid.IntRange(0, span).Draw(t, "at")
	}
	beside := troubles[(n-1)/2]
	if n%2 == 0 {
		beside.At += beside.For
	}
	return max(0, beside.At+rapid.IntRange(-nearly, nearly).Draw(t, "beside"))
}

// newWorld returns a fleet all of whose entries start now.
func newWorld(zones, each int, seed uint64, r rules) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 1)), rules: r, number: make(map[string]int)}
	n := zones * each
	w.store.refuses = make([]int, n)
	w.store.mute = make([]int, n)
	w.store.revision, w.store.made = 1, []time.Duration{0}
	for i := range n {
		id := relay.Entry{Name: fmt.Sprintf("e-%03d", i), Zone: fmt.Sprintf("z%d", i%zones)}
		w.number[id.Name] = i
		w.all = append(w.all, &entry{w: w, n: i, id: id})
		w.apart = append(w.apart, make([]int, n))
		w.since = append(w.since, make([]time.Duration, n))
		for j := range n {
			w.since[i][j] = never
		}
	}
	for _, e := range w.all {
		e.start()
	}
	w.reckon()
	return w
}

// begin begins a trouble; its end comes by itself.
func (w *world) begin(t trouble) {
	s, who := &w.store, w.whom(t.Who)
	var count []*int
	switch t.Kind {
	case forgets:
		count = append(count, &s.forgets)
		if t.How {
			count = append(count, &s.cuts)
		}
	case holds:
		count = append(count, &s.holds)
	case drops:
		count, s.floor = append(count, &s.drops), s.revision
	case down:
		count = append(count, &s.down)
	case silent:
		count = append(count, &s.silent)
	case slow:
		count = append(count, &s.slow)
	case lossy:
		count = append(count, &s.lossy)
	case refuses:
		count = w.turnAway(who, t.How)
	case cut:
		count = w.part(who)
		if t.How {
			count = append(count, w.turnAway(who, true)...)
		}
	}
	for _, c := range count {
		*c++
	}
	if t.Kind == kill {
		for _, e := range who {
			e.stop()
		}
	}
	w.disturb(t)
	w.reckon()
	w.after(time.Duration(t.For)*time.Millisecond, func() {
		for _, c := range count {
			*c--
		}
		if t.Kind == kill {
			for _, e := range who {
				e.resume()
			}
		}
		w.reckon()
	})
}

// whom returns the entries that the bits name.
func (w *world) whom(bits uint32) []*entry {
	var out []*entry
	for i, e := range w.all {
		if bits>>(i%32)&1 == 1 {
			out = append(out, e)
		}
	}
	return out
}

func (w *world) turnAway(who []*entry, mute bool) []*int {
	var out []*int
	for _, e := range who {
		if mute {
			out = append(out, &w.store.mute[e.n])
		} else {
			out = append(out, &w.store.refuses[e.n])
		}
	}
	return out
}

// part returns the counts of the links between some entries and the others.
func (w *world) part(who []*entry) []*int {
	in := make([]bool, len(w.all))
	for _, e := range who {
		in[e.n] = true
	}
	var out []*int
	for i := range w.all {
		for j := range w.all {
			if in[i] != in[j] {
				out = append(out, &w.apart[i][j])
			}
		}
	}
	return out
}

// disturb does to calls and links what a trouble does at its begin.
func (w *world) disturb(t trouble) {
	who := w.whom(t.Who)
	for _, c := range w.store.waiting {
		mine := slices.Contains(who, c.from)
		switch {
		case t.Kind == forgets, t.Kind == holds:
			w.forget(c)
		case t.Kind == silent, t.Kind == refuses && t.How && mine, t.Kind == cut && t.How && mine:
			c.deaf, c.lost = true, true
		case t.Kind == down, t.Kind == refuses && mine:
			c.end(answer{failed: true})
		}
	}
	if t.Kind == cut {
		w.after(linkSilent, func() {
			for _, a := range w.all {
				for _, b := range w.all {
					if w.apart[a.n][b.n] > 0 {
						a.unlink(b)
					}
				}
			}
		})
	}
}

// reckon notes from when on each entry could learn through each.
func (w *world) reckon() {
	s := &w.store
	part := w.parts()
	for i, e := range w.all {
		for j, via := range w.all {
			can := e.alive() && via.alive() && part[i] == part[j] &&
				s.down+s.silent+s.lossy+s.refuses[j]+s.mute[j] == 0
			switch {
			case !can:
				w.since[i][j] = never
			case w.since[i][j] == never:
				w.since[i][j] = w.now
			}
		}
	}
}

// parts numbers the parts of the fleet that are apart from each other.
func (w *world) parts() []int {
	part := make([]int, len(w.all))
	for i := range w.all {
		if part[i] > 0 {
			continue
		}
		part[i] = i + 1
		for next := []int{i}; len(next) > 0; next = next[1:] {
			for j := range w.all {
				if part[j] == 0 && w.joined(w.all[next[0]], w.all[j]) {
					part[j] = i + 1
					next = append(next, j)
				}
			}
		}
	}
	return part
}

// could returns since when an entry could learn from the store, never if it
// cannot.
func (w *world) could(e *entry) time.Duration {
	first := never
	for _, at := range w.since[e.n] {
		if at != never && (first == never || at < first) {
			first = at
		}
	}
	return first
}

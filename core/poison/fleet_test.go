package poison

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var fleetSeeds = flag.Int("fleet.seeds", 4, "how many seeds of the fleet are played")

// fleet is entries before endpoints, on simulated time.
type fleet struct {
	rnd   *rand.Rand
	now   time.Duration
	books []*Book
	// cut holds until when an entry hears nobody and is not heard, fresh since when it
	// is in touch.
	cut, fresh []time.Duration
	// way is how long what one entry tells takes to the others, told what is under way.
	way  time.Duration
	told []word
	runs []run
	// up holds from when each endpoint takes requests, starts how often one started.
	up     []time.Duration
	ids    []string
	starts int
	// third is when the poison request had crashed three endpoints, late how often it was sent
	// after fleetWindow since then, by entries that had been in touch for as long.
	ended int
	third time.Duration
	late  int
	// store holds the quarantines.
	store map[Fingerprint]stored
	// asked and served count popular requests in the last third.
	asked, served int
}

// stored is a quarantine that lasts until a time, noted at another.
type stored struct {
	at, until time.Duration
	holds     int
}

type word struct {
	at   time.Duration
	from int
	to   int
	w    Report
}

type run struct {
	entry, endpoint, tries int
	id                     string
	c                      Fingerprint
	end                    time.Duration
	// lost is when the entry learns that the run has broken off.
	lost time.Duration
}

const (
	fleetStep   = 5 * time.Millisecond
	fleetWindow = 3 * time.Second
	fleetDown   = 2 * time.Second
	fleetTime   = 60 * time.Second
)

var fleetBad, fleetPopular = fingerprint("bad"), fingerprint("popular")

func newFleet(seed uint64, entries, endpoints int, way time.Duration) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(seed, 1)), way: way, store: make(map[Fingerprint]stored), cut: make([]time.Duration, entries), fresh: make([]time.Duration, entries)}
	for range entries {
		f.books = append(f.books, New())
	}
	for range endpoints {
		f.up, f.ids = append(f.up, 0), append(f.ids, "")
		f.start(len(f.up) - 1)
	}
	return f
}

func (f *fleet) start(i int) {
	f.starts++
	f.ids[i] = fmt.Sprint("e", f.starts)
}

func (f *fleet) turn(entry int) func() time.Duration {
	return func() time.Duration { return time.Duration(entry) * time.Second }
}

// send sends a request, unless the entry has it in quarantine.
func (f *fleet) send(entry int, c Fingerprint, tries int) bool {
	if f.books[entry].Admit(f.now, c, f.turn(entry)) > 0 {
		return false
	}
	for range 10 {
		i := f.rnd.IntN(len(f.up))
		if f.now < f.up[i] {
			continue
		}
		if c == fleetBad && f.third > 0 && f.now > f.third+fleetWindow && f.now > f.fresh[entry]+fleetWindow {
			f.late++
		}
		f.runs = append(f.runs, run{entry: entry, endpoint: i, id: f.ids[i], tries: tries, c: c, end: f.now + time.Duration(50+f.rnd.IntN(100))*time.Millisecond*4})
		return true
	}
	f.books[entry].NotRun(c)
	return false
}

// step plays what happens until the next step.
func (f *fleet) step() {
	f.now += fleetStep
	for i, up := range f.up {
		if up > 0 && f.now >= up {
			f.up[i] = 0
			f.start(i)
		}
	}
	for i := range f.runs {
		if r := &f.runs[i]; r.c == fleetBad && r.lost == 0 && f.now >= r.end-300*time.Millisecond {
			f.kill(r.endpoint)
		}
	}
	all := f.runs
	f.runs = nil
	for _, r := range all {
		b := f.books[r.entry]
		switch {
		case r.lost > 0 && f.now >= r.lost:
			b.RunLost(f.now, r.c, r.id)
			b.Crashed(f.now, r.id)
			f.note(b)
			if r.tries > 1 && !b.Suspect(f.now, r.c) {
				f.send(r.entry, r.c, r.tries-1)
			}
		case r.lost == 0 && f.now >= r.end:
			b.Completed(f.now, r.c, r.id)
			if r.c == fleetPopular && f.now > fleetTime*2/3 {
				f.served++
			}
		default:
			f.runs = append(f.runs, r)
		}
	}
	f.gossip()
}

func (f *fleet) note(b *Book) {
	for _, c := range b.Changes() {
		if c.Local && !c.Released {
			f.store[c.Fingerprint] = stored{f.now, f.now + c.Left, c.Quarantines}
		} else if c.Local {
			delete(f.store, c.Fingerprint)
		}
	}
}

// kill crashes an endpoint with all that runs there.
func (f *fleet) kill(i int) {
	if f.up[i] > 0 {
		return
	}
	f.up[i] = f.now + fleetDown
	if f.ended++; f.ended == 3 {
		f.third = f.now
	}
	for j := range f.runs {
		if r := &f.runs[j]; r.endpoint == i && r.id == f.ids[i] && r.lost == 0 {
			r.lost = f.now + time.Duration(f.rnd.IntN(100))*time.Millisecond + fleetStep
		}
	}
}

// gossip has each entry hear what others have told.
func (f *fleet) gossip() {
	for i, b := range f.books {
		for _, w := range b.Reports(f.now, false) {
			for j := range f.books {
				if j != i {
					f.told = append(f.told, word{f.now + f.way, i, j, w})
				}
			}
		}
	}
	n := 0
	for _, w := range f.told {
		switch {
		case f.now < w.at:
			f.told[n] = w
			n++
		case f.now >= f.cut[w.from] && f.now >= f.cut[w.to]:
			f.books[w.to].Merge(f.now, w.w)
			f.note(f.books[w.to])
		}
	}
	f.told = f.told[:n]
}

// greet has an entry and the others tell each other all that they know.
func (f *fleet) greet(entry int) {
	for i, b := range f.books {
		for _, w := range b.Reports(f.now, true) {
			for j := range f.books {
				if i != j && (i == entry || j == entry) {
					f.told = append(f.told, word{f.now + f.way, i, j, w})
				}
			}
		}
	}
}

// restart has an entry forget everything and read the store.
func (f *fleet) restart(entry int) {
	f.books[entry], f.fresh[entry] = New(), f.now
	for c, h := range f.store {
		f.books[entry].Restore(f.now, c, f.now-h.at, h.until-f.now, h.holds)
	}
	f.greet(entry)
}

// play sends the poison and the popular request for a while, with faults.
func (f *fleet) play(rate float64) {
	for f.now < fleetTime {
		for _, c := range []Fingerprint{fleetBad, fleetPopular} {
			if f.rnd.Float64() < rate*fleetStep.Seconds() {
				if c == fleetPopular && f.now > fleetTime*2/3 {
					f.asked++
				}
				f.send(f.rnd.IntN(len(f.books)), c, 2)
			}
		}
		f.step()
		entry := f.rnd.IntN(len(f.books))
		switch f.rnd.IntN(3000) {
		case 0:
			f.restart(entry)
		case 1:
			f.cut[entry], f.fresh[entry] = f.now+2*time.Second, f.now+2*time.Second
		case 2:
			if f.rnd.IntN(3) == 0 {
				for i := range f.books {
					f.restart(i)
				}
			}
		}
		for i, until := range f.cut {
			if until > 0 && f.now >= until {
				f.cut[i] = 0
				f.greet(i)
			}
		}
	}
}

// Guards against entries that learn of a poison request each by itself, or forget it when
// cut off or restarted; and against quarantining for good what ran beside it.
func TestFleetSharesCrashes(t *testing.T) {
	for _, tc := range []struct {
		entries, endpoints int
		way                time.Duration
		rate               float64
	}{
		{1, 4, 0, 5},
		{5, 9, 30 * time.Millisecond, 5},
		{30, 60, 100 * time.Millisecond, 20},
		{103, 180, 350 * time.Millisecond, 20},
	} {
		t.Run(fmt.Sprint(tc.entries), func(t *testing.T) {
			most, asked, served := 0, 0, 0
			for seed := range uint64(*fleetSeeds) {
				f := newFleet(seed, tc.entries, tc.endpoints, tc.way)
				f.play(tc.rate)
				if f.late > 3 {
					t.Errorf("seed %d: sent %d times later than %v after the third crash; %d crashed", seed, f.late, fleetWindow, f.ended)
				}
				most, asked, served = max(most, f.ended), asked+f.asked, served+f.served
			}
			t.Logf("%d endpoints crashed at most; of the popular requests %d of %d were served in the end", most, served, asked)
			if served*10 < asked*9 {
				t.Errorf("of the popular requests %d of %d were served", served, asked)
			}
		})
	}
}

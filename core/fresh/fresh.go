// Package fresh decides how an entry knows that what it holds of the platform's
// lists is the newest, how old that knowledge is, and when to look again.
//
// A call that waits for changes is evidence of nothing while it waits: the
// platform may have forgotten it. Evidence is a call that was answered at once,
// as of the moment when it was sent. One entry's evidence serves all: it tells
// the others how old it is, and who holds the same revision, or a newer one,
// knows as much. So one look in a while serves the whole fleet, and if whoever
// should look is dead, cut off or slow, the next in order does.
//
// Times are of the caller's own monotonic clock, since any moment that it
// chooses. The package uses no network, clock or random source.
package fresh

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Claim says that Revision held every change that was made up to At.
type Claim struct {
	Revision int64
	At       time.Duration
	// Mark tells one look from another: all who hold the same claim derive the
	// same order from it. Claims of the same moment take on the lowest of theirs.
	Mark uint32
}

// maxClaims bounds the claims of newer revisions that wait for these to arrive.
// While a list changes all the time an entry is a few revisions behind others.
const maxClaims = 8

// Book holds what an entry knows about one list. The zero Book knows nothing.
type Book struct {
	// own is the last look of this entry itself.
	own    Claim
	looked bool
	// claims holds those of which none is both older and of a newer revision than
	// another, by revision.
	claims []Claim
}

// together is by how much the times of claims may differ that count as one: all
// entries that look at the same moment have a claim of their own, and a peer's is
// older by Allowance and its way.
const together = 150 * time.Millisecond

// same gives claims that count as one the same mark, the lowest, so that all who
// hear of them derive the same order.
func (b *Book) same(c Claim) Claim {
	var near []*Claim
	note := func(o *Claim) {
		if max(o.At-c.At, c.At-o.At) <= together {
			near = append(near, o)
			c.Mark = min(c.Mark, o.Mark)
		}
	}
	for i := range b.claims {
		note(&b.claims[i])
	}
	if b.looked {
		note(&b.own)
	}
	for _, o := range near {
		o.Mark = c.Mark
	}
	return c
}

// Looked takes in the answer of a look of this entry's own.
func (b *Book) Looked(c Claim) {
	c = b.same(c)
	if !b.looked || c.At > b.own.At {
		b.own, b.looked = c, true
	}
	b.Told(c)
}

// Told takes in a peer's claim. Its At must not be later than true: see Way.
func (b *Book) Told(c Claim) {
	c = b.same(c)
	covered := func(c, by Claim) bool { return by.Revision <= c.Revision && by.At >= c.At }
	if slices.ContainsFunc(b.claims, func(o Claim) bool { return covered(c, o) }) {
		return
	}
	b.claims = slices.DeleteFunc(b.claims, func(o Claim) bool { return covered(o, c) })
	i, _ := slices.BinarySearchFunc(b.claims, c, func(a, b Claim) int { return cmp.Compare(a.Revision, b.Revision) })
	b.claims = slices.Insert(b.claims, i, c)
	if len(b.claims) > maxClaims {
		// The first is the one in force, which Best keeps alone.
		b.claims = slices.Delete(b.claims, 1, 2)
	}
}

// Best returns the latest claim that holds for whoever has revision in force;
// ok is false if there is none. It is what the entry may tell others. A revision
// in force never becomes lower.
func (b *Book) Best(revision int64) (c Claim, ok bool) {
	n := 0
	for n < len(b.claims) && b.claims[n].Revision <= revision {
		n++
	}
	if n == 0 {
		return Claim{}, false
	}
	// The last of them is the latest, and those before it serve nothing any more.
	b.claims = slices.Delete(b.claims, 0, n-1)
	return b.claims[0], true
}

// Known is Best or, if that is later, the entry's own last look: what this told
// is taken in, though it need not be in force, as when removals are held back.
func (b *Book) Known(revision int64) (c Claim, ok bool) {
	c, ok = b.Best(revision)
	if b.looked && (!ok || b.own.At > c.At) {
		return b.own, true
	}
	return c, ok
}

const (
	// lookShare is the part of the bound after which the fleet looks again, and
	// stepShare that by which the next in order looks later: the time in which one
	// entry's look reaches the others.
	lookShare = 0.2
	stepShare = 0.1
	// steps is how many look one after the other before all others do within a
	// further step. Then no entry that can call the platform is older than
	// lookShare + (steps+1)*stepShare of the bound, 0.6, and a call's time.
	steps = 3
	// aloneShare is the part of the bound after which an entry looks that hears no
	// other: nobody looks before or after it.
	aloneShare = 0.5
)

// Rule says when to look. Bound is the age that knowledge must not exceed.
type Rule struct {
	Bound time.Duration
}

// share returns a part of the bound.
func (r Rule) share(part float64) time.Duration { return time.Duration(part * float64(r.Bound)) }

// First returns how old a claim is at least when anybody looks again: before that
// nobody needs to know its rank.
func (r Rule) First() time.Duration { return r.share(lookShare) }

// Step returns the time in which a look should reach the other entries.
func (r Rule) Step() time.Duration { return r.share(stepShare) }

// Due returns the age of the latest claim at which an entry looks that is the
// rank-th, from zero, of heard entries, itself included.
func (r Rule) Due(rank, heard int) time.Duration {
	if heard <= 1 {
		return r.share(aloneShare)
	}
	due := r.First() + time.Duration(min(rank, steps))*r.Step()
	if late := heard - steps; rank > steps && late > 0 {
		due += r.Step() * time.Duration(rank-steps) / time.Duration(late)
	}
	return due
}

// Old reports whether knowledge of that age is older than the bound.
func (r Rule) Old(age time.Duration) bool { return age > r.Bound }

// Rank returns the place of self, from zero, in the order in which the heard
// entries look again after the look that had mark. It does not matter whether
// heard names self.
func Rank(self string, heard []string, mark uint32) int {
	own, n := order(self, mark), 0
	for _, name := range heard {
		if name == self {
			continue
		}
		if o := order(name, mark); o < own || o == own && name < self {
			n++
		}
	}
	return n
}

// Mark returns the mark of an entry's n-th look.
func Mark(self string, n uint32) uint32 { return order(self, n) }

func order(name string, mark uint32) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	h.Write([]byte{byte(mark >> 24), byte(mark >> 16), byte(mark >> 8), byte(mark)})
	// The last bytes of FNV reach only the low bits: mix them into all.
	x := h.Sum32()
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}

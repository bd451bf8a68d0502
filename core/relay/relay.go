// Package relay decides over which links entries tell each other what they do.
//
// The load it answers is the entries' own: if each tells all others, messages
// and links grow with the square of their number, most of them cross between
// availability zones, and small entries spend more on hearing than on serving.
// So a fleet of more than a few entries tells through hubs: one in each zone, or
// several in a zone with many entries, as what a hub sends grows with those that
// it passes everything on to. An entry tells its hub; the hub tells the other
// hubs and passes on, in one message for all, what it hears to the entries of its
// own group.
//
// Hubs are the entries of a zone with the most capacity. Nobody elects them: each
// entry derives them from those that it hears, so two may differ for a moment or
// while the network is parted. Whoever is not heard by another one says so, and
// the two talk without a hub until it is. A hub that fails therefore costs a
// moment, and a parted network as many links as it needs.
//
// It uses no network, clock or random source.
package relay

import (
	"cmp"
	"hash/fnv"
	"slices"

	"lycheepond/core/spread"
)

const (
	// few is up to how many entries all tell all: 56 links, and each entry hears
	// the others without a detour.
	few = 8
	// groupSize is how many entries of a zone have one hub at most, on average. A
	// hub sends all that a fleet tells to each entry of its group.
	groupSize = 16
)

// Entry is what matters of an entry.
type Entry struct {
	Name, Zone string
	// Capacity is how much work the entry can carry, zero if unknown. Only the
	// relation between entries counts.
	Capacity uint32
}

// Plan says who tells whom, as one entry sees it. The zero Plan has all tell
// all.
type Plan struct {
	self Entry
	// hubs holds the hubs of each zone, none of them empty; nil while all tell all.
	hubs map[string][]string
}

// New returns the plan of an entry that knows of so many, itself included, hears
// the given ones and may use some of these as hubs.
func New(self Entry, known int, heard []Entry, usable func(Entry) bool) Plan {
	if known <= few {
		return Plan{self: self}
	}
	zones := map[string][]Entry{self.Zone: {self}}
	sizes := map[string]int{self.Zone: 1}
	for _, e := range heard {
		if e.Name == self.Name {
			continue
		}
		sizes[e.Zone]++
		if usable(e) {
			zones[e.Zone] = append(zones[e.Zone], e)
		}
	}
	p := Plan{self: self, hubs: make(map[string][]string, len(zones))}
	for zone, entries := range zones {
		slices.SortFunc(entries, func(a, b Entry) int {
			return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
		})
		for _, e := range entries[:min(hubs(sizes[zone]), len(entries))] {
			p.hubs[zone] = append(p.hubs[zone], e.Name)
		}
	}
	return p
}

// hubs returns how many hubs a zone of so many entries has: a power of two, so
// that it changes seldom as entries come and go.
func hubs(entries int) int {
	n := 1
	for n*groupSize < entries {
		n *= 2
	}
	return n
}

// hub returns the hub of an entry, empty if its zone has none. An entry moves to
// another hub only when its own goes or a new one comes.
func (p Plan) hub(e Entry) string {
	var best string
	var most uint64
	for _, name := range p.hubs[e.Zone] {
		if name == e.Name {
			return name
		}
		h := fnv.New64a()
		h.Write([]byte(name))
		h.Write([]byte{0})
		h.Write([]byte(e.Name))
		if x := spread.Bits(h.Sum64()); best == "" || x > most {
			best, most = name, x
		}
	}
	return best
}

// Hub reports whether the entry passes on what it hears.
func (p Plan) Hub() bool { return p.hubs != nil && p.isHub(p.self) }

// Led reports whether another entry passes on to this one what it hears.
func (p Plan) Led() bool { return p.hubs != nil && !p.isHub(p.self) }

func (p Plan) isHub(e Entry) bool { return p.hub(e) == e.Name }

// Near reports whether an entry is of the same group as this one: both have the
// same hub.
func (p Plan) Near(e Entry) bool { return p.same(e, p.self) }

func (p Plan) same(a, b Entry) bool { return a.Zone == b.Zone && p.hub(a) == p.hub(b) }

// Tells reports whether from keeps a link to to.
func (p Plan) Tells(from, to Entry) bool {
	if p.hubs == nil {
		return true
	}
	if p.same(from, to) {
		return p.isHub(from) || p.isHub(to)
	}
	return p.isHub(from) && p.isHub(to)
}

// Source is how an entry heard what another one told.
type Source uint8

// The sources.
const (
	// Direct is the link of the one that told it.
	Direct Source = iota
	// Within is a hub of this entry's group, Between one of another.
	Within
	Between
)

// Passes reports whether a hub passes on to another entry what origin told and
// the hub heard from a source. What came from a hub goes to the own group only, so
// nothing goes round in circles.
func (p Plan) Passes(origin Entry, from Source, to Entry) bool {
	if !p.Hub() || from == Within || origin.Name == to.Name || !p.Tells(p.self, to) {
		return false
	}
	if p.Near(to) {
		return true
	}
	return from == Direct && p.Near(origin)
}

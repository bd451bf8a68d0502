// Package relay decides over which links entries tell each other what they do.
//
// The load it answers is the entries' own: if each tells all others, messages
// and links grow with the square of their number, most of them cross between
// availability zones, and small entries spend more on hearing than on serving.
// So a fleet of more than a few entries tells through hubs: one in each zone, or
// in each group of a zone with many entries, as what a hub sends grows with those
// that it passes everything on to. An entry tells its hub; the hub tells the
// other hubs and passes on, in one message for all, what it hears to the entries
// of its own group.
//
// Nobody elects hubs: each entry takes the first of those that it hears, so two
// may differ for a moment or while the network is parted. Whoever is not heard
// by another one says so, and the two talk without a hub until it is. A hub that
// fails therefore costs a moment, and a parted network as many links as it needs.
//
// It uses no network, clock or random source.
package relay

import "hash/fnv"

const (
	// few is up to how many entries all tell all: 56 links, and each entry hears
	// the others without a detour.
	few = 8
	// groupSize is how many entries of a zone have one hub at most, on average. A
	// hub sends all that a fleet tells to each entry of its group; without groups
	// that of a hundred entries would send it ninety-nine times, of sixteen fifteen
	// times.
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
	// hubs holds the name of the hub of each group; nil while all tell all.
	hubs map[group]string
	// groups holds how many groups each zone has, at least one.
	groups map[string]uint32
}

// group is a part of the entries of a zone.
type group struct {
	zone string
	n    uint32
}

// New returns the plan of an entry that knows of so many, itself included, hears
// the given ones and may use some of these as hubs.
func New(self Entry, known int, heard []Entry, usable func(Entry) bool) Plan {
	if known <= few {
		return Plan{self: self}
	}
	p := Plan{self: self, hubs: make(map[group]string), groups: groups(self, heard)}
	p.hubs[p.group(self)] = self.Name
	for _, e := range heard {
		g := p.group(e)
		if first, ok := p.hubs[g]; usable(e) && (!ok || e.Name < first) {
			p.hubs[g] = e.Name
		}
	}
	return p
}

// groups returns how many groups each zone has: a power of two, so that they
// change seldom as entries come and go.
func groups(self Entry, heard []Entry) map[string]uint32 {
	sizes := map[string]int{self.Zone: 1}
	for _, e := range heard {
		if e != self {
			sizes[e.Zone]++
		}
	}
	out := make(map[string]uint32, len(sizes))
	for zone, size := range sizes {
		n := uint32(1)
		for int(n)*groupSize < size {
			n *= 2
		}
		out[zone] = n
	}
	return out
}

// group returns the group of an entry, by its name alone, so that it does not
// move when others come and go.
func (p Plan) group(e Entry) group {
	n := max(p.groups[e.Zone], 1)
	h := fnv.New32a()
	h.Write([]byte(e.Name))
	return group{e.Zone, h.Sum32() % n}
}

// Hub reports whether the entry passes on what it hears.
func (p Plan) Hub() bool { return p.hubs != nil && p.hub(p.self) }

// Led reports whether another entry passes on to this one what it hears.
func (p Plan) Led() bool { return p.hubs != nil && !p.hub(p.self) }

func (p Plan) hub(e Entry) bool { return p.hubs[p.group(e)] == e.Name }

// Near reports whether an entry is of the same group as this one.
func (p Plan) Near(e Entry) bool { return p.group(e) == p.group(p.self) }

// Tells reports whether from keeps a link to to.
func (p Plan) Tells(from, to Entry) bool {
	if p.hubs == nil {
		return true
	}
	if p.group(from) == p.group(to) {
		return p.hub(from) || p.hub(to)
	}
	return p.hub(from) && p.hub(to)
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

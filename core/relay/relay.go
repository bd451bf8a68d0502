// Package relay decides over which links entries tell each other what they do.
//
// The load it answers is the entries' own: if each tells all others, messages
// and links grow with the square of their number, most of them cross between
// availability zones, and small entries spend more on hearing than on serving.
// So a fleet of more than a few entries tells through one hub in each zone. An
// entry tells its hub; the hub tells the hubs of the other zones and passes on,
// in one message for all, what it hears to the entries of its own.
//
// Nobody elects hubs: each entry takes the first of those that it hears, so two
// may differ for a moment or while the network is parted. Whoever is not heard
// by another one says so, and the two talk without a hub until it is. A hub that
// fails therefore costs a moment, and a parted network as many links as it needs.
//
// It uses no network, clock or random source.
package relay

// few is up to how many entries all tell all: 56 links, and each entry hears the
// others without a detour.
const few = 8

// Entry is what matters of an entry.
type Entry struct {
	Name, Zone string
}

// Plan says who tells whom, as one entry sees it. The zero Plan has all tell
// all.
type Plan struct {
	self Entry
	// hubs holds the name of the hub of each zone; nil while all tell all.
	hubs map[string]string
}

// New returns the plan of an entry that knows of so many, itself included, and
// may use those given as hubs.
func New(self Entry, known int, usable []Entry) Plan {
	if known <= few {
		return Plan{self: self}
	}
	hubs := map[string]string{self.Zone: self.Name}
	for _, e := range usable {
		if first, ok := hubs[e.Zone]; !ok || e.Name < first {
			hubs[e.Zone] = e.Name
		}
	}
	return Plan{self: self, hubs: hubs}
}

// Hub reports whether the entry passes on what it hears.
func (p Plan) Hub() bool { return p.hubs != nil && p.hub(p.self) }

// Led reports whether another entry passes on to this one what it hears.
func (p Plan) Led() bool { return p.hubs != nil && !p.hub(p.self) }

func (p Plan) hub(e Entry) bool { return p.hubs[e.Zone] == e.Name }

// Tells reports whether from keeps a link to to.
func (p Plan) Tells(from, to Entry) bool {
	if p.hubs == nil {
		return true
	}
	if from.Zone == to.Zone {
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
	// Within is a hub of this entry's zone, Between one of another.
	Within
	Between
)

// Passes reports whether a hub passes on to another entry what origin told and
// the hub heard from a source. What came from a hub goes to the own zone only, so
// nothing goes round in circles.
func (p Plan) Passes(origin Entry, from Source, to Entry) bool {
	if !p.Hub() || from == Within || origin.Name == to.Name || !p.Tells(p.self, to) {
		return false
	}
	if to.Zone == p.self.Zone {
		return true
	}
	return from == Direct && origin.Zone == p.self.Zone
}

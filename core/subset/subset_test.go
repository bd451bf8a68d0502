package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func nodes(kind string, zones, each int) []Node {
	var out []Node
	for z := range zones {
		for i := range each {
			out = append(out, Node{Name: fmt.Sprintf("%s-%d-%d", kind, z, i), Zone: fmt.Sprint("z", z)})
		}
	}
	return out
}

// links returns the entries of every agent.
func links(entries, agents []Node, cfg Config) map[string][]string {
	out := make(map[string][]string)
	for _, e := range entries {
		for _, a := range Agents(e, entries, agents, cfg) {
			out[a] = append(out[a], e.Name)
		}
	}
	return out
}

// One zone of the target's size, with three others beside it.
func TestBalance(t *testing.T) {
	entries, agents := nodes("entry", 4, 15), nodes("agent", 4, 430)
	low, high, sum := 1<<30, 0, 0
	for _, e := range entries {
		n := len(Agents(e, entries, agents, Config{}))
		low, high, sum = min(low, n), max(high, n), sum+n
	}
	other := 0
	for _, name := range Agents(entries[0], entries, agents, Config{}) {
		if !strings.HasPrefix(name, "agent-0-") {
			other++
		}
	}
	if other != DefaultSpill {
		t.Errorf("%d agents of other zones", other)
	}
	fewest, most := 1<<30, 0
	for _, got := range links(entries, agents, Config{}) {
		fewest, most = min(fewest, len(got)), max(most, len(got))
	}
	t.Logf("agents an entry %d to %d, mean %.1f; entries an agent %d to %d", low, high, float64(sum)/float64(len(entries)), fewest, most)
	if low < 85 || high > 160 || fewest < DefaultLinks || most > 2*DefaultLinks {
		t.Error("out of balance")
	}
}

// Entries are replaced hundreds of times a day. Links that need not move must
// not, or every replacement would cut a third of the fleet's links.
func TestChurn(t *testing.T) {
	entries, agents := nodes("entry", 1, 15), nodes("agent", 1, 430)
	before := links(entries, agents, Config{})
	after := links(entries[1:], agents, Config{})
	moved, kept := 0, 0
	for a, had := range before {
		for _, e := range after[a] {
			if slices.Contains(had, e) {
				kept++
			} else {
				moved++
			}
		}
	}
	lost := len(Agents(entries[0], entries, agents, Config{}))
	t.Logf("an entry with %d links left: %d links are new, %d stay", lost, moved, kept)
	if moved > lost {
		t.Errorf("%d links moved for %d lost", moved, lost)
	}
}

func TestShapes(t *testing.T) {
	for _, tc := range []struct {
		name            string
		entries, agents []Node
		cfg             Config
		least, most     int
	}{
		{"a small pool is known whole", nodes("entry", 3, 2), nodes("agent", 3, 4), Config{}, 12, 12},
		{"few agents are spread by links", nodes("entry", 1, 15), nodes("agent", 1, 430), Config{Least: 1, Spill: -1}, 85, 150},
		{"the own zone has no agents", nodes("entry", 4, 15), nodes("agent", 4, 430)[430:], Config{}, 43, 50},
		{"other zones are reached", nodes("entry", 2, 15), nodes("agent", 2, 430), Config{}, 90, 160},
		{"no agents", nodes("entry", 1, 3), nil, Config{}, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			self := tc.entries[0]
			got := Agents(self, tc.entries, tc.agents, tc.cfg)
			if len(got) < tc.least || len(got) > tc.most {
				t.Fatalf("%d agents, want %d to %d", len(got), tc.least, tc.most)
			}
		})
	}
}

// Whatever the zones hold, every agent has as many entries as it should, every
// entry enough agents, and the order of the lists does not matter.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		make1 := func(kind string) []Node {
			var out []Node
			for i := range rapid.IntRange(1, 12).Draw(t, kind) {
				out = append(out, Node{Name: fmt.Sprint(kind, i), Zone: fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone"))})
			}
			return out
		}
		entries, agents := make1("entry"), make1("agent")
		cfg := Config{Links: 2, Least: rapid.IntRange(1, 6).Draw(t, "least"), Spill: 1}
		got := links(entries, agents, cfg)
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
			if len(own) < min(cfg.Least, len(agents)) {
				t.Fatalf("%v has %v", e, own)
			}
			if !slices.Equal(own, Agents(e, entries, shuffled, cfg)) {
				t.Fatal("the order of the list matters")
			}
		}
	})
}

func BenchmarkAgents(b *testing.B) {
	entries, agents := nodes("entry", 28, 15), nodes("agent", 28, 430)
	b.ReportAllocs()
	for range b.N {
		Agents(entries[0], entries, agents, Config{})
	}
}

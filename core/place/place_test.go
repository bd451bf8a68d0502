package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func makeAgents(n int, zone string) []Agent {
	all := make([]Agent, n)
	for i := range all {
		all[i] = Agent{Name: fmt.Sprint(zone, "-", i), Zone: zone, InFlightBound: 8}
	}
	return all
}

var request = Request{Tier: 1, PromptTokens: 1000, Work: 2 * time.Second}

// firstPickCounts returns how often each agent was the first pick.
func firstPickCounts(p *Placer, req Request, agents []Agent, picks int) []int {
	counts, rnd := make([]int, len(agents)), rand.New(rand.NewPCG(1, 1))
	var out []int
	for range picks {
		out = p.Pick(0, req, agents, 2, rnd.Uint64(), out[:0])
		if len(out) > 0 {
			counts[out[0]]++
		}
	}
	return counts
}

// The first pick must be a lightly loaded agent of the own zone, and other
// zones, full agents and slow agents only if there is nothing better.
func TestPick(t *testing.T) {
	full := func(a *Agent) { a.InFlight, a.Queued, a.QueuedCost = 8, 4, 8*time.Second }
	for _, tc := range []struct {
		name  string
		setup func(a []Agent)
		want  func(got []int) bool
	}{
		{"own zone first", func([]Agent) {}, func(g []int) bool { return g[2]+g[3] == 0 && g[0] > 300 && g[1] > 300 }},
		{"own zone while slightly busier", func(a []Agent) {
			for i := range a {
				a[i].InFlightBound = 100
			}
			a[0].InFlight, a[1].InFlight = 3, 3
		}, func(g []int) bool { return g[2]+g[3] == 0 }},
		{"other zone when the own zone is full", func(a []Agent) { full(&a[0]); full(&a[1]) }, func(g []int) bool { return g[0]+g[1] == 0 }},
		{"other zone when all agents of the own zone leave", func(a []Agent) { a[0].Leaving, a[1].Leaving = true, true }, func(g []int) bool { return g[2]+g[3] == 1000 }},
		{"less loaded agent", func(a []Agent) { a[0].InFlight = 6 }, func(g []int) bool { return g[1] == 1000 }},
		{"not a slow agent", func(a []Agent) { a[0].Slow = true }, func(g []int) bool { return g[1] == 1000 }},
		{"slow agent when there is no other", func(a []Agent) { a[0].Slow, a[1].Leaving, a[2].Leaving, a[3].Leaving = true, true, true, true }, func(g []int) bool { return g[0] == 1000 }},
		{"full agent when there is no other", func(a []Agent) { a[0].Full, a[1].Leaving, a[2].Leaving, a[3].Leaving = true, true, true, true }, func(g []int) bool { return g[0] == 1000 }},
		{"never a leaving agent", func(a []Agent) {
			for i := range a {
				a[i].Leaving = true
			}
		}, func(g []int) bool { return g[0]+g[1]+g[2]+g[3] == 0 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			agents := append(makeAgents(2, "z1"), makeAgents(2, "z2")...)
			tc.setup(agents)
			if got := firstPickCounts(New(Config{Zone: "z1"}), request, agents, 1000); !tc.want(got) {
				t.Fatalf("first picks %v", got)
			}
		})
	}
}

// A slow agent must get a few offers, otherwise its recovery would never be
// detected. But every probe must have a second agent, so that no request
// depends on the slow one.
func TestSlowAgentsAreProbed(t *testing.T) {
	p, agents := New(Config{Zone: "z1"}), makeAgents(5, "z1")
	agents[3].Slow = true
	probes, rnd := 0, rand.New(rand.NewPCG(1, 1))
	for range 3200 {
		out := p.Pick(0, request, agents, 2, rnd.Uint64(), nil)
		if out[0] == 3 || len(out) != 2 {
			t.Fatalf("picked %v", out)
		}
		if out[1] == 3 {
			probes++
		}
	}
	if probes < 60 || probes > 140 {
		t.Fatalf("%d probes in 3200 picks", probes)
	}
}

// A cached prefix is worth the prefill that it saves and no more. The agent
// that has it gets the request alone until its queue costs more.
func TestPrefixAgainstQueue(t *testing.T) {
	prompt := make([]byte, 16384)
	req := Request{Tier: 1, PromptTokens: 4096, Work: time.Second, Prefix: Fingerprint(prompt)}
	for _, tc := range []struct {
		name   string
		queued time.Duration
		alone  bool
	}{{"free", 0, true}, {"short queue", time.Second, true}, {"long queue", 20 * time.Second, false}} {
		t.Run(tc.name, func(t *testing.T) {
			p, agents := New(Config{Zone: "z1"}), makeAgents(20, "z1")
			p.RecordSent(0, agents[7].Name, req.Prefix)
			if tc.queued > 0 {
				agents[7].InFlight, agents[7].Queued, agents[7].QueuedCost = 8, 1, tc.queued
			}
			out := p.Pick(time.Second, req, agents, 2, 42, nil)
			if alone := len(out) == 1 && out[0] == 7; alone != tc.alone {
				t.Fatalf("picked %v", out)
			}
			p.ForgetAgent(agents[7].Name)
			if out := p.Pick(time.Second, req, agents, 2, 42, nil); out[0] == 7 {
				t.Fatalf("picked %v after the agent restarted", out)
			}
		})
	}
}

// The engine evicts prefixes sooner than assumed. If that were not detected,
// requests would queue for a prefix that is no longer cached.
func TestHitRateLowersSavings(t *testing.T) {
	p, agents := New(Config{Zone: "z1"}), makeAgents(20, "z1")
	req := Request{Tier: 1, PromptTokens: 256, Work: time.Second, Prefix: Fingerprint(make([]byte, 1024))}
	if assumedTokens := p.RecordSent(0, agents[7].Name, req.Prefix); assumedTokens != 0 {
		t.Fatalf("%d tokens of a new prompt assumed to be cached", assumedTokens)
	}
	for range 20 {
		p.RecordCached(agents[7].Name, p.RecordSent(0, agents[7].Name, req.Prefix), 0)
	}
	if out := p.Pick(0, req, agents, 2, 1, nil); out[0] == 7 {
		t.Fatalf("picked %v", out)
	}
	for range 20 {
		p.RecordCached(agents[7].Name, 256, 256)
	}
	if out := p.Pick(0, req, agents, 2, 1, nil); len(out) != 1 || out[0] != 7 {
		t.Fatalf("picked %v after the cache hits", out)
	}
}

// Entries do not tell each other where they sent a prompt. If each of them
// chose on its own, every prefix would be computed once per entry.
func TestEntriesAgreeOnNewPrefixes(t *testing.T) {
	agents := makeAgents(20, "z1")
	used := map[int]bool{}
	for n := range 40 {
		req := Request{Tier: 1, PromptTokens: 1000, Work: time.Second, Prefix: Fingerprint(append([]byte(fmt.Sprint(n)), make([]byte, 4000)...))}
		a := New(Config{Zone: "z1"}).Pick(0, req, agents, 2, 1, nil)
		b := New(Config{Zone: "z2"}).Pick(0, req, agents, 2, 2, nil)
		if a[0] != b[0] {
			t.Fatalf("prompt %d: %v and %v", n, a, b)
		}
		used[a[0]] = true
	}
	if len(used) < 12 {
		t.Fatalf("40 prefixes went to %d of 20 agents", len(used))
	}
}

// Offers that have waited too long must be extended, most urgent first. Offers
// that are recent, or that enough agents already hold, must not.
func TestOffersToExtend(t *testing.T) {
	const s = time.Second
	offers := []UnclaimedOffer{
		{Tier: 2, OfferedAt: 0, AgentCount: 1},
		{Tier: 1, OfferedAt: 0, AgentCount: 1, Due: 30 * s},
		{Tier: 1, OfferedAt: 0, AgentCount: 2, Due: 9 * s},
		{Tier: 0, OfferedAt: -time.Minute, AgentCount: maxAgentsPerOffer},
		{Tier: 0, OfferedAt: 950 * time.Millisecond, AgentCount: 1},
		{Tier: 3, OfferedAt: s, AgentCount: 0},
	}
	if got := fmt.Sprint(New(Config{}).OffersToExtend(s, offers, nil)); got != "[2 1 0 5]" {
		t.Fatalf("order %v", got)
	}
}

// Prompts must have equal hashes exactly as far as they are equal, and at most
// MaxPrefixHashes of them.
func TestFingerprint(t *testing.T) {
	a, b := make([]byte, 5000), make([]byte, 5000)
	b[1500] = 1
	x, y := Fingerprint(a), Fingerprint(b)
	if len(x) != 5 || !slices.Equal(x[:3], y[:3]) || x[3] == y[3] || len(Fingerprint(a[:255])) != 0 || len(Fingerprint(make([]byte, 1<<20))) != MaxPrefixHashes {
		t.Fatalf("%x, %x", x, y)
	}
}

// For any set of agents, picks are distinct, at most n, never leaving, and
// there is at least one if any agent is not leaving.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{Zone: "z1", MaxPrefixes: 8})
		agents := append(makeAgents(rapid.IntRange(0, 6).Draw(t, "own"), "z1"), makeAgents(rapid.IntRange(0, 6).Draw(t, "others"), "z2")...)
		live := false
		for i := range agents {
			a := &agents[i]
			a.InFlight, a.Queued = rapid.IntRange(0, 20).Draw(t, "inFlight"), rapid.IntRange(0, 5).Draw(t, "queued")
			a.Slow, a.Full, a.Leaving = rapid.Bool().Draw(t, "slow"), rapid.Bool().Draw(t, "full"), rapid.Bool().Draw(t, "leaving")
			live = live || !a.Leaving
		}
		for now := range rapid.IntRange(1, 20).Draw(t, "picks") {
			prompt := []byte{byte(rapid.IntRange(0, 3).Draw(t, "prompt"))}
			req := Request{PromptTokens: 1000, Work: time.Second, Prefix: Fingerprint(append(prompt, make([]byte, 2000)...))}
			n := rapid.IntRange(0, 4).Draw(t, "n")
			at := time.Duration(now) * time.Second
			out := p.Pick(at, req, agents, n, rapid.Uint64().Draw(t, "rnd"), nil)
			if len(out) > n || (n > 0 && live) != (len(out) > 0) {
				t.Fatalf("picked %v of %d", out, n)
			}
			for i, a := range out {
				if agents[a].Leaving || slices.Contains(out[:i], a) {
					t.Fatalf("picked %v", out)
				}
			}
			if len(out) > 0 {
				p.RecordSent(at, agents[out[0]].Name, req.Prefix)
			}
		}
	})
}

func BenchmarkPick(b *testing.B) {
	for _, known := range []int{0, 100} {
		b.Run(fmt.Sprint("prefixes=", known), func(b *testing.B) {
			p, agents := New(Config{Zone: "z1"}), append(makeAgents(109, "z1"), makeAgents(6, "z2")...)
			var prefixes [][]uint64
			for i := range max(known, 1) {
				prefixes = append(prefixes, Fingerprint(append([]byte(fmt.Sprint(i)), make([]byte, 8192)...)))
				if known > 0 {
					p.RecordSent(0, agents[i%len(agents)].Name, prefixes[i])
				}
			}
			req, rnd := request, rand.New(rand.NewPCG(1, 1))
			var out []int
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				req.Prefix = prefixes[n%len(prefixes)]
				now := time.Duration(n) * time.Millisecond
				out = p.Pick(now, req, agents, 2, rnd.Uint64(), out[:0])
				if known > 0 {
					p.RecordSent(now, agents[out[0]].Name, req.Prefix)
				}
			}
		})
	}
}

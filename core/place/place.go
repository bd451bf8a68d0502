// Package place chooses the agents that are offered a request.
package place

import (
	"time"
)

// Agent is what an entry knows of one agent it has a link to.
type Agent struct {
	Name string
	Zone string
	// InFlight, Bound, Queued and QueuedCost are the last load heard, plus
	// what the entry itself has offered since.
	InFlight, Bound, Queued int
	QueuedCost              time.Duration
	// Slow, Leaving and Full come from the agent; Full means that it returned
	// an offer for want of room a moment ago.
	Slow, Leaving, Full bool
}

// Request is what placement needs to know of a request.
type Request struct {
	Tier         uint8
	PromptTokens int
	Work         time.Duration
	// Prefix holds the Fingerprint of the prompt.
	Prefix []uint64
}

// Config says from where placement is done.
type Config struct {
	// Zone is the zone of the entry.
	Zone string
}

// Placer chooses agents. One goroutine owns it.
type Placer struct{ cfg Config }

// New returns a placer that has sent nothing yet.
func New(cfg Config) *Placer { return &Placer{cfg: cfg} }

// Pick appends to out the indexes of up to n agents to offer req to, the best
// first. rnd is a fresh random number.
func (p *Placer) Pick(_ time.Duration, _ Request, agents []Agent, n int, rnd uint64, out []int) []int {
	for i := range agents {
		j := int((rnd%uint64(len(agents)) + uint64(i)) % uint64(len(agents)))
		if len(out) >= n {
			break
		}
		if !agents[j].Leaving && !agents[j].Full {
			out = append(out, j)
		}
	}
	return out
}

// Sent records that a prompt with this prefix was granted to the agent.
func (p *Placer) Sent(_ time.Duration, _ string, _ []uint64) {}

// Forget drops what is known of an agent, as after its restart.
func (p *Placer) Forget(_ string) {}

// Waiting is an offered request that no agent has claimed yet.
type Waiting struct {
	Tier uint8
	// Offered is when it was last offered; Due is when its target is missed,
	// zero if never.
	Offered, Due time.Duration
	// Agents is how many agents hold the offer now.
	Agents int
}

// Wider appends to out the indexes of the requests that should be offered to
// one more agent, the most urgent first.
func (p *Placer) Wider(now time.Duration, waiting []Waiting, out []int) []int {
	for i := range waiting {
		if now-waiting[i].Offered > time.Second {
			out = append(out, i)
		}
	}
	return out
}

// firstBlock is the length in bytes of the shortest prefix that is hashed.
const firstBlock = 256

// MaxPrefix is the largest number of hashes that Fingerprint makes.
const MaxPrefix = 8

// Fingerprint returns hashes of growing prefixes of a prompt: its first 256
// bytes, 512, 1024 and so on, at most MaxPrefix of them, shortest first.
func Fingerprint(prompt []byte) []uint64 {
	var out []uint64
	h := uint64(14695981039346656037)
	next := firstBlock
	for i, c := range prompt {
		h = (h ^ uint64(c)) * 1099511628211
		if i+1 == next {
			out = append(out, h)
			next *= 2
			if len(out) == MaxPrefix {
				break
			}
		}
	}
	return out
}

package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstPatience is how long an offer that one agent holds waits before
	// another gets it too; each further agent doubles it. An idle agent claims
	// within the way there and back, some milliseconds.
	firstPatience = 100 * time.Millisecond
	// mostAgents is how many agents hold an offer at most. Each further one
	// costs a message and gains less.
	mostAgents = 6
	// fullBatch is the number of requests in a full batch.
	fullBatch = 16
	// hurry is the part of the time left to the target that an offer waits at
	// most.
	hurry = 4
)

// Waiting is an offered request that no agent has claimed yet.
type Waiting struct {
	Tier uint8
	// Offered is when it was last offered; Due is when its target is missed,
	// zero if never.
	Offered, Due time.Duration
	// Agents is how many agents hold the offer now.
	Agents int
	// PromptTokens and Prefix are those of its Request.
	PromptTokens int
	Prefix       []uint64
}

// patient reports whether w should go on waiting for the agents that it has;
// worth is what the prefix that one of them may have saves.
func (w *Waiting) patient(now, worth time.Duration) bool {
	if w.Agents >= mostAgents {
		return true
	}
	patience := firstPatience<<max(w.Agents-1, 0) + worth
	if w.Agents == 0 {
		patience = 0
	}
	if w.Due > now {
		patience = min(patience, max((w.Due-w.Offered)/hurry, firstPatience/hurry))
	}
	return now-w.Offered < patience
}

// Wider appends to out the indexes of the requests that should be offered to
// one more agent, the highest tier first and in it the most urgent. An agent
// that is stuck or was reported with too little load would otherwise keep a
// request from all the others.
func (p *Placer) Wider(now time.Duration, waiting []Waiting, out []int) []int {
	first := len(out)
	for i := range waiting {
		if !waiting[i].patient(now, p.worth(now, &waiting[i])) {
			out = append(out, i)
		}
	}
	slices.SortFunc(out[first:], func(i, j int) int {
		a, b := &waiting[i], &waiting[j]
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(never(a.Due), never(b.Due)), cmp.Compare(a.Offered, b.Offered))
	})
	return out
}

// worth is what an agent with the prompt's prefix saves in a full batch. Offers
// to others before that has been waited for would spread every prefix over the
// fleet, until no cache holds any.
func (p *Placer) worth(now time.Duration, w *Waiting) time.Duration {
	h, tokens := p.cache.longest(now, w.Prefix)
	if h == nil {
		return 0
	}
	return evicts * fullBatch / stalled * time.Duration(min(tokens, w.PromptTokens)) * p.cfg.Prefill
}

// never orders requests without a target last.
func never(due time.Duration) time.Duration {
	if due == 0 {
		return 1<<63 - 1
	}
	return due
}

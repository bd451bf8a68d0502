package place

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstExtensionDelay is how long an offer waits at a single agent before it
	// is extended to another one. The time doubles with each further agent. An
	// idle agent claims an offer within one round trip, a few milliseconds.
	firstExtensionDelay = 100 * time.Millisecond
	// maxAgentsPerOffer is the maximum number of agents that hold the same
	// offer. Each further agent costs a message and helps less.
	maxAgentsPerOffer = 6
	// fullBatchSize is the assumed number of requests in a full batch.
	fullBatchSize = 16
	// targetWaitDivisor bounds the wait before an offer is extended to
	// 1/targetWaitDivisor of the time that was left to the target when the
	// offer was made.
	targetWaitDivisor = 4
)

// UnclaimedOffer is an offered request that no agent has claimed yet.
type UnclaimedOffer struct {
	Tier uint8
	// OfferedAt is when the request was last offered. Due is when it misses its
	// target; zero means that it has none.
	OfferedAt, Due time.Duration
	// AgentCount is the number of agents that hold the offer now.
	AgentCount int
	// PromptTokens and Prefix are those of the Request.
	PromptTokens int
	Prefix       []uint64
}

// keepWaiting reports whether the offer should stay with the agents that hold
// it. prefixSaving is the time that is saved if an agent with the prompt's
// prefix claims it.
func (o *UnclaimedOffer) keepWaiting(now, prefixSaving time.Duration) bool {
	if o.AgentCount >= maxAgentsPerOffer {
		return true
	}
	timeout := firstExtensionDelay<<max(o.AgentCount-1, 0) + prefixSaving
	if o.AgentCount == 0 {
		timeout = 0
	}
	if o.Due > now {
		timeout = min(timeout, max((o.Due-o.OfferedAt)/targetWaitDivisor, firstExtensionDelay/targetWaitDivisor))
	}
	return now-o.OfferedAt < timeout
}

// OffersToExtend appends to out the indexes of the requests that should be
// offered to one more agent, ordered by tier and then by Due. Otherwise an
// agent that is stuck, or whose reported load was too low, would keep a request
// from all other agents.
func (p *Placer) OffersToExtend(now time.Duration, offers []UnclaimedOffer, out []int) []int {
	first := len(out)
	for i := range offers {
		if !offers[i].keepWaiting(now, p.prefixSaving(now, &offers[i])) {
			out = append(out, i)
		}
	}
	slices.SortFunc(out[first:], func(i, j int) int {
		a, b := &offers[i], &offers[j]
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(orNever(a.Due), orNever(b.Due)), cmp.Compare(a.OfferedAt, b.OfferedAt))
	})
	return out
}

// prefixSaving returns the time that an agent with the prompt's prefix saves in
// a full batch. If offers were extended to other agents before that time had
// passed, every prefix would be spread over the fleet until no cache holds it.
func (p *Placer) prefixSaving(now time.Duration, offer *UnclaimedOffer) time.Duration {
	h, tokens := p.cache.longestKnown(now, offer.Prefix)
	if h == nil {
		return 0
	}
	return prefillsPerMiss * fullBatchSize / prefillStallDivisor * time.Duration(min(tokens, offer.PromptTokens)) * p.cfg.PrefillPerToken
}

// orNever replaces zero, which means no target, by the largest time, so that
// requests without a target are last in the order.
func orNever(due time.Duration) time.Duration {
	if due == 0 {
		return 1<<63 - 1
	}
	return due
}

package direct

import (
	"lycheepond/core/route"
	"lycheepond/core/waitq"
	"lycheepond/core/wire"
)

// poolTier identifies a tier of a pool.
type poolTier struct {
	pool string
	tier route.Tier
}

// queueCounts counts the requests that wait for slots, at this entry and at the peers.
type queueCounts struct {
	// own and peerTotals hold no zero counts.
	own, peerTotals map[poolTier]int
	// byPeer holds what each peer has reported.
	byPeer map[string]map[poolTier]int
	// unreported holds the tiers whose own count has not been reported since it changed.
	unreported map[poolTier]bool
}

func newQueueCounts() queueCounts {
	return queueCounts{
		own: make(map[poolTier]int), peerTotals: make(map[poolTier]int),
		byPeer: make(map[string]map[poolTier]int), unreported: make(map[poolTier]bool),
	}
}

// addCount adds n to a count and removes the count if it becomes zero.
func addCount(counts map[poolTier]int, t poolTier, n int) {
	counts[t] += n
	if counts[t] == 0 {
		delete(counts, t)
	}
}

// addOwn adds n to the entry's own waiting requests.
func (s *queueCounts) addOwn(t poolTier, n int) {
	addCount(s.own, t, n)
	s.unreported[t] = true
}

// applyReport applies what a peer has reported.
func (s *queueCounts) applyReport(peer string, report []wire.TierQueue) {
	if len(report) == 0 {
		return
	}
	lastCounts := s.byPeer[peer]
	if lastCounts == nil {
		lastCounts = make(map[poolTier]int)
		s.byPeer[peer] = lastCounts
	}
	for _, w := range report {
		t := poolTier{w.Pool, route.Tier{Customer: w.CustomerTier, Route: w.RouteTier}}
		addCount(s.peerTotals, t, int(w.Requests)-lastCounts[t])
		addCount(lastCounts, t, int(w.Requests)-lastCounts[t])
	}
}

// countAhead returns how many requests of the same or a higher tier wait at a peer, or at this
// entry if own is set.
func (s *queueCounts) countAhead(peer string, key poolTier, own bool) int {
	counts := s.byPeer[peer]
	if own {
		counts = s.own
	}
	n := 0
	for t, c := range counts {
		if t.pool == key.pool && t.tier.Compare(key.tier) <= 0 {
			n += c
		}
	}
	return n
}

// forgetPeer forgets what a peer has reported.
func (s *queueCounts) forgetPeer(peer string) {
	for t, n := range s.byPeer[peer] {
		addCount(s.peerTotals, t, -n)
	}
	delete(s.byPeer, peer)
}

// report returns the own counts that have changed since they were last reported, or all of
// them.
func (s *queueCounts) report(full bool) []wire.TierQueue {
	var out []wire.TierQueue
	if full {
		for t, n := range s.own {
			out = append(out, t.toWire(n))
		}
		return out
	}
	for t := range s.unreported {
		out = append(out, t.toWire(s.own[t]))
	}
	clear(s.unreported)
	return out
}

// peerReport returns what a peer has reported.
func (s *queueCounts) peerReport(peer string) []wire.TierQueue {
	var out []wire.TierQueue
	for t, n := range s.byPeer[peer] {
		out = append(out, t.toWire(n))
	}
	return out
}

func (t poolTier) toWire(n int) wire.TierQueue {
	return wire.TierQueue{Pool: t.pool, CustomerTier: t.tier.Customer, RouteTier: t.tier.Route, Requests: uint32(n)}
}

// contention returns the requests that compete with one of a tier for the free slots. own is
// how many requests of that tier wait at this entry, including that one.
func (s *queueCounts) contention(key poolTier, own, free int) waitq.Contention {
	c := waitq.Contention{OwnRequests: own, FreeSlots: free}
	for t, n := range s.peerTotals {
		if t.pool != key.pool {
			continue
		}
		switch order := t.tier.Compare(key.tier); {
		case order < 0:
			c.HigherTierRequests += n
		case order == 0:
			c.SameTierRequests += n
		}
	}
	return c
}

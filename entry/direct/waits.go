package direct

import (
	"lycheepond/core/await"
	"lycheepond/core/route"
	"lycheepond/core/wire"
)

// tierIn is a tier of a pool.
type tierIn struct {
	pool string
	tier route.Tier
}

// waits counts the requests that wait for slots, here and at the peers.
type waits struct {
	// own and others leave out what is zero.
	own, others map[tierIn]int
	// peers holds what each peer told.
	peers map[string]map[tierIn]int
	// changed holds what the peers have not been told yet.
	changed map[tierIn]bool
}

func newWaits() waits {
	return waits{
		own: make(map[tierIn]int), others: make(map[tierIn]int),
		peers: make(map[string]map[tierIn]int), changed: make(map[tierIn]bool),
	}
}

// add adds n to a count and leaves out what is zero.
func add(counts map[tierIn]int, t tierIn, n int) {
	counts[t] += n
	if counts[t] == 0 {
		delete(counts, t)
	}
}

// count notes that n more of the entry's own requests wait.
func (s *waits) count(t tierIn, n int) {
	add(s.own, t, n)
	s.changed[t] = true
}

// heard takes in what a peer told.
func (s *waits) heard(peer string, told []wire.TierQueue) {
	if len(told) == 0 {
		return
	}
	known := s.peers[peer]
	if known == nil {
		known = make(map[tierIn]int)
		s.peers[peer] = known
	}
	for _, w := range told {
		t := tierIn{w.Pool, route.Tier{Customer: w.CustomerTier, Route: w.RouteTier}}
		add(s.others, t, int(w.Requests)-known[t])
		add(known, t, int(w.Requests)-known[t])
	}
}

// ahead returns how many requests of a tier or a higher one wait at a peer, or here if
// own is set.
func (s *waits) ahead(peer string, in tierIn, own bool) int {
	counts := s.peers[peer]
	if own {
		counts = s.own
	}
	n := 0
	for t, c := range counts {
		if t.pool == in.pool && t.tier.Compare(in.tier) <= 0 {
			n += c
		}
	}
	return n
}

// drop forgets what a peer told.
func (s *waits) drop(peer string) {
	for t, n := range s.peers[peer] {
		add(s.others, t, -n)
	}
	delete(s.peers, peer)
}

// tell returns what has changed since it was last told, or all of it.
func (s *waits) tell(all bool) []wire.TierQueue {
	var out []wire.TierQueue
	if all {
		for t, n := range s.own {
			out = append(out, t.waiting(n))
		}
		return out
	}
	for t := range s.changed {
		out = append(out, t.waiting(s.own[t]))
	}
	clear(s.changed)
	return out
}

// of returns what a peer told.
func (s *waits) of(peer string) []wire.TierQueue {
	var out []wire.TierQueue
	for t, n := range s.peers[peer] {
		out = append(out, t.waiting(n))
	}
	return out
}

func (t tierIn) waiting(n int) wire.TierQueue {
	return wire.TierQueue{Pool: t.pool, CustomerTier: t.tier.Customer, RouteTier: t.tier.Route, Requests: uint32(n)}
}

// crowd returns what competes with a request of a tier that joins the other
// requests of its tier here.
func (s *waits) crowd(in tierIn, own, free int) await.Contention {
	c := await.Contention{OwnSameTier: own, FreeSlots: free}
	for t, n := range s.others {
		if t.pool != in.pool {
			continue
		}
		switch order := t.tier.Compare(in.tier); {
		case order < 0:
			c.HigherTier += n
		case order == 0:
			c.SameTier += n
		}
	}
	return c
}

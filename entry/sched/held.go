package sched

import (
	"slices"
	"sync"

	"lycheepond/entry/agents"
)

// holders is the agents that hold a request's offer. The request's owner
// changes it and the pool reads it.
type holders struct {
	mu    sync.Mutex
	peers []*agents.Peer
}

func (h *holders) add(p *agents.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers = append(h.peers, p)
}

func (h *holders) remove(p *agents.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.peers, p); i >= 0 {
		h.peers = slices.Delete(h.peers, i, i+1)
	}
}

func (h *holders) has(p *agents.Peer) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Contains(h.peers, p)
}

func (h *holders) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.peers)
}

// clear empties the set and returns what was in it.
func (h *holders) clear() []*agents.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.peers
	h.peers = nil
	return out
}

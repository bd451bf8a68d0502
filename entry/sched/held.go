package sched

import (
	"slices"
	"sync"

	"lycheepond/entry/agents"
)

// peerSet is the set of agents that hold a request's offer. The request's goroutine
// changes it and the pool's goroutine reads it.
type peerSet struct {
	mu    sync.Mutex
	peers []*agents.Peer
}

func (h *peerSet) add(p *agents.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers = append(h.peers, p)
}

func (h *peerSet) remove(p *agents.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.peers, p); i >= 0 {
		h.peers = slices.Delete(h.peers, i, i+1)
	}
}

func (h *peerSet) has(p *agents.Peer) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Contains(h.peers, p)
}

func (h *peerSet) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.peers)
}

// clear empties the set and returns its former members.
func (h *peerSet) clear() []*agents.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.peers
	h.peers = nil
	return out
}

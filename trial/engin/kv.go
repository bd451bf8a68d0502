package engin

import "container/list"

// memory is the KV memory: private blocks of running sequences and blocks of
// prompt prefixes that are shared and stay cached until they are evicted.
type memory struct {
	total int
	// private counts the blocks that belong to one sequence alone.
	private int
	cached  map[uint64]*block
	// idle holds the cached blocks that no sequence uses, least recently used
	// first.
	idle  *list.List
	event func(kind string, hash uint64)
}

type block struct {
	hash uint64
	refs int
	// at is the block's place in idle; nil while refs > 0.
	at *list.Element
}

// The kinds of cache events.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
)

func newMemory(total int, event func(kind string, hash uint64)) *memory {
	return &memory{total: total, cached: make(map[uint64]*block), idle: list.New(), event: event}
}

// used counts the blocks that running sequences need.
func (m *memory) used() int { return m.private + len(m.cached) - m.idle.Len() }

// room counts the blocks that can be had by evicting.
func (m *memory) room() int { return m.total - m.used() }

// match counts how many leading blocks of a prompt are cached.
func (m *memory) match(hashes []uint64) int {
	for i, h := range hashes {
		if m.cached[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// hold marks cached blocks as used by one more sequence.
func (m *memory) hold(hashes []uint64) {
	for _, h := range hashes {
		b := m.cached[h]
		if b.at != nil {
			m.idle.Remove(b.at)
			b.at = nil
		}
		b.refs++
	}
}

// drop undoes hold. Blocks that nobody uses stay cached, the deepest first to
// be evicted.
func (m *memory) drop(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := m.cached[hashes[i]]
		b.refs--
		if b.refs == 0 {
			b.at = m.idle.PushBack(b)
		}
	}
}

// take reserves n private blocks and evicts for them; false if there is no
// room.
func (m *memory) take(n int) bool {
	if n > m.room() {
		return false
	}
	for m.total-m.private-len(m.cached) < n {
		b := m.idle.Remove(m.idle.Front()).(*block)
		delete(m.cached, b.hash)
		m.event(eventEvicted, b.hash)
	}
	m.private += n
	return true
}

// give returns n private blocks.
func (m *memory) give(n int) { m.private -= n }

// commit turns one private block into the cached block of hash, held once.
func (m *memory) commit(hash uint64) {
	m.private--
	if m.cached[hash] != nil {
		m.hold([]uint64{hash})
		return
	}
	m.cached[hash] = &block{hash: hash, refs: 1}
	m.event(eventStored, hash)
}

// flush forgets every idle block, as new weights do.
func (m *memory) flush() {
	for m.idle.Len() > 0 {
		b := m.idle.Remove(m.idle.Front()).(*block)
		delete(m.cached, b.hash)
		m.event(eventEvicted, b.hash)
	}
}

// Constants of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// bytesPerToken is what the stand-in takes for one token of text.
const bytesPerToken = 4

// tokens returns the number of tokens of a text.
func tokens(text string) int { return max(1, (len(text)+bytesPerToken-1)/bytesPerToken) }

// chain hashes a prompt block by block; each hash covers everything before it.
func chain(prompt string, blockTokens int) []uint64 {
	size := blockTokens * bytesPerToken
	out := make([]uint64, 0, len(prompt)/size)
	h := uint64(fnvOffset)
	for at := 0; at+size <= len(prompt); at += size {
		for i := at; i < at+size; i++ {
			h = (h ^ uint64(prompt[i])) * fnvPrime
		}
		out = append(out, h)
	}
	return out
}

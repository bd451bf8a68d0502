package simeng

import "container/list"

// kvMemory is the KV memory. It consists of private blocks, each of one running
// sequence, and of cached blocks of prompt prefixes, which sequences share and
// which stay until they are evicted. Sizes are in blocks.
type kvMemory struct {
	totalBlocks int
	// privateBlocks is the number of private blocks.
	privateBlocks int
	// cachedBlocks holds the cached blocks by hash.
	cachedBlocks map[uint64]*cachedBlock
	// unused holds the cached blocks that no sequence uses, least recently used
	// first.
	unused *list.List
	// onEvent is called for every block that is cached or evicted.
	onEvent func(kind string, hash uint64)
}

// cachedBlock is a cached block. refs is the number of sequences that use it.
type cachedBlock struct {
	hash uint64
	refs int
	// unusedElem is the block's element in the list unused; nil while refs > 0.
	unusedElem *list.Element
}

// Types of cache events.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
)

func newKVMemory(totalBlocks int, onEvent func(kind string, hash uint64)) *kvMemory {
	return &kvMemory{totalBlocks: totalBlocks, cachedBlocks: make(map[uint64]*cachedBlock), unused: list.New(), onEvent: onEvent}
}

// usedBlocks returns the number of blocks that running sequences use.
func (m *kvMemory) usedBlocks() int { return m.privateBlocks + len(m.cachedBlocks) - m.unused.Len() }

// availableBlocks returns the number of blocks that are free or can be evicted.
func (m *kvMemory) availableBlocks() int { return m.totalBlocks - m.usedBlocks() }

// cachedPrefixLen returns the number of leading blocks of a prompt that are
// cached.
func (m *kvMemory) cachedPrefixLen(hashes []uint64) int {
	for i, h := range hashes {
		if m.cachedBlocks[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// acquire adds a reference to each of the cached blocks.
func (m *kvMemory) acquire(hashes []uint64) {
	for _, h := range hashes {
		b := m.cachedBlocks[h]
		if b.unusedElem != nil {
			m.unused.Remove(b.unusedElem)
			b.unusedElem = nil
		}
		b.refs++
	}
}

// release removes a reference from each of the cached blocks. Blocks without
// references stay cached. Of these, the last block of the prefix is evicted
// first.
func (m *kvMemory) release(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := m.cachedBlocks[hashes[i]]
		b.refs--
		if b.refs == 0 {
			b.unusedElem = m.unused.PushBack(b)
		}
	}
}

// reserve reserves n private blocks and evicts unused cached blocks as needed. It
// returns false if there is not enough memory.
func (m *kvMemory) reserve(n int) bool {
	if n > m.availableBlocks() {
		return false
	}
	for m.totalBlocks-m.privateBlocks-len(m.cachedBlocks) < n {
		b := m.unused.Remove(m.unused.Front()).(*cachedBlock)
		delete(m.cachedBlocks, b.hash)
		m.onEvent(eventEvicted, b.hash)
	}
	m.privateBlocks += n
	return true
}

// free frees n private blocks.
func (m *kvMemory) free(n int) { m.privateBlocks -= n }

// commit turns a private block into a cached block with one reference, or adds a
// reference if the block is cached already.
func (m *kvMemory) commit(hash uint64) {
	m.privateBlocks--
	if m.cachedBlocks[hash] != nil {
		m.acquire([]uint64{hash})
		return
	}
	m.cachedBlocks[hash] = &cachedBlock{hash: hash, refs: 1}
	m.onEvent(eventStored, hash)
}

// flush evicts all unused cached blocks. It is called when the weights change.
func (m *kvMemory) flush() {
	for m.unused.Len() > 0 {
		b := m.unused.Remove(m.unused.Front()).(*cachedBlock)
		delete(m.cachedBlocks, b.hash)
		m.onEvent(eventEvicted, b.hash)
	}
}

// Constants of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// bytesPerToken is the length of text, in bytes, that counts as one token.
const bytesPerToken = 4

// countTokens returns the number of tokens of a text.
func countTokens(text string) int { return max(1, (len(text)+bytesPerToken-1)/bytesPerToken) }

// hashBlocks returns a hash for each full block of a prompt. Each hash covers the
// prompt from its start to the end of the block.
func hashBlocks(prompt string, blockTokens int) []uint64 {
	size := blockTokens * bytesPerToken
	out := make([]uint64, 0, len(prompt)/size)
	hash := uint64(fnvOffset)
	for start := 0; start+size <= len(prompt); start += size {
		for i := start; i < start+size; i++ {
			hash = (hash ^ uint64(prompt[i])) * fnvPrime
		}
		out = append(out, hash)
	}
	return out
}

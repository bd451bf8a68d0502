// Package memory bounds how much memory the answers that a process holds take together.
//
// A bound on each answer is not enough: with many callers at once, endpoints that send without
// end would fill the memory, and the process would end together with all other requests. A bound
// on the sum alone would let the first endless answers take everything and leave nothing to the
// short ones. Here an answer may grow only while it holds less than what is still free. Some
// memory is therefore always free for answers that begin, and the longest ones are the first that
// may not grow.
//
// The package uses no network, clock or random source.
package memory

import "sync"

// Budget is the memory that answers may take. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu sync.Mutex
	// held is the sum of what was granted and not released, from 0 to limit.
	held int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Grow grants n more bytes to an answer that holds own bytes, and reports whether it did. share
// scales what the answer may hold in relation to what is free.
func (b *Budget) Grow(own, n int64, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.limit - b.held - n
	if free < 0 || float64(own+n) > share*float64(free+n) {
		return false
	}
	b.held += n
	return true
}

// Release returns n granted bytes.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// Fits reports whether an answer of n bytes could be granted as a whole now.
func (b *Budget) Fits(n int64, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.limit - b.held
	return n <= free && float64(n) <= share*float64(free)
}

// Held returns how many bytes are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

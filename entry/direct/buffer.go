package direct

import (
	"io"
	"sync"

	"lycheepond/core/memory"
)

const (
	// unbudgetedBytes is how much of each answer is held regardless of the memory in use. It is
	// no more than what the request takes besides.
	unbudgetedBytes = 8 << 10
	// blockBytes is the size of the blocks that hold the rest.
	blockBytes = 32 << 10
	// maxBufferedBytes bounds how many bytes of one answer are buffered until it is complete.
	maxBufferedBytes = 16 << 20
)

// freeBlocks holds the blocks that are not in use, so that the blocks of an answer that has ended do
// not take memory until they are collected.
var freeBlocks = newFreeList(func() *[blockBytes]byte { return new([blockBytes]byte) })

// freeList holds values for reuse. It is safe for concurrent use.
type freeList[T any] struct{ pool sync.Pool }

func newFreeList[T any](create func() T) *freeList[T] {
	return &freeList[T]{sync.Pool{New: func() any { return create() }}}
}

func (f *freeList[T]) get() T  { return f.pool.Get().(T) }
func (f *freeList[T]) put(v T) { f.pool.Put(v) }

// answerBuffer holds the beginning of an answer's body. It belongs to one goroutine.
type answerBuffer struct {
	budget *memory.Budget
	// share scales what the answer may take of the budget.
	share float64
	// first holds the first bytes, blocks the following ones. All of them are full except the
	// last one, which holds lastLen bytes if there is one.
	first   []byte
	blocks  []*[blockBytes]byte
	lastLen int
}

// newAnswerBuffer returns an empty buffer for a body of the given length, -1 if it is not known.
func newAnswerBuffer(budget *memory.Budget, share float64, length int64) *answerBuffer {
	size := int64(unbudgetedBytes)
	if length >= 0 {
		// One more byte, for the read that reports the end.
		size = min(size, length+1)
	}
	return &answerBuffer{budget: budget, share: share, first: make([]byte, 0, size)}
}

// fits reports whether a body of the given length could be held now, as far as that is known.
func (b *answerBuffer) fits(length int64) bool {
	return length <= maxBufferedBytes && (length <= unbudgetedBytes || b.budget.Fits(length, b.share))
}

// size returns how many bytes are held.
func (b *answerBuffer) size() int64 {
	if len(b.blocks) == 0 {
		return int64(len(b.first))
	}
	return int64(len(b.first) + (len(b.blocks)-1)*blockBytes + b.lastLen)
}

// readFrom reads r to its end, or until no more may be held. isFull is set in the second case.
func (b *answerBuffer) readFrom(r io.Reader) (isFull bool, err error) {
	for {
		free := b.free()
		if len(free) == 0 {
			return true, nil
		}
		n, err := r.Read(free)
		b.advance(n)
		if err == io.EOF {
			return false, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// free returns the memory for the next bytes, nil if no more may be held.
func (b *answerBuffer) free() []byte {
	if len(b.blocks) == 0 && len(b.first) < cap(b.first) {
		return b.first[len(b.first):cap(b.first)]
	}
	if len(b.blocks) == 0 || b.lastLen == blockBytes {
		if b.size()+blockBytes > maxBufferedBytes || !b.budget.Grow(b.budgeted(), blockBytes, b.share) {
			return nil
		}
		b.blocks, b.lastLen = append(b.blocks, freeBlocks.get()), 0
	}
	return b.blocks[len(b.blocks)-1][b.lastLen:]
}

// advance records that n bytes were written to what free has returned.
func (b *answerBuffer) advance(n int) {
	if len(b.blocks) == 0 {
		b.first = b.first[:len(b.first)+n]
		return
	}
	b.lastLen += n
}

// budgeted returns how many bytes of the budget the buffer holds.
func (b *answerBuffer) budgeted() int64 { return int64(len(b.blocks)) * blockBytes }

// writeTo passes the bytes to write in order, and releases them as it goes. It stops at the first
// error and returns it.
func (b *answerBuffer) writeTo(write func([]byte) error) error {
	err := write(b.first)
	b.first = nil
	for err == nil && len(b.blocks) > 0 {
		n := blockBytes
		if len(b.blocks) == 1 {
			n = b.lastLen
		}
		err = write(b.blocks[0][:n])
		b.releaseFirst()
	}
	return err
}

func (b *answerBuffer) releaseFirst() {
	freeBlocks.put(b.blocks[0])
	b.blocks = b.blocks[1:]
	b.budget.Release(blockBytes)
}

// release releases what is left in the buffer.
func (b *answerBuffer) release() {
	b.first = nil
	for len(b.blocks) > 0 {
		b.releaseFirst()
	}
}

// eventBuffer holds the unfinished event of a stream. It belongs to one goroutine.
type eventBuffer struct {
	budget *memory.Budget
	share  float64
	// bytes is what is held: an unfinished event, and at times the whole events around it that
	// arrived with it. Its capacity beyond unbudgetedBytes is granted by the budget.
	bytes []byte
}

// append appends p, and reports false if that may not be held.
func (b *eventBuffer) append(p []byte) bool {
	need := len(b.bytes) + len(p)
	if need > cap(b.bytes) {
		const maxBytes = maxEventBytes + relayReadBytes
		size := min(max(2*cap(b.bytes), need, unbudgetedBytes), maxBytes)
		if need > maxBytes || !b.grow(size) {
			return false
		}
	}
	b.bytes = append(b.bytes, p...)
	return true
}

// grow extends the capacity to size, and reports false if the budget does not allow it.
func (b *eventBuffer) grow(size int) bool {
	if more := int64(size) - max(int64(cap(b.bytes)), unbudgetedBytes); more > 0 && !b.budget.Grow(b.budgeted(), more, b.share) {
		return false
	}
	b.bytes = append(make([]byte, 0, size), b.bytes...)
	return true
}

// budgeted returns how many bytes of the budget the buffer holds.
func (b *eventBuffer) budgeted() int64 { return max(int64(cap(b.bytes))-unbudgetedBytes, 0) }

// keep keeps rest, the end of what is held, and drops what is before it.
func (b *eventBuffer) keep(rest []byte) {
	if cap(b.bytes) <= unbudgetedBytes || len(rest) > unbudgetedBytes {
		b.bytes = append(b.bytes[:0], rest...)
		return
	}
	released := b.budgeted()
	b.bytes = append(make([]byte, 0, unbudgetedBytes), rest...)
	b.budget.Release(released)
}

// release releases what is held.
func (b *eventBuffer) release() {
	b.budget.Release(b.budgeted())
	b.bytes = nil
}

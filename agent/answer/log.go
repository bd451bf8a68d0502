// Package answer keeps the answer of one run while it arrives and for some time
// after. A new link, or a retry with the same idempotency key, gets the answer
// from the first chunk that it lacks.
//
// The producer appends chunks, and each follower sends them to one link. A slow
// follower blocks the producer when MaxAnswerBytes are held; without followers
// the oldest chunks are dropped instead.
package answer

import (
	"context"
	"hash/crc32"
	"sync"
	"sync/atomic"

	"lycheepond/core/wire"
)

// Limits of the bytes held in memory. They follow from the 32 MB that an agent
// may use.
const (
	// MaxAnswerBytes is the limit of one answer in bytes.
	MaxAnswerBytes = 1 << 20
	// MaxTotalBytes is the limit of all answers of a process in bytes. While it is
	// exceeded, MaxReducedBytes applies to each answer instead of MaxAnswerBytes.
	MaxTotalBytes = 16 << 20
	// MaxReducedBytes is the limit of one answer in bytes while MaxTotalBytes is
	// exceeded.
	MaxReducedBytes = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Budget counts the bytes that all logs of a process hold.
type Budget struct{ used atomic.Int64 }

// Used returns the number of bytes held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Exceeded reports whether more than MaxTotalBytes are held.
func (b *Budget) Exceeded() bool { return b.used.Load() > MaxTotalBytes }

// Log holds the chunks of one answer. It is safe for concurrent use.
type Log struct {
	budget *Budget
	mu     sync.Mutex
	// changed is closed and replaced at every change.
	changed chan struct{}
	status  uint16
	header  []wire.Field
	hasHead bool
	// chunks holds the chunks firstSeq, firstSeq+1, ... that have not been dropped.
	chunks   [][]byte
	firstSeq uint32
	// heldBytes is the number of bytes in chunks.
	heldBytes int
	// totalBytes and crc cover all chunks that were ever appended.
	totalBytes uint64
	crc        uint32
	// end is set once; nothing is appended after it.
	end *wire.End
	// nextSeqs maps each follower to the sequence number of its next chunk.
	nextSeqs map[*Follower]uint32
}

// New returns an empty log.
func New(b *Budget) *Log {
	return &Log{budget: b, changed: make(chan struct{}), nextSeqs: make(map[*Follower]uint32)}
}

func (l *Log) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetHead sets the status and the headers of the answer. Only the first call
// before Close has an effect.
func (l *Log) SetHead(status int, header []wire.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasHead || l.end != nil {
		return
	}
	l.status, l.header, l.hasHead = uint16(status), header, true
	l.notifyChange()
}

// HasHead reports whether the status and the headers have been set.
func (l *Log) HasHead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasHead
}

// Append adds the next chunk, which the log then owns. It waits while the log is
// full of chunks that a follower still has to send. It returns an error when ctx
// ends or the answer has already ended.
func (l *Log) Append(ctx context.Context, data []byte) error {
	l.mu.Lock()
	for !l.makeRoom(len(data)) {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		l.mu.Lock()
	}
	defer l.mu.Unlock()
	if l.end != nil {
		return context.Canceled
	}
	l.chunks = append(l.chunks, data)
	l.addHeldBytes(len(data))
	l.totalBytes += uint64(len(data))
	l.crc = crc32.Update(l.crc, castagnoli, data)
	l.notifyChange()
	return nil
}

func (l *Log) addHeldBytes(n int) {
	l.heldBytes += n
	l.budget.used.Add(int64(n))
}

// makeRoom drops chunks that every follower has sent until n bytes fit. It
// reports whether they fit.
func (l *Log) makeRoom(n int) bool {
	limit := MaxAnswerBytes
	if l.budget.Exceeded() {
		limit = MaxReducedBytes
	}
	for l.heldBytes > 0 && l.heldBytes+n > limit {
		for _, nextSeq := range l.nextSeqs {
			if nextSeq <= l.firstSeq {
				return false
			}
		}
		l.dropOldest()
	}
	return true
}

func (l *Log) dropOldest() {
	l.addHeldBytes(-len(l.chunks[0]))
	l.chunks[0] = nil
	l.chunks = l.chunks[1:]
	l.firstSeq++
}

// Close ends the answer. Only the first call has an effect.
func (l *Log) Close(e wire.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end != nil {
		return
	}
	e.Chunks = l.firstSeq + uint32(len(l.chunks))
	e.Bytes, e.CRC = l.totalBytes, l.crc
	l.end = &e
	l.notifyChange()
}

// Complete reports whether no chunk has been dropped.
func (l *Log) Complete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstSeq == 0
}

// HasFollowers reports whether the log has a follower.
func (l *Log) HasFollowers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.nextSeqs) > 0
}

// DropChunks drops all chunks held. A later follower gets an End with
// ReasonTooLong.
func (l *Log) DropChunks() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.chunks) == 0 {
		return
	}
	l.firstSeq += uint32(len(l.chunks))
	l.addHeldBytes(-l.heldBytes)
	l.chunks = nil
	l.notifyChange()
}

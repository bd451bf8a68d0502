// Package answer keeps the answer of one run while it comes and for a while
// after, so that a new link, or a retry with the same idempotency key, gets it
// from the piece that it lacks.
//
// The producer appends, each follower sends to one link. A follower that lags
// holds the producer back at MaxRun; without followers the oldest pieces go.
package answer

import (
	"context"
	"hash/crc32"
	"sync"
	"sync/atomic"

	"lycheepond/core/wire"
)

// Limits of what is kept. They follow from the budget of 32 MB a node.
const (
	// MaxRun is what one answer may hold in bytes.
	MaxRun = 1 << 20
	// MaxAll is what all answers of a process may hold before each is cut down
	// to MaxTight.
	MaxAll = 16 << 20
	// MaxTight is what one answer may hold when MaxAll is exceeded.
	MaxTight = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Budget counts the bytes that all logs of a process hold.
type Budget struct{ used atomic.Int64 }

// Used returns the bytes held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Over reports whether more than MaxAll is held.
func (b *Budget) Over() bool { return b.used.Load() > MaxAll }

// Log is one answer. It is safe for concurrent use.
type Log struct {
	budget *Budget
	mu     sync.Mutex
	// wake is closed and replaced with every change.
	wake   chan struct{}
	status uint16
	header []wire.Field
	headed bool
	// chunks are the pieces base, base+1, ... that are still held.
	chunks [][]byte
	base   uint32
	held   int
	bytes  uint64
	crc    uint32
	// end is set once and last; nothing is appended after it.
	end *wire.End
	// at holds the next piece of each follower.
	at map[*Follower]uint32
}

// New returns an empty log.
func New(b *Budget) *Log {
	return &Log{budget: b, wake: make(chan struct{}), at: make(map[*Follower]uint32)}
}

func (l *Log) changed() {
	close(l.wake)
	l.wake = make(chan struct{})
}

// SetHead sets the beginning of the answer.
func (l *Log) SetHead(status int, header []wire.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.headed || l.end != nil {
		return
	}
	l.status, l.header, l.headed = uint16(status), header, true
	l.changed()
}

// Headed reports whether the answer has begun.
func (l *Log) Headed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.headed
}

// Append adds the next piece, which the log owns from then on. It waits while
// the log is full of pieces that a follower has yet to send.
func (l *Log) Append(ctx context.Context, data []byte) error {
	l.mu.Lock()
	for !l.room(len(data)) {
		wake := l.wake
		l.mu.Unlock()
		select {
		case <-wake:
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
	l.hold(len(data))
	l.bytes += uint64(len(data))
	l.crc = crc32.Update(l.crc, castagnoli, data)
	l.changed()
	return nil
}

func (l *Log) hold(n int) {
	l.held += n
	l.budget.used.Add(int64(n))
}

// room drops what every follower has sent until n bytes fit.
func (l *Log) room(n int) bool {
	limit := MaxRun
	if l.budget.Over() {
		limit = MaxTight
	}
	for l.held > 0 && l.held+n > limit {
		for _, at := range l.at {
			if at <= l.base {
				return false
			}
		}
		l.dropFirst()
	}
	return true
}

func (l *Log) dropFirst() {
	l.hold(-len(l.chunks[0]))
	l.chunks[0] = nil
	l.chunks = l.chunks[1:]
	l.base++
}

// Close ends the answer. Only the first call counts.
func (l *Log) Close(e wire.End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end != nil {
		return
	}
	e.Chunks = l.base + uint32(len(l.chunks))
	e.Bytes, e.CRC = l.bytes, l.crc
	l.end = &e
	l.changed()
}

// Complete reports whether the log still holds the answer from its first piece.
func (l *Log) Complete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.base == 0
}

// Followed reports whether a follower is at work.
func (l *Log) Followed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.at) > 0
}

// Drop gives the held pieces up. A later follower hears that they are gone.
func (l *Log) Drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.chunks) == 0 {
		return
	}
	l.base += uint32(len(l.chunks))
	l.hold(-l.held)
	l.chunks = nil
	l.changed()
}

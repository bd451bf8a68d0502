package answer

import (
	"bytes"
	"context"

	"lycheepond/core/wire"
)

// Ended reports whether the answer has ended.
func (l *Log) Ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end != nil
}

// Export writes the answer into r. It returns false if the answer has not ended.
// If some chunks are no longer held, it sets r.AnswerDropped instead.
func (l *Log) Export(r *wire.KeyRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end == nil {
		return false
	}
	if l.firstSeq > 0 {
		r.AnswerDropped = true
		return true
	}
	if l.hasHead {
		r.Status, r.Header = l.status, l.header
	}
	r.Body = bytes.Join(l.chunks, nil)
	r.Complete, r.Reason, r.Usage = l.end.Complete, l.end.Reason, l.end.Usage
	return true
}

// Import returns the log of an answer that another process exported. The body
// becomes a single chunk. If the body would exceed the budget, it is dropped, and a
// follower gets an End with ReasonTooLong.
func Import(b *Budget, r *wire.KeyRecord) *Log {
	l := New(b)
	if r.AnswerDropped || b.Used()+int64(len(r.Body)) > MaxTotalBytes {
		l.firstSeq = 1
		l.Close(wire.End{Reason: wire.ReasonTooLong})
		return l
	}
	if r.Status != 0 {
		l.SetHead(int(r.Status), r.Header)
	}
	if len(r.Body) > 0 {
		// An empty log accepts a chunk of any size without waiting.
		_ = l.Append(context.Background(), r.Body)
	}
	l.Close(wire.End{Complete: r.Complete, Reason: r.Reason, Usage: r.Usage})
	return l
}

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

// Export writes an answer that has ended into r, and returns false if it has
// not. An answer of which pieces are no longer held is marked as gone.
func (l *Log) Export(r *wire.KeyRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end == nil {
		return false
	}
	if l.base > 0 {
		r.AnswerDropped = true
		return true
	}
	if l.headed {
		r.Status, r.Header = l.status, l.header
	}
	r.Body = bytes.Join(l.chunks, nil)
	r.Complete, r.Reason, r.Usage = l.end.Complete, l.end.Reason, l.end.Usage
	return true
}

// Import returns the log of an answer that another process kept. Its pieces
// are one now. What would exceed the budget is taken in as gone.
func Import(b *Budget, r *wire.KeyRecord) *Log {
	l := New(b)
	if r.AnswerDropped || b.Used()+int64(len(r.Body)) > MaxAll {
		l.base = 1
		l.Close(wire.End{Reason: wire.ReasonTooLong})
		return l
	}
	if r.Status != 0 {
		l.SetHead(int(r.Status), r.Header)
	}
	if len(r.Body) > 0 {
		// An empty log takes any piece without waiting.
		_ = l.Append(context.Background(), r.Body)
	}
	l.Close(wire.End{Complete: r.Complete, Reason: r.Reason, Usage: r.Usage})
	return l
}

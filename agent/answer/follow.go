package answer

import (
	"context"

	"lycheepond/core/ident"
	"lycheepond/core/wire"
)

// Follower sends one answer under one ID to one link.
type Follower struct {
	// ID is the request ID in the messages to the receiver.
	ID ident.ID
	// FromSeq is the sequence number of the first chunk to send.
	FromSeq uint32
	// Send passes a message to the link and waits while the link's queue is full.
	Send func(ctx context.Context, m wire.Message) error
	// Load returns the endpoint's load for the End message.
	Load func() wire.Load
}

// step holds the messages that a follower sends next, copied from the log under
// its lock.
type step struct {
	head     *wire.Head
	chunks   [][]byte
	firstSeq uint32
	end      *wire.End
	changed  <-chan struct{}
}

// Follow sends the answer to f. It returns nil when the end has been sent, or an
// error when the link fails or ctx ends.
func (l *Log) Follow(ctx context.Context, f *Follower) error {
	l.mu.Lock()
	l.nextSeqs[f] = f.FromSeq
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.nextSeqs, f)
		l.notifyChange()
		l.mu.Unlock()
	}()
	headSent := false
	nextSeq := f.FromSeq
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		s := l.nextStep(f, headSent, nextSeq)
		if s.head != nil {
			s.head.ID = f.ID
			if err := f.Send(ctx, s.head); err != nil {
				return err
			}
			headSent = true
		}
		for i, data := range s.chunks {
			if err := f.Send(ctx, &wire.Chunk{ID: f.ID, Seq: s.firstSeq + uint32(i), Data: data}); err != nil {
				return err
			}
			nextSeq = s.firstSeq + uint32(i) + 1
		}
		if s.end != nil {
			s.end.ID, s.end.Load = f.ID, f.Load()
			return f.Send(ctx, s.end)
		}
		if s.head != nil || len(s.chunks) > 0 {
			continue
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// maxBatchChunks is the largest number of chunks that a follower copies at once.
const maxBatchChunks = 32

// nextStep records that f has sent all chunks before nextSeq, and returns the
// messages that f sends next.
func (l *Log) nextStep(f *Follower, headSent bool, nextSeq uint32) step {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextSeqs[f] != nextSeq {
		l.nextSeqs[f] = nextSeq
		l.notifyChange()
	}
	s := step{changed: l.changed}
	if l.hasHead && !headSent {
		s.head = &wire.Head{Status: l.status, Header: l.header}
	}
	if nextSeq < l.firstSeq {
		s.end = &wire.End{Chunks: l.firstSeq, Bytes: l.totalBytes, Reason: wire.ReasonTooLong}
		return s
	}
	if endSeq := l.firstSeq + uint32(len(l.chunks)); nextSeq < endSeq {
		n := min(endSeq-nextSeq, maxBatchChunks)
		from := nextSeq - l.firstSeq
		s.firstSeq = nextSeq
		s.chunks = append(s.chunks, l.chunks[from:from+n]...)
		return s
	}
	if l.end != nil {
		e := *l.end
		s.end = &e
	}
	return s
}

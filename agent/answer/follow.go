package answer

import (
	"context"

	"lycheepond/core/ident"
	"lycheepond/core/wire"
)

// Follower sends one answer under one ID to one link.
type Follower struct {
	// ID is the request that the receiver knows the answer by.
	ID ident.ID
	// From is the first piece to send.
	From uint32
	// Send hands a message to the link and waits for room.
	Send func(ctx context.Context, m wire.Message) error
	// Load returns what the End says of the endpoint.
	Load func() wire.Load
}

// step is what a follower does next, taken from the log under its lock.
type step struct {
	head   *wire.Head
	chunks [][]byte
	first  uint32
	end    *wire.End
	wake   <-chan struct{}
}

// Follow sends the answer until its end has been sent, the link fails or ctx
// ends.
func (l *Log) Follow(ctx context.Context, f *Follower) error {
	l.mu.Lock()
	l.at[f] = f.From
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.at, f)
		l.changed()
		l.mu.Unlock()
	}()
	headed := false
	next := f.From
	for {
		if err := ctx.Err(); err != nil {
			return err
		}
		s := l.next(f, headed, next)
		if s.head != nil {
			s.head.ID = f.ID
			if err := f.Send(ctx, s.head); err != nil {
				return err
			}
			headed = true
		}
		for i, data := range s.chunks {
			if err := f.Send(ctx, &wire.Chunk{ID: f.ID, Seq: s.first + uint32(i), Data: data}); err != nil {
				return err
			}
			next = s.first + uint32(i) + 1
		}
		if s.end != nil {
			s.end.ID, s.end.Load = f.ID, f.Load()
			return f.Send(ctx, s.end)
		}
		if s.head != nil || len(s.chunks) > 0 {
			continue
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// maxBatch is how many pieces a follower takes at once.
const maxBatch = 32

func (l *Log) next(f *Follower, headed bool, next uint32) step {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at[f] != next {
		l.at[f] = next
		l.changed()
	}
	s := step{wake: l.wake}
	if l.headed && !headed {
		s.head = &wire.Head{Status: l.status, Header: l.header}
	}
	if next < l.base {
		s.end = &wire.End{Chunks: l.base, Bytes: l.bytes, Reason: wire.ReasonTooLong}
		return s
	}
	if have := l.base + uint32(len(l.chunks)); next < have {
		n := min(have-next, maxBatch)
		from := next - l.base
		s.first = next
		s.chunks = append(s.chunks, l.chunks[from:from+n]...)
		return s
	}
	if l.end != nil {
		e := *l.end
		s.end = &e
	}
	return s
}

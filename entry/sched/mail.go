package sched

import (
	"sync"

	"lycheepond/core/wire"
	"lycheepond/entry/agents"
)

// maxMailBytes bounds the pieces of an answer that wait for a slow caller. The
// link's reader can't wait for one caller without holding up all others, so
// beyond this the request ends with an error.
const maxMailBytes = 4 << 20

// event is what a request's owner has to react to: a message from an agent, or
// what kind says when msg is nil.
type event struct {
	peer *agents.Peer
	// link is the link that the event came over, so that events of a former
	// incarnation are told from those of the present one.
	inc  uint64
	msg  wire.Message
	kind eventKind
}

type eventKind uint8

const (
	eventMessage eventKind = iota
	eventUp
	eventDown
	// eventWider: the pool proposes to offer to peer too.
	eventWider
	// eventWake: the request's timer went off.
	eventWake
	// eventDeadline: the caller's deadline passed.
	eventDeadline
	// eventGone: the caller hung up.
	eventGone
	// eventEvict: the entry's memory is needed for a higher tier.
	eventEvict
)

// mailbox joins links and pools to the owner of a request.
type mailbox struct {
	mu     sync.Mutex
	events []event
	// bytes is the sum of all chunks in events, at most maxMailBytes.
	bytes int
	// over is set for good once a chunk had to be dropped.
	over  bool
	ready chan struct{}
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

func (b *mailbox) put(e event) {
	b.mu.Lock()
	if c, ok := e.msg.(*wire.Chunk); ok {
		if b.bytes+len(c.Data) > maxMailBytes {
			b.over = true
		}
		b.bytes += len(c.Data)
	}
	if !b.over || e.kind != eventMessage {
		b.events = append(b.events, e)
	}
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take returns what waits, in order, in exchange for an empty slice to reuse.
func (b *mailbox) take(spare []event) ([]event, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.events
	b.events, b.bytes = spare[:0], 0
	return out, b.over
}

package sched

import (
	"sync"

	"lycheepond/core/wire"
	"lycheepond/entry/agents"
)

// maxMailboxBytes bounds the bytes of an answer that wait for a slow caller. The
// link's reader can't wait for one caller without delaying all others, so a request
// that exceeds the bound ends with an error.
const maxMailboxBytes = 4 << 20

// event is something that a request's goroutine must handle: a message from an
// agent, or the event that kind names if msg is nil.
type event struct {
	peer *agents.Peer
	// incarnation is the agent's incarnation when the event occurred. It
	// distinguishes events of an earlier incarnation from those of the current one.
	incarnation uint64
	msg         wire.Message
	kind        eventKind
}

type eventKind uint8

const (
	eventMessage eventKind = iota
	eventLinkUp
	eventLinkDown
	// eventExtraOffer: the pool proposes to offer the request to peer as well.
	eventExtraOffer
	// eventTimer: the request's timer expired.
	eventTimer
	// eventDeadline: the caller's deadline passed.
	eventDeadline
	// eventCallerGone: the caller hung up.
	eventCallerGone
	// eventEvict: the entry's memory is needed for a higher tier.
	eventEvict
)

// mailbox passes events from links and pools to the goroutine of a request.
type mailbox struct {
	mu     sync.Mutex
	events []event
	// bytes is the size of all chunks in events, at most maxMailboxBytes.
	bytes int
	// overflowed is set once a chunk was dropped, and is never cleared.
	overflowed bool
	ready      chan struct{}
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

// put adds an event and never blocks. After an overflow it drops the agents'
// messages.
func (b *mailbox) put(e event) {
	b.mu.Lock()
	if c, ok := e.msg.(*wire.Chunk); ok {
		if b.bytes+len(c.Data) > maxMailboxBytes {
			b.overflowed = true
		}
		b.bytes += len(c.Data)
	}
	if !b.overflowed || e.kind != eventMessage {
		b.events = append(b.events, e)
	}
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// take returns the waiting events in order, and whether the mailbox has overflowed.
// It reuses the memory of buf for later events.
func (b *mailbox) take(buf []event) ([]event, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.events
	b.events, b.bytes = buf[:0], 0
	return out, b.overflowed
}

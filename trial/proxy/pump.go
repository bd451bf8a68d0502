package proxy

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"lycheepond/core/wire"
)

const frameHead = 5

// piece is one frame, or what one read returned, to be passed on when due.
type piece struct {
	data []byte
	kind wire.Kind
	due  time.Time
}

// half is one direction of a connection.
type half struct {
	*Proxy
	dir  Direction
	from *bufio.Reader
	to   net.Conn
	late *sync.WaitGroup
}

// serve copies both directions until either side ends: neither lycheepond's
// links nor HTTP need half-closed connections here.
func (p *Proxy) serve(c net.Conn) {
	var wait sync.WaitGroup
	defer wait.Wait()
	defer c.Close()
	p.mu.Lock()
	ctx, stop := context.WithCancel(p.life)
	p.mu.Unlock()
	defer stop()
	up, err := new(net.Dialer).DialContext(ctx, "tcp", p.cfg.Upstream)
	if err != nil {
		return
	}
	context.AfterFunc(ctx, func() { c.Close(); up.Close() })
	wait.Go(func() { defer stop(); half{p, Up, bufio.NewReader(c), up, &wait}.pump(ctx) })
	half{p, Down, bufio.NewReader(up), c, &wait}.pump(ctx)
}

func (h half) pump(ctx context.Context) {
	for pc, err := h.next(); err == nil && h.write(ctx, pc); {
		pc, err = h.next()
	}
}

func (h half) next() (pc piece, err error) {
	together, size := h.from.Buffered() > 0, 1
	if h.cfg.Frames {
		size = frameHead
	}
	head, err := h.from.Peek(size)
	if err != nil {
		return pc, err
	}
	pc.data = make([]byte, h.from.Buffered())
	if h.cfg.Frames {
		// A longer frame is cut short: whoever reads it refuses it by its head.
		n := min(binary.BigEndian.Uint32(head), wire.MaxFrame)
		pc.data, pc.kind = make([]byte, frameHead+n), wire.Kind(head[frameHead-1])
	}
	_, err = io.ReadFull(h.from, pc.data)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !together && h.fault.Direction.covers(h.dir) {
		pc.due = time.Now().Add(h.fault.Delay.Std())
	}
	return pc, err
}

// write passes pc on as the first trick for it says, and returns false if the
// connection ends with it.
func (h half) write(ctx context.Context, pc piece) bool {
	t := h.trick(pc.kind)
	switch t.Action {
	case CutBefore:
		return false
	case Late:
		pc.due = time.Now().Add(t.Hold.Std())
		h.late.Go(func() { h.pass(ctx, pc) })
		return true
	case Duplicate:
		return h.pass(ctx, pc) && h.pass(ctx, pc)
	case FreezeAt:
		h.Set(Fault{Freeze: true})
	}
	return h.pass(ctx, pc) && t.Action != CutAfter
}

func (h half) trick(kind wire.Kind) (t Trick) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.IndexFunc(h.tricks, func(t Trick) bool { return t.Kind == kind && t.Direction.covers(h.dir) })
	if i >= 0 {
		t = h.tricks[i]
		h.tricks = slices.Delete(h.tricks, i, i+1)
	}
	return t
}

// pass writes one piece when it is due and the proxy isn't frozen.
func (h half) pass(ctx context.Context, pc piece) bool {
	select {
	case <-time.After(time.Until(pc.due)):
	case <-ctx.Done():
		return false
	}
	free := func() bool { return !h.fault.Freeze || !h.fault.Direction.covers(h.dir) }
	if h.until(ctx, free) != nil {
		return false
	}
	if _, err := h.to.Write(pc.data); err != nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen[h.dir][pc.kind]++
	h.changed.Broadcast()
	return true
}

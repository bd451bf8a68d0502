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

// frameHeaderLen is the length of a frame's header in bytes: the length of the
// body and the kind.
const frameHeaderLen = 5

// segment is a frame, or without WholeFrames the data of one read, that is
// forwarded at the time dueAt.
type segment struct {
	data  []byte
	kind  wire.Kind
	dueAt time.Time
}

// forwarder forwards one direction of a connection.
type forwarder struct {
	*Proxy
	dir  Direction
	from *bufio.Reader
	to   net.Conn
	// delayedFrames waits for the goroutines that forward delayed frames.
	delayedFrames *sync.WaitGroup
}

// forwardConn forwards both directions of a connection until one side closes it.
// Half-closed connections are not supported, because neither the links nor HTTP
// need them here.
func (p *Proxy) forwardConn(c net.Conn) {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer c.Close()
	p.mu.Lock()
	ctx, stop := context.WithCancel(p.connCtx)
	p.mu.Unlock()
	defer stop()
	upstream, err := new(net.Dialer).DialContext(ctx, "tcp", p.cfg.Upstream)
	if err != nil {
		return
	}
	context.AfterFunc(ctx, func() { c.Close(); upstream.Close() })
	wg.Go(func() { defer stop(); forwarder{p, Up, bufio.NewReader(c), upstream, &wg}.forwardAll(ctx) })
	forwarder{p, Down, bufio.NewReader(upstream), c, &wg}.forwardAll(ctx)
}

// forwardAll forwards data until the connection or ctx ends.
func (f forwarder) forwardAll(ctx context.Context) {
	for seg, err := f.readSegment(); err == nil && f.forward(ctx, seg); {
		seg, err = f.readSegment()
	}
}

// readSegment reads the next segment and sets the time at which it is due.
func (f forwarder) readSegment() (seg segment, err error) {
	arrivedTogether, size := f.from.Buffered() > 0, 1
	if f.cfg.WholeFrames {
		size = frameHeaderLen
	}
	header, err := f.from.Peek(size)
	if err != nil {
		return seg, err
	}
	seg.data = make([]byte, f.from.Buffered())
	if f.cfg.WholeFrames {
		// A frame that is too long is truncated. Its receiver refuses it
		// because of the length in its header.
		n := min(binary.BigEndian.Uint32(header), wire.MaxFrame)
		seg.data, seg.kind = make([]byte, frameHeaderLen+n), wire.Kind(header[frameHeaderLen-1])
	}
	_, err = io.ReadFull(f.from, seg.data)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !arrivedTogether && f.fault.Direction.includes(f.dir) {
		seg.dueAt = time.Now().Add(f.fault.Delay.Std())
	}
	return seg, err
}

// forward forwards a segment and applies the first frame fault for its kind, if
// any. It returns false if the connection must be closed.
func (f forwarder) forward(ctx context.Context, seg segment) bool {
	fault := f.takeFrameFault(seg.kind)
	switch fault.Action {
	case CutBefore:
		return false
	case Delay:
		seg.dueAt = time.Now().Add(fault.Hold.Std())
		f.delayedFrames.Go(func() { f.writeWhenDue(ctx, seg) })
		return true
	case Duplicate:
		return f.writeWhenDue(ctx, seg) && f.writeWhenDue(ctx, seg)
	case FreezeBefore:
		f.SetFault(Fault{Freeze: true})
	}
	return f.writeWhenDue(ctx, seg) && fault.Action != CutAfter
}

// takeFrameFault removes and returns the first frame fault for a frame of kind.
// Without one it returns the zero value.
func (f forwarder) takeFrameFault(kind wire.Kind) (fault FrameFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.frameFaults, func(fault FrameFault) bool { return fault.Kind == kind && fault.Direction.includes(f.dir) })
	if i >= 0 {
		fault = f.frameFaults[i]
		f.frameFaults = slices.Delete(f.frameFaults, i, i+1)
	}
	return fault
}

// writeWhenDue waits until the segment is due and the direction is not frozen,
// and then writes it. It returns false if ctx ends or the write fails.
func (f forwarder) writeWhenDue(ctx context.Context, seg segment) bool {
	select {
	case <-time.After(time.Until(seg.dueAt)):
	case <-ctx.Done():
		return false
	}
	isUnfrozen := func() bool { return !f.fault.Freeze || !f.fault.Direction.includes(f.dir) }
	if f.waitUntil(ctx, isUnfrozen) != nil {
		return false
	}
	if _, err := f.to.Write(seg.data); err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forwardedFrames[f.dir][seg.kind]++
	f.changed.Broadcast()
	return true
}

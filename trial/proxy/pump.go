package proxy

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"time"

	"lycheepond/core/wire"
)

// piece is some bytes under way: one frame, or what one read returned.
type piece struct {
	data []byte
	kind wire.Kind
	// due is when the piece may be passed on.
	due time.Time
}

const (
	frameHead = 5
	// inTransit is how many pieces one direction holds.
	inTransit = 1024
	rawSize   = 32 << 10
)

// pump copies one direction until either side ends.
func (p *Proxy) pump(ctx context.Context, dir Direction, from, to net.Conn) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	pieces := make(chan piece, inTransit)
	go p.read(ctx, dir, from, pieces)
	p.write(ctx, dir, to, pieces)
	from.Close()
	to.Close()
}

// read closes pieces when the connection has ended.
func (p *Proxy) read(ctx context.Context, dir Direction, from net.Conn, pieces chan<- piece) {
	defer close(pieces)
	for {
		pc, err := p.next(from)
		if err != nil {
			return
		}
		pc.due = time.Now().Add(p.faultFor(dir).Delay.Std())
		select {
		case pieces <- pc:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Proxy) next(from net.Conn) (piece, error) {
	if !p.cfg.Frames {
		buf := make([]byte, rawSize)
		n, err := from.Read(buf)
		return piece{data: buf[:n]}, err
	}
	head := make([]byte, frameHead)
	if _, err := io.ReadFull(from, head); err != nil {
		return piece{}, err
	}
	n := binary.BigEndian.Uint32(head)
	if n > wire.MaxFrame {
		return piece{}, wire.ErrFrameSize
	}
	data := append(head, make([]byte, n)...)
	_, err := io.ReadFull(from, data[frameHead:])
	return piece{data: data, kind: wire.Kind(head[frameHead-1])}, err
}

// faultFor returns the fault as far as it concerns dir.
func (p *Proxy) faultFor(dir Direction) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Direction != Both && p.fault.Direction != dir {
		return Fault{Cut: p.fault.Cut}
	}
	return p.fault
}

// write passes pieces on until the connection ends.
func (p *Proxy) write(ctx context.Context, dir Direction, to net.Conn, pieces <-chan piece) {
	var late []piece
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if len(late) > 0 {
			timer.Reset(time.Until(late[0].due))
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			if len(late) > 0 && !p.pass(ctx, dir, to, late[0]) {
				return
			}
			late = late[min(1, len(late)):]
		case pc, ok := <-pieces:
			if !ok {
				return
			}
			t := p.trick(dir, pc.kind)
			if t.Action == Late {
				pc.due = time.Now().Add(t.Hold.Std())
				late = append(late, pc)
				continue
			}
			if !p.perform(ctx, dir, to, pc, t.Action) {
				return
			}
		}
	}
}

// trick takes the first trick that concerns the frame.
func (p *Proxy) trick(dir Direction, kind wire.Kind) Trick {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, t := range p.tricks {
		if t.Kind == kind && (t.Direction == Both || t.Direction == dir) {
			p.tricks = append(p.tricks[:i], p.tricks[i+1:]...)
			return t
		}
	}
	return Trick{}
}

func (p *Proxy) perform(ctx context.Context, dir Direction, to net.Conn, pc piece, a Action) bool {
	switch a {
	case CutBefore:
		return false
	case CutAfter:
		p.pass(ctx, dir, to, pc)
		return false
	case Duplicate:
		return p.pass(ctx, dir, to, pc) && p.pass(ctx, dir, to, pc)
	case FreezeAt:
		p.Set(Fault{Freeze: true})
	}
	return p.pass(ctx, dir, to, pc)
}

// pass writes one piece when it is due and the proxy isn't frozen.
func (p *Proxy) pass(ctx context.Context, dir Direction, to net.Conn, pc piece) bool {
	if !p.hold(ctx, dir, pc.due) {
		return false
	}
	data, last := p.budget(dir, pc.data)
	if _, err := to.Write(data); err != nil || last {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen[sight{dir, pc.kind}]++
	p.notify()
	return true
}

// budget cuts data where DropAfter ends the connection.
func (p *Proxy) budget(dir Direction, data []byte) (out []byte, last bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.DropAfter <= 0 || (p.fault.Direction != Both && p.fault.Direction != dir) {
		return data, false
	}
	if int64(len(data)) < p.fault.DropAfter {
		p.fault.DropAfter -= int64(len(data))
		return data, false
	}
	data = data[:p.fault.DropAfter]
	p.fault.DropAfter = 0
	return data, true
}

func (p *Proxy) hold(ctx context.Context, dir Direction, due time.Time) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		if !p.faultFor(dir).Freeze {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Package proxy is a TCP proxy that injects faults: it cuts, freezes, delays
// and breaks connections, and it duplicates or reorders single lycheepond
// frames.
package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// Direction names one half of a connection.
type Direction string

// The directions. Both is the default of a Fault.
const (
	Both Direction = ""
	// Up is from the side that dialled to the upstream.
	Up   Direction = "up"
	Down Direction = "down"
)

// Fault is what the proxy does at present.
type Fault struct {
	// Direction limits Freeze, Delay and DropAfter.
	Direction Direction `json:"direction"`
	// Cut closes every connection and refuses new ones.
	Cut bool `json:"cut"`
	// Freeze holds bytes back and keeps connections open.
	Freeze bool `json:"freeze"`
	// Delay holds each piece back for that long.
	Delay spec.Duration `json:"delay"`
	// DropAfter closes a connection after that many bytes more; zero never.
	DropAfter int64 `json:"drop_after"`
}

// Action is what happens to one frame.
type Action string

// The actions on a frame.
const (
	// Duplicate sends the frame twice.
	Duplicate Action = "duplicate"
	// Late sends the frame after Hold; frames behind it overtake it.
	Late Action = "late"
	// CutBefore closes the connection in place of passing the frame.
	CutBefore Action = "cut-before"
	// CutAfter closes the connection once the frame has passed.
	CutAfter Action = "cut-after"
	// FreezeAt freezes the proxy before the frame passes.
	FreezeAt Action = "freeze-at"
)

// Trick is done once, to the next frame of its kind.
type Trick struct {
	Direction Direction     `json:"direction"`
	Kind      wire.Kind     `json:"kind"`
	Action    Action        `json:"action"`
	Hold      spec.Duration `json:"hold"`
}

// Config describes one proxy.
type Config struct {
	// Listen is the address to listen on, Upstream where connections go.
	Listen   string `json:"listen"`
	Upstream string `json:"upstream"`
	// Frames makes the proxy pass whole frames, which Trick and Await need.
	Frames bool `json:"frames"`
}

// Proxy is one listener with its connections.
type Proxy struct {
	cfg Config
	ln  net.Listener

	mu     sync.Mutex
	fault  Fault
	tricks []Trick
	conns  map[net.Conn]struct{}
	// seen counts the frames that were passed on.
	seen map[sight]int
	// changed is closed and replaced whenever fault or seen changes.
	changed chan struct{}
}

type sight struct {
	dir  Direction
	kind wire.Kind
}

// New starts to listen; connections are served by Run.
func New(cfg Config) (*Proxy, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	return &Proxy{
		cfg: cfg, ln: ln, conns: make(map[net.Conn]struct{}), seen: make(map[sight]int),
		changed: make(chan struct{}),
	}, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Run serves connections until ctx ends.
func (p *Proxy) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { p.ln.Close(); p.closeAll() })
	defer stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		c, err := p.ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		wait.Go(func() { p.serve(ctx, c) })
	}
}

// Set replaces the fault.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	p.fault = f
	p.notify()
	p.mu.Unlock()
	if f.Cut {
		p.closeAll()
	}
}

// Play adds a trick.
func (p *Proxy) Play(t Trick) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tricks = append(p.tricks, t)
}

// Await waits until n frames of kind have passed in direction dir since the
// start of the proxy.
func (p *Proxy) Await(ctx context.Context, dir Direction, kind wire.Kind, n int) error {
	for {
		p.mu.Lock()
		got, changed := p.seen[sight{dir, kind}], p.changed
		p.mu.Unlock()
		if got >= n {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Seen returns how many frames of kind have passed in direction dir.
func (p *Proxy) Seen(dir Direction, kind wire.Kind) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[sight{dir, kind}]
}

// notify wakes everyone who waits for a change. The caller holds mu.
func (p *Proxy) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}

// keep registers c and returns false if connections are refused at present.
func (p *Proxy) keep(ctx context.Context, c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.Cut || ctx.Err() != nil {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) forget(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

const dialWait = 2 * time.Second

func (p *Proxy) serve(ctx context.Context, c net.Conn) {
	defer p.forget(c)
	if !p.keep(ctx, c) {
		return
	}
	up, err := net.DialTimeout("tcp", p.cfg.Upstream, dialWait)
	if err != nil {
		return
	}
	defer p.forget(up)
	if !p.keep(ctx, up) {
		return
	}
	done := make(chan struct{}, 2)
	go func() { p.pump(ctx, Up, c, up); done <- struct{}{} }()
	go func() { p.pump(ctx, Down, up, c); done <- struct{}{} }()
	<-done
	// One half that ended ends the other: lycheepond uses no half-closed
	// connections, and HTTP needs none here.
	c.Close()
	up.Close()
	<-done
}

// Package proxy is a TCP proxy that injects faults into connections and frames.
package proxy

import (
	"context"
	"net"
	"sync"

	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// Direction names one half of a connection.
type Direction string

// The directions. Both is the default; Up is from the side that dialled.
const (
	Both Direction = ""
	Up   Direction = "up"
	Down Direction = "down"
)

func (d Direction) covers(one Direction) bool { return d == Both || d == one }

// Fault is what the proxy does at present. Cut closes every connection and
// refuses new ones. Direction limits the others: Freeze holds bytes back, and
// Delay holds what comes together back for that long.
type Fault struct {
	Direction Direction     `json:"direction"`
	Cut       bool          `json:"cut"`
	Freeze    bool          `json:"freeze"`
	Delay     spec.Duration `json:"delay"`
}

// Action is what happens to one frame.
type Action string

// The actions on a frame: send it twice, send it after Hold while others
// overtake it, close the connection before or after it, freeze before it.
const (
	Duplicate Action = "duplicate"
	Late      Action = "late"
	CutBefore Action = "cut-before"
	CutAfter  Action = "cut-after"
	FreezeAt  Action = "freeze-at"
)

// Trick is done once, to the next frame of its kind.
type Trick struct {
	Direction Direction     `json:"direction"`
	Kind      wire.Kind     `json:"kind"`
	Action    Action        `json:"action"`
	Hold      spec.Duration `json:"hold"`
}

// Config describes one proxy. Frames makes it pass whole frames, which Trick
// and Await need.
type Config struct {
	Listen, Upstream string
	Frames           bool
}

// Proxy is one listener with its connections.
type Proxy struct {
	cfg    Config
	ln     net.Listener
	mu     sync.Mutex
	fault  Fault
	tricks []Trick
	// life is the context of connections; it has ended while they are cut.
	life context.Context
	cut  context.CancelFunc
	// seen counts the frames that were passed on.
	seen map[Direction]map[wire.Kind]int
	// changed tells of each change of fault or seen.
	changed *sync.Cond
}

// New starts to listen; connections are served by Run.
func New(cfg Config) (*Proxy, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	p := &Proxy{cfg: cfg, ln: ln, seen: map[Direction]map[wire.Kind]int{Up: {}, Down: {}}}
	p.changed = sync.NewCond(&p.mu)
	p.life, p.cut = context.WithCancel(context.Background())
	return p, err
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Run serves connections until ctx ends.
func (p *Proxy) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	defer context.AfterFunc(ctx, func() { p.ln.Close(); p.Set(Fault{Cut: true}) })()
	for {
		c, err := p.ln.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return err
		}
		wait.Go(func() { p.serve(c) })
	}
}

// Set replaces the fault.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Cut {
		p.cut()
	} else if p.fault.Cut {
		p.life, p.cut = context.WithCancel(context.Background())
	}
	p.fault = f
	p.changed.Broadcast()
}

// Play adds a trick.
func (p *Proxy) Play(t Trick) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tricks = append(p.tricks, t)
}

// Seen returns how many frames of kind have passed in direction dir.
func (p *Proxy) Seen(dir Direction, kind wire.Kind) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[dir][kind]
}

// Await waits until n frames of kind have passed since the start of the proxy.
func (p *Proxy) Await(ctx context.Context, dir Direction, kind wire.Kind, n int) error {
	return p.until(ctx, func() bool { return p.seen[dir][kind] >= n })
}

// until waits for what holds, which is called with mu held.
func (p *Proxy) until(ctx context.Context, holds func() bool) error {
	defer context.AfterFunc(ctx, func() { p.mu.Lock(); defer p.mu.Unlock(); p.changed.Broadcast() })()
	p.mu.Lock()
	defer p.mu.Unlock()
	for !holds() && ctx.Err() == nil {
		p.changed.Wait()
	}
	return context.Cause(ctx)
}

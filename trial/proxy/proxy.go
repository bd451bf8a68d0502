// Package proxy is a TCP proxy that injects faults into connections and frames.
package proxy

import (
	"context"
	"net"
	"sync"

	"lycheepond/core/spec"
	"lycheepond/core/wire"
)

// Direction is a direction of transfer through the proxy.
type Direction string

// The directions. Both is the default. Up is from the client, which connected to
// the proxy, to the upstream server; Down is the reverse.
const (
	Both Direction = ""
	Up   Direction = "up"
	Down Direction = "down"
)

func (d Direction) includes(dir Direction) bool { return d == Both || d == dir }

// Fault is a fault of all connections that lasts until it is replaced. The zero
// value means no fault.
type Fault struct {
	// Direction limits Freeze and Delay to one direction.
	Direction Direction `json:"direction"`
	// Cut closes every connection, and new ones as soon as they are accepted.
	Cut bool `json:"cut"`
	// Freeze holds back all bytes.
	Freeze bool `json:"freeze"`
	// Delay is the time for which data are held back. Frames that arrive together
	// are delayed once.
	Delay spec.Duration `json:"delay"`
}

// Action is what a FrameFault does to a frame.
type Action string

const (
	// Duplicate forwards the frame twice.
	Duplicate Action = "duplicate"
	// Delay forwards the frame after Hold; later frames overtake it.
	Delay Action = "late"
	// CutBefore closes the connection instead of forwarding the frame.
	CutBefore Action = "cut-before"
	// CutAfter forwards the frame and then closes the connection.
	CutAfter Action = "cut-after"
	// FreezeBefore replaces the current Fault with a freeze in both directions
	// before it forwards the frame.
	FreezeBefore Action = "freeze-at"
)

// FrameFault is a fault that is injected once, into the next frame of its kind
// and direction.
type FrameFault struct {
	Direction Direction `json:"direction"`
	Kind      wire.Kind `json:"kind"`
	Action    Action    `json:"action"`
	// Hold is the time for which the action Delay holds the frame back; the other
	// actions ignore it.
	Hold spec.Duration `json:"hold"`
}

// Config configures a proxy.
type Config struct {
	// Listen and Upstream are TCP addresses as host:port.
	Listen, Upstream string
	// WholeFrames makes the proxy forward the data frame by frame, which
	// FrameFault and AwaitFrames need.
	WholeFrames bool
}

// Proxy is a TCP proxy with one listener. Its methods may be called from any
// goroutine.
type Proxy struct {
	cfg         Config
	ln          net.Listener
	mu          sync.Mutex
	fault       Fault
	frameFaults []FrameFault
	// connCtx is the context of all connections. It is cancelled while they are
	// cut.
	connCtx  context.Context
	cutConns context.CancelFunc
	// forwardedFrames counts the forwarded frames.
	forwardedFrames map[Direction]map[wire.Kind]int
	// changed signals every change of fault or forwardedFrames.
	changed *sync.Cond
}

// New starts to listen. Run must be called to serve connections.
func New(cfg Config) (*Proxy, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	p := &Proxy{cfg: cfg, ln: ln, forwardedFrames: map[Direction]map[wire.Kind]int{Up: {}, Down: {}}}
	p.changed = sync.NewCond(&p.mu)
	p.connCtx, p.cutConns = context.WithCancel(context.Background())
	return p, err
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Run serves connections until ctx ends. Then it closes the listener and all
// connections and returns nil.
func (p *Proxy) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer context.AfterFunc(ctx, func() { p.ln.Close(); p.SetFault(Fault{Cut: true}) })()
	for {
		c, err := p.ln.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			return err
		}
		wg.Go(func() { p.forwardConn(c) })
	}
}

// SetFault replaces the current fault.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Cut {
		p.cutConns()
	} else if p.fault.Cut {
		p.connCtx, p.cutConns = context.WithCancel(context.Background())
	}
	p.fault = f
	p.changed.Broadcast()
}

// AddFrameFault adds a fault for one frame.
func (p *Proxy) AddFrameFault(f FrameFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frameFaults = append(p.frameFaults, f)
}

// FramesForwarded returns the number of frames of kind that were forwarded in
// direction dir since the proxy started.
func (p *Proxy) FramesForwarded(dir Direction, kind wire.Kind) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forwardedFrames[dir][kind]
}

// AwaitFrames waits until n frames of kind were forwarded in direction dir
// since the proxy started, or until ctx ends.
func (p *Proxy) AwaitFrames(ctx context.Context, dir Direction, kind wire.Kind, n int) error {
	return p.waitUntil(ctx, func() bool { return p.forwardedFrames[dir][kind] >= n })
}

// waitUntil waits until condition returns true or ctx ends. It calls condition
// with mu held.
func (p *Proxy) waitUntil(ctx context.Context, condition func() bool) error {
	defer context.AfterFunc(ctx, func() { p.mu.Lock(); defer p.mu.Unlock(); p.changed.Broadcast() })()
	p.mu.Lock()
	defer p.mu.Unlock()
	for !condition() && ctx.Err() == nil {
		p.changed.Wait()
	}
	return context.Cause(ctx)
}

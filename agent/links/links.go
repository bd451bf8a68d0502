// Package links accepts entries' links and hands their messages to the owner
// of the slot.
package links

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepond/agent/slot"
	"lycheepond/core/logs"
	"lycheepond/core/wire"
)

const (
	// maxLinks bounds the links at one time; at the target's size an agent has
	// four, and a small site has one for each of its entries.
	maxLinks = 256
	// acceptAgain is the pause after a failed accept, such as when the process
	// has no file descriptor left.
	acceptAgain = 50 * time.Millisecond
	// flushPoll is the time between two looks at the links that are to end.
	flushPoll = 5 * time.Millisecond
)

// errFull reports a link beyond maxLinks.
var errFull = errors.New("links: as many links as an agent takes: look for processes that dial it and should not")

// Config is what a Server depends on.
type Config struct {
	Self wire.Hello
	// Keys returns the fleet's keys as they are now.
	Keys      func() wire.Keys
	Heartbeat time.Duration
	Owner     *slot.Owner
	Log       *zap.Logger
	// Secure wraps a fresh connection in TLS; nil leaves it as it is.
	Secure func(net.Conn) net.Conn
}

// Server accepts links.
type Server struct {
	cfg Config
	mu  sync.Mutex
	// open are the links that have shaken hands.
	open map[*wire.Link]bool
	// closed is the traffic of links that have ended.
	closed counts
	// ended reports the end of each link's goroutine to Run.
	ended chan struct{}
}

// New returns a server that does nothing until Run.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, open: make(map[*wire.Link]bool), ended: make(chan struct{})}
}

// Run accepts links on ln until ctx ends. The listener is closed then, and Run
// returns when every link has ended.
//
// Nobody else can listen on the same port, which is what keeps a second agent
// from standing in the same slot: a paused agent keeps its port, so its
// successor does not start while it may wake.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	unhook := context.AfterFunc(ctx, func() { ln.Close() })
	defer unhook()
	conns := make(chan net.Conn)
	failed := make(chan error, 1)
	go s.accept(ctx, ln, conns, failed)
	open := 0
	for {
		select {
		case conn := <-conns:
			if open >= maxLinks {
				logs.Warn(s.cfg.Log, logs.EventLinkRefused, zap.Stringer("address", conn.RemoteAddr()), zap.Error(errFull))
				conn.Close()
				continue
			}
			open++
			go func() {
				s.serve(ctx, conn)
				s.ended <- struct{}{}
			}()
		case <-s.ended:
			open--
		case err := <-failed:
			for ; open > 0; open-- {
				<-s.ended
			}
			return err
		}
	}
}

func (s *Server) accept(ctx context.Context, ln net.Listener, conns chan<- net.Conn, failed chan<- error) {
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			if err == nil {
				conn.Close()
			}
			failed <- ctx.Err()
			return
		}
		if err != nil {
			logs.Warn(s.cfg.Log, logs.EventFailed, zap.Error(err))
			select {
			case <-time.After(acceptAgain):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case conns <- conn:
		case <-ctx.Done():
			conn.Close()
		}
	}
}

// serve opens one link and runs it to its end.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	if s.cfg.Secure != nil {
		conn = s.cfg.Secure(conn)
	}
	hello, err := wire.Handshake(ctx, conn, s.cfg.Self, s.cfg.Keys())
	if err == nil && hello.Role != wire.RoleEntry {
		err = wire.ErrHandshake
	}
	if err != nil {
		logs.Warn(s.cfg.Log, logs.EventLinkRefused, zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
		return
	}
	owner := s.cfg.Owner
	link := wire.New(conn, hello, wire.Config{
		Heartbeat: s.cfg.Heartbeat, Idle: s.cfg.Self.Idle(),
		NewHeartbeat: func() wire.Message { return &wire.Heartbeat{Load: owner.Load(), Leaving: owner.Load().Leaving} },
	})
	p := &slot.Peer{Name: hello.Name, Incarnation: hello.Incarnation, Send: link.Send, SendWait: link.SendWait}
	if owner.LinkUp(ctx, p) != nil {
		return
	}
	s.note(link, true)
	defer s.note(link, false)
	err = link.Run(ctx, func(m wire.Message) { s.handle(ctx, p, m) })
	_ = owner.LinkDown(p)
	var bad *wire.FrameError
	if errors.As(err, &bad) || errors.Is(err, wire.ErrFrameSize) {
		logs.Warn(s.cfg.Log, logs.EventBadFrame, zap.String("peer", hello.Name), zap.Error(err))
	}
	logs.Info(s.cfg.Log, logs.EventLinkLost, zap.String("peer", hello.Name), zap.Error(err))
}

func (s *Server) note(l *wire.Link, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.open[l] = true
		return
	}
	s.closed.add(l.Counts())
	delete(s.open, l)
}

// Counts returns the traffic of all links so far.
func (s *Server) Counts() wire.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.closed
	for l := range s.open {
		sum.add(l.Counts())
	}
	return wire.Counts(sum)
}

type counts wire.Counts

func (c *counts) add(o wire.Counts) {
	c.ControlIn += o.ControlIn
	c.ControlOut += o.ControlOut
	c.DataIn += o.DataIn
	c.DataOut += o.DataOut
}

// finish begins the end of all links and reports whether there is none any more.
func (s *Server) finish() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.open {
		l.Finish()
	}
	return len(s.open) == 0
}

// Flush ends all links after what is queued, and returns when their peers have
// read it and closed, or are silent for so long that they count as dead. Closed
// from here, a socket that then gets the peer's next heartbeat makes the kernel
// drop what the peer has not taken yet, and the last answer before a planned stop
// would be lost.
func (s *Server) Flush(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, wire.MissedHeartbeats*cmp.Or(s.cfg.Heartbeat, wire.DefaultHeartbeat))
	defer stop()
	tick := time.NewTicker(flushPoll)
	defer tick.Stop()
	for !s.finish() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			logs.Warn(s.cfg.Log, logs.EventLinkLost, zap.Int("links", s.left()), zap.String("why", "the peers did not read to the end before a planned stop"))
			return
		}
	}
}

func (s *Server) left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func (s *Server) handle(ctx context.Context, p *slot.Peer, m wire.Message) {
	if m.Kind() == wire.KindHeartbeat {
		return
	}
	_ = s.cfg.Owner.Message(ctx, p, m)
}

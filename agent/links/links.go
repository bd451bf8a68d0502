// Package links accepts links from entries and passes their messages to the
// owner in package slot.
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
	// maxLinks bounds the number of open links. In the largest planned
	// deployment an agent has four links; at a small site it has one for each
	// entry.
	maxLinks = 256
	// acceptRetryDelay is the pause after a failed accept, for example when the
	// process has no file descriptors left.
	acceptRetryDelay = 50 * time.Millisecond
	// flushPollInterval is the interval at which Flush checks for open links.
	flushPollInterval = 5 * time.Millisecond
)

// errTooManyLinks reports a link beyond maxLinks.
var errTooManyLinks = errors.New("links: the limit of links is reached: look for processes that should not dial this agent")

// Config holds the dependencies of a Server.
type Config struct {
	// Self is sent to entries in the handshake.
	Self wire.Hello
	// Keys returns the current fleet keys.
	Keys      func() wire.Keys
	Heartbeat time.Duration
	Owner     *slot.Owner
	Log       *zap.Logger
	// WrapTLS wraps an accepted connection in TLS; nil means no TLS.
	WrapTLS func(net.Conn) net.Conn
}

// Server accepts links.
type Server struct {
	cfg Config
	mu  sync.Mutex
	// openLinks holds the links whose handshake is complete.
	openLinks map[*wire.Link]bool
	// closedTraffic is the total traffic of links that have ended.
	closedTraffic counts
	// linkEnded receives a value when the goroutine of a link ends; Run reads it.
	linkEnded chan struct{}
}

// New returns a server that does nothing until Run.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, openLinks: make(map[*wire.Link]bool), linkEnded: make(chan struct{})}
}

// Run accepts links on ln until ctx ends. It then closes the listener and
// returns when every link has ended.
//
// The listening port also prevents a second agent for the same endpoint: a
// paused agent keeps its port, so a successor cannot start while the paused one
// may still resume.
func (s *Server) Run(ctx context.Context, ln net.Listener) error {
	stopClosing := context.AfterFunc(ctx, func() { ln.Close() })
	defer stopClosing()
	conns := make(chan net.Conn)
	failed := make(chan error, 1)
	go s.accept(ctx, ln, conns, failed)
	running := 0
	for {
		select {
		case conn := <-conns:
			if running >= maxLinks {
				logs.Warn(s.cfg.Log, logs.EventLinkRefused, zap.Stringer("address", conn.RemoteAddr()), zap.Error(errTooManyLinks))
				conn.Close()
				continue
			}
			running++
			go func() {
				s.serve(ctx, conn)
				s.linkEnded <- struct{}{}
			}()
		case <-s.linkEnded:
			running--
		case err := <-failed:
			for ; running > 0; running-- {
				<-s.linkEnded
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
			case <-time.After(acceptRetryDelay):
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

// serve performs the handshake of one link and runs the link until it ends.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	if s.cfg.WrapTLS != nil {
		conn = s.cfg.WrapTLS(conn)
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
		Heartbeat: s.cfg.Heartbeat, IdleHeartbeat: s.cfg.Self.IdleHeartbeat(),
		NewHeartbeat: func() wire.Message { return &wire.Heartbeat{Load: owner.Load(), Leaving: owner.Load().Leaving} },
	})
	p := &slot.Peer{Name: hello.Name, Incarnation: hello.Incarnation, Send: link.Send, SendWait: link.SendWait}
	if owner.LinkUp(ctx, p) != nil {
		return
	}
	s.setOpen(link, true)
	defer s.setOpen(link, false)
	err = link.Run(ctx, func(m wire.Message) { s.handleMessage(ctx, p, m) })
	_ = owner.LinkDown(p)
	var bad *wire.FrameError
	if errors.As(err, &bad) || errors.Is(err, wire.ErrFrameSize) {
		logs.Warn(s.cfg.Log, logs.EventBadFrame, zap.String("peer", hello.Name), zap.Error(err))
	}
	logs.Info(s.cfg.Log, logs.EventLinkLost, zap.String("peer", hello.Name), zap.Error(err))
}

// setOpen adds l to the open links or removes it and keeps its traffic counts.
func (s *Server) setOpen(l *wire.Link, isOpen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isOpen {
		s.openLinks[l] = true
		return
	}
	s.closedTraffic.add(l.Counts())
	delete(s.openLinks, l)
}

// Counts returns the total traffic of all open and closed links.
func (s *Server) Counts() wire.Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.closedTraffic
	for l := range s.openLinks {
		sum.add(l.Counts())
	}
	return wire.Counts(sum)
}

// counts is a sum of traffic counts.
type counts wire.Counts

func (c *counts) add(o wire.Counts) {
	c.ControlIn += o.ControlIn
	c.ControlOut += o.ControlOut
	c.DataIn += o.DataIn
	c.DataOut += o.DataOut
}

// finishLinks starts closing all links and reports whether none is open any more.
func (s *Server) finishLinks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.openLinks {
		l.Finish()
	}
	return len(s.openLinks) == 0
}

// Flush ends all links after their queued messages. It returns when every peer
// has read them and closed its side, or after the silence at which a peer counts
// as dead. The agent must not close the socket first: if the peer's next
// heartbeat arrives at a closed socket, the kernel drops the data that the peer
// has not read yet, and the last answer before a planned stop is lost.
func (s *Server) Flush(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, wire.MissedHeartbeats*cmp.Or(s.cfg.Heartbeat, wire.DefaultHeartbeat))
	defer stop()
	tick := time.NewTicker(flushPollInterval)
	defer tick.Stop()
	for !s.finishLinks() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			logs.Warn(s.cfg.Log, logs.EventLinkLost, zap.Int("links", s.openCount()), zap.String("why", "the peers did not read to the end before a planned stop"))
			return
		}
	}
}

func (s *Server) openCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.openLinks)
}

// handleMessage passes a message to the owner, except for heartbeats, which it
// does not need.
func (s *Server) handleMessage(ctx context.Context, p *slot.Peer, m wire.Message) {
	if m.Kind() == wire.KindHeartbeat {
		return
	}
	_ = s.cfg.Owner.Message(ctx, p, m)
}

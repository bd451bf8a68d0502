package kept

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// newConnGrace is how long a new connection must have carried nothing before a planned
	// stop closes it. A caller that has just connected is about to send; the time covers a
	// lost packet, which is sent again after 200 ms.
	newConnGrace = 300 * time.Millisecond
	// acceptTimeout is how long a stop waits until the server has noticed that its listener is
	// closed. The server notices at once unless the process gets hardly any CPU time.
	acceptTimeout = time.Second
	// maxUnsentBytes bounds the bytes of answers that a connection holds beyond the caller's
	// receive window.
	maxUnsentBytes = 64 << 10
	// tcpNotSentLowAt is TCP_NOTSENT_LOWAT of tcp(7).
	tcpNotSentLowAt = 0x19
	// drainInterval is the time between two checks of the connections.
	drainInterval = 20 * time.Millisecond
)

// listener adds the connections that it accepts to a set.
type listener struct {
	*net.TCPListener
	set *Set
}

// Listen opens the listener of the set. It must be called only once.
func (s *Set) Listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(errors.New("kept: no TCP listener: give an address as host:port"), ln.Close())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln = tcp
	return &listener{TCPListener: tcp, set: s}, nil
}

// Accept returns the next connection, or http.ErrServerClosed once Drain has begun. The
// kernel accepts at most maxUnsentBytes that a caller does not read: its buffers grow to
// megabytes, so that thousands of answers would be written to a caller that reads nothing
// before a write deadline could show it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.AcceptTCP()
		if err != nil {
			return nil, l.set.acceptError(err)
		}
		c, err := l.prepare(nc)
		if err != nil {
			return nil, err
		}
		if l.set.add(c) {
			return c, nil
		}
		l.set.reject(c.TCPConn)
	}
}

// prepare returns an accepted connection as the set keeps it.
func (l *listener) prepare(nc *net.TCPConn) (*conn, error) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, nc.Close())
	}
	// A system without the option only notices such callers later.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpNotSentLowAt, maxUnsentBytes)
	})
	return newConn(l.set, nc, raw), nil
}

// acceptError returns an error of the listener as the server should see it.
func (s *Set) acceptError(err error) error {
	if !s.stopping.Load() || !errors.Is(err, net.ErrClosed) {
		return err
	}
	s.acceptEndedOnce.Do(func() { close(s.acceptEnded) })
	return http.ErrServerClosed
}

// connections returns the open connections.
func (s *Set) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// CloseExpired closes the connections that have been idle for longer than the bound. The bound
// of a connection is the largest one in force since it became idle, because its caller may
// rely on that one: lowering the bound does not affect it.
func (s *Set) CloseExpired() {
	bound := s.cfg.IdleBound()
	for _, c := range s.connections() {
		c.closeIf(IdleBound, func(age time.Duration) (time.Duration, bool) {
			c.idleBound = max(c.idleBound, bound)
			return c.idleBound, c.phase == phaseIdle && age > c.idleBound && c.isUnused()
		})
		c.closeIfSlow()
	}
}

// closeIfSlow closes a connection on which only a part of a request's head has arrived within
// maxHeadTime.
func (c *conn) closeIfSlow() {
	c.closeIf(SlowHead, func(age time.Duration) (time.Duration, bool) {
		return maxHeadTime, c.phase == phaseReading && age > maxHeadTime && c.isQuiet()
	})
}

// Drain closes the listener and then each connection as it becomes idle, until none is left:
// every request that was read is answered and its handler has returned. If ctx ends earlier,
// Drain returns its error and leaves the remaining connections to Close.
func (s *Set) Drain(ctx context.Context) error {
	s.stopping.Store(true)
	s.mu.Lock()
	ln := s.ln
	s.mu.Unlock()
	if ln != nil {
		s.closeListener(ctx, ln)
	}
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for {
		remaining := s.connections()
		if len(remaining) == 0 {
			return nil
		}
		for _, c := range remaining {
			c.closeIf(PlannedStop, func(age time.Duration) (time.Duration, bool) {
				return newConnGrace, (c.phase == phaseIdle || age > newConnGrace) && c.isUnused()
			})
			c.closeIfSlow()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// closeListener closes the listener. Before that it waits until the server has accepted the
// queued connections, since closing the listener resets them, whatever was sent on them. After
// it, it waits until the last accepted connection is known to the set. Callers that keep
// connecting delay the stop by newConnGrace at most.
func (s *Set) closeListener(ctx context.Context, ln *net.TCPListener) {
	queueCtx, cancelQueue := context.WithTimeout(ctx, newConnGrace)
	defer cancelQueue()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for hasQueuedConns(ln) && queueCtx.Err() == nil {
		select {
		case <-queueCtx.Done():
		case <-tick.C:
		}
	}
	ln.Close()
	// This wait has its own timeout: that of queueCtx has expired if callers keep connecting.
	acceptCtx, cancelAccept := context.WithTimeout(ctx, acceptTimeout)
	defer cancelAccept()
	select {
	case <-acceptCtx.Done():
	case <-s.acceptEnded:
	}
}

// hasQueuedConns reports whether connections wait to be accepted.
func hasQueuedConns(ln *net.TCPListener) bool {
	raw, err := ln.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		epoll, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
		if err != nil {
			return
		}
		defer syscall.Close(epoll)
		if syscall.EpollCtl(epoll, syscall.EPOLL_CTL_ADD, int(fd), &syscall.EpollEvent{Events: syscall.EPOLLIN}) == nil {
			ready, _ = syscall.EpollWait(epoll, make([]syscall.EpollEvent, 1), 0)
		}
	})
	return err == nil && ready > 0
}

// Cancel cancels the contexts of all requests with a cause. The connections stay open, so that
// the handlers may still answer.
func (s *Set) Cancel(cause error) {
	for _, c := range s.connections() {
		c.mu.Lock()
		if c.cancel != nil {
			c.cancel(cause)
		}
		c.mu.Unlock()
	}
}

// Close closes all connections, whatever they carry.
func (s *Set) Close(reason Reason) {
	for _, c := range s.connections() {
		c.closeIf(reason, func(time.Duration) (time.Duration, bool) { return 0, true })
	}
}

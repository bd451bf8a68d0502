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
	// settle is how long a new connection has carried nothing before a planned stop
	// closes it. Whoever has just connected is about to send; the time covers a lost
	// packet (200 ms until it is sent again).
	settle = 300 * time.Millisecond
	// lastAccept is how long a stop waits until the server has seen that its
	// listener is closed: it does at once, unless the process hardly gets to run.
	lastAccept = time.Second
	// drainPause is the time between two looks at the connections.
	drainPause = 20 * time.Millisecond
)

// listener hands connections to the server that are known to the set.
type listener struct {
	*net.TCPListener
	set *Set
}

// Listen opens the set's listener. It is to be called once.
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

// Accept returns the next connection, and http.ErrServerClosed once Drain has
// begun.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.AcceptTCP()
	if err != nil {
		return nil, l.set.refused(err)
	}
	raw, err := nc.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, nc.Close())
	}
	c := newConn(l.set, nc, raw)
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.set.conns[c] = struct{}{}
	return c, nil
}

// refused returns the error of the listener as the server is to see it.
func (s *Set) refused(err error) error {
	if !s.stopping.Load() || !errors.Is(err, net.ErrClosed) {
		return err
	}
	s.unheard.Do(func() { close(s.deaf) })
	return http.ErrServerClosed
}

// all returns the connections there are.
func (s *Set) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// Sweep closes connections that have been idle for longer than the bound. Callers
// keep to the largest bound that has held since their connection became idle: a
// lower one that comes later does not cut them.
func (s *Set) Sweep() {
	now := s.cfg.Bound()
	for _, c := range s.all() {
		c.claim(IdleBound, func(age time.Duration) (time.Duration, bool) {
			c.bound = max(c.bound, now)
			return c.bound, c.phase == idle && age > c.bound && c.unused()
		})
		c.claimSlow()
	}
}

// claimSlow closes a connection of whose request only a part comes.
func (c *conn) claimSlow() {
	c.claim(SlowHead, func(age time.Duration) (time.Duration, bool) {
		return slowHead, c.phase == begun && age > slowHead && c.quiet()
	})
}

// Drain closes the listener and then each connection as it becomes idle, until
// none is left: every request that was read is answered, and its handler has
// returned. If ctx ends before, Drain returns its error and leaves the rest to
// Close.
func (s *Set) Drain(ctx context.Context) error {
	s.stopping.Store(true)
	s.mu.Lock()
	ln := s.ln
	s.mu.Unlock()
	if ln != nil {
		s.unlisten(ctx, ln)
	}
	tick := time.NewTicker(drainPause)
	defer tick.Stop()
	for {
		left := s.all()
		if len(left) == 0 {
			return nil
		}
		for _, c := range left {
			c.claim(PlannedStop, func(age time.Duration) (time.Duration, bool) {
				return settle, (c.phase == idle || age > settle) && c.unused()
			})
			c.claimSlow()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// unlisten closes the listener. It waits until the server has accepted what has
// connected, since a listener that closes resets it, whatever was sent, and until
// the last that was accepted is known to the set. Callers who go on connecting do
// not hold the stop up for longer than settle.
func (s *Set) unlisten(ctx context.Context, ln *net.TCPListener) {
	line, cancel := context.WithTimeout(ctx, settle)
	defer cancel()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for queued(ln) && line.Err() == nil {
		select {
		case <-line.Done():
		case <-tick.C:
		}
	}
	ln.Close()
	// Its own bound: that of the line is over if callers go on connecting.
	last, done := context.WithTimeout(ctx, lastAccept)
	defer done()
	select {
	case <-last.Done():
	case <-s.deaf:
	}
}

// queued reports whether connections wait to be accepted.
func queued(ln *net.TCPListener) bool {
	raw, err := ln.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		poll, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
		if err != nil {
			return
		}
		defer syscall.Close(poll)
		if syscall.EpollCtl(poll, syscall.EPOLL_CTL_ADD, int(fd), &syscall.EpollEvent{Events: syscall.EPOLLIN}) == nil {
			ready, _ = syscall.EpollWait(poll, make([]syscall.EpollEvent, 1), 0)
		}
	})
	return err == nil && ready > 0
}

// Cancel ends the contexts of requests with a cause. Their connections stay open, so
// that their handlers may still answer.
func (s *Set) Cancel(cause error) {
	for _, c := range s.all() {
		c.mu.Lock()
		if c.cancel != nil {
			c.cancel(cause)
		}
		c.mu.Unlock()
	}
}

// Close closes all connections, whatever they carry.
func (s *Set) Close(why Why) {
	for _, c := range s.all() {
		c.claim(why, func(time.Duration) (time.Duration, bool) { return 0, true })
	}
}

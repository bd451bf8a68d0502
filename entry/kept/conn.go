package kept

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// phase is what a connection carries.
type phase uint8

const (
	// fresh has carried nothing yet.
	fresh phase = iota
	// idle carries nothing after an answer.
	idle
	// begun carries the beginning of a request.
	begun
	// busy carries a request that was handed on.
	busy
	// closed is closed by this process.
	closed
)

// conn is one accepted connection. A byte leaves the kernel in the same step, under
// mu, that makes the connection begun. Bytes that came with the request before count
// once the server waits for more of them. As idle or in a planned stop a connection
// is closed only while it is fresh or idle, the server waits with an empty buffer
// and no byte lies in the kernel, in one step under mu too. So neither cuts a
// request of which a byte was read. A slow head and the end of the grace may; and
// an answer that goes out during a planned stop ends its connection, also for what
// was pipelined behind it, which then is not handed on.
type conn struct {
	*net.TCPConn
	set *Set
	raw syscall.RawConn
	// step is take; to, n and err are what it reads into and what came of it.
	// They belong to the goroutine that reads.
	step func(fd uintptr) bool
	to   []byte
	n    int
	err  error
	// room is the size of the server's buffer: it is empty at the first read, which
	// asks for all of it. Later ones may read a body past the buffer, and ask for
	// more.
	room int

	mu    sync.Mutex
	phase phase
	// since is when phase began, bound the largest bound on idle time in force
	// since the last answer.
	since time.Time
	bound time.Duration
	// waiting is set while the server waits for more than it holds. Before that a
	// connection may look idle while a request lies in the server's buffer.
	waiting bool
	// ahead is set when the server has read a byte behind the request it serves.
	ahead bool
	// late is set if the last request began to arrive after a planned stop had begun,
	// behind another one.
	late bool
	// cancel ends the contexts of requests; nil until the server asked for one.
	cancel context.CancelCauseFunc
}

func newConn(s *Set, nc *net.TCPConn, raw syscall.RawConn) *conn {
	c := &conn{TCPConn: nc, set: s, raw: raw, since: time.Now()}
	c.step = c.take
	return c
}

// Read reads what has arrived, or waits. One goroutine reads at a time.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.to, c.n, c.err = p, 0, nil
	err := c.raw.Read(c.step)
	c.to = nil
	if err == nil {
		err = c.err
	}
	if err != nil {
		c.mu.Lock()
		c.waiting = false
		c.mu.Unlock()
	}
	return c.n, c.failure(err)
}

// take reads from the kernel, unless the connection is closed, and reports whether
// there was anything.
func (c *conn) take(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.room == 0 {
		c.room = len(c.to)
	}
	if c.phase == closed {
		c.err = net.ErrClosed
		return true
	}
	n, err := read(int(fd), c.to)
	switch {
	case err == syscall.EAGAIN:
		c.waiting = true
		if c.phase == idle && len(c.to) < c.room {
			// The rest of the server's buffer holds the beginning of a request.
			c.begin()
		}
		return false
	case err != nil:
		c.err = err
		return true
	case n == 0:
		c.err = io.EOF
		return true
	}
	c.n = n
	switch c.phase {
	case fresh, idle:
		c.begin()
	case busy:
		// The standard server reads a single byte while a handler runs, to
		// notice callers that leave; it is the first of the next request.
		c.ahead = len(c.to) == 1
	}
	return true
}

func read(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// SetReadDeadline sets the deadline. The standard server sets one on an idle
// connection only to read a head whose beginning it holds already: its own bound
// on idle time is off.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if c.phase == idle && !t.IsZero() {
		c.turn(begun)
	}
	c.mu.Unlock()
	return c.TCPConn.SetReadDeadline(t)
}

// failure gives an error the form that the standard server knows.
func (c *conn) failure(err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// begin notes that a request begins to arrive; mu is held.
func (c *conn) begin() {
	c.late = c.phase != fresh && c.set.stopping.Load()
	c.turn(begun)
}

// turn changes the phase; mu is held.
func (c *conn) turn(p phase) {
	c.phase, c.since = p, time.Now()
}

// claim closes the connection if may allows it, which is called under mu. It
// reports whether it did.
func (c *conn) claim(why Why, may func(age time.Duration) (bound time.Duration, ok bool)) bool {
	c.mu.Lock()
	age := time.Since(c.since)
	bound, ok := may(age)
	if !ok || c.phase == closed {
		c.mu.Unlock()
		return false
	}
	c.phase = closed
	if c.cancel != nil {
		c.cancel(&Closed{Why: why, Since: age, Bound: bound})
	}
	c.mu.Unlock()
	c.TCPConn.Close()
	c.set.note(c, why, age, bound)
	return true
}

// quiet reports that the server waits for more and nothing has arrived; mu is held.
// What arrived while the process did not run still lies in the kernel.
func (c *conn) quiet() bool { return c.waiting && c.empty() }

// empty reports that nothing has arrived that the server has not read; mu is held.
func (c *conn) empty() bool {
	arrived := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = n > 0
	})
	return err == nil && !arrived
}

// unused reports that the connection carries nothing; mu is held.
func (c *conn) unused() bool { return (c.phase == fresh || c.phase == idle) && c.quiet() }

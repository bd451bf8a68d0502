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

// phase is what a connection is carrying.
type phase uint8

const (
	// phaseNew means that the connection has carried nothing yet.
	phaseNew phase = iota
	// phaseIdle means that the connection carries nothing after an answer.
	phaseIdle
	// phaseReading means that the beginning of a request has arrived.
	phaseReading
	// phaseServing means that a request was handed to the handler.
	phaseServing
	// phaseClosed means that this process closed the connection.
	phaseClosed
)

// conn is an accepted connection.
//
// Reading the first byte of a request from the kernel and setting phaseReading are one step
// under mu. If the beginning of a request was read together with the previous request, the
// phase becomes phaseReading when the server waits for the rest. A connection that is idle for
// too long, or idle or new in a planned stop, is closed only while the server waits with an
// empty buffer and the kernel holds no byte, also in one step under mu. So neither interrupts a
// request of which a byte was read.
//
// Closing because of a slow head or at the end of the grace may interrupt a request. Moreover,
// an answer that is sent during a planned stop ends its connection, and requests that were
// pipelined after it are not handed to the handler.
type conn struct {
	*net.TCPConn
	set *Set
	raw syscall.RawConn
	// readStep is the method readAvailable. readBuf is what it reads into; readLen and readErr
	// are its result. They belong to the goroutine that reads.
	readStep func(fd uintptr) bool
	readBuf  []byte
	readLen  int
	readErr  error
	// serverBufSize is the size in bytes of the server's buffer. It is the size of the first
	// read, for which the buffer is empty. Later reads of a body may bypass the buffer and be
	// larger.
	serverBufSize int

	mu    sync.Mutex
	phase phase
	// phaseSince is when the phase began, idleBound the largest idle bound in force since the
	// last answer.
	phaseSince time.Time
	idleBound  time.Duration
	// serverWaiting is set while the server waits for more data than its buffer holds. While
	// it is not set, a connection that looks idle may have a request in the server's buffer.
	serverWaiting bool
	// readAhead is set when the server has read a byte after the request that it serves.
	readAhead bool
	// beganDuringStop is set if the last request began to arrive after the start of a planned
	// stop, on a connection that had carried another request before.
	beganDuringStop bool
	// headMemory is this connection's part of Set.headMemory.
	headMemory int64
	// cancel cancels the contexts of requests; nil until the server has asked for one.
	cancel context.CancelCauseFunc
}

func newConn(s *Set, nc *net.TCPConn, raw syscall.RawConn) *conn {
	c := &conn{TCPConn: nc, set: s, raw: raw, phaseSince: time.Now()}
	c.readStep = c.readAvailable
	return c
}

// Read reads what has arrived, or waits for data. One goroutine reads at a time.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.readBuf, c.readLen, c.readErr = p, 0, nil
	err := c.raw.Read(c.readStep)
	c.readBuf = nil
	if c.readLen > 0 && !c.meterHead(p[:c.readLen]) && c.closeIf(HeadMemory, func(time.Duration) (time.Duration, bool) { return 0, true }) {
		c.readLen, err = 0, net.ErrClosed
	}
	if err == nil {
		err = c.readErr
	}
	if err != nil {
		c.mu.Lock()
		c.serverWaiting = false
		c.mu.Unlock()
	}
	return c.readLen, c.wrapError(err)
}

// readAvailable reads from the kernel, unless the connection is closed. It returns false if
// there was nothing to read yet.
func (c *conn) readAvailable(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverWaiting = false
	if c.serverBufSize == 0 {
		c.serverBufSize = len(c.readBuf)
	}
	if c.phase == phaseClosed {
		c.readErr = net.ErrClosed
		return true
	}
	n, err := readFD(int(fd), c.readBuf)
	switch {
	case err == syscall.EAGAIN:
		c.serverWaiting = true
		if c.phase == phaseIdle && len(c.readBuf) < c.serverBufSize {
			// The rest of the server's buffer holds the beginning of a request.
			c.beginRequest()
		}
		return false
	case err != nil:
		c.readErr = err
		return true
	case n == 0:
		c.readErr = io.EOF
		return true
	}
	c.readLen = n
	switch c.phase {
	case phaseNew, phaseIdle:
		c.beginRequest()
	case phaseServing:
		// While a handler runs, net/http reads a single byte in order to notice callers that
		// leave. It is the first byte of the next request.
		c.readAhead = len(c.readBuf) == 1
	}
	return true
}

// readFD reads from a file descriptor and repeats reads that a signal interrupted.
func readFD(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if err != syscall.EINTR {
			return n, err
		}
	}
}

// SetReadDeadline sets the read deadline. On an idle connection net/http sets one only in
// order to read a head of which it already holds the beginning, because its own idle timeout
// is off.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if c.phase == phaseIdle && !t.IsZero() {
		c.setPhase(phaseReading)
	}
	c.mu.Unlock()
	return c.TCPConn.SetReadDeadline(t)
}

// wrapError gives an error the form that net/http expects.
func (c *conn) wrapError(err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) {
		err = opErr.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// beginRequest records that a request begins to arrive. The caller holds mu.
func (c *conn) beginRequest() {
	c.beganDuringStop = c.phase != phaseNew && c.set.stopping.Load()
	c.setPhase(phaseReading)
}

// setPhase changes the phase. The caller holds mu.
func (c *conn) setPhase(p phase) {
	c.phase, c.phaseSince = p, time.Now()
}

// closeIf closes the connection if allowed returns true, and reports whether it did. allowed
// is called with mu held and gets the time since the phase began.
func (c *conn) closeIf(reason Reason, allowed func(age time.Duration) (bound time.Duration, ok bool)) bool {
	c.mu.Lock()
	age := time.Since(c.phaseSince)
	bound, ok := allowed(age)
	if !ok || c.phase == phaseClosed {
		c.mu.Unlock()
		return false
	}
	c.phase = phaseClosed
	if c.cancel != nil {
		c.cancel(&ClosedError{Reason: reason, Age: age, Bound: bound})
	}
	c.mu.Unlock()
	c.TCPConn.Close()
	c.set.recordClosed(c, reason, age, bound)
	return true
}

// isQuiet reports whether the server waits for data and none has arrived. Data that arrived
// while the process was paused is still in the kernel. The caller holds mu.
func (c *conn) isQuiet() bool { return c.serverWaiting && c.isReceiveBufferEmpty() }

// isReceiveBufferEmpty reports whether the kernel holds no data that the server has not read.
// The caller holds mu.
func (c *conn) isReceiveBufferEmpty() bool {
	arrived := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = n > 0
	})
	return err == nil && !arrived
}

// isUnused reports whether the connection carries nothing. The caller holds mu.
func (c *conn) isUnused() bool { return (c.phase == phaseNew || c.phase == phaseIdle) && c.isQuiet() }

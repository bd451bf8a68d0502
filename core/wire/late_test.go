package wire

import (
	"context"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// stopped is a connection of a process that stops for a while in the middle of a
// read. When it runs again, the timers that went off meanwhile come before the
// bytes that came meanwhile, as they do in the runtime.
type stopped struct {
	net.Conn
	mu    sync.Mutex
	limit time.Time
	// stop is taken by the read that is to stop, until again is closed.
	stop, again chan struct{}
}

func newStopped(conn net.Conn) *stopped {
	return &stopped{Conn: conn, stop: make(chan struct{}), again: make(chan struct{})}
}

// SetReadDeadline notes the deadline.
func (c *stopped) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = t
	return c.Conn.SetReadDeadline(t)
}

func (c *stopped) left() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Until(c.limit)
}

// Read stops if it was told to.
func (c *stopped) Read(p []byte) (int, error) {
	select {
	case c.stop <- struct{}{}:
		<-c.again
	default:
	}
	if c.left() < 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// A machine stops for longer than the processes on it may be silent to each other.
// When they run again, each has its peer's last heartbeats in its kernel, unread.
// The links and the requests on them go on. Of 200 connections of a process that
// was stopped by a signal all 200 found their read deadline passed when it went on,
// and bytes behind it; each link "missed its heartbeats".
func TestLinkOutlivesAStop(t *testing.T) {
	const heartbeat = 20 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialled, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := newStopped(dialled)
	a, b := New(conn, Hello{}, Config{Heartbeat: heartbeat}), New(accepted, Hello{}, Config{Heartbeat: heartbeat})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	got := make(chan Message, 1000)
	ended := make(chan error, 2)
	go func() { ended <- a.Run(ctx, func(m Message) { got <- m }) }()
	go func() { ended <- b.Run(ctx, func(Message) {}) }()
	opening(t, got)
	<-conn.stop
	sent := b.Counts().ControlOut
	for conn.left() >= 0 || b.Counts().ControlOut == sent {
		time.Sleep(heartbeat)
	}
	close(conn.again)
	if err := b.Send(new(Known)); err != nil {
		t.Errorf("the peer could not send: %v", err)
	}
	for whole := false; !whole; {
		select {
		case m := <-got:
			whole = m.Kind() == KindKnown
		case err := <-ended:
			t.Fatalf("the link ended: %v", err)
		}
	}
	cancel()
	<-ended
	<-ended
}

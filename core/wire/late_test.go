package wire

import (
	"context"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// pausedConn simulates a connection of a process that is paused during a read. When
// the process runs again, its expired timers fire before the bytes that arrived
// meanwhile are read, as in the Go runtime.
type pausedConn struct {
	net.Conn
	mu           sync.Mutex
	readDeadline time.Time
	// A Read that can send on pause does so and then blocks until resume is closed.
	pause, resume chan struct{}
}

func newPausedConn(conn net.Conn) *pausedConn {
	return &pausedConn{Conn: conn, pause: make(chan struct{}), resume: make(chan struct{})}
}

// SetReadDeadline records the deadline and passes it on.
func (c *pausedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

func (c *pausedConn) deadlineLeft() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Until(c.readDeadline)
}

// Read blocks if the test has requested a pause.
func (c *pausedConn) Read(p []byte) (int, error) {
	select {
	case c.pause <- struct{}{}:
		<-c.resume
	default:
	}
	if c.deadlineLeft() < 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

// A machine is paused for longer than a peer may be silent. When its processes run
// again, the last heartbeats of their peers wait unread in the kernel. The links and
// the requests on them must continue. In a process that was paused by a signal, all
// 200 of its 200 connections had a passed read deadline and unread bytes, and each
// link was closed because the peer had "missed its heartbeats".
func TestLinkSurvivesPausedProcess(t *testing.T) {
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
	conn := newPausedConn(dialled)
	pausedLink, peerLink := New(conn, Hello{}, Config{Heartbeat: heartbeat}), New(accepted, Hello{}, Config{Heartbeat: heartbeat})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	got := make(chan Message, 1000)
	ended := make(chan error, 2)
	go func() { ended <- pausedLink.Run(ctx, func(m Message) { got <- m }) }()
	go func() { ended <- peerLink.Run(ctx, func(Message) {}) }()
	receiveFirstHeartbeat(t, got)
	<-conn.pause
	sent := peerLink.Counts().ControlOut
	for conn.deadlineLeft() >= 0 || peerLink.Counts().ControlOut == sent {
		time.Sleep(heartbeat)
	}
	close(conn.resume)
	if err := peerLink.Send(new(KeyStatus)); err != nil {
		t.Errorf("the peer could not send: %v", err)
	}
	for received := false; !received; {
		select {
		case m := <-got:
			received = m.Kind() == KindKeyStatus
		case err := <-ended:
			t.Fatalf("the link ended: %v", err)
		}
	}
	cancel()
	<-ended
	<-ended
}

// The process is paused between setting a write deadline and writing. The peer reads, so
// the write must succeed.
func TestWriteSurvivesPausedProcess(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	now := time.Now()
	c := &deadlineConn{Conn: conn, liveness: newLiveness(conn, time.Hour, 0), writeTimeout: time.Hour, deadlineSetAt: now}
	if err := conn.SetWriteDeadline(now.Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Write([]byte("piece")); n != len("piece") || err != nil {
		t.Errorf("wrote %d bytes: %v", n, err)
	}
}

package wire

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"lycheepond/core/ident"
	"lycheepond/core/ring"
)

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	n, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	f, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close(); f.Close() })
	return n.(*net.TCPConn), f.(*net.TCPConn)
}

// An agent writes its last answers and ends. The entry is busy just then, and the
// next that it does is to write: there is nobody any more. The answers came before
// that and are handled. When the failed write closed the connection at once, "64 of
// 200 pieces were handled; the link ended with write: connection reset by peer": one
// buffer's worth, the rest lay in the kernel.
func TestLastWordsOfAPeerAreHeard(t *testing.T) {
	// All pieces fit the window of a fresh connection: none waits at the peer.
	const pieces = 200
	near, far := tcpPair(t)
	l := New(near, Hello{}, Config{})
	busy, free := make(chan struct{}), make(chan struct{})
	got := uint32(0)
	ended := make(chan error, 1)
	go func() {
		ended <- l.Run(context.Background(), func(m Message) {
			if got == 0 {
				close(busy)
				<-free
			}
			if c, ok := m.(*Chunk); ok && c.Seq == got {
				got++
			}
		})
	}()
	var out []byte
	for i := range uint32(pieces) {
		var err error
		if out, err = Append(out, &Chunk{ID: ident.Make(1, 1), Seq: i, Data: make([]byte, 100)}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := far.Write(out); err != nil {
		t.Fatal(err)
	}
	<-busy
	// What the entry wrote stands unread, so the end is a reset.
	if err := far.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	far.Close()
	for end := time.Now().Add(10 * time.Second); l.Send(new(Known)) == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("writing to a peer that has ended went on")
		}
	}
	close(free)
	if err := <-ended; err == nil || got != pieces {
		t.Errorf("%d of %d pieces were handled; the link ended with %v", got, pieces, err)
	}
}

// A peer reads too slowly for messages that must not wait. The link's owner, and
// with it the log, learns that as the cause of the end.
func TestFullLinkTellsWhy(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	l := New(near, Hello{}, Config{})
	ended := make(chan error, 1)
	go func() { ended <- l.Run(context.Background(), func(Message) {}) }()
	var full error
	for full == nil {
		full = l.Send(new(Known))
	}
	if err := <-ended; !errors.Is(full, ring.ErrFull) || !errors.Is(err, ring.ErrFull) {
		t.Errorf("the link ended with %v, the send with %v", err, full)
	}
}

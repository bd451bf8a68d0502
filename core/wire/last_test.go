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

// tcpPair returns both ends of a TCP connection.
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

// An agent writes its last answers and exits. The entry is busy at that moment, and
// the next thing it does is to write to the closed connection. The answers arrived
// before and must be handled. If the link closed its own connection as soon as a write
// failed, only the pieces in its buffer, 64 of 200, would be handled. The rest would
// be lost in the kernel, and the link would end with "write: connection reset by
// peer".
func TestAnswersBeforePeerExitAreHandled(t *testing.T) {
	// All pieces fit into the window of a new connection, so none is held back at the
	// peer.
	const pieces = 200
	near, far := tcpPair(t)
	l := New(near, Hello{}, Config{})
	handling, resume := make(chan struct{}), make(chan struct{})
	handled := uint32(0)
	ended := make(chan error, 1)
	go func() {
		ended <- l.Run(context.Background(), func(m Message) {
			if handled == 0 {
				close(handling)
				<-resume
			}
			if c, ok := m.(*Chunk); ok && c.Seq == handled {
				handled++
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
	<-handling
	// The peer has not read what the entry wrote, so closing resets the connection.
	if err := far.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	far.Close()
	for end := time.Now().Add(10 * time.Second); l.Send(new(KeyStatus)) == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("writes to a closed peer still succeed")
		}
	}
	close(resume)
	if err := <-ended; err == nil || handled != pieces {
		t.Errorf("%d of %d pieces were handled; the link ended with %v", handled, pieces, err)
	}
}

// A peer reads too slowly, and the queue for messages that must not wait is full. Run
// must return this as the cause, because the owner of the link logs it.
func TestFullQueueIsReportedAsCause(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	l := New(near, Hello{}, Config{})
	ended := make(chan error, 1)
	go func() { ended <- l.Run(context.Background(), func(Message) {}) }()
	var sendErr error
	for sendErr == nil {
		sendErr = l.Send(new(KeyStatus))
	}
	if err := <-ended; !errors.Is(sendErr, ring.ErrFull) || !errors.Is(err, ring.ErrFull) {
		t.Errorf("the link ended with %v, the send with %v", err, sendErr)
	}
}

package links

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lycheepond/agent/slot"
	"lycheepond/core/ident"
	"lycheepond/core/logs"
	"lycheepond/core/meter"
	"lycheepond/core/wire"
)

// The last answer before a planned stop must reach an entry that reads nothing
// for a second but still sends heartbeats. When the agent closed the socket 200 ms
// after its last write, the next heartbeat arrived at a closed socket, the kernel
// dropped the unread data, and the entry got "98304 of 1048576 bytes, end false:
// unexpected EOF".
func TestFlushWaitsUntilAnswerIsRead(t *testing.T) {
	const (
		chunkCount = 32
		chunkSize  = 32 << 10
		// busyTime is shorter than the silence after which a peer counts as dead.
		busyTime = time.Second
	)
	keys := wire.OneKey([]byte("key"))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	start := time.Now()
	owner := slot.New(slot.Config{
		Now: func() time.Duration { return time.Since(start) }, WallMS: func() int64 { return 0 }, Log: zap.NewNop(),
		Stats: slot.NewStats(meter.New()),
	})
	s := New(Config{
		Self: wire.Hello{Role: wire.RoleAgent, Name: "a", Zone: "z", Incarnation: 1}, Keys: func() wire.Keys { return keys },
		Heartbeat: time.Second, Owner: owner, Log: zap.NewNop(),
	})
	ended := make(chan error, 2)
	go func() { ended <- owner.Run(ctx) }()
	go func() { ended <- s.Run(ctx, ln) }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	agent, err := wire.Handshake(ctx, conn, wire.Hello{Role: wire.RoleEntry, Name: "e", Zone: "z", Incarnation: 2}, keys)
	if err != nil {
		t.Fatal(err)
	}
	entry := wire.New(conn, agent, wire.Config{Heartbeat: 100 * time.Millisecond})
	busy, entryDone := make(chan struct{}), make(chan error, 1)
	gotBytes, gotEnd := 0, false
	go func() {
		entryDone <- entry.Run(t.Context(), func(m wire.Message) {
			switch m := m.(type) {
			case *wire.Chunk:
				if gotBytes == 0 {
					close(busy)
					time.Sleep(busyTime)
				}
				gotBytes += len(m.Data)
			case *wire.End:
				gotEnd = true
			}
		})
	}()
	l := s.awaitLink(t)
	id := ident.Make(1, 1)
	for i := range uint32(chunkCount) {
		if err := l.SendWait(ctx, &wire.Chunk{ID: id, Seq: i, Data: make([]byte, chunkSize)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.SendWait(ctx, &wire.End{ID: id, Chunks: chunkCount, Complete: true}); err != nil {
		t.Fatal(err)
	}
	<-busy
	s.Flush(ctx)
	stop()
	if err := <-entryDone; !gotEnd || gotBytes != chunkCount*chunkSize {
		t.Errorf("%d of %d bytes, end %v: %v", gotBytes, chunkCount*chunkSize, gotEnd, err)
	}
	<-ended
	<-ended
}

// awaitLink waits for the server's first link and returns it.
func (s *Server) awaitLink(t *testing.T) *wire.Link {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		for l := range s.openLinks {
			s.mu.Unlock()
			return l
		}
		s.mu.Unlock()
	}
	t.Fatal("no link was opened")
	return nil
}

// A link beyond maxLinks must be closed without a handshake, and the log must
// name the limit once, or an operator could not see why an entry has no link.
func TestLinkBeyondLimitIsRefusedAndLogged(t *testing.T) {
	logCore, logged := observer.New(zap.InfoLevel)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	s := New(Config{Keys: func() wire.Keys { return wire.OneKey([]byte("key")) }, Log: zap.New(logCore)})
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, ln) }()
	var last net.Conn
	for range maxLinks + 1 {
		if last, err = net.Dial("tcp", ln.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer last.Close()
	}
	// The server has sent its hello on the other connections and waits for a reply.
	if n, err := last.Read(make([]byte, 1)); n != 0 {
		t.Errorf("the connection beyond the limit got data: %v", err)
	}
	if n := logged.FilterMessage(string(logs.EventLinkRefused)).FilterField(zap.Error(errTooManyLinks)).Len(); n != 1 {
		t.Errorf("%d log lines for a link beyond the limit, want 1", n)
	}
	stop()
	<-ended
}

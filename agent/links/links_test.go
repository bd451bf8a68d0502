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

// An agent stops as planned, with the last answer on its link. The entry is busy
// for a second just then, reads nothing and goes on sending its heartbeats. It gets
// the whole answer when it reads on. An agent that closed 200 ms after its last write
// left it with "98304 of 1048576 bytes, end false: unexpected EOF": the next heartbeat
// met a closed socket, and the kernel dropped the rest.
func TestFlushWaitsUntilTheAnswerIsRead(t *testing.T) {
	const (
		pieces = 32
		size   = 32 << 10
		// busyFor is less than the silence after which a peer counts as dead.
		busyFor = time.Second
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
		Now: func() time.Duration { return time.Since(start) }, Wall: func() int64 { return 0 }, Log: zap.NewNop(),
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
	busy, read := make(chan struct{}), make(chan error, 1)
	got, whole := 0, false
	go func() {
		read <- entry.Run(t.Context(), func(m wire.Message) {
			switch m := m.(type) {
			case *wire.Chunk:
				if got == 0 {
					close(busy)
					time.Sleep(busyFor)
				}
				got += len(m.Data)
			case *wire.End:
				whole = true
			}
		})
	}()
	l := s.first(t)
	id := ident.Make(1, 1)
	for i := range uint32(pieces) {
		if err := l.SendWait(ctx, &wire.Chunk{ID: id, Seq: i, Data: make([]byte, size)}); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.SendWait(ctx, &wire.End{ID: id, Chunks: pieces, Complete: true}); err != nil {
		t.Fatal(err)
	}
	<-busy
	s.Flush(ctx)
	stop()
	if err := <-read; !whole || got != pieces*size {
		t.Errorf("%d of %d bytes, end %v: %v", got, pieces*size, whole, err)
	}
	<-ended
	<-ended
}

// first returns the server's link once there is one.
func (s *Server) first(t *testing.T) *wire.Link {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		for l := range s.open {
			s.mu.Unlock()
			return l
		}
		s.mu.Unlock()
	}
	t.Fatal("no link")
	return nil
}

// More entries dial an agent than it takes links. Whoever is turned away finds the
// connection closed, and the operator the bound in the log.
func TestTooManyLinksAreTold(t *testing.T) {
	core, seen := observer.New(zap.InfoLevel)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	s := New(Config{Keys: func() wire.Keys { return wire.OneKey([]byte("key")) }, Log: zap.New(core)})
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, ln) }()
	var last net.Conn
	for range maxLinks + 1 {
		if last, err = net.Dial("tcp", ln.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer last.Close()
	}
	// The others are greeted and wait for an answer.
	if n, err := last.Read(make([]byte, 1)); n != 0 {
		t.Errorf("one link too many was greeted: %v", err)
	}
	if n := seen.FilterMessage(string(logs.EventLinkRefused)).FilterField(zap.Error(errFull)).Len(); n != 1 {
		t.Errorf("%d lines about a link too many", n)
	}
	stop()
	<-ended
}

package links

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepond/agent/slot"
	"lycheepond/core/ident"
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
	agent, err := wire.Open(ctx, conn, wire.Hello{Role: wire.RoleEntry, Name: "e", Zone: "z", Incarnation: 2}, keys)
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
	if err := l.SendWait(ctx, &wire.End{ID: id, Chunks: pieces, Whole: true}); err != nil {
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

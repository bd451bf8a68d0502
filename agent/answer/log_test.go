package answer

import (
	"context"
	"errors"
	"testing"
	"time"

	"lycheepond/core/ident"
	"lycheepond/core/wire"
)

// receive follows l from piece next on and returns what a link would get.
func receive(t *testing.T, l *Log, next uint32) []wire.Message {
	t.Helper()
	var got []wire.Message
	f := &Follower{ID: ident.Make(1, 1), From: next, Load: func() wire.Load { return wire.Load{} }}
	f.Send = func(_ context.Context, m wire.Message) error {
		got = append(got, m)
		return nil
	}
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	if err := l.Follow(ctx, f); err != nil {
		t.Fatal(err)
	}
	return got
}

func TestFollowersGetTheSame(t *testing.T) {
	ctx := context.Background()
	l := New(new(Budget))
	l.SetHead(200, nil)
	for _, s := range []string{"a", "b", "c"} {
		if err := l.Append(ctx, []byte(s)); err != nil {
			t.Fatal(err)
		}
	}
	l.Close(wire.End{Complete: true})
	l.Close(wire.End{})
	if got := receive(t, l, 0); len(got) != 5 {
		t.Fatalf("%d messages", len(got))
	}
	got := receive(t, l, 2)
	if c, ok := got[1].(*wire.Chunk); !ok || c.Seq != 2 || string(c.Data) != "c" {
		t.Fatalf("got %#v", got[1])
	}
	if e, ok := got[2].(*wire.End); !ok || !e.Complete || e.Chunks != 3 || e.Bytes != 3 {
		t.Fatalf("got %#v", got[2])
	}
	if err := l.Append(ctx, []byte("d")); err == nil {
		t.Fatal("a piece was added behind the end")
	}
}

// The link is lost and the engine goes on for long. The answer must not fill
// the memory of a small instance; an entry that asks for a piece that is gone
// hears so instead of getting an answer with a hole in it.
func TestLongAnswerWithoutLinkIsCut(t *testing.T) {
	b := new(Budget)
	l := New(b)
	piece := make([]byte, MaxRun/8)
	for range 12 {
		if err := l.Append(context.Background(), piece); err != nil {
			t.Fatal(err)
		}
	}
	if b.Used() > MaxRun {
		t.Fatalf("%d bytes held", b.Used())
	}
	l.Close(wire.End{Complete: true})
	got := receive(t, l, 0)
	if e, ok := got[len(got)-1].(*wire.End); !ok || e.Complete || e.Reason != wire.ReasonTooLong {
		t.Fatalf("got %#v", got[len(got)-1])
	}
	got = receive(t, l, 11)
	if e, ok := got[len(got)-1].(*wire.End); !ok || !e.Complete || e.Chunks != 12 {
		t.Fatalf("got %#v", got[len(got)-1])
	}
	l.Drop()
	if b.Used() != 0 {
		t.Fatalf("%d bytes held after Drop", b.Used())
	}
}

// A caller reads slowly. The engine is held back instead of the answer losing
// pieces, and goes on when the caller reads again or its link ends.
func TestSlowFollowerHoldsTheProducerBack(t *testing.T) {
	l := New(new(Budget))
	begun, open := make(chan struct{}, 16), make(chan struct{})
	var sent int
	f := &Follower{Load: func() wire.Load { return wire.Load{} }}
	f.Send = func(_ context.Context, m wire.Message) error {
		begun <- struct{}{}
		<-open
		if c, ok := m.(*wire.Chunk); ok {
			sent += len(c.Data)
		}
		return nil
	}
	followed := make(chan error, 1)
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	l.SetHead(200, nil)
	go func() { followed <- l.Follow(ctx, f) }()
	<-begun
	piece := make([]byte, MaxRun/4)
	for range 4 {
		if err := l.Append(ctx, piece); err != nil {
			t.Fatal(err)
		}
	}
	hurried, cancel := context.WithCancel(ctx)
	cancel()
	if err := l.Append(hurried, piece); !errors.Is(err, context.Canceled) {
		t.Fatalf("the producer was not held back: %v", err)
	}
	close(open)
	if err := l.Append(ctx, piece); err != nil {
		t.Fatal(err)
	}
	l.Close(wire.End{Complete: true})
	if err := <-followed; err != nil || sent != 5*len(piece) {
		t.Fatalf("%d bytes sent: %v", sent, err)
	}
}

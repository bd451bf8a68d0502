package answer

import (
	"context"
	"errors"
	"testing"
	"time"

	"lycheepond/core/ident"
	"lycheepond/core/wire"
)

// receive follows l from chunk fromSeq on and returns the messages that a link
// would get.
func receive(t *testing.T, l *Log, fromSeq uint32) []wire.Message {
	t.Helper()
	var got []wire.Message
	f := &Follower{ID: ident.Make(1, 1), FromSeq: fromSeq, Load: func() wire.Load { return wire.Load{} }}
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

// A follower that starts later must get the same chunks and the same end.
func TestFollowersGetSameAnswer(t *testing.T) {
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
		t.Fatal("a chunk was added after the end")
	}
}

// The link is lost while the engine writes a long answer. The answer must not
// fill the memory of a small instance. An entry that asks for a dropped chunk
// must get an End with a reason, and never an answer with a gap.
func TestLongAnswerWithoutFollowerDropsOldChunks(t *testing.T) {
	b := new(Budget)
	l := New(b)
	chunk := make([]byte, MaxAnswerBytes/8)
	for range 12 {
		if err := l.Append(context.Background(), chunk); err != nil {
			t.Fatal(err)
		}
	}
	if b.Used() > MaxAnswerBytes {
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
	l.DropChunks()
	if b.Used() != 0 {
		t.Fatalf("%d bytes held after DropChunks", b.Used())
	}
}

// A caller reads slowly. The producer must wait, or the answer would lose chunks.
// It continues when the follower sends again.
func TestSlowFollowerBlocksProducer(t *testing.T) {
	l := New(new(Budget))
	sendStarted, unblock := make(chan struct{}, 16), make(chan struct{})
	var sentBytes int
	f := &Follower{Load: func() wire.Load { return wire.Load{} }}
	f.Send = func(_ context.Context, m wire.Message) error {
		sendStarted <- struct{}{}
		<-unblock
		if c, ok := m.(*wire.Chunk); ok {
			sentBytes += len(c.Data)
		}
		return nil
	}
	followed := make(chan error, 1)
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	l.SetHead(200, nil)
	go func() { followed <- l.Follow(ctx, f) }()
	<-sendStarted
	chunk := make([]byte, MaxAnswerBytes/4)
	for range 4 {
		if err := l.Append(ctx, chunk); err != nil {
			t.Fatal(err)
		}
	}
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	if err := l.Append(cancelled, chunk); !errors.Is(err, context.Canceled) {
		t.Fatalf("the producer was not blocked: %v", err)
	}
	close(unblock)
	if err := l.Append(ctx, chunk); err != nil {
		t.Fatal(err)
	}
	l.Close(wire.End{Complete: true})
	if err := <-followed; err != nil || sentBytes != 5*len(chunk) {
		t.Fatalf("%d bytes sent: %v", sentBytes, err)
	}
}

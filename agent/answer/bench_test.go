package answer

import (
	"context"
	"testing"

	"lycheepond/core/wire"
)

// BenchmarkRelay passes one token from a producer to one follower.
func BenchmarkRelay(b *testing.B) {
	ctx := context.Background()
	l := New(new(Budget))
	done := make(chan error, 1)
	f := &Follower{
		Load: func() wire.Load { return wire.Load{} },
		Send: func(context.Context, wire.Message) error { return nil },
	}
	go func() { done <- l.Follow(ctx, f) }()
	token := make([]byte, 64)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if err := l.Append(ctx, token); err != nil {
			b.Fatal(err)
		}
	}
	l.Close(wire.End{Complete: true})
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}

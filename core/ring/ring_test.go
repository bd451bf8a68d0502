package ring_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"lycheepond/core/ring"
)

// The reader of a ring stops reading while the writer goes on. The writer must
// be told at once that the ring is full, and the ring must not grow.
func TestTryPutReportsFull(t *testing.T) {
	r := ring.New[int](1)
	if err := r.TryPut(1); err != nil {
		t.Fatal(err)
	}
	if err := r.TryPut(2); !errors.Is(err, ring.ErrFull) {
		t.Fatalf("second TryPut: %v", err)
	}
	if r.Len() != 1 || r.Cap() != 1 {
		t.Fatalf("Len %d, Cap %d", r.Len(), r.Cap())
	}
}

// Put on a full ring must end with the cause of its context.
func TestPutEndsWithContext(t *testing.T) {
	r := ring.New[int](1)
	ctx, cancel := context.WithCancelCause(context.Background())
	if err := r.Put(ctx, 1); err != nil {
		t.Fatal(err)
	}
	cause := errors.New("stopping")
	cancel(cause)
	if err := r.Put(ctx, 2); !errors.Is(err, cause) {
		t.Fatalf("Put: %v", err)
	}
}

func ExampleRing() {
	r := ring.New[string](4)
	fmt.Println(r.TryPut("first"), r.TryPut("second"))
	fmt.Println(<-r.Items(), <-r.Items())
	// Output:
	// <nil> <nil>
	// first second
}

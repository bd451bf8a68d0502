// Package ring joins two goroutines by a bounded queue.
package ring

import (
	"context"
	"errors"
)

// ErrFull reports that the reader of a ring has fallen behind.
var ErrFull = errors.New("ring: full: the reader has fallen behind, drop the peer or wait with Put")

// Ring is a bounded first-in first-out queue between goroutines.
type Ring[T any] struct {
	// items never holds more than the capacity given to New.
	items chan T
}

// New returns a ring that holds up to n items.
func New[T any](n int) *Ring[T] { return &Ring[T]{items: make(chan T, n)} }

// Offer adds v without waiting and returns ErrFull when there is no room.
func (r *Ring[T]) Offer(v T) error {
	select {
	case r.items <- v:
		return nil
	default:
		return ErrFull
	}
}

// Put adds v and waits for room until ctx ends.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.items <- v:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Items returns the channel to receive from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns how many items wait.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns how many items fit.
func (r *Ring[T]) Cap() int { return cap(r.items) }

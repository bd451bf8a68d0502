// Package ring implements a bounded queue between goroutines.
package ring

import (
	"context"
	"errors"
)

// ErrFull is returned by TryPut when the ring is full because its reader has
// fallen behind.
var ErrFull = errors.New("ring: full: the reader has fallen behind, drop the peer or wait with Put")

// Ring is a bounded first-in first-out queue. Its methods may be called by
// several goroutines.
type Ring[T any] struct {
	// items has the capacity given to New.
	items chan T
}

// New returns a ring that holds at most n items.
func New[T any](n int) *Ring[T] { return &Ring[T]{items: make(chan T, n)} }

// TryPut adds v without waiting. It returns ErrFull if the ring is full.
func (r *Ring[T]) TryPut(v T) error {
	select {
	case r.items <- v:
		return nil
	default:
		return ErrFull
	}
}

// Put adds v. If the ring is full, it waits for room and returns the cause of
// ctx if ctx ends first.
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

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the capacity of the ring.
func (r *Ring[T]) Cap() int { return cap(r.items) }

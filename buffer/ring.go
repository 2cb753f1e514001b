package buffer

import (
	"context"
	"errors"
)

// ErrFull is returned by Offer when the ring has no free slot.
var ErrFull = errors.New("buffer: ring is full")

// ErrClosed is returned by Put and Offer once the ring is closed, and by Take once it is closed and empty.
var ErrClosed = errors.New("buffer: ring is closed")

// Ring is a bounded first-in, first-out queue that is safe for concurrent use; create one with NewRing.
type Ring[T any] struct {
	slots  chan T
	closed chan struct{}
}

// NewRing returns a ring with n slots; it panics if n is not positive.
func NewRing[T any](n int) *Ring[T] {
	if n <= 0 {
		panic("buffer: ring needs at least one slot")
	}
	return &Ring[T]{slots: make(chan T, n), closed: make(chan struct{})}
}

// Put adds v; if the ring is full, it waits for a free slot until ctx ends.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case <-r.closed:
		return ErrClosed
	default:
	}
	select {
	case r.slots <- v:
		return nil
	case <-r.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Offer adds v without waiting and returns ErrFull if there is no free slot.
func (r *Ring[T]) Offer(v T) error {
	select {
	case <-r.closed:
		return ErrClosed
	default:
	}
	select {
	case r.slots <- v:
		return nil
	default:
		return ErrFull
	}
}

// Take removes and returns the oldest value; if the ring is empty, it waits for a value until ctx ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	var zero T
	select {
	case v := <-r.slots:
		return v, nil
	default:
	}
	select {
	case v := <-r.slots:
		return v, nil
	case <-r.closed:
		// A value may have been added after the first select and before Close.
		select {
		case v := <-r.slots:
			return v, nil
		default:
			return zero, ErrClosed
		}
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// Len returns the number of values in the ring.
func (r *Ring[T]) Len() int {
	return len(r.slots)
}

// Close makes Put and Offer return ErrClosed; Take still returns the values in the ring. It must be called at most once.
func (r *Ring[T]) Close() {
	close(r.closed)
}

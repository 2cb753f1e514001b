package buffer_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/buffer"
)

// Guards against a ring that grows beyond its size, changes the order of values, or loses values when it is closed.
func TestRingIsBoundedAndKeepsOrder(t *testing.T) {
	r := buffer.NewRing[int](2)
	must.NoError(t, r.Offer(1))
	must.NoError(t, r.Offer(2))
	must.ErrorIs(t, r.Offer(3), buffer.ErrFull)
	r.Close()
	must.ErrorIs(t, r.Offer(4), buffer.ErrClosed)
	for _, want := range []int{1, 2} {
		v, err := r.Take(context.Background())
		must.NoError(t, err)
		must.Eq(t, want, v)
	}
	_, err := r.Take(context.Background())
	must.ErrorIs(t, err, buffer.ErrClosed)
}

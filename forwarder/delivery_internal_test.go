package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// discarder is the response writer of a caller who reads at once.
type discarder struct{ http.ResponseWriter }

func (discarder) Write(b []byte) (int, error) { return len(b), nil }

func (discarder) Flush() {}

// BenchmarkPass measures what passing an event on to a caller who reads adds to the write and the flush.
func BenchmarkPass(b *testing.B) {
	w := discarder{httptest.NewRecorder()}
	piece := make([]byte, 300)
	b.Run("write", func(b *testing.B) {
		control := http.NewResponseController(w)
		for b.Loop() {
			_, _ = w.Write(piece)
			_ = control.Flush()
		}
	})
	b.Run("pass", func(b *testing.B) {
		d := newDelivery(New(), &request{}, w)
		defer d.stop()
		b.ReportAllocs()
		for b.Loop() {
			_ = d.pass(context.Background(), piece, true)
		}
	})
}

// deadlineRecorder is a response writer that counts the write deadlines that are set.
type deadlineRecorder struct {
	discarder
	deadlines int
}

func (r *deadlineRecorder) SetWriteDeadline(time.Time) error {
	r.deadlines++
	return nil
}

// Guards against a use of the response writer after the request has ended, when its caller leaves at the same moment.
func TestLeavingAfterStopSetsNoDeadline(t *testing.T) {
	w := &deadlineRecorder{discarder: discarder{httptest.NewRecorder()}}
	d := newDelivery(New(), &request{}, w)
	must.NoError(t, d.pass(t.Context(), []byte("x"), true))
	ctx, leave := context.WithCancel(t.Context())
	d.stopLeaving = context.AfterFunc(ctx, func() {})
	d.stop()
	leave()
	d.endWritesOnLeaving(ctx)
	must.EqOp(t, 0, w.deadlines)
}

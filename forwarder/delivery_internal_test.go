package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
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

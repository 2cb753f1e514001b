package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/connector"
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

// readLastPiece returns a whole response, without memory for a backlog and past its deadline, and its last piece, which was just read.
func readLastPiece(t *testing.T) (ctx context.Context, r *wholeRelay, w *deadlineRecorder, piece []byte) {
	t.Helper()
	w = &deadlineRecorder{discarder: discarder{httptest.NewRecorder()}}
	body := io.NopCloser(iotest.DataErrReader(strings.NewReader("x")))
	c := &call{response: &connector.Response{Response: &http.Response{Body: body}}}
	r = &wholeRelay{call: c, delivery: newDelivery(New(WithMaxBacklogBytes(0)), &request{}, w)}
	r.detach = func() { r.buf = nil }
	piece, err := r.next()
	must.NoError(t, err)
	ctx, end := context.WithCancelCause(t.Context())
	end(errDeadline)
	return ctx, r, w, piece
}

// Guards against a whole response that is cut at its deadline, although all of it was read, because its last piece still waits.
func TestLastPieceIsNotCutAtDeadline(t *testing.T) {
	t.Run("being written", func(t *testing.T) {
		ctx, r, w, piece := readLastPiece(t)
		r.beginWrite(ctx, piece)
		must.True(t, r.beginTakeOver(ctx))
		must.EqOp(t, 0, w.deadlines)
	})
	t.Run("handed back", func(t *testing.T) {
		ctx, r, _, piece := readLastPiece(t)
		r.toWriter, r.toReader = make(chan struct{}, 1), make(chan struct{}, 1)
		r.isTakenOver, r.writing = true, true
		result := make(chan error, 1)
		go func() { result <- r.pass(ctx, piece, false) }()
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		r.writing = false
		r.recordWritten(nil)
		r.mu.Unlock()
		must.ErrorIs(t, <-result, errHandedOver)
	})
}

// Guards against a backlog that takes more memory than it counts: the buffer of a piece, which is handed over with it, may be much larger than
// the piece.
func TestBufferOfPieceCounts(t *testing.T) {
	for name, x := range map[string]struct {
		capacity int
		total    int64
		isTaken  bool
	}{
		"small":                   {4 << 10, 8 << 20, true},
		"as large as a backlog":   {maxBacklogBytes, 8 << 20, true},
		"larger":                  {maxBacklogBytes + 1, 8 << 20, false},
		"larger than what's left": {100 << 10, 90 << 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := New(WithMaxBacklogBytes(x.total))
			d := newDelivery(f, &request{}, &deadlineRecorder{discarder: discarder{httptest.NewRecorder()}})
			d.detach = func() {}
			d.beginWrite(t.Context(), make([]byte, 300, x.capacity))
			must.EqOp(t, x.isTaken, d.beginTakeOver(t.Context()))
			held := 0
			if x.isTaken {
				held = x.capacity
			}
			must.EqOp(t, held, d.backlog.heldBytes)
			must.EqOp(t, int64(held), f.backlogBytes.Load())
			must.EqOp(t, x.isTaken, errors.Is(d.endWrite(nil), errHandedOver))
			must.EqOp(t, 0, f.backlogBytes.Load())
		})
	}
}

package logger

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/buffer"
)

const (
	// ringSize bounds the lines that wait, at some 500 bytes each.
	ringSize = 512
	// batchSize bounds the bytes of one write; each write is a system call.
	batchSize = 16 << 10
	// batchTime is how long lines wait for others.
	batchTime = 100 * time.Millisecond
)

// Writer passes lines to a slow writer and drops those for which there is no room. It is safe for concurrent use.
type Writer struct {
	ring *buffer.Ring[[]byte]
	w    io.Writer
	// perSecond bounds the lines of a second, at is that second and n their number.
	perSecond int64
	at, n     atomic.Int64
	now       func() time.Time

	written, dropped, failed atomic.Int64
}

// Option configures a Writer.
type Option func(*Writer)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(w *Writer) { w.now = now }
}

// NewWriter returns a writer of at most so many lines a second; Run must be called for lines to appear.
func NewWriter(w io.Writer, perSecond int, opts ...Option) *Writer {
	x := &Writer{ring: buffer.NewRing[[]byte](ringSize), w: w, perSecond: int64(perSecond), now: time.Now}
	for _, o := range opts {
		o(x)
	}
	return x
}

// NewLogger returns a logger of JSON lines on a writer.
func NewLogger(w *Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}

// Write takes one line; it never fails.
func (w *Writer) Write(b []byte) (int, error) {
	second := w.now().Unix()
	if w.at.Swap(second) != second {
		w.n.Store(0)
	}
	if w.n.Add(1) > w.perSecond || w.ring.Offer(append([]byte(nil), b...)) != nil {
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Run writes lines in batches until ctx ends, and then those that wait.
func (w *Writer) Run(ctx context.Context) error {
	batch := make([]byte, 0, batchSize)
	for {
		line, err := w.ring.Take(ctx)
		if err == nil {
			batch = append(batch, line...)
			pause := time.NewTimer(batchTime)
			select {
			case <-ctx.Done():
			case <-pause.C:
			}
			pause.Stop()
		}
		batch = w.gather(batch)
		batch = w.flush(batch)
		if ctx.Err() != nil && w.ring.Len() == 0 || errors.Is(err, buffer.ErrClosed) {
			return nil
		}
	}
}

// gather adds the lines that wait.
func (w *Writer) gather(batch []byte) []byte {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for w.ring.Len() > 0 && len(batch) < batchSize {
		line, err := w.ring.Take(ended)
		if err != nil {
			break
		}
		batch = append(batch, line...)
	}
	return batch
}

func (w *Writer) flush(batch []byte) []byte {
	if len(batch) == 0 {
		return batch
	}
	if _, err := w.w.Write(batch); err != nil {
		w.failed.Add(1)
	} else {
		w.written.Add(1)
	}
	return batch[:0]
}

// Counters returns the numbers of writes, of dropped lines and of failed writes.
func (w *Writer) Counters() map[string]int64 {
	return map[string]int64{"writes": w.written.Load(), "dropped": w.dropped.Load(), "failed": w.failed.Load()}
}

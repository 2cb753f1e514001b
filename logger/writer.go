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
	// ringCapacity bounds the lines that wait to be written, of some 500 bytes each.
	ringCapacity = 512
	// maxBatchBytes is the size at which a batch is full; lines are batched because each write is a system call.
	maxBatchBytes = 16 << 10
	// batchDelay is how long the first line of a batch waits for others.
	batchDelay = 100 * time.Millisecond
)

// Writer buffers lines for a writer that may be slow, and drops lines beyond its buffer or rate. It is safe for concurrent
// use.
type Writer struct {
	ring *buffer.Ring[[]byte]
	out  io.Writer
	// maxLinesPerSecond bounds the lines that are accepted in one second.
	maxLinesPerSecond int64
	// currentSecond is the Unix time of the last line, and linesInSecond the number of lines in that second.
	currentSecond, linesInSecond atomic.Int64
	now                          func() time.Time

	writes, droppedLines, failedWrites atomic.Int64
}

// Option configures a Writer.
type Option func(*Writer)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option {
	return func(w *Writer) { w.now = now }
}

// NewWriter returns a writer that passes at most maxLinesPerSecond lines to w in a second; Run must be called to write them.
func NewWriter(w io.Writer, maxLinesPerSecond int, opts ...Option) *Writer {
	writer := &Writer{ring: buffer.NewRing[[]byte](ringCapacity), out: w, maxLinesPerSecond: int64(maxLinesPerSecond), now: time.Now}
	for _, o := range opts {
		o(writer)
	}
	return writer
}

// NewLogger returns a logger that writes JSON lines to w.
func NewLogger(w *Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}

// Write queues a copy of one line, or drops and counts the line; it never blocks and never fails.
func (w *Writer) Write(b []byte) (int, error) {
	second := w.now().Unix()
	if w.currentSecond.Swap(second) != second {
		w.linesInSecond.Store(0)
	}
	if w.linesInSecond.Add(1) > w.maxLinesPerSecond || w.ring.Offer(append([]byte(nil), b...)) != nil {
		w.droppedLines.Add(1)
	}
	return len(b), nil
}

// Run writes lines in batches until ctx ends, and then writes the lines that are still queued.
func (w *Writer) Run(ctx context.Context) error {
	batch := make([]byte, 0, maxBatchBytes)
	for {
		line, err := w.ring.Take(ctx)
		if err == nil {
			batch = append(batch, line...)
			pause := time.NewTimer(batchDelay)
			select {
			case <-ctx.Done():
			case <-pause.C:
			}
			pause.Stop()
		}
		batch = w.drainRing(batch)
		batch = w.flush(batch)
		if ctx.Err() != nil && w.ring.Len() == 0 || errors.Is(err, buffer.ErrClosed) {
			return nil
		}
	}
}

// drainRing appends queued lines to the batch until the ring is empty or the batch is full; it does not wait for lines.
func (w *Writer) drainRing(batch []byte) []byte {
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	for w.ring.Len() > 0 && len(batch) < maxBatchBytes {
		line, err := w.ring.Take(expired)
		if err != nil {
			break
		}
		batch = append(batch, line...)
	}
	return batch
}

// flush writes a batch and returns it emptied for reuse.
func (w *Writer) flush(batch []byte) []byte {
	if len(batch) == 0 {
		return batch
	}
	if _, err := w.out.Write(batch); err != nil {
		w.failedWrites.Add(1)
	} else {
		w.writes.Add(1)
	}
	return batch[:0]
}

// Counters returns the numbers of successful writes, of dropped lines and of failed writes.
func (w *Writer) Counters() map[string]int64 {
	return map[string]int64{"writes": w.writes.Load(), "dropped": w.droppedLines.Load(), "failed": w.failedWrites.Load()}
}

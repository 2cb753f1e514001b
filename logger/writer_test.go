package logger_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/logger"
)

// blockingBuffer is a buffer whose writes block until unblock is closed, if it is set.
type blockingBuffer struct {
	mu sync.Mutex
	bytes.Buffer
	unblock chan struct{}
}

func (s *blockingBuffer) Write(b []byte) (int, error) {
	if s.unblock != nil {
		<-s.unblock
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(b)
}

func (s *blockingBuffer) lines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Count(s.String(), "\n")
}

// Guards against queued lines that are lost when the process ends.
func TestLinesAreWritten(t *testing.T) {
	s := &blockingBuffer{}
	w := logger.NewWriter(s, 1000)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- w.Run(ctx) }()
	log := logger.NewLogger(w, slog.LevelInfo)
	for i := range 200 {
		log.Info("line", "n", i)
	}
	log.Debug("hidden")
	cancel()
	must.NoError(t, <-done)
	must.EqOp(t, 200, s.lines())
	must.EqOp(t, 0, w.Counters()["dropped"])
}

// Guards against a request that waits for the log: while the output blocks, lines are dropped and counted.
func TestNeverBlocks(t *testing.T) {
	s := &blockingBuffer{unblock: make(chan struct{})}
	w := logger.NewWriter(s, 1_000_000)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- w.Run(ctx) }()
	for range 10_000 {
		_, err := w.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.Greater(t, 8000, w.Counters()["dropped"])
	close(s.unblock)
	cancel()
	must.NoError(t, <-done)
}

// Guards against a log whose rate grows with the load beyond the maximum lines per second.
func TestLinesPerSecond(t *testing.T) {
	now := time.Unix(1000, 0)
	w := logger.NewWriter(&blockingBuffer{}, 10, logger.WithNow(func() time.Time { return now }))
	for range 25 {
		_, _ = w.Write([]byte("line\n"))
	}
	must.EqOp(t, 15, w.Counters()["dropped"])
	now = now.Add(time.Second)
	_, _ = w.Write([]byte("line\n"))
	must.EqOp(t, 15, w.Counters()["dropped"])
}

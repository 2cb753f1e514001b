//go:build !race

// Allocations are counted without the race detector, because it makes sync.Pool drop values at random.

package streamer_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against allocations per token frame, which would be too costly at 400,000 tokens/s.
func TestTokenFrameAllocations(t *testing.T) {
	f := benchmarkFrame()
	in := []byte(strings.TrimSpace(encodeLine(t, f)))
	buf := make([]byte, 0, 1024)
	var failed error
	must.Eq(t, 0, testing.AllocsPerRun(100, func() {
		_, errA := streamer.AppendFrame(buf, &f)
		_, errB := streamer.DecodeFrame(in, f.Request)
		failed = errors.Join(failed, errA, errB)
	}))
	must.NoError(t, failed)
}

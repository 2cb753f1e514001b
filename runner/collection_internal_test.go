package runner

import (
	"runtime/debug"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against collections that stop small instances for long, against a heap that grows without bound on the smallest, and against other
// instances, or those whose share is not known, that use more memory.
func TestCollectionPercent(t *testing.T) {
	for share, want := range map[float64]int{0: 100, -1: 100, 4: 100, 0.3: 100, 0.15: 200, 0.1: 300, 0.01: 400} {
		must.EqOp(t, want, collectionPercent(share))
	}
}

// Guards against a growth of the heap that the environment of the process sets and that is overridden although the share is not known.
func TestUnknownShareKeepsCollections(t *testing.T) {
	limit := debug.SetMemoryLimit(-1)
	percent := debug.SetGCPercent(250)
	defer func() {
		debug.SetMemoryLimit(limit)
		debug.SetGCPercent(percent)
	}()
	s := Settings{MemoryBytes: 1 << 30}
	limitMemory(&s)
	must.EqOp(t, 250, debug.SetGCPercent(250))
	s.ProcessorShare = 0.1
	limitMemory(&s)
	must.EqOp(t, 300, debug.SetGCPercent(250))
}

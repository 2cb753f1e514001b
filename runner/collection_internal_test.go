package runner

import (
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

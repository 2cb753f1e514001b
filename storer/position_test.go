package storer_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/storer"
)

// Guards against a version of a later era that counts as older because it is lower.
func TestPositionOrder(t *testing.T) {
	must.True(t, storer.Position{Era: 1, Version: 95}.Before(storer.Position{Era: 2, Version: 90}))
	must.True(t, storer.Position{Era: 2, Version: 90}.Before(storer.Position{Era: 2, Version: 91}))
	must.False(t, storer.Position{Era: 2, Version: 90}.Before(storer.Position{Era: 2, Version: 90}))
	must.EqOp(t, "2/90", storer.Position{Era: 2, Version: 90}.String())
	draw := rapid.Custom(func(t *rapid.T) storer.Position {
		return storer.Position{Era: rapid.Uint64Max(3).Draw(t, "era"), Version: rapid.Uint64Max(3).Draw(t, "version")}
	})
	rapid.Check(t, func(t *rapid.T) {
		p, q, r := draw.Draw(t, "p"), draw.Draw(t, "q"), draw.Draw(t, "r")
		must.EqOp(t, -q.Compare(p), p.Compare(q))
		must.EqOp(t, p == q, p.Compare(q) == 0)
		if p.Before(q) && q.Before(r) {
			must.True(t, p.Before(r))
		}
	})
}

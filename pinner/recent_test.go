package pinner_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/pinner"
)

// Guards against a recently used session that is forgotten too early, and against memory that grows without bound.
func TestRecent(t *testing.T) {
	const age = 5 * time.Second
	r, now := pinner.NewRecentSessions(age), time.Unix(1000, 0)
	r.Use(1, now)
	r.Use(2, now.Add(4*time.Second))
	must.True(t, r.Has(1, now.Add(age)))
	must.True(t, r.Has(2, now.Add(8*time.Second)))
	must.False(t, r.Has(3, now.Add(8*time.Second)))
	must.False(t, r.Has(1, now.Add(2*age+time.Second)))
	must.False(t, r.Has(2, now.Add(time.Hour)))
	for s := range uint64(10) {
		r.Use(s, now.Add(time.Hour))
	}
	must.SliceLen(t, 4, r.List(now.Add(time.Hour), 4))
	must.SliceLen(t, 10, r.List(now.Add(time.Hour), 100))
}

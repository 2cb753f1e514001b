package batchfaker_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/batchfaker"
)

// Guards against an engine model that creates or loses tokens when sequences join, stop and end.
func TestEngineSharesItsRate(t *testing.T) {
	l := batchfaker.NewLoop(time.Unix(0, 0))
	s := batchfaker.SpeedProfile{Knee: 2, Step: 10 * time.Millisecond, PrefillChunk: 100}
	e := batchfaker.NewEngine(l, s)
	var first, done time.Time
	e.Start(100, 10, func() { first = l.Now() }, func() { done = l.Now() })
	stopped := e.Start(0, 1000, func() {}, func() { t.Fatal("stopped sequence ended") })
	e.Start(0, 1000, func() {}, func() {})
	e.Start(0, 1000, func() {}, func() {})
	l.Run(l.Now().Add(100 * time.Millisecond))
	must.Eq(t, 5, e.Stop(stopped))
	l.Run(l.Now().Add(time.Second))
	// The sequences decode 10, 5, 102 and 102 tokens. With a knee of two, a step of four sequences takes 20 ms and one of
	// three takes 15 ms.
	must.Between(t, 39, first.Sub(time.Unix(0, 0)).Milliseconds(), 41)
	must.Between(t, 189, done.Sub(time.Unix(0, 0)).Milliseconds(), 191)
	must.Between(t, 218.9, e.Tokens(), 219.1)
}

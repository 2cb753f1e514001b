package balancer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against an upstream over its share of choices that counts as reading like another one whose reading is over.
func TestEndedReadingIsNotCharged(t *testing.T) {
	now := start
	b := balancer.New("dc", balancer.WithEvenLoad(), balancer.WithNow(func() time.Time { return now }))
	list := newUpstreams(10, 1)
	b.Update(list)
	expected := func() float64 { return b.State().(balancer.State).Upstreams[0].ExpectedTime }
	var others []identifier.Upstream
	for i, u := range list {
		b.Report(u.Name, streamer.Load{At: now, Running: min(i, 1) * 20})
		if i > 0 {
			others = append(others, u.Name)
		}
	}
	for range 200 {
		_, err := b.Choose(balancer.Query{Target: target(0)})
		must.NoError(t, err)
	}
	for range 200 {
		_, err := b.Choose(balancer.Query{Target: target(0), Exclude: others})
		must.NoError(t, err)
	}
	before := expected()
	must.True(t, b.AddReading(list[5].Name, now, 4*time.Second))
	must.EqOp(t, before+160, expected())
	b.EndReading(list[5].Name, now)
	must.EqOp(t, before, expected())
}

// Guards against a prompt that no upstream reads any more and that counts on, and against one that takes the time of others with it.
func TestUnreadPromptEnds(t *testing.T) {
	now := start
	b := balancer.New("dc", balancer.WithNow(func() time.Time { return now }), balancer.WithEvenLoad())
	b.Update(newUpstreams(1, 1))
	name := newUpstreams(1, 1)[0].Name
	expected := func() float64 { return b.State().(balancer.State).Upstreams[0].ExpectedTime }
	idle := expected()
	add := func(d time.Duration) balancer.Reading {
		r, ok := b.AddOwnReading(name, now, d)
		must.True(t, ok)
		return r
	}
	one := add(time.Second)
	must.EqOp(t, idle+40, expected())
	b.EndUnread(one)
	must.EqOp(t, idle, expected())
	b.EndUnread(one)
	for range 100 {
		b.EndUnread(add(5 * time.Second)) // the time that was given back may be used again
	}
	must.EqOp(t, idle, expected())

	first, second := add(time.Second), add(2*time.Second)
	now = now.Add(500 * time.Millisecond)
	must.EqOp(t, idle+100, expected())
	b.EndUnread(first)
	must.EqOp(t, idle+80, expected())
	b.EndUnread(second)
	must.EqOp(t, idle, expected())

	old := add(time.Second)
	b.EndReading(name, now)
	add(time.Second)
	b.EndUnread(old)
	must.EqOp(t, idle+40, expected())
	b.EndReading(name, now)

	sentAt := now
	add(time.Second)
	now = now.Add(100 * time.Millisecond)
	b.EndUnread(add(time.Second))
	b.EndReading(name, sentAt) // the first event of the prompt that is left
	must.EqOp(t, idle, expected())
	b.EndUnread(balancer.Reading{})
}

// Guards against the hash of a datagram that is looked up in a time in proportion to the number of upstreams.
func TestUpstreamByHashDoesNotScan(t *testing.T) {
	fastest := func(n int) time.Duration {
		b := balancer.New("dc-0")
		b.Update(newUpstreams(n, 1))
		least := time.Hour
		for range 20 {
			began := time.Now()
			for i := range uint64(200) {
				b.UpstreamByHash(i)
			}
			least = min(least, time.Since(began))
		}
		return least
	}
	few, many := fastest(10), fastest(2200)
	t.Logf("200 lookups among 10 and 2,200 upstreams: %v, %v", few, many)
	must.Less(t, 10*few+20*time.Microsecond, many)
}

package quarantiner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/quarantiner"
)

var fatalRequest = quarantiner.NewRequest(one, "POST", "host", "/path?n=1", []byte("body"))

// Guards against requests that are taken for the same one, and against one that is not recognised.
func TestRequestIdentity(t *testing.T) {
	seen := map[quarantiner.Part]bool{}
	for _, p := range []quarantiner.Part{
		fatalRequest, quarantiner.NewRequest(two, "POST", "host", "/path?n=1", []byte("body")),
		quarantiner.NewRequest(one, "PUT", "host", "/path?n=1", []byte("body")), quarantiner.NewRequest(one, "POST", "other", "/path?n=1", []byte("body")),
		quarantiner.NewRequest(one, "POST", "host", "/path?n=2", []byte("body")), quarantiner.NewRequest(one, "POST", "host", "/path?n=1", []byte("Body")),
		quarantiner.NewRequest(one, "POST", "host", "/path?n=1", nil), quarantiner.NewRequest(one, "POST", "host", "/path?n=1\n", []byte("body")),
	} {
		must.True(t, p.IsRequest())
		must.False(t, seen[p])
		seen[p] = true
	}
	must.EqOp(t, fatalRequest, quarantiner.NewRequest(one, "POST", "host", "/path?n=1", []byte("body")))
	for i := range 100 {
		must.False(t, quarantiner.NewPart("s", fmt.Sprint(i)).IsRequest())
	}
}

// Guards against a request that goes on crashing upstreams because each of three entries has seen one crash (issue 26).
func TestRequestIsBlockedByCrashesOfOthers(t *testing.T) {
	f := newFixture(newClock())
	for i := range 3 {
		c := quarantiner.Crash{Upstream: identifier.Upstream(fmt.Sprint("u", i)), AgeMillis: 30}
		c.Add(one, []quarantiner.Part{common, fatalRequest})
		f.Apply(quarantiner.Fact{Crash: &c})
		f.Answered([]quarantiner.Part{common})
		f.advance(80 * time.Millisecond)
	}
	f.advance(200 * time.Millisecond)
	must.True(t, f.refuses(one, fatalRequest))
	must.False(t, f.refuses(one, common, quarantiner.NewRequest(one, "POST", "host", "/path?n=1", []byte("sound"))))
	must.False(t, f.refuses(two, quarantiner.NewRequest(two, "POST", "host", "/path?n=1", []byte("body"))))
}

// Guards against a burst of one request that ends all upstreams at once and again after their restart (issue 26).
func TestBurstOfRequestIsBlocked(t *testing.T) {
	f := newFixture(newClock())
	for i := range 3 {
		c := quarantiner.Crash{Upstream: identifier.Upstream(fmt.Sprint("u", i))}
		c.Add(one, []quarantiner.Part{fatalRequest})
		f.ReportCrash(c)
	}
	f.advance(200 * time.Millisecond)
	must.True(t, f.refuses(one, fatalRequest))
}

// Guards against the refusal of a popular request that upstreams ran as all of them ended together, whenever entries report that.
func TestRequestDuringSimultaneousCrashes(t *testing.T) {
	f := newFixture(newClock())
	f.Answered([]quarantiner.Part{fatalRequest})
	f.advance(30 * time.Second)
	f.Sweep()
	for i := range 12 {
		c := quarantiner.Crash{Upstream: identifier.Upstream(fmt.Sprint("u", i)), AgeMillis: int64(200 * i)}
		c.Add(one, []quarantiner.Part{fatalRequest})
		f.Apply(quarantiner.Fact{Crash: &c})
		f.advance(200 * time.Millisecond)
	}
	must.False(t, f.refuses(one, fatalRequest))
}

// Guards against the refusal of a sound request that was sent to one upstream after the other that had crashed before.
func TestRequestToCrashedUpstreams(t *testing.T) {
	f := newFixture(newClock())
	sound := quarantiner.NewRequest(two, "GET", "host", "/sound", nil)
	for i := range 4 {
		c := quarantiner.Crash{Upstream: identifier.Upstream(fmt.Sprint("u", i))}
		c.Add(one, []quarantiner.Part{quarantiner.NewRequest(one, "GET", "host", fmt.Sprint("/", i), nil)})
		f.Apply(quarantiner.Fact{Crash: &c})
	}
	f.advance(time.Second)
	for i := range 4 {
		name := identifier.Upstream(fmt.Sprint("u", i))
		must.True(t, f.HasCrashed(name, f.now))
		c := quarantiner.Crash{Upstream: name}
		c.Add(two, []quarantiner.Part{sound})
		f.ReportCrash(c)
		f.advance(200 * time.Millisecond)
	}
	must.False(t, f.refuses(two, sound))
}

// Guards against crashes that are not counted because the upstream seemed to have crashed before.
func TestCrashAfterLostConnections(t *testing.T) {
	f := newFixture(newClock())
	for i := range 3 {
		name := identifier.Upstream(fmt.Sprint("u", i))
		f.ReportCrash(quarantiner.Crash{Upstream: name})
		f.advance(time.Second)
		f.Heard(name, f.now)
		must.False(t, f.HasCrashed(name, f.now))
		c := quarantiner.Crash{Upstream: name}
		c.Add(one, []quarantiner.Part{fatalRequest})
		f.ReportCrash(c)
		f.advance(time.Second)
	}
	must.True(t, f.refuses(one, fatalRequest))
}

// Guards against the refusal of the parts of a prompt that other requests share with the one on which upstreams crash (issue 26).
func TestRequestIsBlockedBeforeItsParts(t *testing.T) {
	f := newFixture(newClock())
	for range 4 {
		f.crash(one, common, other, fatalRequest)
	}
	must.True(t, f.refuses(one, common, other, fatalRequest))
	must.False(t, f.refuses(one, common, other))
}

// Guards against the refusal of a popular request because upstreams that crash by themselves run it each time (issue 26).
func TestPopularRequestStaysClear(t *testing.T) {
	f := newFixture(newClock())
	for range 40 {
		f.Answered([]quarantiner.Part{fatalRequest})
		f.advance(500 * time.Millisecond)
		f.crash(one, fatalRequest)
		must.False(t, f.refuses(one, fatalRequest))
	}
}

// Guards against a popular request that is forgotten among requests that come once.
func TestPopularRequestAmongMany(t *testing.T) {
	f := newFixture(newClock())
	for i := range 30_000 {
		if i%20 == 0 {
			f.Answered([]quarantiner.Part{fatalRequest})
		}
		f.Answered([]quarantiner.Part{quarantiner.NewRequest(one, "GET", "host", fmt.Sprint("/", i), nil)})
	}
	for range 3 {
		f.crash(one, fatalRequest)
	}
	must.False(t, f.refuses(one, fatalRequest))
}

// Guards against a request that is not blocked because thousands of others were lost before (issue 26).
func TestManyLostRequests(t *testing.T) {
	f := newFixture(newClock())
	// The first of these alone are more than there are records.
	for i, upstreams := range []int{150, 50, 50} {
		for j := range upstreams {
			c := quarantiner.Crash{Upstream: identifier.Upstream(fmt.Sprint("other", i, "/", j))}
			for k := range 64 {
				c.Add(two, []quarantiner.Part{quarantiner.NewRequest(two, "GET", "host", fmt.Sprint("/", i, "/", j, "/", k), nil)})
			}
			f.Apply(quarantiner.Fact{Crash: &c})
		}
		f.crash(one, fatalRequest)
	}
	must.True(t, f.refuses(one, fatalRequest))
	must.LessEq(t, 8192, len(f.State().(map[string]quarantiner.PartState)))
}

func BenchmarkNewRequest(b *testing.B) {
	for _, n := range []int{1 << 10, 64 << 10, 4 << 20} {
		body := []byte(strings.Repeat("x", n))
		b.Run(fmt.Sprint(n, " bytes"), func(b *testing.B) {
			b.SetBytes(int64(n))
			for b.Loop() {
				quarantiner.NewRequest(one, "POST", "host", "/path", body)
			}
		})
	}
}

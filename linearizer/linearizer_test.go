package linearizer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/linearizer"
)

// event is one call with its begin and end in seconds; an end of 0 leaves its outcome unknown.
type event[C, R any] struct {
	from, to int
	call     C
	reply    R
}

func history[C, R any](list []event[C, R]) *linearizer.History[C, R] {
	h := &linearizer.History[C, R]{}
	for _, e := range list {
		n := h.Begin("key", e.call, time.Duration(e.from)*time.Second)
		if e.to > 0 {
			h.End(n, e.reply, time.Duration(e.to)*time.Second)
		}
	}
	return h
}

// Short names for the tables of calls and replies.
type (
	cc = linearizer.ClaimCall
	cr = linearizer.ClaimReply
	lc = linearizer.LeaseCall
	lr = linearizer.LeaseReply
	mc = linearizer.CommitCall
	mr = linearizer.CommitReply
)

// Guards against a model that accepts a claim granted or started twice or the result of another run, or that rejects
// histories that are possible with lost replies or after the bounds.
func TestClaims(t *testing.T) {
	claim := func(request string) cc { return cc{Step: linearizer.ClaimAcquire, Request: request} }
	start := func(request string) cc { return cc{Step: linearizer.ClaimStart, Request: request} }
	finish := func(body string) cc { return cc{Step: linearizer.ClaimFinish, Request: "a", Body: body} }
	release := cc{Step: linearizer.ClaimRelease, Request: "a"}
	done := cr{Accepted: true}
	for _, tc := range []struct {
		name    string
		history []event[cc, cr]
		ok      bool
	}{
		{"run and repeat", []event[cc, cr]{
			{1, 2, claim("a"), done}, {2, 3, claim("b"), cr{Running: true}}, {3, 4, start("a"), done},
			{5, 6, finish("x"), done}, {7, 8, claim("c"), cr{Body: "x"}},
		}, true},
		{"granted twice", []event[cc, cr]{{1, 3, claim("a"), done}, {2, 4, claim("b"), done}}, false},
		{"taken over after the bound", []event[cc, cr]{{1, 2, claim("a"), done}, {31, 32, claim("b"), done}}, true},
		{"taken over before the bound", []event[cc, cr]{{1, 2, claim("a"), done}, {3, 30, claim("b"), done}}, false},
		{"started twice", []event[cc, cr]{{1, 2, claim("a"), done}, {3, 4, start("a"), done}, {3, 5, start("a"), done}}, false},
		{"refused after a start without reply", []event[cc, cr]{{1, 2, claim("a"), done}, {3, 0, start("a"), cr{}}, {4, 5, start("a"), cr{}}}, true},
		{"refused without cause", []event[cc, cr]{{1, 2, claim("a"), done}, {4, 5, start("a"), cr{}}}, false},
		{"started after its release", []event[cc, cr]{{1, 2, claim("a"), done}, {3, 4, release, done}, {5, 6, start("a"), done}}, false},
		{"claimed again after its release", []event[cc, cr]{{1, 2, claim("a"), done}, {3, 4, release, done}, {5, 6, claim("b"), done}}, true},
		{"result of another run", []event[cc, cr]{
			{1, 2, claim("a"), done}, {3, 4, start("a"), done}, {5, 6, finish("x"), done}, {7, 8, claim("c"), cr{Body: "y"}},
		}, false},
		{"unknown too early", []event[cc, cr]{{1, 2, claim("a"), done}, {3, 4, start("a"), done}, {5, 6, claim("b"), cr{Unknown: true}}}, false},
		{"unknown after the bound", []event[cc, cr]{{1, 2, claim("a"), done}, {3, 4, start("a"), done}, {9, 11, claim("b"), cr{Unknown: true}}}, true},
		{"held by a claim without reply", []event[cc, cr]{{1, 0, claim("a"), cr{}}, {3, 4, claim("b"), cr{Running: true}}}, true},
		{"reported as running without a claim", []event[cc, cr]{{3, 4, claim("b"), cr{Running: true}}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := linearizer.ClaimBounds{Start: 30 * time.Second, Run: 8 * time.Second}
			must.Eq(t, tc.ok, len(linearizer.CheckClaims(history(tc.history), b)) == 0)
		})
	}
}

// Guards against a model that accepts a write under an old fencing token, two holders at a time or a token granted twice.
func TestLeases(t *testing.T) {
	acquire, release := lc{Step: linearizer.LeaseAcquire}, lc{Step: linearizer.LeaseRelease, Token: 1}
	write := func(token uint64) lc { return lc{Step: linearizer.LeaseWrite, Token: token} }
	read := lc{Step: linearizer.LeaseRead}
	renew := lc{Step: linearizer.LeaseRenew, Token: 1}
	granted := func(token uint64) lr { return lr{Accepted: true, Token: token} }
	done, extended := lr{Accepted: true}, lr{Accepted: true, Extended: true}
	for _, tc := range []struct {
		name    string
		history []event[lc, lr]
		ok      bool
	}{
		{"next holder after the term", []event[lc, lr]{{1, 2, acquire, granted(1)}, {3, 4, write(1), done}, {3, 8, acquire, granted(2)}, {9, 10, write(2), done}}, true},
		{"next holder within the term", []event[lc, lr]{{1, 2, acquire, granted(1)}, {3, 6, acquire, granted(2)}}, false},
		{"next holder within the renewed term", []event[lc, lr]{{1, 2, acquire, granted(1)}, {3, 4, renew, extended}, {5, 8, acquire, granted(2)}}, false},
		{"renewal that did not extend the term", []event[lc, lr]{{1, 2, acquire, granted(1)}, {3, 4, renew, done}, {5, 9, acquire, granted(2)}}, true},
		{"next holder after a release", []event[lc, lr]{{1, 2, acquire, granted(1)}, {3, 0, release, lr{}}, {4, 5, acquire, granted(2)}}, true},
		{"write under an old token", []event[lc, lr]{{1, 2, acquire, granted(1)}, {3, 9, acquire, granted(2)}, {10, 11, write(1), done}}, false},
		{"old write refused", []event[lc, lr]{{1, 2, acquire, granted(1)}, {3, 9, acquire, granted(2)}, {10, 11, write(1), lr{}}}, true},
		{"concurrent write under an old token", []event[lc, lr]{{1, 2, acquire, granted(1)}, {3, 9, acquire, granted(2)}, {8, 11, write(1), done}}, true},
		{"late write under an old token that is read", []event[lc, lr]{
			{1, 2, acquire, granted(1)}, {3, 9, acquire, granted(2)}, {10, 11, write(2), done}, {8, 13, write(1), done},
			{12, 12, read, lr{Token: 2}}, {14, 14, read, lr{Token: 1}},
		}, false},
		{"write without reply that is read", []event[lc, lr]{{1, 2, acquire, granted(1)}, {3, 0, write(1), lr{}}, {4, 5, read, lr{Token: 1}}}, true},
		{"token granted twice", []event[lc, lr]{{1, 2, acquire, granted(1)}, {3, 9, acquire, granted(1)}}, false},
		{"token of an acquisition without reply", []event[lc, lr]{{1, 0, acquire, lr{}}, {3, 9, acquire, granted(2)}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.ok, len(linearizer.CheckLeases(history(tc.history), 6*time.Second)) == 0)
		})
	}
}

// Guards against a model that accepts a commit that overwrites another one, or a refused commit that took effect.
func TestCommits(t *testing.T) {
	done := func(revision uint64) mr { return mr{Accepted: true, Revision: revision} }
	for _, tc := range []struct {
		name    string
		history []event[mc, mr]
		ok      bool
	}{
		{"sequential", []event[mc, mr]{{1, 2, mc{0}, done(1)}, {3, 4, mc{1}, done(2)}, {3, 5, mc{1}, mr{Revision: 2}}}, true},
		{"both accepted", []event[mc, mr]{{1, 2, mc{0}, done(1)}, {3, 4, mc{1}, done(2)}, {3, 5, mc{1}, done(2)}}, false},
		{"commit on an old revision", []event[mc, mr]{{1, 2, mc{0}, done(1)}, {3, 4, mc{1}, done(2)}, {5, 6, mc{0}, done(1)}}, false},
		{"without reply, accepted", []event[mc, mr]{{1, 0, mc{0}, mr{}}, {3, 4, mc{1}, done(2)}}, true},
		{"refused, yet accepted", []event[mc, mr]{{1, 2, mc{0}, mr{}}, {3, 4, mc{1}, done(2)}}, false},
		{"refused with a later revision", []event[mc, mr]{{1, 2, mc{0}, mr{Revision: 1}}, {3, 4, mc{0}, done(1)}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.ok, len(linearizer.CheckCommits(history(tc.history))) == 0)
		})
	}
}

package entryserver_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/entryserver"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/storer"
)

var (
	small = identifier.Target{Model: "finch-small", Version: "v1"}
	large = identifier.Target{Model: "finch-large", Version: "v1"}
)

// steps offers small and then large whenever the query permits a cascade.
func steps(_ *configurer.Configuration, q selector.Query) (selector.Decision, error) {
	d := selector.Decision{Target: small, Reason: selector.ReasonCascade}
	if !q.Deadline.IsZero() {
		d.Cascade = []identifier.Target{large}
	}
	return d, nil
}

// rated runs f before a rating service whose ratings take late and give a small answer the value quality.
func rated(t *testing.T, late time.Duration, quality float64, f func(t *testing.T, b *bed, rater *platformfaker.Ratings)) {
	t.Helper()
	var client *storer.Ratings
	rate := func(ctx context.Context, x entryserver.RatingInput) (float64, error) {
		if err := client.Submit(ctx, storer.Rating{Request: x.Request, Target: x.Target}); err != nil {
			return 0, err
		}
		r, err := client.Wait(ctx, x.Request)
		return r.Value, err
	}
	run(t, func(t *testing.T, b *bed) {
		rater := platformfaker.NewRatings(time.Now, rand.New(rand.NewPCG(1, 1)))
		rater.RatingDelay = func() time.Duration { return late }
		rater.Quality = func(storer.Rating) float64 { return quality }
		client = storer.NewRatings(netip.MustParseAddrPort("10.0.0.9:80"), storer.WithDo(platformfaker.RoundTripFunc(rater)))
		b.cfg.ClientAccounts[0].Allowed = []configurer.AllowedModel{{Model: "finch-small"}, {Model: "finch-large"}}
		b.cfg.WorkKinds[0].QualityTarget = 0.8
		b.cfg.Ranks[0].FirstToken = 2 * time.Second
		f(t, b, rater)
	}, entryserver.WithSelect(steps), entryserver.WithWaitRating(rate))
}

// Guards against a poor answer that is delivered although a better one was possible, a step without its own bill, and
// an answer that is lost or late because its rating or the next step failed.
func TestCascade(t *testing.T) {
	down := func(_ *bed, r *platformfaker.Ratings) { r.Unavailable = func(*http.Request) bool { return true } }
	// The engines serve a whole answer in about 1.6 s.
	cutSecond := func(b *bed, _ *platformfaker.Ratings) {
		for _, e := range b.engines {
			e.Cut = func(r identifier.Request, i int) bool { return strings.HasSuffix(string(r), "/2") && i == 3 }
		}
	}
	stallSecond := func(b *bed, _ *platformfaker.Ratings) {
		for _, e := range b.engines {
			e.Stall = func(r identifier.Request, i int) bool { return strings.HasSuffix(string(r), "/2") && i == 3 }
		}
	}
	cases := []struct {
		name     string
		late     time.Duration
		quality  float64
		deadline time.Duration
		induce   func(*bed, *platformfaker.Ratings)
		body     string
		want     identifier.Target
		bills    int
		within   time.Duration
	}{
		{"good rating", time.Second, 0.9, 10 * time.Second, nil, question, small, 1, 4 * time.Second},
		{"bad rating", time.Second, 0.5, 10 * time.Second, nil, question, large, 2, 6 * time.Second},
		{"bad rating, longer than one call", 3 * time.Second, 0.5, 10 * time.Second, nil, question, large, 2, 8 * time.Second},
		{"late rating", time.Minute, 0.5, 10 * time.Second, nil, question, small, 1, 7600 * time.Millisecond},
		{"rating service down", time.Second, 0.5, 10 * time.Second, down, question, small, 1, 4 * time.Second},
		{"deadline too short", 0, 0.5, 4 * time.Second, nil, question, small, 1, 2 * time.Second},
		{"second step fails", time.Second, 0.5, 10 * time.Second, cutSecond, question, small, 1, 8 * time.Second},
		{"second step stalls", time.Second, 0.5, 10 * time.Second, stallSecond, question, small, 1, 10 * time.Second},
		{"stream", time.Second, 0.5, 10 * time.Second, nil, asStream, small, 1, 2 * time.Second},
		{
			"named model", time.Second, 0.5, 10 * time.Second, nil, strings.Replace(question, "auto", "finch-small", 1), small, 1,
			2 * time.Second,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rated(t, tc.late, tc.quality, func(t *testing.T, b *bed, rater *platformfaker.Ratings) {
				if tc.induce != nil {
					tc.induce(b, rater)
				}
				begin := time.Now()
				r := b.ask(t, tc.body, decoder.HeaderDeadline, begin.Add(tc.deadline).Format(time.RFC3339Nano))
				must.Less(t, tc.within, time.Since(begin))
				must.Eq(t, http.StatusOK, r.status)
				must.Eq(t, string(tc.want.Model), r.header.Get(decoder.HeaderModel))
				must.StrContains(t, r.body, tc.want.String())
				must.Eq(t, 1, strings.Count(r.body, "t15 "))
				// A step that fails after its start leaves a bill that is not final for the tokens it produced.
				bills := slices.DeleteFunc(union(b.recorded()), func(x biller.Bill) bool { return !x.Final })
				must.Len(t, tc.bills, bills)
				id := r.header.Get(decoder.HeaderRequestID)
				must.Eq(t, id, bills[0].ID)
				must.Eq(t, small, bills[0].Target)
				if tc.bills == 2 {
					must.Eq(t, id+"/2", bills[1].ID)
					must.Eq(t, large, bills[1].Target)
				}
				agents := 0
				for _, a := range b.agents {
					for _, bill := range a.PendingBills(10) {
						if bill.Final {
							agents++
						}
					}
				}
				must.Eq(t, tc.bills, agents)
			})
		})
	}
}

// Guards against a second run of work that may run only once, and against a session that changes its version.
func TestNoCascade(t *testing.T) {
	for name, headers := range map[string][]string{
		"marked request": {decoder.HeaderIdempotent, "false"},
		"marked kind":    {decoder.HeaderWorkKind, "energisation-order"},
		"session":        {decoder.HeaderSession, "s-1"},
	} {
		rated(t, 0, 0.1, func(t *testing.T, b *bed, _ *platformfaker.Ratings) {
			must.Eq(t, http.StatusOK, b.ask(t, question, headers...).status, must.Sprint(name))
			must.Eq(t, 1, b.started(), must.Sprint(name))
		})
	}
}

// Guards against a step beyond the hard limit, and against the loss of the answer that exists already.
func TestCascadeWithinSpend(t *testing.T) {
	p := &purse{refuseAt: 2}
	run(t, func(t *testing.T, b *bed) {
		r := b.ask(t, question)
		must.Eq(t, http.StatusOK, r.status)
		must.Eq(t, "finch-small", r.header.Get(decoder.HeaderModel))
		must.Eq(t, 1, b.started())
	}, entryserver.WithSelect(steps), entryserver.WithReserve(p.reserve),
		entryserver.WithWaitRating(func(context.Context, entryserver.RatingInput) (float64, error) { return -1, nil }))
	must.Eq(t, []float64{0}, p.settled[0])
}

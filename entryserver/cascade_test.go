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
	smallTarget = identifier.Target{Model: "finch-small", Version: "v1"}
	largeTarget = identifier.Target{Model: "finch-large", Version: "v1"}
)

// selectCascade selects smallTarget, with largeTarget as the next step if the query permits a cascade.
func selectCascade(_ *configurer.Configuration, q selector.Query) (selector.Decision, error) {
	d := selector.Decision{Target: smallTarget, Reason: selector.ReasonCascade}
	if !q.Deadline.IsZero() {
		d.Cascade = []identifier.Target{largeTarget}
	}
	return d, nil
}

// withRatings runs f with a rating service that rates every answer as quality after ratingDelay.
func withRatings(
	t *testing.T, ratingDelay time.Duration, quality float64,
	f func(t *testing.T, fx *fixture, rater *platformfaker.Ratings),
) {
	t.Helper()
	var client *storer.Ratings
	rate := func(ctx context.Context, in entryserver.RatingInput) (float64, error) {
		if err := client.Submit(ctx, storer.Rating{Request: in.Request, Target: in.Target}); err != nil {
			return 0, err
		}
		r, err := client.Wait(ctx, in.Request)
		return r.Value, err
	}
	withFixture(t, func(t *testing.T, fx *fixture) {
		rater := platformfaker.NewRatings(time.Now, rand.New(rand.NewPCG(1, 1)))
		rater.RatingDelay = func() time.Duration { return ratingDelay }
		rater.Quality = func(storer.Rating) float64 { return quality }
		client = storer.NewRatings(netip.MustParseAddrPort("10.0.0.9:80"), storer.WithRoundTrip(platformfaker.RoundTripFunc(rater)))
		fx.cfg.ClientAccounts[0].Allowed = []configurer.AllowedModel{{Model: "finch-small"}, {Model: "finch-large"}}
		fx.cfg.WorkKinds[0].QualityTarget = 0.8
		fx.cfg.Ranks[0].FirstToken = 2 * time.Second
		f(t, fx, rater)
	}, entryserver.WithSelect(selectCascade), entryserver.WithWaitRating(rate))
}

// Guards against a poorly rated answer that is delivered although there was time for a better one, a step without its own
// bill, and an answer that is lost or late because its rating or the next step failed.
func TestCascade(t *testing.T) {
	ratingsUnavailable := func(_ *fixture, r *platformfaker.Ratings) { r.Unavailable = func(*http.Request) bool { return true } }
	// The engines take about 1.6 s for a complete answer.
	cutSecond := func(fx *fixture, _ *platformfaker.Ratings) {
		for _, e := range fx.engines {
			e.CutConnection = func(r identifier.Request, i int) bool { return strings.HasSuffix(string(r), "/2") && i == 3 }
		}
	}
	stallSecond := func(fx *fixture, _ *platformfaker.Ratings) {
		for _, e := range fx.engines {
			e.Stall = func(r identifier.Request, i int) bool { return strings.HasSuffix(string(r), "/2") && i == 3 }
		}
	}
	cases := []struct {
		name        string
		ratingDelay time.Duration
		quality     float64
		deadline    time.Duration
		induceFault func(*fixture, *platformfaker.Ratings)
		body        string
		wantTarget  identifier.Target
		wantBills   int
		maxDuration time.Duration
	}{
		{"good rating", time.Second, 0.9, 10 * time.Second, nil, unaryBody, smallTarget, 1, 4 * time.Second},
		{"bad rating", time.Second, 0.5, 10 * time.Second, nil, unaryBody, largeTarget, 2, 6 * time.Second},
		{"bad rating after more than one call", 3 * time.Second, 0.5, 10 * time.Second, nil, unaryBody, largeTarget, 2, 8 * time.Second},
		{"late rating", time.Minute, 0.5, 10 * time.Second, nil, unaryBody, smallTarget, 1, 7600 * time.Millisecond},
		{"rating service down", time.Second, 0.5, 10 * time.Second, ratingsUnavailable, unaryBody, smallTarget, 1, 4 * time.Second},
		{"deadline too short", 0, 0.5, 4 * time.Second, nil, unaryBody, smallTarget, 1, 2 * time.Second},
		{"second step fails", time.Second, 0.5, 10 * time.Second, cutSecond, unaryBody, smallTarget, 1, 8 * time.Second},
		{"second step stalls", time.Second, 0.5, 10 * time.Second, stallSecond, unaryBody, smallTarget, 1, 10 * time.Second},
		{"stream", time.Second, 0.5, 10 * time.Second, nil, streamBody, smallTarget, 1, 2 * time.Second},
		{
			"named model", time.Second, 0.5, 10 * time.Second, nil, strings.Replace(unaryBody, "auto", "finch-small", 1), smallTarget, 1,
			2 * time.Second,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withRatings(t, tc.ratingDelay, tc.quality, func(t *testing.T, fx *fixture, rater *platformfaker.Ratings) {
				if tc.induceFault != nil {
					tc.induceFault(fx, rater)
				}
				beganAt := time.Now()
				r := fx.postCompletion(t, tc.body, decoder.HeaderDeadline, beganAt.Add(tc.deadline).Format(time.RFC3339Nano))
				must.Less(t, tc.maxDuration, time.Since(beganAt))
				must.Eq(t, http.StatusOK, r.status)
				must.Eq(t, string(tc.wantTarget.Model), r.header.Get(decoder.HeaderModel))
				must.StrContains(t, r.body, tc.wantTarget.String())
				must.Eq(t, 1, strings.Count(r.body, "t15 "))
				// A step that fails after its start leaves a bill for the tokens that it produced, which is not final.
				bills := slices.DeleteFunc(unionOfBills(fx.recordedBills()), func(x biller.Bill) bool { return !x.Final })
				must.Len(t, tc.wantBills, bills)
				id := r.header.Get(decoder.HeaderRequestID)
				must.Eq(t, id, bills[0].ID)
				must.Eq(t, smallTarget, bills[0].Target)
				if tc.wantBills == 2 {
					must.Eq(t, id+"/2", bills[1].ID)
					must.Eq(t, largeTarget, bills[1].Target)
				}
				agentBills := 0
				for _, a := range fx.agents {
					for _, bill := range a.PendingBills(10) {
						if bill.Final {
							agentBills++
						}
					}
				}
				must.Eq(t, tc.wantBills, agentBills)
			})
		})
	}
}

// Guards against a second run of a non-idempotent request, and against a cascade that changes the version of a session.
func TestNoCascade(t *testing.T) {
	for name, headers := range map[string][]string{
		"non-idempotent request":   {decoder.HeaderIdempotent, "false"},
		"non-idempotent work kind": {decoder.HeaderWorkKind, "energisation-order"},
		"session":                  {decoder.HeaderSession, "s-1"},
	} {
		withRatings(t, 0, 0.1, func(t *testing.T, fx *fixture, _ *platformfaker.Ratings) {
			must.Eq(t, http.StatusOK, fx.postCompletion(t, unaryBody, headers...).status, must.Sprint(name))
			must.Eq(t, 1, fx.startedRuns(), must.Sprint(name))
		})
	}
}

// Guards against a cascade step that exceeds the hard limit of the spend, and against the loss of the answer of the step
// before it.
func TestCascadeWithinSpend(t *testing.T) {
	p := &reservationRecorder{refuseFrom: 2}
	withFixture(t, func(t *testing.T, fx *fixture) {
		r := fx.postCompletion(t, unaryBody)
		must.Eq(t, http.StatusOK, r.status)
		must.Eq(t, "finch-small", r.header.Get(decoder.HeaderModel))
		must.Eq(t, 1, fx.startedRuns())
	}, entryserver.WithSelect(selectCascade), entryserver.WithReserve(p.reserve),
		entryserver.WithWaitRating(func(context.Context, entryserver.RatingInput) (float64, error) { return -1, nil }))
	must.Eq(t, []float64{0}, p.settled[0])
}

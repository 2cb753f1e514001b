package entryserver_test

import (
	"context"
	"net/http"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/entryserver"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/redirector"
	"github.com/siskinfront/siskinfront/selector"
)

// chooseByModel sends finch-small to upstream 1 and finch-large to upstream 2.
func chooseByModel(_ context.Context, c entryserver.ChoiceInput) (entryserver.Upstream, error) {
	u, n := identifier.Upstream("upstream-1"), 1
	if c.Target.Model == "finch-large" {
		u, n = "upstream-2", 2
	}
	if slices.Contains(c.Exclude, u) {
		return entryserver.Upstream{}, entryserver.ErrNoUpstream
	}
	return entryserver.Upstream{Name: u, Agent: address(n, 7000)}, nil
}

// Guards against a request that is refused although another allowed version would answer it, and against a redirect that is
// not permitted: of a session, a named model, a run that may have begun or a non-idempotent request that has used its only
// attempt, or to a version that is withdrawn, not allowed, below the quality target or dearer than the answer is worth.
func TestRedirect(t *testing.T) {
	refuse := func(fx *fixture) {
		fx.agents[0].Admit = func(context.Context, agentserver.QueuedOrder) (agentserver.Ticket, error) {
			return agentserver.Ticket{}, &agentserver.RefusalError{Code: "queue-full"}
		}
	}
	cases := []struct {
		name         string
		setUp        func(fx *fixture)
		model        string
		headers      []string
		wantRedirect bool
		wantStatus   int
	}{
		{name: "another version answers", setUp: refuse, wantRedirect: true, wantStatus: http.StatusOK},
		{
			name: "a non-idempotent request with a key", setUp: refuse, wantRedirect: true, wantStatus: http.StatusOK,
			headers: []string{"Siskinfront-Idempotent", "false", "Idempotency-Key", "k"},
		},
		{
			name: "a non-idempotent request without a key", setUp: refuse, wantStatus: http.StatusTooManyRequests,
			headers: []string{"Siskinfront-Idempotent", "false"},
		},
		{name: "a session", setUp: refuse, wantStatus: http.StatusTooManyRequests, headers: []string{"Siskinfront-Session", "s"}},
		{name: "a named model", setUp: refuse, model: "finch-small", wantStatus: http.StatusTooManyRequests},
		{name: "withdrawn", wantStatus: http.StatusTooManyRequests, setUp: func(fx *fixture) {
			refuse(fx)
			fx.cfg.Models[1].Versions[0].State = configurer.VersionWithdrawn
		}},
		{name: "not allowed", wantStatus: http.StatusTooManyRequests, setUp: func(fx *fixture) {
			refuse(fx)
			fx.cfg.ClientAccounts[0].Allowed = fx.cfg.ClientAccounts[0].Allowed[:1]
		}},
		{name: "below the target", wantStatus: http.StatusTooManyRequests, setUp: func(fx *fixture) {
			refuse(fx)
			fx.cfg.Models[1].Versions[0].PriorQuality = 0.6
		}},
		{name: "dearer than its worth", wantStatus: http.StatusTooManyRequests, setUp: func(fx *fixture) {
			refuse(fx)
			fx.cfg.Models[1].Versions[0].OutputPrice = 1e6
		}},
		{name: "a run that may have begun", wantStatus: http.StatusBadGateway, setUp: func(fx *fixture) {
			fx.allowRetry = false
			fx.engines[0].CutConnection = func(identifier.Request, int) bool { return true }
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := selector.New()
			r := redirector.New()
			withFixture(t, func(t *testing.T, fx *fixture) {
				allowBothModels(fx.cfg)
				tc.setUp(fx)
				body := unaryBody
				if tc.model != "" {
					body = `{"model":"` + tc.model + `","messages":[{"role":"user","content":"x"}]}`
				}
				got := fx.postCompletion(t, body, tc.headers...)
				must.Eq(t, tc.wantStatus, got.status)
				if !tc.wantRedirect {
					must.Eq(t, 0, int(fx.engines[1].Counters()["started"]))
					return
				}
				must.Eq(t, "finch-large", got.header.Get("Siskinfront-Model"))
				must.Eq(t, 1, fx.startedRuns())
				bills := unionOfBills(fx.recordedBills())
				must.Len(t, 1, bills)
				must.Eq(t, identifier.Target{Model: "finch-large", Version: "v1"}, bills[0].Target)
			}, entryserver.WithChoose(chooseByModel), entryserver.WithRedirect(s.Alternatives, r.Allow, r.RecordRefusal))
		})
	}
}

// allowBothModels allows the client account both models and sets a quality target that both meet.
func allowBothModels(cfg *configurer.Configuration) {
	cfg.Ranks[0].Worth = 0.01
	cfg.WorkKinds[0].QualityTarget = 0.7
	cfg.ClientAccounts[0].Allowed = append(cfg.ClientAccounts[0].Allowed, configurer.AllowedModel{Model: "finch-large"})
	for i := range cfg.Models {
		v := &cfg.Models[i].Versions[0]
		v.PriorQuality, v.OutputPrice = 0.8, float64(1+i)
	}
}

// Guards against requests that are all sent first to a version that refuses them, and against a request that is refused
// without asking any agent because every version has refused earlier requests.
func TestRedirectBeforeRefusal(t *testing.T) {
	s := selector.New()
	r := redirector.New(redirector.WithRand(func() float64 { return 0.99 }))
	withFixture(t, func(t *testing.T, fx *fixture) {
		allowBothModels(fx.cfg)
		orders := [2]int{}
		bothRefuse := false
		for i := range 2 {
			fx.agents[i].Admit = func(context.Context, agentserver.QueuedOrder) (agentserver.Ticket, error) {
				orders[i]++
				if i == 0 || bothRefuse {
					return agentserver.Ticket{}, &agentserver.RefusalError{Code: "queue-full"}
				}
				return agentserver.Ticket{Finish: func(int) {}}, nil
			}
		}
		for range 3 {
			must.Eq(t, http.StatusOK, fx.postCompletion(t, unaryBody).status)
		}
		must.Eq(t, [2]int{1, 3}, orders)
		bothRefuse = true
		for range 3 {
			must.Eq(t, http.StatusTooManyRequests, fx.postCompletion(t, unaryBody).status)
		}
		must.Eq(t, [2]int{4, 4}, orders)
	}, entryserver.WithChoose(chooseByModel), entryserver.WithRedirect(s.Alternatives, r.Allow, r.RecordRefusal))
}

// Guards against an agent that serves both versions and mistakes the redirected order for a repetition of the refused one.
func TestRedirectAtOneUpstream(t *testing.T) {
	s := selector.New()
	r := redirector.New()
	chooseOnly := func(_ context.Context, c entryserver.ChoiceInput) (entryserver.Upstream, error) {
		if len(c.Exclude) > 0 {
			return entryserver.Upstream{}, entryserver.ErrNoUpstream
		}
		return entryserver.Upstream{Name: "upstream-1", Agent: address(1, 7000)}, nil
	}
	withFixture(t, func(t *testing.T, fx *fixture) {
		allowBothModels(fx.cfg)
		fx.agents[0].Admit = func(_ context.Context, queued agentserver.QueuedOrder) (agentserver.Ticket, error) {
			if queued.Order.Target.Model == "finch-small" {
				return agentserver.Ticket{}, &agentserver.RefusalError{Code: "queue-full"}
			}
			return agentserver.Ticket{Finish: func(int) {}}, nil
		}
		must.Eq(t, http.StatusOK, fx.postCompletion(t, unaryBody).status)
		must.Eq(t, 1, fx.startedRuns())
	}, entryserver.WithChoose(chooseOnly), entryserver.WithRedirect(s.Alternatives, r.Allow, r.RecordRefusal))
}

// Guards against requests that fail with their version although another one would answer them, reruns beyond the retry
// budget, a second run of a non-idempotent request, a second response after the caller has received a part of the first, and
// the outcome not-run after an earlier run because a later attempt was refused.
func TestRedirectAfterFailure(t *testing.T) {
	cut := func(token int) func(fx *fixture) {
		return func(fx *fixture) {
			fx.engines[0].CutConnection = func(_ identifier.Request, i int) bool { return i == token }
		}
	}
	cases := []struct {
		name        string
		setUp       func(fx *fixture)
		body        string
		headers     []string
		wantStatus  int
		wantOutcome string
		// wantRuns is the number of runs at both engines together.
		wantRuns int
	}{
		{name: "another version answers", setUp: cut(3), body: unaryBody, wantStatus: http.StatusOK, wantRuns: 2},
		{name: "a stream before its first token", setUp: cut(0), body: streamBody, wantStatus: http.StatusOK, wantRuns: 2},
		{name: "a stream after its first token", setUp: cut(3), body: streamBody, wantStatus: http.StatusOK, wantRuns: 1},
		{
			name: "no retry budget", body: unaryBody, wantStatus: http.StatusBadGateway, wantOutcome: "run", wantRuns: 1,
			setUp: func(fx *fixture) { cut(3)(fx); fx.allowRetry = false },
		},
		{
			name: "non-idempotent", setUp: cut(3), body: unaryBody, wantStatus: http.StatusBadGateway, wantOutcome: "run", wantRuns: 1,
			headers: []string{"Siskinfront-Idempotent", "false", "Idempotency-Key", "k"},
		},
		{
			name: "the other version refuses", body: unaryBody, wantStatus: http.StatusTooManyRequests, wantOutcome: "run", wantRuns: 1,
			setUp: func(fx *fixture) {
				cut(3)(fx)
				fx.agents[1].Admit = func(context.Context, agentserver.QueuedOrder) (agentserver.Ticket, error) {
					return agentserver.Ticket{}, &agentserver.RefusalError{Code: "queue-full"}
				}
			},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := selector.New()
			r := redirector.New()
			withFixture(t, func(t *testing.T, fx *fixture) {
				allowBothModels(fx.cfg)
				tc.setUp(fx)
				got := fx.postCompletion(t, tc.body, tc.headers...)
				must.Eq(t, tc.wantStatus, got.status)
				must.Eq(t, tc.wantOutcome, got.header.Get("Siskinfront-Outcome"))
				must.Eq(t, tc.wantRuns, fx.startedRuns())
				must.Len(t, 1, unionOfBills(fx.recordedBills()))
			}, entryserver.WithChoose(chooseByModel), entryserver.WithRedirect(s.Alternatives, r.Allow, r.RecordRefusal))
		})
	}
}

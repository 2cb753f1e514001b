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

// byModel sends finch-small to upstream 1 and finch-large to upstream 2.
func byModel(_ context.Context, c entryserver.ChoiceInput) (entryserver.Upstream, error) {
	u, n := identifier.Upstream("upstream-1"), 1
	if c.Target.Model == "finch-large" {
		u, n = "upstream-2", 2
	}
	if slices.Contains(c.Exclude, u) {
		return entryserver.Upstream{}, entryserver.ErrNoUpstream
	}
	return entryserver.Upstream{Name: u, Agent: address(n, 7000)}, nil
}

// Guards against a request that is refused while another allowed version would answer it, and against one that moves to
// another version although it may not: a session, a version that is withdrawn, not allowed, below the quality target or
// dearer than the answer is worth, a run that may have begun, and a non-idempotent request whose one attempt is used.
func TestRedirect(t *testing.T) {
	refuses := func(b *bed) {
		b.agents[0].Admit = func(context.Context, agentserver.QueuedOrder) (agentserver.Ticket, error) {
			return agentserver.Ticket{}, &agentserver.RefusalError{Code: "queue-full"}
		}
	}
	cases := []struct {
		name    string
		set     func(b *bed)
		model   string
		headers []string
		model2  bool
		status  int
	}{
		{name: "another version answers", set: refuses, model2: true, status: http.StatusOK},
		{
			name: "a non-idempotent request with a key", set: refuses, model2: true, status: http.StatusOK,
			headers: []string{"Siskinfront-Idempotent", "false", "Idempotency-Key", "k"},
		},
		{
			name: "a non-idempotent request without a key", set: refuses, status: http.StatusTooManyRequests,
			headers: []string{"Siskinfront-Idempotent", "false"},
		},
		{name: "a session", set: refuses, status: http.StatusTooManyRequests, headers: []string{"Siskinfront-Session", "s"}},
		{name: "a named model", set: refuses, model: "finch-small", status: http.StatusTooManyRequests},
		{name: "withdrawn", status: http.StatusTooManyRequests, set: func(b *bed) {
			refuses(b)
			b.cfg.Models[1].Versions[0].State = configurer.VersionWithdrawn
		}},
		{name: "not allowed", status: http.StatusTooManyRequests, set: func(b *bed) {
			refuses(b)
			b.cfg.ClientAccounts[0].Allowed = b.cfg.ClientAccounts[0].Allowed[:1]
		}},
		{name: "below the target", status: http.StatusTooManyRequests, set: func(b *bed) {
			refuses(b)
			b.cfg.Models[1].Versions[0].PriorQuality = 0.6
		}},
		{name: "dearer than its worth", status: http.StatusTooManyRequests, set: func(b *bed) {
			refuses(b)
			b.cfg.Models[1].Versions[0].OutputPrice = 1e6
		}},
		{name: "a run that may have begun", status: http.StatusBadGateway, set: func(b *bed) {
			b.retry = false
			b.engines[0].Cut = func(identifier.Request, int) bool { return true }
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := selector.New()
			r := redirector.New()
			run(t, func(t *testing.T, b *bed) {
				allowTwo(b.cfg)
				tc.set(b)
				body := question
				if tc.model != "" {
					body = `{"model":"` + tc.model + `","messages":[{"role":"user","content":"x"}]}`
				}
				got := b.ask(t, body, tc.headers...)
				must.Eq(t, tc.status, got.status)
				if !tc.model2 {
					must.Eq(t, 0, int(b.engines[1].Counters()["started"]))
					return
				}
				must.Eq(t, "finch-large", got.header.Get("Siskinfront-Model"))
				must.Eq(t, 1, b.started())
				bills := union(b.recorded())
				must.Len(t, 1, bills)
				must.Eq(t, identifier.Target{Model: "finch-large", Version: "v1"}, bills[0].Target)
			}, entryserver.WithChoose(byModel), entryserver.WithRedirect(s.Alternatives, r.Allow, r.RecordRefusal))
		})
	}
}

// allowTwo lets the account use both models for a quality target that both meet.
func allowTwo(cfg *configurer.Configuration) {
	cfg.Ranks[0].Worth = 0.01
	cfg.WorkKinds[0].QualityTarget = 0.7
	cfg.ClientAccounts[0].Allowed = append(cfg.ClientAccounts[0].Allowed, configurer.AllowedModel{Model: "finch-large"})
	for i := range cfg.Models {
		v := &cfg.Models[i].Versions[0]
		v.PriorQuality, v.OutputPrice = 0.8, float64(1+i)
	}
}

// Guards against requests that all go to a version first that refuses them, and against a request that no agent decides
// on because every version has refused others.
func TestRedirectBeforeRefusal(t *testing.T) {
	s := selector.New()
	r := redirector.New(redirector.WithRand(func() float64 { return 0.99 }))
	run(t, func(t *testing.T, b *bed) {
		allowTwo(b.cfg)
		orders := [2]int{}
		both := false
		for i := range 2 {
			b.agents[i].Admit = func(context.Context, agentserver.QueuedOrder) (agentserver.Ticket, error) {
				orders[i]++
				if i == 0 || both {
					return agentserver.Ticket{}, &agentserver.RefusalError{Code: "queue-full"}
				}
				return agentserver.Ticket{Finish: func(int) {}}, nil
			}
		}
		for range 3 {
			must.Eq(t, http.StatusOK, b.ask(t, question).status)
		}
		must.Eq(t, [2]int{1, 3}, orders)
		both = true
		for range 3 {
			must.Eq(t, http.StatusTooManyRequests, b.ask(t, question).status)
		}
		must.Eq(t, [2]int{4, 4}, orders)
	}, entryserver.WithChoose(byModel), entryserver.WithRedirect(s.Alternatives, r.Allow, r.RecordRefusal))
}

// Guards against an agent of both versions that takes the redirected order for a repetition of the refused one.
func TestRedirectAtOneUpstream(t *testing.T) {
	s := selector.New()
	r := redirector.New()
	one := func(_ context.Context, c entryserver.ChoiceInput) (entryserver.Upstream, error) {
		if len(c.Exclude) > 0 {
			return entryserver.Upstream{}, entryserver.ErrNoUpstream
		}
		return entryserver.Upstream{Name: "upstream-1", Agent: address(1, 7000)}, nil
	}
	run(t, func(t *testing.T, b *bed) {
		allowTwo(b.cfg)
		b.agents[0].Admit = func(_ context.Context, it agentserver.QueuedOrder) (agentserver.Ticket, error) {
			if it.Order.Target.Model == "finch-small" {
				return agentserver.Ticket{}, &agentserver.RefusalError{Code: "queue-full"}
			}
			return agentserver.Ticket{Finish: func(int) {}}, nil
		}
		must.Eq(t, http.StatusOK, b.ask(t, question).status)
		must.Eq(t, 1, b.started())
	}, entryserver.WithChoose(one), entryserver.WithRedirect(s.Alternatives, r.Allow, r.RecordRefusal))
}

// Guards against a version that fails every request although another would answer them, against runs beyond the retry budget, a
// second run of a non-idempotent request, a second response after the caller has a part of the first, and a later refusal
// that makes an earlier run undone.
func TestRedirectAfterFailure(t *testing.T) {
	cut := func(token int) func(b *bed) {
		return func(b *bed) { b.engines[0].Cut = func(_ identifier.Request, i int) bool { return i == token } }
	}
	cases := []struct {
		name    string
		set     func(b *bed)
		body    string
		headers []string
		status  int
		outcome string
		// started counts the runs at both engines.
		started int
	}{
		{name: "another version answers", set: cut(3), body: question, status: http.StatusOK, started: 2},
		{name: "a stream before its first token", set: cut(0), body: asStream, status: http.StatusOK, started: 2},
		{name: "a stream after it", set: cut(3), body: asStream, status: http.StatusOK, started: 1},
		{
			name: "no budget", body: question, status: http.StatusBadGateway, outcome: "run", started: 1,
			set: func(b *bed) { cut(3)(b); b.retry = false },
		},
		{
			name: "non-idempotent", set: cut(3), body: question, status: http.StatusBadGateway, outcome: "run", started: 1,
			headers: []string{"Siskinfront-Idempotent", "false", "Idempotency-Key", "k"},
		},
		{
			name: "the other one refuses", body: question, status: http.StatusTooManyRequests, outcome: "run", started: 1,
			set: func(b *bed) {
				cut(3)(b)
				b.agents[1].Admit = func(context.Context, agentserver.QueuedOrder) (agentserver.Ticket, error) {
					return agentserver.Ticket{}, &agentserver.RefusalError{Code: "queue-full"}
				}
			},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := selector.New()
			r := redirector.New()
			run(t, func(t *testing.T, b *bed) {
				allowTwo(b.cfg)
				tc.set(b)
				got := b.ask(t, tc.body, tc.headers...)
				must.Eq(t, tc.status, got.status)
				must.Eq(t, tc.outcome, got.header.Get("Siskinfront-Outcome"))
				must.Eq(t, tc.started, b.started())
				must.Len(t, 1, union(b.recorded()))
			}, entryserver.WithChoose(byModel), entryserver.WithRedirect(s.Alternatives, r.Allow, r.RecordRefusal))
		})
	}
}

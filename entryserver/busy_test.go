package entryserver_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/entryserver"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Guards against a request that waits at a busy upstream while another one has a free slot, against attempts after a refusal
// as busy that draw on the retry budget or are not limited in number, and against a second attempt of a request that may have
// only one.
func TestBusyUpstreams(t *testing.T) {
	cases := []struct {
		name         string
		busy         []bool // by index of the upstream
		headers      []string
		wantUpstream int
		wantOrders   int
	}{
		{"first busy", []bool{true, false}, nil, 1, 2},
		{"both busy, the first one lets it wait", []bool{true, true}, nil, 0, 3},
		{"none busy", []bool{false, false}, nil, 0, 1},
		{
			"non-idempotent without a key has one attempt", []bool{true, false},
			[]string{"Siskinfront-Idempotent", "false"}, 0, 1,
		},
		{
			"non-idempotent with a key", []bool{true, false},
			[]string{"Siskinfront-Idempotent", "false", "Idempotency-Key", "k"}, 1, 2,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var fx *fixture
			choose := func(_ context.Context, c entryserver.ChoiceInput) (entryserver.Upstream, error) {
				for i, a := range fx.agents {
					if !slices.Contains(c.Exclude, a.Upstream) {
						u := entryserver.Upstream{Name: a.Upstream, Agent: address(i+1, 7000)}
						if c.BusyRefusals < 2 {
							u.StartDeadline = time.Now().Add(20 * time.Millisecond)
						}
						return u, nil
					}
				}
				return entryserver.Upstream{}, entryserver.ErrNoUpstream
			}
			withFixture(t, func(t *testing.T, created *fixture) {
				fx = created
				fx.allowRetry = false
				orders := map[identifier.Upstream]int{}
				for i, a := range fx.agents {
					a.Admit = func(_ context.Context, queued agentserver.QueuedOrder) (agentserver.Ticket, error) {
						orders[a.Upstream]++
						if tc.busy[i] && !queued.Order.StartDeadline.IsZero() {
							return agentserver.Ticket{}, &agentserver.RefusalError{Code: streamer.CodeBusy}
						}
						return agentserver.Ticket{Finish: func(int) {}}, nil
					}
				}
				r := fx.postCompletion(t, unaryBody, tc.headers...)
				must.Eq(t, http.StatusOK, r.status)
				must.Eq(t, 1, fx.startedRuns())
				must.Eq(t, int64(1), fx.engines[tc.wantUpstream].Counters()["started"])
				must.Eq(t, tc.wantOrders, orders["upstream-1"]+orders["upstream-2"])
				must.Len(t, 1, unionOfBills(fx.recordedBills()))
			}, entryserver.WithChoose(choose))
		})
	}
}

// Guards against requests that fail during the planned stop of an agent because earlier failures have used up the retry
// budget, and against more than three attempts while all agents are leaving.
func TestLeavingAgentsUseNoRetryBudget(t *testing.T) {
	for allLeaving, status := range map[bool]int{false: http.StatusOK, true: http.StatusTooManyRequests} {
		withFixture(t, func(t *testing.T, fx *fixture) {
			fx.allowRetry = false
			orders := 0
			for i, a := range fx.agents {
				a.Admit = func(context.Context, agentserver.QueuedOrder) (agentserver.Ticket, error) {
					orders++
					if i == 0 || allLeaving {
						return agentserver.Ticket{}, &agentserver.RefusalError{Code: streamer.CodeDraining}
					}
					return agentserver.Ticket{Finish: func(int) {}}, nil
				}
			}
			must.Eq(t, status, fx.postCompletion(t, unaryBody).status)
			must.Eq(t, 2, orders)
		})
	}
}

package agentserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/enginefaker"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

var (
	engineAddress = netip.MustParseAddrPort("10.0.0.1:8000")
	agentAddress  = netip.MustParseAddrPort("10.0.0.1:7000")
)

const body = `{"model":"auto","messages":[{"role":"user","content":"Summarise fault note 17."}]}`

// Guards against a second order of the same attempt that runs again instead of attaching to the run, and against bills that
// are lost before they are durable.
func TestSecondPostAttaches(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		first := fx.open(t, order("r-1"))
		time.Sleep(500 * time.Millisecond)
		second := fx.open(t, order("r-1"))
		f, tokens := readToEnd(t, second)
		must.Eq(t, streamer.KindDone, f.Kind)
		must.Eq(t, 16, tokens)
		first.Close()
		must.Eq(t, 1, fx.engine.Executions("r-1"))
		bills := fx.agent.PendingBills(10)
		must.Len(t, 1, bills)
		must.Eq(t, 16, bills[0].Usage.CompletionTokens)
		must.True(t, bills[0].Final)
		fx.agent.RemoveDurableBills([]string{bills[0].ID})
		must.Len(t, 0, fx.agent.PendingBills(10))
		// After the frames were discarded, a late copy of the order must still not run.
		time.Sleep(30 * time.Second)
		f, _ = readToEnd(t, fx.open(t, order("r-1")))
		must.Eq(t, "run-ended", f.Code)
		must.Eq(t, streamer.OutcomeRun, f.Outcome)
		must.Eq(t, 1, fx.engine.Executions("r-1"))
	})
}

// Guards against a refusal with a wrong code or outcome, and against an order that runs although it was refused.
func TestRefusals(t *testing.T) {
	cfg := &configurer.Configuration{
		Revision: 2,
		Models: []configurer.Model{{Name: "finch-small", Versions: []configurer.Version{
			{Name: "v1", State: configurer.VersionServing}, {Name: "v0", State: configurer.VersionWithdrawn},
		}}},
		ClientAccounts: []configurer.ClientAccount{{
			Name: "galway-council", Allowed: []configurer.AllowedModel{{Model: "finch-small"}},
		}},
	}
	loaded := func(t identifier.Target) bool { return t.Version != "v2" }
	cases := []struct {
		code   string
		change func(o *streamer.Order)
	}{
		{"deadline-passed", func(o *streamer.Order) { o.Deadline = time.Now() }},
		{"deadline-passed", func(o *streamer.Order) { o.Deadline = time.Time{} }},
		{"version-withdrawn", func(o *streamer.Order) { o.Target.Version = "v0" }},
		{"version-withdrawn", func(o *streamer.Order) { o.Target.Version = "v9" }},
		{"version-not-allowed", func(o *streamer.Order) { o.ClientAccount = "other" }},
		{"version-not-loaded", func(o *streamer.Order) { o.Target.Version, o.Revision = "v2", 3 }},
	}
	for _, tc := range cases {
		withFixture(t, func(t *testing.T, fx *fixture) {
			o := order("r-1")
			tc.change(o)
			f, _ := readToEnd(t, fx.open(t, o))
			must.Eq(t, streamer.KindRefused, f.Kind)
			must.Eq(t, tc.code, f.Code)
			must.Eq(t, streamer.OutcomeNotRun, f.Outcome)
			must.Eq(t, 0, fx.engine.Counters()["started"])
		}, agentserver.WithConfiguration(func() *configurer.Configuration { return cfg }), agentserver.WithLoaded(loaded))
	}
}

// Guards against an order that runs although its deadline passed in the queue, and against an unbounded queue.
func TestQueueDropsWorkPastItsDeadline(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		first := fx.open(t, order("r-1"))
		late := order("r-2")
		late.Deadline = time.Now().Add(time.Second)
		second := fx.open(t, late)
		synctest.Wait()
		f, _ := readToEnd(t, fx.open(t, order("r-3")))
		must.Eq(t, "queue-full", f.Code)
		f, _ = readToEnd(t, second)
		must.Eq(t, "deadline-passed", f.Code)
		must.Eq(t, streamer.OutcomeNotRun, f.Outcome)
		f, _ = readToEnd(t, first)
		must.Eq(t, streamer.KindDone, f.Kind)
		must.Eq(t, 0, fx.engine.Executions("r-2"))
	}, agentserver.WithQueue(1, 1))
}

// Guards against a cancellation that reports a wrong outcome or leaves the engine running.
func TestCancel(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		running := fx.open(t, order("r-1"))
		queued := fx.open(t, order("r-2"))
		time.Sleep(time.Second)
		must.Eq(t, streamer.OutcomeNotRun, queued.Cancel(t.Context()))
		must.Eq(t, streamer.OutcomeRun, running.Cancel(t.Context()))
		f, _ := readToEnd(t, queued)
		must.Eq(t, "cancelled", f.Code)
		must.Eq(t, streamer.OutcomeNotRun, f.Outcome)
		f, _ = readToEnd(t, running)
		must.Eq(t, streamer.OutcomeRun, f.Outcome)
		synctest.Wait()
		must.Eq(t, 1, fx.engine.Counters()["cancelled"])
		must.Eq(t, 0, fx.engine.Executions("r-2"))
		must.False(t, fx.agent.PendingBills(1)[0].Final)
	}, agentserver.WithQueue(1, 8))
}

// Guards against a run that continues without a reader after the resume window, and against one that is cancelled within it.
func TestRunWithoutReader(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		fx.engine.Tokens = 1000
		longOrder := func(id identifier.Request) *streamer.Order {
			o := order(id)
			o.MaxTokens = 1000
			return o
		}
		stream := fx.open(t, longOrder("r-1"))
		fx.open(t, longOrder("r-2")).Close()
		stream.Close()
		time.Sleep(5 * time.Second)
		stream = fx.open(t, longOrder("r-1"))
		for begin := time.Now(); time.Since(begin) < 20*time.Second; {
			_, err := stream.Next(t.Context())
			must.NoError(t, err)
		}
		must.Eq(t, 1, fx.engine.Counters()["cancelled"])
		must.Eq(t, 1, fx.agent.Counters()["runs-failed"])
		must.Eq(t, streamer.OutcomeRun, stream.Cancel(t.Context()))
		stream.Close()
	})
}

// Guards against a preempted run that starts again, repeats or loses tokens, or keeps its slot, and against a not-run
// outcome of a preempted run whose next slot is refused.
func TestPreemptedRunResumes(t *testing.T) {
	errExpired := errors.New("preempted order is past its deadline")
	for _, tc := range []struct {
		name    string
		resume  error
		kind    streamer.Kind
		tokens  int
		outcome streamer.Outcome
	}{
		{"resumed", nil, streamer.KindDone, 16, streamer.OutcomeRun},
		{"expired while preempted", errExpired, streamer.KindFailed, 8, streamer.OutcomeRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var preempt chan struct{}
			var resumed, finished []int
			admitted, begun := 0, 0
			admit := func(context.Context, agentserver.QueuedOrder) (agentserver.Ticket, error) {
				admitted++
				return agentserver.Ticket{
					Preempted: func() <-chan struct{} { return preempt },
					Resume: func(_ context.Context, n int) error {
						resumed = append(resumed, n)
						preempt = make(chan struct{})
						return tc.resume
					},
					OnFirstToken: func() { begun++ },
					Finish:       func(n int) { finished = append(finished, n) },
				}, nil
			}
			withFixture(t, func(t *testing.T, fx *fixture) {
				preempt = make(chan struct{})
				s := fx.open(t, order("r-1"))
				first := preempt
				time.AfterFunc(850*time.Millisecond, func() { close(first) })
				f, tokens := readToEnd(t, s)
				must.Eq(t, tc.kind, f.Kind)
				must.Eq(t, tc.outcome, f.Outcome)
				must.Eq(t, tc.tokens, tokens)
				must.Eq(t, 1, admitted)
				must.Eq(t, 1, begun)
				must.Eq(t, []int{8}, resumed)
				must.Eq(t, []int{tc.tokens}, finished)
				must.Eq(t, 1, fx.engine.Executions("r-1"))
				bills := fx.agent.PendingBills(9)
				must.Len(t, 1, bills)
				must.Eq(t, tc.tokens, bills[0].Usage.CompletionTokens)
				must.Eq(t, tc.resume == nil, bills[0].Final)
			}, agentserver.WithAdmit(admit, func() streamer.Load { return streamer.Load{} }))
		})
	}
}

// Guards against wrong outcomes and bills when the engine fails before, at and after the start of the run.
func TestEngineFailures(t *testing.T) {
	cases := []struct {
		name    string
		inject  func(fx *fixture)
		code    string
		outcome streamer.Outcome
		// billedTokens is the number of completion tokens on the bill, or -1 if there must be no bill.
		billedTokens int
	}{
		{"unreachable", func(fx *fixture) {
			_ = fx.net.Listen(engineAddress).Close()
		}, "upstream-unreachable", streamer.OutcomeNotRun, -1},
		{"error status", func(fx *fixture) {
			fx.engine.FailStatus = func(identifier.Request) int { return http.StatusInternalServerError }
		}, "engine-refused", streamer.OutcomeUnknown, -1},
		{"cut mid-stream", func(fx *fixture) {
			fx.engine.CutConnection = func(_ identifier.Request, token int) bool { return token == 5 }
		}, "engine-ended-early", streamer.OutcomeRun, 5},
		// A run was not billed when the agent was suspended until the deadline although the engine had started it.
		{"stalled before its response", func(fx *fixture) {
			fx.engine.FailStatus = func(identifier.Request) int {
				time.Sleep(time.Hour)
				return 0
			}
		}, "deadline-passed", streamer.OutcomeUnknown, 0},
		{"stalled", func(fx *fixture) {
			fx.engine.Stall = func(_ identifier.Request, token int) bool { return token == 5 }
		}, "deadline-passed", streamer.OutcomeRun, 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, fx *fixture) {
				// In one case the engine responds only after the checks; the test waits for it.
				defer time.Sleep(2 * time.Hour)
				tc.inject(fx)
				f, _ := readToEnd(t, fx.open(t, order("r-1")))
				must.Eq(t, tc.code, f.Code)
				must.Eq(t, tc.outcome, f.Outcome)
				bills := fx.agent.PendingBills(9)
				if tc.billedTokens < 0 {
					must.Len(t, 0, bills)
					return
				}
				must.Len(t, 1, bills)
				must.False(t, bills[0].Final)
				must.Eq(t, tc.billedTokens, bills[0].Usage.CompletionTokens)
			})
		})
	}
}

// Guards against a lost update of a bill that changes after it was copied to the biller and before the copied bill is
// removed.
func TestBillUpdatedDuringMove(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		s := fx.open(t, order("r-1"))
		time.Sleep(500 * time.Millisecond)
		partial := fx.agent.PendingBills(9)
		must.Len(t, 1, partial)
		must.False(t, partial[0].Final)
		readToEnd(t, s)
		fx.agent.RemoveMovedBills(partial)
		final := fx.agent.PendingBills(9)
		must.Len(t, 1, final)
		must.True(t, final[0].Final)
		fx.agent.RemoveMovedBills(final)
		must.Len(t, 0, fx.agent.PendingBills(9))
	})
}

// Guards against a drain that interrupts active runs or accepts new orders.
func TestDrain(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		s := fx.open(t, order("r-1"))
		drained := make(chan error, 1)
		go func() { drained <- fx.agent.Drain(t.Context()) }()
		synctest.Wait()
		f, _ := readToEnd(t, fx.open(t, order("r-2")))
		must.Eq(t, "draining", f.Code)
		must.Eq(t, streamer.OutcomeNotRun, f.Outcome)
		must.True(t, f.Load.Draining)
		f, _ = readToEnd(t, s)
		must.Eq(t, streamer.KindDone, f.Kind)
		must.NoError(t, <-drained)
		must.NoError(t, fx.agent.Drain(t.Context()))
	})
}

// Guards against a planned stop that cuts off a run. The case without a drain proves that the check detects a run that was
// cut off.
func TestStopCutsNothing(t *testing.T) {
	shutdownAddress := netip.AddrPortFrom(agentAddress.Addr().Next(), agentAddress.Port())
	for _, tc := range []struct {
		name     string
		stop     func(context.Context, *agentserver.Server, *http.Server) error
		complete bool
	}{
		{"drained", func(ctx context.Context, a *agentserver.Server, server *http.Server) error {
			return errors.Join(a.Drain(ctx), server.Shutdown(ctx))
		}, true},
		{"closed at once", func(_ context.Context, _ *agentserver.Server, server *http.Server) error {
			return server.Close()
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, fx *fixture) {
				server := &http.Server{Handler: fx.agent}
				l := fx.net.Listen(shutdownAddress)
				go func() { _ = server.Serve(l) }()
				s, err := fx.client.Open(t.Context(), shutdownAddress, order("r-1"), []byte(body))
				must.NoError(t, err)
				time.Sleep(500 * time.Millisecond)
				stopped := make(chan error, 1)
				go func() { stopped <- tc.stop(t.Context(), fx.agent, server) }()
				var f streamer.Frame
				for err = nil; err == nil && !f.Final(); {
					f, err = s.Next(t.Context())
				}
				must.Eq(t, tc.complete, err == nil && f.Kind == streamer.KindDone, must.Sprintf("%+v: %v", f, err))
				s.Close()
				must.NoError(t, <-stopped)
			})
		})
	}
}

// Guards against commands of a former lease holder that reach an engine that ignores fencing tokens.
func TestFencing(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		command := func(body string) int {
			w := httptest.NewRecorder()
			fx.agent.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/control/load", bytes.NewBufferString(body)))
			return w.Code
		}
		must.Eq(t, http.StatusOK, command(`{"token":7,"target":"finch-small@v2"}`))
		must.Eq(t, http.StatusConflict, command(`{"token":6,"target":"finch-small@v1"}`))
		must.Eq(t, http.StatusOK, command(`{"token":7,"target":"finch-small@v2"}`))
		must.Eq(t, http.StatusBadRequest, command(`{"target":"finch-small@v1"}`))
		w := httptest.NewRecorder()
		fx.engine.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/load", http.NoBody))
		var load enginefaker.LoadReport
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), &load))
		must.Eq(t, []string{"finch-small@v2"}, load.Loaded)
	})
}

// Guards against a truncated response of a plain service that is taken for a complete one, and against a repeated call.
func TestPlainServiceTruncated(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		runs := 0
		serve(t, fx.net, engineAddress, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			runs++
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}))
		o := order("r-1")
		o.Service, o.NonIdempotent = "refunds", true
		o.Call = &streamer.ServiceCall{Method: http.MethodGet, Path: "/bookings"}
		f, _ := readToEnd(t, fx.open(t, o))
		must.Eq(t, "upstream-ended-early", f.Code)
		must.Eq(t, streamer.OutcomeRun, f.Outcome)
		must.Eq(t, 1, runs)
	})
}

// Guards against malformed orders that start a run, and against an order that is sent although its context was cancelled.
func TestMalformedOrders(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		for _, in := range []string{"", "{", "{}\n{}", "null\n", `{"request-id":7}` + "\n"} {
			w := httptest.NewRecorder()
			fx.agent.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/run", bytes.NewBufferString(in)))
			must.Eq(t, http.StatusBadRequest, w.Code)
			must.Eq(t, "not-run", w.Header().Get(streamer.HeaderOutcome))
		}
		must.Eq(t, 0, fx.engine.Counters()["started"])
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := fx.client.Open(ctx, agentAddress, order("r-9"), nil)
		must.True(t, errors.Is(err, context.Canceled) || errors.Is(err, streamer.ErrNotSent))
	})
}

package entryserver_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/entryserver"
	"github.com/siskinfront/siskinfront/identifier"
)

// Guards against invalid requests that start a run, or whose error lacks its code or outcome.
func TestInvalidInputs(t *testing.T) {
	pastDeadline := time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC).Format(time.RFC3339)
	const completions = "/v1/chat/completions"
	cases := []struct {
		name, path, body string
		headers          []string
		wantStatus       int
		wantCode         string
	}{
		{"malformed JSON", completions, `{"model":`, nil, 400, "malformed-json"},
		{"trailing data", completions, unaryBody + "x", nil, 400, "malformed-json"},
		{"no model", completions, `{"messages":[{}]}`, nil, 400, "missing-model"},
		{"no messages", completions, `{"model":"auto"}`, nil, 400, "missing-messages"},
		{"invalid token limit", completions, `{"model":"auto","max_tokens":0,"messages":[{}]}`, nil, 400, "invalid-max-tokens"},
		{"two choices", completions, `{"model":"auto","n":2,"messages":[{}]}`, nil, 400, "unsupported-n"},
		{"oversize body", completions, strings.Repeat(" ", decoder.MaxBodyBytes+1), nil, 413, "body-too-large"},
		{"unknown model", completions, strings.Replace(unaryBody, "auto", "wren", 1), nil, 404, "unknown-model"},
		{"disallowed model", completions, strings.Replace(unaryBody, "auto", "finch-large", 1), nil, 403, "model-not-allowed"},
		{"two Authorization headers", completions, unaryBody, []string{"Authorization", "Bearer x"}, 400, "duplicate-header"},
		{"unknown work kind", completions, unaryBody, []string{decoder.HeaderWorkKind, "poetry"}, 400, "unknown-work-kind"},
		{"past deadline", completions, unaryBody, []string{decoder.HeaderDeadline, pastDeadline}, 400, "deadline-in-the-past"},
		{"malformed deadline", completions, unaryBody, []string{decoder.HeaderDeadline, "soon"}, 400, "invalid-deadline"},
		{"malformed idempotent header", completions, unaryBody, []string{decoder.HeaderIdempotent, "maybe"}, 400, "invalid-header"},
		{"long header", completions, unaryBody, []string{decoder.HeaderSession, strings.Repeat("s", 300)}, 400, "invalid-header"},
		{
			"duplicate header", completions, unaryBody,
			[]string{decoder.HeaderSession, "a", decoder.HeaderSession, "b"}, 400, "duplicate-header",
		},
		{"unknown path", "/v1/embeddings", unaryBody, nil, 404, "unknown-path"},
		{"unknown service", "/services/nothing/x", "", nil, 404, "unknown-service"},
		{"disallowed service", "/services/other/x", "", nil, 403, "service-not-allowed"},
	}
	withFixture(t, func(t *testing.T, fx *fixture) {
		for _, tc := range cases {
			r, err := fx.do(t.Context(), 0, http.MethodPost, tc.path, tc.body, tc.headers...)
			must.NoError(t, err, must.Sprint(tc.name))
			must.Eq(t, tc.wantStatus, r.status, must.Sprint(tc.name))
			must.StrContains(t, r.body, `"code":"`+tc.wantCode+`"`)
			must.Eq(t, "not-run", r.header.Get(decoder.HeaderOutcome), must.Sprint(tc.name))
			must.NotEq(t, "", r.header.Get(decoder.HeaderRequestID))
		}
		must.Eq(t, 0, fx.startedRuns())
		must.Len(t, 0, fx.recordedBills())
	})
}

// Guards against the error of an unknown path for a known path with a wrong method.
func TestMethodNotAllowed(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		for path, allow := range map[string]string{"/v1/chat/completions": "POST", "/v1/models": "GET", "/v1/models/finch": "GET"} {
			r, err := fx.do(t.Context(), 0, http.MethodDelete, path, "")
			must.NoError(t, err)
			must.EqOp(t, 405, r.status, must.Sprint(path))
			must.EqOp(t, allow, r.header.Get("Allow"), must.Sprint(path))
			must.StrContains(t, r.body, `"code":"method-not-allowed"`)
		}
	})
}

// Guards against an incomplete response that is presented as complete, a wrong number of runs, a lost bill, and an outcome
// that is not true, for a failure of the upstream at each stage of a request.
func TestUpstreamFailures(t *testing.T) {
	cutAt := func(token int) func(fx *fixture) {
		return func(fx *fixture) {
			fx.engines[0].CutConnection = func(_ identifier.Request, i int) bool { return i == token }
		}
	}
	noRetries := func(fx *fixture) { fx.allowRetry = false }
	induceAll := func(faults ...func(*fixture)) func(*fixture) {
		return func(fx *fixture) {
			for _, f := range faults {
				f(fx)
			}
		}
	}
	closeFirstAgent := func(fx *fixture) { _ = fx.network.Listen(address(1, 7000)).Close() }
	closeSecondAgent := func(fx *fixture) { _ = fx.network.Listen(address(2, 7000)).Close() }
	loseFirstAgentAfter := func(d time.Duration) func(fx *fixture) {
		return func(fx *fixture) {
			time.AfterFunc(d, func() {
				closeFirstAgent(fx)
				fx.network.Cut(address(1, 7000))
			})
		}
	}
	silenceFirstAgentAfter := func(d time.Duration) func(fx *fixture) {
		return func(fx *fixture) { time.AfterFunc(d, func() { fx.network.BlackHole(address(1, 7000)) }) }
	}
	cases := []struct {
		name        string
		induceFault func(fx *fixture)
		body        string
		wantCode    string
		wantOutcome string
		wantRuns    int
		// wantTokens is the number of completion tokens in the only bill of the entry, or -1 if there must be no bill.
		wantTokens int
	}{
		{"unary, engine cut, other upstream", cutAt(5), unaryBody, "", "", 2, 16},
		{"unary, engine cut, no budget", induceAll(cutAt(5), noRetries), unaryBody, "engine-ended-early", "run", 1, 5},
		{"unary, agent unreachable", closeFirstAgent, unaryBody, "", "", 1, 16},
		{"unary, agent unreachable, no budget", induceAll(closeFirstAgent, noRetries), unaryBody, "", "", 1, 16},
		{
			"unary, all agents unreachable", induceAll(closeFirstAgent, closeSecondAgent), unaryBody,
			"upstream-unreachable", "not-run", 0, -1,
		},
		{"unary, agent lost mid-stream", loseFirstAgentAfter(time.Second), unaryBody, "", "", 2, 16},
		{"unary, connection silent", silenceFirstAgentAfter(time.Second), unaryBody, "", "", 1, 16},
		{"stream, engine cut", cutAt(5), streamBody, "engine-ended-early", "run", 1, 5},
		{"stream, engine cut before the first token", cutAt(0), streamBody, "", "", 2, 16},
		{"stream, connection silent", silenceFirstAgentAfter(time.Second), streamBody, "", "", 1, 16},
		{"stream, agent lost", loseFirstAgentAfter(950 * time.Millisecond), streamBody, "upstream-lost", "unknown", 1, 9},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, fx *fixture) {
				tc.induceFault(fx)
				r := fx.postCompletion(t, tc.body)
				must.Eq(t, tc.wantRuns, fx.startedRuns())
				bills := unionOfBills(fx.recordedBills())
				if tc.wantTokens < 0 {
					must.Len(t, 0, fx.recordedBills())
				} else {
					must.Len(t, 1, bills)
					must.Eq(t, tc.wantTokens, bills[0].Usage.CompletionTokens)
				}
				if tc.wantCode == "" {
					must.Eq(t, http.StatusOK, r.status)
					for _, token := range []string{"t0 ", "t15 "} {
						must.Eq(t, 1, strings.Count(r.body, token))
					}
					must.Eq(t, tc.body == streamBody, strings.Contains(r.body, "[DONE]"))
					must.True(t, bills[0].Final)
					return
				}
				must.StrContains(t, r.body, `"code":"`+tc.wantCode+`"`)
				must.StrContains(t, r.body, `"outcome":"`+tc.wantOutcome+`"`)
				must.False(t, strings.Contains(r.body, "[DONE]"))
				must.False(t, len(bills) == 1 && bills[0].Final)
				if tc.body == unaryBody {
					must.Greater(t, 499, r.status)
					must.Eq(t, tc.wantOutcome, r.header.Get(decoder.HeaderOutcome))
				}
			})
		})
	}
}

// Guards against a run that goes on after its caller disconnected or its deadline passed, and against a final response long
// after the deadline.
func TestAbandonedRequests(t *testing.T) {
	withFixture(t, func(t *testing.T, fx *fixture) {
		for _, body := range []string{unaryBody, streamBody} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := fx.do(ctx, 0, http.MethodPost, "/v1/chat/completions", body)
			must.ErrorIs(t, err, context.DeadlineExceeded)
			cancel()
		}
		time.Sleep(time.Second)
		must.Eq(t, 2, fx.engines[0].Counters()["cancelled"])
		beganAt := time.Now()
		r := fx.postCompletion(t, unaryBody, decoder.HeaderDeadline, beganAt.Add(time.Second).Format(time.RFC3339Nano))
		must.Eq(t, http.StatusGatewayTimeout, r.status)
		must.Eq(t, "run", r.header.Get(decoder.HeaderOutcome))
		must.Less(t, 1300*time.Millisecond, time.Since(beganAt))
	})
}

// Guards against a second run of a non-idempotent request that is repeated at either entry, in each state of its first run.
func TestNonIdempotent(t *testing.T) {
	const path = "/services/refunds/bookings/17?a=b"
	post := func(t *testing.T, fx *fixture, entry int, body string) response {
		t.Helper()
		r, err := fx.do(t.Context(), entry, http.MethodPost, path, body, decoder.HeaderIdempotencyKey, "k-1")
		must.NoError(t, err)
		return r
	}
	check := func(t *testing.T, r response, status int, code, outcome string) {
		t.Helper()
		must.Eq(t, status, r.status)
		must.StrContains(t, r.body, `"code":"`+code+`"`)
		must.Eq(t, outcome, r.header.Get(decoder.HeaderOutcome))
	}
	t.Run("stored", func(t *testing.T) {
		withFixture(t, func(t *testing.T, fx *fixture) {
			first := post(t, fx, 0, "refund")
			must.Eq(t, http.StatusOK, first.status)
			must.Eq(t, "/bookings/17?a=b", first.header.Get("Echo-Path"))
			second := post(t, fx, 1, "refund")
			must.Eq(t, first.body, second.body)
			must.Eq(t, first.header.Get(decoder.HeaderRequestID), second.header.Get(decoder.HeaderRequestID))
			check(t, post(t, fx, 1, "other"), http.StatusConflict, "idempotency-key-reused", "not-run")
			must.Eq(t, 1, fx.service.Total())
		})
	})
	t.Run("running, caller left", func(t *testing.T) {
		withFixture(t, func(t *testing.T, fx *fixture) {
			fx.service.Delay = 2 * time.Second
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := fx.do(ctx, 0, http.MethodPost, path, "refund", decoder.HeaderIdempotencyKey, "k-1")
			must.Error(t, err)
			check(t, post(t, fx, 1, "refund"), http.StatusConflict, "request-in-progress", "unknown")
			time.Sleep(2 * time.Second)
			must.Eq(t, "refund", post(t, fx, 1, "refund").body)
			must.Eq(t, 1, fx.service.Total())
		})
	})
	t.Run("reply lost", func(t *testing.T) {
		withFixture(t, func(t *testing.T, fx *fixture) {
			fx.service.CutConnection = func(identifier.Request) bool { return true }
			check(t, post(t, fx, 0, "refund"), http.StatusBadGateway, "upstream-broken", "unknown")
			check(t, post(t, fx, 1, "refund"), http.StatusConflict, "outcome-unknown", "unknown")
			must.Eq(t, 1, fx.service.Total())
		})
	})
	t.Run("claim not writable", func(t *testing.T) {
		withFixture(t, func(t *testing.T, fx *fixture) {
			fx.claims.unavailable = true
			r := post(t, fx, 0, "refund")
			check(t, r, http.StatusServiceUnavailable, "claim-unavailable", "not-run")
			must.Eq(t, "1", r.header.Get("Retry-After"))
			fx.claims.unavailable, fx.claims.failMarkStarted = false, true
			check(t, post(t, fx, 0, "refund"), http.StatusServiceUnavailable, "claim-unavailable", "not-run")
			must.Eq(t, 0, fx.service.Total())
		})
	})
	t.Run("agent unreachable, claim released", func(t *testing.T) {
		withFixture(t, func(t *testing.T, fx *fixture) {
			_ = fx.network.Listen(address(3, 7000)).Close()
			check(t, post(t, fx, 0, "refund"), http.StatusServiceUnavailable, "upstream-unreachable", "not-run")
			must.Eq(t, 0, len(fx.claims.results))
		})
	})
	t.Run("engine fails mid-stream, without a key", func(t *testing.T) {
		withFixture(t, func(t *testing.T, fx *fixture) {
			fx.engines[0].CutConnection = func(_ identifier.Request, i int) bool { return i == 3 }
			r := fx.postCompletion(t, unaryBody, decoder.HeaderWorkKind, "energisation-order")
			check(t, r, http.StatusBadGateway, "engine-ended-early", "run")
			must.Eq(t, 1, fx.startedRuns())
		})
	})
}

// Guards against a session that changes its version silently, and against runs on a withdrawn version.
func TestSessionOfWithdrawnVersion(t *testing.T) {
	pinned := identifier.Target{Model: "finch-small", Version: "v1"}
	pin := func(context.Context, identifier.ClientAccount, identifier.Session, identifier.Target, uint64) (
		identifier.Target, error,
	) {
		return pinned, nil
	}
	withFixture(t, func(t *testing.T, fx *fixture) {
		r := fx.postCompletion(t, unaryBody, decoder.HeaderSession, "s-1")
		must.Eq(t, http.StatusOK, r.status)
		must.Eq(t, "v1", r.header.Get(decoder.HeaderVersion))
		cfg := configuration()
		cfg.Revision = 2
		cfg.Models[0].Versions = []configurer.Version{
			{Name: "v1", State: configurer.VersionWithdrawn}, {Name: "v2", State: configurer.VersionServing},
		}
		fx.cfg = cfg
		r = fx.postCompletion(t, unaryBody, decoder.HeaderSession, "s-1")
		must.Eq(t, http.StatusConflict, r.status)
		must.StrContains(t, r.body, "session-version-withdrawn")
		must.Eq(t, "not-run", r.header.Get(decoder.HeaderOutcome))
		must.Eq(t, "v2", fx.postCompletion(t, unaryBody).header.Get(decoder.HeaderVersion))
		must.Eq(t, 2, fx.startedRuns())
	}, entryserver.WithPin(pin))
}

// Guards against a shutdown that interrupts a request in progress.
func TestShutdownFinishesRequests(t *testing.T) {
	for _, tc := range []struct {
		name         string
		serve        func(*entryserver.Server, context.Context, net.Listener) error
		wantComplete bool
	}{
		{"graceful", (*entryserver.Server).Serve, true},
		// Shows that the test detects an interrupted request when the server is closed at once.
		{"closed at once", func(s *entryserver.Server, ctx context.Context, l net.Listener) error {
			server := &http.Server{Handler: s}
			context.AfterFunc(ctx, func() { _ = server.Close() })
			return server.Serve(l)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, fx *fixture) {
				entry := entryserver.New(entryserver.WithChoose(fx.choose),
					entryserver.WithConfiguration(func() *configurer.Configuration { return fx.cfg }),
					entryserver.WithStreams(newStreamClient(fx)))
				ctx, cancel := context.WithCancel(t.Context())
				serveErr := make(chan error, 1)
				l := fx.network.Listen(address(109, 80))
				go func() { serveErr <- tc.serve(entry, ctx, l) }()
				time.AfterFunc(time.Second, cancel)
				r, err := fx.do(t.Context(), 9, http.MethodPost, "/v1/chat/completions", streamBody)
				must.Eq(t, tc.wantComplete, err == nil)
				must.Eq(t, tc.wantComplete, strings.Contains(r.body, "t15 ") && strings.Contains(r.body, "[DONE]"))
				must.Eq(t, tc.wantComplete, <-serveErr == nil)
				_, err = fx.do(t.Context(), 9, http.MethodPost, "/v1/chat/completions", unaryBody)
				must.Error(t, err)
				synctest.Wait()
			})
		})
	}
}

// Guards against a token limit of the client account that is ignored, and against a rejected request that starts a run.
func TestAccountLimitRejects(t *testing.T) {
	refuseTokens := func(_ *configurer.ClientAccount, _ int, now time.Time) (time.Time, bool) {
		return now.Add(1500 * time.Millisecond), false
	}
	withFixture(t, func(t *testing.T, fx *fixture) {
		r := fx.postCompletion(t, unaryBody)
		must.Eq(t, http.StatusTooManyRequests, r.status)
		must.Eq(t, "2", r.header.Get("Retry-After"))
		must.Eq(t, "not-run", r.header.Get(decoder.HeaderOutcome))
		must.Eq(t, 0, fx.startedRuns())
	}, entryserver.WithAllowTokens(refuseTokens))
}

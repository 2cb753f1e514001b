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

// Guards against invalid inputs that start work, or whose error lacks its code or outcome.
func TestInvalidInputs(t *testing.T) {
	past := time.Date(1999, 1, 1, 0, 0, 0, 0, time.UTC).Format(time.RFC3339)
	const completions = "/v1/chat/completions"
	cases := []struct {
		name, path, body string
		headers          []string
		status           int
		code             string
	}{
		{"malformed JSON", completions, `{"model":`, nil, 400, "malformed-json"},
		{"trailing data", completions, question + "x", nil, 400, "malformed-json"},
		{"no model", completions, `{"messages":[{}]}`, nil, 400, "missing-model"},
		{"no messages", completions, `{"model":"auto"}`, nil, 400, "missing-messages"},
		{"token limit", completions, `{"model":"auto","max_tokens":0,"messages":[{}]}`, nil, 400, "invalid-max-tokens"},
		{"two choices", completions, `{"model":"auto","n":2,"messages":[{}]}`, nil, 400, "unsupported-n"},
		{"oversize body", completions, strings.Repeat(" ", decoder.MaxBodyBytes+1), nil, 413, "body-too-large"},
		{"unknown model", completions, strings.Replace(question, "auto", "wren", 1), nil, 404, "unknown-model"},
		{"disallowed model", completions, strings.Replace(question, "auto", "finch-large", 1), nil, 403, "model-not-allowed"},
		{"second key", completions, question, []string{"Authorization", "Bearer x"}, 400, "duplicate-header"},
		{"work kind", completions, question, []string{decoder.HeaderWorkKind, "poetry"}, 400, "unknown-work-kind"},
		{"past deadline", completions, question, []string{decoder.HeaderDeadline, past}, 400, "deadline-in-the-past"},
		{"odd deadline", completions, question, []string{decoder.HeaderDeadline, "soon"}, 400, "invalid-deadline"},
		{"odd mark", completions, question, []string{decoder.HeaderIdempotent, "maybe"}, 400, "invalid-header"},
		{"long header", completions, question, []string{decoder.HeaderSession, strings.Repeat("s", 300)}, 400, "invalid-header"},
		{
			"duplicate header", completions, question,
			[]string{decoder.HeaderSession, "a", decoder.HeaderSession, "b"}, 400, "duplicate-header",
		},
		{"unknown path", "/v1/embeddings", question, nil, 404, "unknown-path"},
		{"unknown service", "/services/nothing/x", "", nil, 404, "unknown-service"},
		{"disallowed service", "/services/other/x", "", nil, 403, "service-not-allowed"},
	}
	run(t, func(t *testing.T, b *bed) {
		for _, tc := range cases {
			r, err := b.call(t.Context(), 0, http.MethodPost, tc.path, tc.body, tc.headers...)
			must.NoError(t, err, must.Sprint(tc.name))
			must.Eq(t, tc.status, r.status, must.Sprint(tc.name))
			must.StrContains(t, r.body, `"code":"`+tc.code+`"`)
			must.Eq(t, "not-run", r.header.Get(decoder.HeaderOutcome), must.Sprint(tc.name))
			must.NotEq(t, "", r.header.Get(decoder.HeaderRequestID))
		}
		must.Eq(t, 0, b.started())
		must.Len(t, 0, b.recorded())
	})
}

// Guards against a wrong method on a known path that looks like an unknown path.
func TestMethodNotAllowed(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		for path, allow := range map[string]string{"/v1/chat/completions": "POST", "/v1/models": "GET", "/v1/models/finch": "GET"} {
			r, err := b.call(t.Context(), 0, http.MethodDelete, path, "")
			must.NoError(t, err)
			must.EqOp(t, 405, r.status, must.Sprint(path))
			must.EqOp(t, allow, r.header.Get("Allow"), must.Sprint(path))
			must.StrContains(t, r.body, `"code":"method-not-allowed"`)
		}
	})
}

// Guards against an incomplete response that is presented as complete, a double run or a lost bill when an upstream fails
// at each stage, and against outcomes that are not true.
func TestUpstreamFailures(t *testing.T) {
	cutAt := func(token int) func(b *bed) {
		return func(b *bed) {
			b.engines[0].Cut = func(_ identifier.Request, i int) bool { return i == token }
		}
	}
	none := func(b *bed) { b.retry = false }
	both := func(fs ...func(*bed)) func(*bed) {
		return func(b *bed) {
			for _, f := range fs {
				f(b)
			}
		}
	}
	closed := func(b *bed) { _ = b.net.Listen(address(1, 7000)).Close() }
	otherClosed := func(b *bed) { _ = b.net.Listen(address(2, 7000)).Close() }
	goneAt := func(d time.Duration) func(b *bed) {
		return func(b *bed) {
			time.AfterFunc(d, func() {
				closed(b)
				b.net.Cut(address(1, 7000))
			})
		}
	}
	silentAt := func(d time.Duration) func(b *bed) {
		return func(b *bed) { time.AfterFunc(d, func() { b.net.BlackHole(address(1, 7000)) }) }
	}
	cases := []struct {
		name    string
		induce  func(b *bed)
		body    string
		code    string
		outcome string
		started int
		// billed counts the completion tokens of the entry's only bill, -1 if there must be none.
		billed int
	}{
		{"unary, engine cut, other upstream", cutAt(5), question, "", "", 2, 16},
		{"unary, engine cut, no budget", both(cutAt(5), none), question, "engine-ended-early", "run", 1, 5},
		{"unary, agent unreachable", closed, question, "", "", 1, 16},
		{"unary, agent unreachable, no budget", both(closed, none), question, "", "", 1, 16},
		{"unary, all agents unreachable", both(closed, otherClosed), question, "upstream-unreachable", "not-run", 0, -1},
		{"unary, agent gone mid-stream", goneAt(time.Second), question, "", "", 2, 16},
		{"unary, connection silent", silentAt(time.Second), question, "", "", 1, 16},
		{"stream, engine cut", cutAt(5), asStream, "engine-ended-early", "run", 1, 5},
		{"stream, engine cut before the first token", cutAt(0), asStream, "", "", 2, 16},
		{"stream, connection silent", silentAt(time.Second), asStream, "", "", 1, 16},
		{"stream, agent gone", goneAt(950 * time.Millisecond), asStream, "upstream-lost", "unknown", 1, 9},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			run(t, func(t *testing.T, b *bed) {
				tc.induce(b)
				r := b.ask(t, tc.body)
				must.Eq(t, tc.started, b.started())
				bills := union(b.recorded())
				if tc.billed < 0 {
					must.Len(t, 0, b.recorded())
				} else {
					must.Len(t, 1, bills)
					must.Eq(t, tc.billed, bills[0].Usage.CompletionTokens)
				}
				if tc.code == "" {
					must.Eq(t, http.StatusOK, r.status)
					for _, token := range []string{"t0 ", "t15 "} {
						must.Eq(t, 1, strings.Count(r.body, token))
					}
					must.Eq(t, tc.body == asStream, strings.Contains(r.body, "[DONE]"))
					must.True(t, bills[0].Final)
					return
				}
				must.StrContains(t, r.body, `"code":"`+tc.code+`"`)
				must.StrContains(t, r.body, `"outcome":"`+tc.outcome+`"`)
				must.False(t, strings.Contains(r.body, "[DONE]"))
				must.False(t, len(bills) == 1 && bills[0].Final)
				if tc.body == question {
					must.Greater(t, 499, r.status)
					must.Eq(t, tc.outcome, r.header.Get(decoder.HeaderOutcome))
				}
			})
		})
	}
}

// Guards against work that goes on for a caller that left or whose deadline passed, and against a late final response.
func TestAbandonedRequests(t *testing.T) {
	run(t, func(t *testing.T, b *bed) {
		for _, body := range []string{question, asStream} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := b.call(ctx, 0, http.MethodPost, "/v1/chat/completions", body)
			must.ErrorIs(t, err, context.DeadlineExceeded)
			cancel()
		}
		time.Sleep(time.Second)
		must.Eq(t, 2, b.engines[0].Counters()["cancelled"])
		begin := time.Now()
		r := b.ask(t, question, decoder.HeaderDeadline, begin.Add(time.Second).Format(time.RFC3339Nano))
		must.Eq(t, http.StatusGatewayTimeout, r.status)
		must.Eq(t, "run", r.header.Get(decoder.HeaderOutcome))
		must.Less(t, 1300*time.Millisecond, time.Since(begin))
	})
}

// Guards against a second run of a non-idempotent request, through either entry and in each state of the first one.
func TestNonIdempotent(t *testing.T) {
	const path = "/services/refunds/bookings/17?a=b"
	post := func(t *testing.T, b *bed, entry int, body string) reply {
		t.Helper()
		r, err := b.call(t.Context(), entry, http.MethodPost, path, body, decoder.HeaderIdempotencyKey, "k-1")
		must.NoError(t, err)
		return r
	}
	check := func(t *testing.T, r reply, status int, code, outcome string) {
		t.Helper()
		must.Eq(t, status, r.status)
		must.StrContains(t, r.body, `"code":"`+code+`"`)
		must.Eq(t, outcome, r.header.Get(decoder.HeaderOutcome))
	}
	t.Run("stored", func(t *testing.T) {
		run(t, func(t *testing.T, b *bed) {
			first := post(t, b, 0, "refund")
			must.Eq(t, http.StatusOK, first.status)
			must.Eq(t, "/bookings/17?a=b", first.header.Get("Echo-Path"))
			second := post(t, b, 1, "refund")
			must.Eq(t, first.body, second.body)
			must.Eq(t, first.header.Get(decoder.HeaderRequestID), second.header.Get(decoder.HeaderRequestID))
			check(t, post(t, b, 1, "other"), http.StatusConflict, "idempotency-key-reused", "not-run")
			must.Eq(t, 1, b.service.Total())
		})
	})
	t.Run("running, caller left", func(t *testing.T) {
		run(t, func(t *testing.T, b *bed) {
			b.service.Delay = 2 * time.Second
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := b.call(ctx, 0, http.MethodPost, path, "refund", decoder.HeaderIdempotencyKey, "k-1")
			must.Error(t, err)
			check(t, post(t, b, 1, "refund"), http.StatusConflict, "request-in-progress", "unknown")
			time.Sleep(2 * time.Second)
			must.Eq(t, "refund", post(t, b, 1, "refund").body)
			must.Eq(t, 1, b.service.Total())
		})
	})
	t.Run("reply lost", func(t *testing.T) {
		run(t, func(t *testing.T, b *bed) {
			b.service.Cut = func(identifier.Request) bool { return true }
			check(t, post(t, b, 0, "refund"), http.StatusBadGateway, "upstream-broken", "unknown")
			check(t, post(t, b, 1, "refund"), http.StatusConflict, "outcome-unknown", "unknown")
			must.Eq(t, 1, b.service.Total())
		})
	})
	t.Run("claim not writable", func(t *testing.T) {
		run(t, func(t *testing.T, b *bed) {
			b.claims.down = true
			r := post(t, b, 0, "refund")
			check(t, r, http.StatusServiceUnavailable, "claim-unavailable", "not-run")
			must.Eq(t, "1", r.header.Get("Retry-After"))
			b.claims.down, b.claims.noStart = false, true
			check(t, post(t, b, 0, "refund"), http.StatusServiceUnavailable, "claim-unavailable", "not-run")
			must.Eq(t, 0, b.service.Total())
		})
	})
	t.Run("agent unreachable releases", func(t *testing.T) {
		run(t, func(t *testing.T, b *bed) {
			_ = b.net.Listen(address(3, 7000)).Close()
			check(t, post(t, b, 0, "refund"), http.StatusServiceUnavailable, "upstream-unreachable", "not-run")
			must.Eq(t, 0, len(b.claims.held))
		})
	})
	t.Run("order cut mid-stream without a key", func(t *testing.T) {
		run(t, func(t *testing.T, b *bed) {
			b.engines[0].Cut = func(_ identifier.Request, i int) bool { return i == 3 }
			r := b.ask(t, question, decoder.HeaderWorkKind, "energisation-order")
			check(t, r, http.StatusBadGateway, "engine-ended-early", "run")
			must.Eq(t, 1, b.started())
		})
	})
}

// Guards against a session that changes its version without notice, and against work on a withdrawn version.
func TestSessionOfWithdrawnVersion(t *testing.T) {
	pinned := identifier.Target{Model: "finch-small", Version: "v1"}
	pin := func(context.Context, identifier.ClientAccount, identifier.Session, identifier.Target, uint64) (
		identifier.Target, error,
	) {
		return pinned, nil
	}
	run(t, func(t *testing.T, b *bed) {
		r := b.ask(t, question, decoder.HeaderSession, "s-1")
		must.Eq(t, http.StatusOK, r.status)
		must.Eq(t, "v1", r.header.Get(decoder.HeaderVersion))
		cfg := configuration()
		cfg.Revision = 2
		cfg.Models[0].Versions = []configurer.Version{
			{Name: "v1", State: configurer.VersionWithdrawn}, {Name: "v2", State: configurer.VersionServing},
		}
		b.cfg = cfg
		r = b.ask(t, question, decoder.HeaderSession, "s-1")
		must.Eq(t, http.StatusConflict, r.status)
		must.StrContains(t, r.body, "session-version-withdrawn")
		must.Eq(t, "not-run", r.header.Get(decoder.HeaderOutcome))
		must.Eq(t, "v2", b.ask(t, question).header.Get(decoder.HeaderVersion))
		must.Eq(t, 2, b.started())
	}, entryserver.WithPin(pin))
}

// Guards against a shutdown that interrupts a request in progress.
func TestShutdownFinishesRequests(t *testing.T) {
	for _, tc := range []struct {
		name  string
		serve func(*entryserver.Server, context.Context, net.Listener) error
		whole bool
	}{
		{"graceful", (*entryserver.Server).Serve, true},
		// The check must see the cut without the protection.
		{"closed at once", func(s *entryserver.Server, ctx context.Context, l net.Listener) error {
			server := &http.Server{Handler: s}
			context.AfterFunc(ctx, func() { _ = server.Close() })
			return server.Serve(l)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, func(t *testing.T, b *bed) {
				entry := entryserver.New(entryserver.WithChoose(b.choose),
					entryserver.WithConfiguration(func() *configurer.Configuration { return b.cfg }),
					entryserver.WithStreams(newClient(b)))
				ctx, cancel := context.WithCancel(t.Context())
				served := make(chan error, 1)
				l := b.net.Listen(address(109, 80))
				go func() { served <- tc.serve(entry, ctx, l) }()
				time.AfterFunc(time.Second, cancel)
				r, err := b.call(t.Context(), 9, http.MethodPost, "/v1/chat/completions", asStream)
				must.Eq(t, tc.whole, err == nil)
				must.Eq(t, tc.whole, strings.Contains(r.body, "t15 ") && strings.Contains(r.body, "[DONE]"))
				must.Eq(t, tc.whole, <-served == nil)
				_, err = b.call(t.Context(), 9, http.MethodPost, "/v1/chat/completions", question)
				must.Error(t, err)
				synctest.Wait()
			})
		})
	}
}

// Guards against limits that are ignored, or that start work.
func TestLimitRejects(t *testing.T) {
	limit := func(_ *configurer.ClientAccount, _ int, now time.Time) (time.Time, bool) {
		return now.Add(1500 * time.Millisecond), false
	}
	run(t, func(t *testing.T, b *bed) {
		r := b.ask(t, question)
		must.Eq(t, http.StatusTooManyRequests, r.status)
		must.Eq(t, "2", r.header.Get("Retry-After"))
		must.Eq(t, "not-run", r.header.Get(decoder.HeaderOutcome))
		must.Eq(t, 0, b.started())
	}, entryserver.WithAllowTokens(limit))
}

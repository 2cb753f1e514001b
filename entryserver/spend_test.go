package entryserver_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/decoder"
	"github.com/siskinfront/siskinfront/entryserver"
	"github.com/siskinfront/siskinfront/identifier"
)

// reservationRecorder records the reservations of a test and the amounts with which each was settled. From the reservation
// with the number refuseFrom on, counted from 1, it refuses them; 0 refuses none.
type reservationRecorder struct {
	mu         sync.Mutex
	refuseFrom int
	reserved   []float64
	settled    [][]float64
}

func (p *reservationRecorder) reserve(amount float64) (func(float64), error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := len(p.reserved)
	if p.refuseFrom > 0 && i+1 >= p.refuseFrom {
		return nil, &entryserver.SpendLimitError{RetryAt: time.Now().Add(90 * time.Second)}
	}
	p.reserved, p.settled = append(p.reserved, amount), append(p.settled, nil)
	return func(actual float64) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.settled[i] = append(p.settled[i], actual)
	}, nil
}

// setPrices sets the price of a prompt token to 1 and that of an output token to 10.
func setPrices(fx *fixture) {
	for i := range fx.cfg.Models {
		v := &fx.cfg.Models[i].Versions[0]
		v.InputPrice, v.OutputPrice = 1e6, 10e6
	}
}

// Guards against a reservation that is not settled, is settled twice, or is settled with another amount than the actual cost,
// for each way in which an attempt can end.
func TestReservations(t *testing.T) {
	// The entry estimates 7 prompt tokens from the 26 bytes of the content; the engine counts 14 in the 52 bytes of the
	// message and answers with 16 tokens.
	const promptCost, maxCost, answerCost = 7, 7 + 64*10, 14 + 16*10
	cut := func(fx *fixture, engine, token int) {
		fx.engines[engine].CutConnection = func(_ identifier.Request, i int) bool { return i == token }
	}
	cases := []struct {
		name          string
		induceFault   func(fx *fixture)
		callerTimeout time.Duration
		wantSettled   []float64
	}{
		{"success", func(*fixture) {}, 0, []float64{answerCost}},
		{"failure", func(fx *fixture) { cut(fx, 0, 5); fx.allowRetry = false }, 0, []float64{promptCost + 50}},
		{"retry", func(fx *fixture) { cut(fx, 0, 5) }, 0, []float64{promptCost + 50, answerCost}},
		{"not run", func(fx *fixture) { _ = fx.network.Listen(address(1, 7000)).Close() }, 0, []float64{0, answerCost}},
		{"caller leaves", func(*fixture) {}, time.Second, []float64{maxCost}},
		{"agent lost", func(fx *fixture) {
			fx.allowRetry = false
			time.AfterFunc(time.Second, func() {
				_ = fx.network.Listen(address(1, 7000)).Close()
				fx.network.Cut(address(1, 7000))
			})
		}, 0, []float64{maxCost}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := &reservationRecorder{}
			withFixture(t, func(t *testing.T, fx *fixture) {
				setPrices(fx)
				tc.induceFault(fx)
				ctx := t.Context()
				if tc.callerTimeout > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, tc.callerTimeout)
					defer cancel()
				}
				_, err := fx.do(ctx, 0, http.MethodPost, "/v1/chat/completions", unaryBody)
				must.Eq(t, tc.callerTimeout > 0, err != nil)
				time.Sleep(5 * time.Second)
				p.mu.Lock()
				defer p.mu.Unlock()
				must.Len(t, len(tc.wantSettled), p.settled)
				for i, want := range tc.wantSettled {
					must.Eq(t, maxCost, p.reserved[i])
					must.Eq(t, []float64{want}, p.settled[i])
				}
			}, entryserver.WithReserve(p.reserve))
		})
	}
}

// Guards against runs beyond the hard limit of the spend, and against a refusal that lacks the outcome or the time to try
// again.
func TestSpendLimit(t *testing.T) {
	t.Run("first attempt", func(t *testing.T) {
		p := &reservationRecorder{refuseFrom: 1}
		withFixture(t, func(t *testing.T, fx *fixture) {
			for _, body := range []string{unaryBody, streamBody} {
				r := fx.postCompletion(t, body)
				must.Eq(t, http.StatusTooManyRequests, r.status)
				must.StrContains(t, r.body, `"code":"spend-limit"`)
				must.Eq(t, "not-run", r.header.Get(decoder.HeaderOutcome))
				must.Eq(t, "90", r.header.Get("Retry-After"))
			}
			must.Eq(t, 0, fx.startedRuns())
		}, entryserver.WithReserve(p.reserve))
	})
	t.Run("second attempt", func(t *testing.T) {
		p := &reservationRecorder{refuseFrom: 2}
		withFixture(t, func(t *testing.T, fx *fixture) {
			fx.engines[0].CutConnection = func(_ identifier.Request, i int) bool { return i == 5 }
			r := fx.postCompletion(t, unaryBody)
			must.StrContains(t, r.body, `"code":"engine-ended-early"`)
			must.Eq(t, "run", r.header.Get(decoder.HeaderOutcome))
			must.Eq(t, 1, fx.startedRuns())
		}, entryserver.WithReserve(p.reserve))
	})
	t.Run("claimed", func(t *testing.T) {
		p := &reservationRecorder{refuseFrom: 1}
		withFixture(t, func(t *testing.T, fx *fixture) {
			r := fx.postCompletion(t, unaryBody, decoder.HeaderWorkKind, "energisation-order", decoder.HeaderIdempotencyKey, "k-1")
			must.Eq(t, http.StatusTooManyRequests, r.status)
			must.Eq(t, 0, len(fx.claims.results))
		}, entryserver.WithReserve(p.reserve))
	})
}

// Guards against a second reservation when the stored response of a request is repeated.
func TestRepeatedResultReservesNothing(t *testing.T) {
	p := &reservationRecorder{}
	withFixture(t, func(t *testing.T, fx *fixture) {
		setPrices(fx)
		headers := []string{decoder.HeaderWorkKind, "energisation-order", decoder.HeaderIdempotencyKey, "k-1"}
		first, second := fx.postCompletion(t, unaryBody, headers...), fx.postCompletion(t, unaryBody, headers...)
		must.Eq(t, first.body, second.body)
		must.True(t, strings.Contains(first.body, "t15 "))
		p.mu.Lock()
		defer p.mu.Unlock()
		must.Len(t, 1, p.reserved)
		must.Len(t, 1, p.settled[0])
	}, entryserver.WithReserve(p.reserve))
}

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

// purse records the reservations of a test and how each was settled.
type purse struct {
	mu       sync.Mutex
	refuseAt int
	reserved []float64
	settled  [][]float64
}

func (p *purse) reserve(amount float64) (func(float64), error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := len(p.reserved)
	if p.refuseAt > 0 && i+1 >= p.refuseAt {
		return nil, &entryserver.SpendLimitError{RetryAt: time.Now().Add(90 * time.Second)}
	}
	p.reserved, p.settled = append(p.reserved, amount), append(p.settled, nil)
	return func(actual float64) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.settled[i] = append(p.settled[i], actual)
	}, nil
}

// priced makes a prompt token cost 1 and an output token 10.
func priced(b *bed) {
	for i := range b.cfg.Models {
		v := &b.cfg.Models[i].Versions[0]
		v.InputPrice, v.OutputPrice = 1e6, 10e6
	}
}

// Guards against a reservation that stays open, is settled twice or with a cost other than the real one, on each end of
// a request.
func TestReservations(t *testing.T) {
	// The router estimates 7 prompt tokens from the 26 bytes of the content; the engine counts 14 in the 52 bytes of the
	// message and answers with 16 tokens.
	const prompt, maximum, whole = 7, 7 + 64*10, 14 + 16*10
	cut := func(b *bed, engine, token int) {
		b.engines[engine].Cut = func(_ identifier.Request, i int) bool { return i == token }
	}
	cases := []struct {
		name    string
		induce  func(b *bed)
		timeout time.Duration
		settled []float64
	}{
		{"success", func(*bed) {}, 0, []float64{whole}},
		{"failure", func(b *bed) { cut(b, 0, 5); b.retry = false }, 0, []float64{prompt + 50}},
		{"retry", func(b *bed) { cut(b, 0, 5) }, 0, []float64{prompt + 50, whole}},
		{"not run", func(b *bed) { _ = b.net.Listen(address(1, 7000)).Close() }, 0, []float64{0, whole}},
		{"caller leaves", func(*bed) {}, time.Second, []float64{maximum}},
		{"agent lost", func(b *bed) {
			b.retry = false
			time.AfterFunc(time.Second, func() {
				_ = b.net.Listen(address(1, 7000)).Close()
				b.net.Cut(address(1, 7000))
			})
		}, 0, []float64{maximum}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := &purse{}
			run(t, func(t *testing.T, b *bed) {
				priced(b)
				tc.induce(b)
				ctx := t.Context()
				if tc.timeout > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, tc.timeout)
					defer cancel()
				}
				_, err := b.call(ctx, 0, http.MethodPost, "/v1/chat/completions", question)
				must.Eq(t, tc.timeout > 0, err != nil)
				time.Sleep(5 * time.Second)
				p.mu.Lock()
				defer p.mu.Unlock()
				must.Len(t, len(tc.settled), p.settled)
				for i, want := range tc.settled {
					must.Eq(t, maximum, p.reserved[i])
					must.Eq(t, []float64{want}, p.settled[i])
				}
			}, entryserver.WithReserve(p.reserve))
		})
	}
}

// Guards against work beyond the hard limit, and against its refusal without the outcome and the time to try again.
func TestSpendLimit(t *testing.T) {
	t.Run("first attempt", func(t *testing.T) {
		p := &purse{refuseAt: 1}
		run(t, func(t *testing.T, b *bed) {
			for _, body := range []string{question, asStream} {
				r := b.ask(t, body)
				must.Eq(t, http.StatusTooManyRequests, r.status)
				must.StrContains(t, r.body, `"code":"spend-limit"`)
				must.Eq(t, "not-run", r.header.Get(decoder.HeaderOutcome))
				must.Eq(t, "90", r.header.Get("Retry-After"))
			}
			must.Eq(t, 0, b.started())
		}, entryserver.WithReserve(p.reserve))
	})
	t.Run("second attempt", func(t *testing.T) {
		p := &purse{refuseAt: 2}
		run(t, func(t *testing.T, b *bed) {
			b.engines[0].Cut = func(_ identifier.Request, i int) bool { return i == 5 }
			r := b.ask(t, question)
			must.StrContains(t, r.body, `"code":"engine-ended-early"`)
			must.Eq(t, "run", r.header.Get(decoder.HeaderOutcome))
			must.Eq(t, 1, b.started())
		}, entryserver.WithReserve(p.reserve))
	})
	t.Run("claimed", func(t *testing.T) {
		p := &purse{refuseAt: 1}
		run(t, func(t *testing.T, b *bed) {
			r := b.ask(t, question, decoder.HeaderWorkKind, "energisation-order", decoder.HeaderIdempotencyKey, "k-1")
			must.Eq(t, http.StatusTooManyRequests, r.status)
			must.Eq(t, 0, len(b.claims.held))
		}, entryserver.WithReserve(p.reserve))
	})
}

// Guards against a repeated response that is paid for twice.
func TestRepeatedResultReservesNothing(t *testing.T) {
	p := &purse{}
	run(t, func(t *testing.T, b *bed) {
		priced(b)
		headers := []string{decoder.HeaderWorkKind, "energisation-order", decoder.HeaderIdempotencyKey, "k-1"}
		first, second := b.ask(t, question, headers...), b.ask(t, question, headers...)
		must.Eq(t, first.body, second.body)
		must.True(t, strings.Contains(first.body, "t15 "))
		p.mu.Lock()
		defer p.mu.Unlock()
		must.Len(t, 1, p.reserved)
		must.Len(t, 1, p.settled[0])
	}, entryserver.WithReserve(p.reserve))
}

package replayer

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// Traffic describes the traffic of a generated trace.
type Traffic struct {
	// Length is the time from the first to the last request.
	Length time.Duration
	// Rate is the mean number of requests per second.
	Rate float64
	// LargeShare is the share of requests, from 0 to 1, that the large client accounts send.
	LargeShare float64
	// LargeAccounts is the number of large client accounts, the first ones of the configuration.
	LargeAccounts int
	// RepeatShare is the share of non-idempotent requests that a caller sends a second time with the same key.
	RepeatShare float64
	// ServiceShare is the share of requests, from 0 to 1, that call a plain service.
	ServiceShare float64
}

// Generate returns a trace of a shape for the client accounts and kinds of work of a configuration; the same seed gives
// the same trace.
func Generate(cfg *configurer.Configuration, shape Traffic, seed uint64) *Trace {
	g := &generator{cfg: cfg, shape: shape, rng: rand.New(rand.NewPCG(seed, seed+1)), trace: &Trace{}}
	at := time.Duration(0)
	for {
		gap := time.Duration(g.rng.ExpFloat64() / shape.Rate * float64(time.Second))
		at += gap
		if at > shape.Length {
			return g.trace
		}
		g.request(at)
	}
}

type generator struct {
	cfg     *configurer.Configuration
	shape   Traffic
	rng     *rand.Rand
	trace   *Trace
	pending []int
}

// permitted lists what a caller may see: an answer, or a truthful refusal under load or past its deadline.
func permitted() []int {
	return []int{http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout}
}

func (g *generator) request(at time.Duration) {
	if len(g.pending) > 0 && g.rng.Float64() < g.shape.RepeatShare {
		g.repeat(at)
		return
	}
	account := g.account()
	if g.shape.ServiceShare > 0 && g.rng.Float64() < g.shape.ServiceShare && len(account.Services) > 0 {
		g.call(at, account)
		return
	}
	kind := g.cfg.WorkKind(account.WorkKinds[g.rng.IntN(len(account.WorkKinds))])
	n := len(g.trace.Entries)
	e := Entry{
		Offset: Offset(at.Round(time.Millisecond)), ClientAccount: account.Name, WorkKind: kind.Name, Model: identifier.ModelAuto,
		MaxTokens: 1 + g.rng.IntN(kind.MaxTokens), Stream: g.rng.IntN(2) == 0,
		Prompt: fmt.Sprintf("%s %s", kind.Name, Nonce(n)),
		Expect: Expect{Statuses: permitted()},
	}
	const sessionsPerAccount = 8
	switch {
	case kind.NonIdempotent:
		e.IdempotencyKey = fmt.Sprintf("%s-%06d", kind.Name, n)
		e.Stream = false
		g.pending = append(g.pending, n)
	case g.rng.IntN(3) == 0:
		e.Session = identifier.Session(fmt.Sprintf("session-%d", g.rng.IntN(sessionsPerAccount)))
	}
	g.trace.Entries = append(g.trace.Entries, e)
}

// call adds a call to a plain service of the account: a non-idempotent one where the service has any, else a look-up.
func (g *generator) call(at time.Duration, account *configurer.ClientAccount) {
	service := g.cfg.Service(account.Services[g.rng.IntN(len(account.Services))])
	n := len(g.trace.Entries)
	e := Entry{
		Offset: Offset(at.Round(time.Millisecond)), ClientAccount: account.Name, Prompt: string(service.Name) + " " + Nonce(n),
		Call:   &Call{Service: service.Name, Method: http.MethodPost, Path: "/look-ups"},
		Expect: Expect{Statuses: permitted()},
	}
	if len(service.NonIdempotent) > 0 && g.rng.IntN(2) == 0 {
		c := service.NonIdempotent[0]
		e.Call.Method, e.Call.Path = c.Method, fmt.Sprintf("%s/%06d", c.Path, n)
		e.IdempotencyKey = fmt.Sprintf("%s-%06d", service.Name, n)
		g.pending = append(g.pending, n)
	}
	g.trace.Entries = append(g.trace.Entries, e)
}

// repeat sends an earlier non-idempotent request again, as a caller does that lost the reply.
func (g *generator) repeat(at time.Duration) {
	first := g.pending[0]
	g.pending = g.pending[1:]
	e := g.trace.Entries[first]
	e.Offset = Offset(at.Round(time.Millisecond))
	e.Expect = Expect{Statuses: append(permitted(), http.StatusConflict), SameAnswerAs: first + 1}
	g.trace.Entries = append(g.trace.Entries, e)
}

func (g *generator) account() *configurer.ClientAccount {
	all := g.cfg.ClientAccounts
	large := min(g.shape.LargeAccounts, len(all))
	if large > 0 && (large == len(all) || g.rng.Float64() < g.shape.LargeShare) {
		return &all[g.rng.IntN(large)]
	}
	return &all[large+g.rng.IntN(len(all)-large)]
}

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
	// Duration is the time from the first to the last request.
	Duration time.Duration
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

// Generate returns a random trace for the client accounts, kinds of work and services of a configuration; the same seed
// gives the same trace.
func Generate(cfg *configurer.Configuration, traffic Traffic, seed uint64) *Trace {
	g := &generator{cfg: cfg, traffic: traffic, rng: rand.New(rand.NewPCG(seed, seed+1)), trace: &Trace{}}
	at := time.Duration(0)
	for {
		gap := time.Duration(g.rng.ExpFloat64() / traffic.Rate * float64(time.Second))
		at += gap
		if at > traffic.Duration {
			return g.trace
		}
		g.addRequest(at)
	}
}

type generator struct {
	cfg     *configurer.Configuration
	traffic Traffic
	rng     *rand.Rand
	trace   *Trace
	// unrepeated lists the non-idempotent entries that no later entry repeats yet, by index.
	unrepeated []int
}

// permittedStatuses lists the permitted status codes: an answer, a refusal under load, or a missed deadline.
func permittedStatuses() []int {
	return []int{http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout}
}

func (g *generator) addRequest(at time.Duration) {
	if len(g.unrepeated) > 0 && g.rng.Float64() < g.traffic.RepeatShare {
		g.addRepeat(at)
		return
	}
	account := g.pickAccount()
	if g.traffic.ServiceShare > 0 && g.rng.Float64() < g.traffic.ServiceShare && len(account.Services) > 0 {
		g.addServiceCall(at, account)
		return
	}
	kind := g.cfg.WorkKind(account.WorkKinds[g.rng.IntN(len(account.WorkKinds))])
	n := len(g.trace.Entries)
	e := Entry{
		Offset: Offset(at.Round(time.Millisecond)), ClientAccount: account.Name, WorkKind: kind.Name, Model: identifier.ModelAuto,
		MaxTokens: 1 + g.rng.IntN(kind.MaxTokens), Stream: g.rng.IntN(2) == 0,
		Prompt: fmt.Sprintf("%s %s", kind.Name, Nonce(n)),
		Expect: Expect{Statuses: permittedStatuses()},
	}
	const sessionsPerAccount = 8
	switch {
	case kind.NonIdempotent:
		e.IdempotencyKey = fmt.Sprintf("%s-%06d", kind.Name, n)
		e.Stream = false
		g.unrepeated = append(g.unrepeated, n)
	case g.rng.IntN(3) == 0:
		e.Session = identifier.Session(fmt.Sprintf("session-%d", g.rng.IntN(sessionsPerAccount)))
	}
	g.trace.Entries = append(g.trace.Entries, e)
}

// addServiceCall adds a call to a plain service of the account: a look-up, or in half of the cases a non-idempotent call if
// the service has any.
func (g *generator) addServiceCall(at time.Duration, account *configurer.ClientAccount) {
	service := g.cfg.Service(account.Services[g.rng.IntN(len(account.Services))])
	n := len(g.trace.Entries)
	e := Entry{
		Offset: Offset(at.Round(time.Millisecond)), ClientAccount: account.Name, Prompt: string(service.Name) + " " + Nonce(n),
		Call:   &Call{Service: service.Name, Method: http.MethodPost, Path: "/look-ups"},
		Expect: Expect{Statuses: permittedStatuses()},
	}
	if len(service.NonIdempotent) > 0 && g.rng.IntN(2) == 0 {
		c := service.NonIdempotent[0]
		e.Call.Method, e.Call.Path = c.Method, fmt.Sprintf("%s/%06d", c.Path, n)
		e.IdempotencyKey = fmt.Sprintf("%s-%06d", service.Name, n)
		g.unrepeated = append(g.unrepeated, n)
	}
	g.trace.Entries = append(g.trace.Entries, e)
}

// addRepeat adds an earlier non-idempotent request again, as a caller retries after a lost reply.
func (g *generator) addRepeat(at time.Duration) {
	first := g.unrepeated[0]
	g.unrepeated = g.unrepeated[1:]
	e := g.trace.Entries[first]
	e.Offset = Offset(at.Round(time.Millisecond))
	e.Expect = Expect{Statuses: append(permittedStatuses(), http.StatusConflict), SameAnswerAs: first + 1}
	g.trace.Entries = append(g.trace.Entries, e)
}

func (g *generator) pickAccount() *configurer.ClientAccount {
	all := g.cfg.ClientAccounts
	large := min(g.traffic.LargeAccounts, len(all))
	if large > 0 && (large == len(all) || g.rng.Float64() < g.traffic.LargeShare) {
		return &all[g.rng.IntN(large)]
	}
	return &all[large+g.rng.IntN(len(all)-large)]
}

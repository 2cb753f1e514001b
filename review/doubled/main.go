// Command doubled shows what an entry makes of the late second copy of an answer that says that a request did not run.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
	"github.com/siskinfront/siskinfront/review/harness"
)

const (
	service  = "balcao-app"
	prefix   = "/refund/"
	callers  = 240
	budget   = 1000 * time.Millisecond
	workTime = 15 * time.Millisecond
	// linkDelay is the delay of a link between two zones.
	linkDelay = 1400 * time.Microsecond
	// extraShare is the share of the answers of the worker in trouble that are sent twice.
	extraShare = 0.03
	// Trouble begins every troubleEvery, for the first time after troubleEvery/4, and lasts for troubleTime.
	troubleEvery, troubleTime = 8 * time.Second, 5 * time.Second
)

// run is what became of one request.
type run struct {
	status, runs int
}

// observations holds all requests.
type observations struct {
	mu       sync.Mutex
	requests map[string]*run
}

func (o *observations) get(id string) *run {
	x := o.requests[id]
	if x == nil {
		x = &run{}
		o.requests[id] = x
	}
	return x
}

func main() {
	harness.Main(show)
}

// show takes, after the arguments of the harness, the rule, how long callers send, the number of workers, MaxAttempts of the route, and
// whether workers name the request in the answer by which they shed it.
func show(c *harness.Case) (int, error) {
	if len(os.Args) != 8 {
		return 0, errors.New("arguments: RULE DURATION WORKERS MAX-ATTEMPTS SHED-NAMES-ID")
	}
	rule := os.Args[3]
	duration, err0 := time.ParseDuration(os.Args[4])
	workers, err1 := strconv.Atoi(os.Args[5])
	attempts, err2 := strconv.Atoi(os.Args[6])
	namesID, err3 := strconv.ParseBool(os.Args[7])
	if err := errors.Join(err0, err1, err2, err3); err != nil {
		return 0, err
	}
	o := &observations{requests: map[string]*run{}}
	c.Operator.Change(func(x *standin.Configuration) {
		x.Routes = []standin.Route{{
			Name: "refund", Prefix: prefix, Service: service, Kind: standin.NonIdempotent, Timeout: budget, Attempts: attempts,
		}}
	})
	for i := range workers {
		w := newWorker(c, o, fmt.Sprintf("i-%d", i), namesID)
		if i == 0 && c.Trouble {
			began := time.Now()
			w.Extra = func() bool {
				at := (time.Since(began) + troubleEvery*3/4) % troubleEvery
				return at < troubleTime && rand.Float64() < extraShare
			}
		}
		if err := w.Start(c.Store); err != nil {
			return 0, err
		}
		defer w.Stop()
	}
	// Another service of the deployment, whose worker is never in trouble.
	engine := &harness.Worker{Name: "j-0", Service: "assistente-llm", Slots: 64, Queue: 134, Work: workTime}
	if err := engine.Start(c.Store); err != nil {
		return 0, err
	}
	defer engine.Stop()
	var entries []*harness.Entry
	for i := range 2 {
		e, err := c.StartEntry(fmt.Sprintf("front-%d", i))
		if err != nil {
			return 0, err
		}
		entries = append(entries, e)
	}
	end := time.Now().Add(duration)
	var sending sync.WaitGroup
	for n := range callers {
		sending.Go(func() { o.call(c, entries[n%len(entries)], n, end) })
	}
	sending.Wait()
	return o.check(c)[rule], nil
}

func newWorker(c *harness.Case, o *observations, name string, namesID bool) *harness.Worker {
	return &harness.Worker{
		Name: name, Service: service, Slots: 6, Queue: 24, Work: workTime, Delay: 2 * linkDelay, ShedNamesID: namesID,
		OnRun: func(r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			c.Log("run %s at %s", id, name)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.get(id).runs++
		},
		OnExtra: func(id string, status int) { c.Log("copy of the answer %d to %s at %s", status, id, name) },
	}
}

// call sends requests one after the other, and after a refusal waits as long as it was told.
func (o *observations) call(c *harness.Case, e *harness.Entry, n int, end time.Time) {
	caller := harness.NewClient(e.Address)
	defer caller.Close()
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("%d-%d", n, i)
		c.Log("sent %s to %s", id, e.Name)
		a, err := caller.Send(http.MethodPost, prefix+"order", id, "order "+id, budget)
		if err != nil {
			c.Log("no answer to %s: %v", id, err)
			continue
		}
		c.Log("answer %d to %s", a.Status, id)
		o.mu.Lock()
		o.get(id).status = a.Status
		o.mu.Unlock()
		if after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
			time.Sleep(time.Duration(after * float64(time.Second)))
		}
		time.Sleep(rand.N(60 * time.Millisecond))
	}
}

// check counts, by rule, the requests that ran although their answer says that they did not and never will, and those that ran twice.
func (o *observations) check(c *harness.Case) map[string]int {
	// What was refused may still run.
	time.Sleep(2 * time.Second)
	o.mu.Lock()
	defer o.mu.Unlock()
	refused, twice, shed, ok := 0, 0, 0, 0
	for id, x := range o.requests {
		promised := false
		switch x.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			promised = true
			shed++
		case http.StatusOK:
			ok++
		}
		if promised && x.runs > 0 {
			refused++
			c.Log("REFUSED broken: %s was answered %d and ran %d times", id, x.status, x.runs)
		}
		if x.runs > 1 {
			twice++
			c.Log("TWICE broken: %s ran %d times, its answer was %d", id, x.runs, x.status)
		}
	}
	c.Log("requests %d, served %d, refused %d; REFUSED broken %d times, TWICE %d times", len(o.requests), ok, shed, refused, twice)
	fmt.Printf("requests %d, served %d, refused %d; REFUSED broken %d times, TWICE %d times\n", len(o.requests), ok, shed, refused, twice)
	return map[string]int{"REFUSED": refused, "TWICE": twice}
}

package soakbencher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/connector"
	"github.com/siskinfront/siskinfront/platform"
	"github.com/siskinfront/siskinfront/platform/standin"
)

const (
	// defaultDuration is the time with faults of one run.
	defaultDuration = 20 * time.Second
	// calmTime is the time without faults at the end, in which service has to recover.
	calmTime = 8 * time.Second
	// judgedTime is the last part of it, in which recoveredShare of the calls have to succeed.
	judgedTime     = 3 * time.Second
	recoveredShare = 0.9
	// settleTime is how long the effects of a fault last after its end.
	settleTime = 3 * time.Second
	// readyTime bounds the start of the deployment.
	readyTime = 20 * time.Second
)

var accounts = []string{"one", "two", "three"}

// errNothingChecked is returned by a run that proves nothing.
var errNothingChecked = errors.New("soakbencher: nothing was checked")

// span is a time in which something was disturbed; entry is nil if it concerns all.
type span struct {
	from, to time.Time
	entry    *entry
}

// named is something that happened to an upstream or an account, until a time if it was undone.
type named struct {
	name      string
	at, until time.Time
}

// order is a roll-out.
type order struct {
	to, state string
	endedAt   time.Time
}

// stop is a planned stop of an entry.
type stop struct {
	entry *entry
	at    time.Time
}

// soak is one run.
type soak struct {
	began    time.Time
	rand     *rand.Rand
	dir      string
	size     size
	store    *standin.Store
	operator *standin.Operator
	log      *standin.Log
	entries  []*entry

	mu        sync.Mutex
	ready     []*entry
	upstreams []*upstream
	made      int
	calls     []*call
	results   map[string]*result
	events    []string
	spans     []span
	stops     []stop
	leaving   []named
	revoked   []named
	orders    []*order
	versions  map[string]bool
	routes    int
}

// Experiment returns the experiment named soak, which runs the program with arguments as entries.
func Experiment(program string, args ...string) bencher.Experiment {
	return bencher.Experiment{
		Name: "soak", Short: "Run entries as processes under faults and check what must always hold",
		Run: func(ctx context.Context, p bencher.Params) (bencher.Report, error) { return run(ctx, p, program, args) },
	}
}

func run(ctx context.Context, p bencher.Params, program string, args []string) (bencher.Report, error) {
	if program == "" {
		return bencher.Report{}, errors.New("soakbencher: the file of the program is not known")
	}
	dir, err := os.MkdirTemp("", "soak-"+strconv.FormatUint(p.Seed, 10)+"-")
	if err != nil {
		return bencher.Report{}, fmt.Errorf("soakbencher: %w", err)
	}
	s := &soak{
		began: time.Now(), rand: rand.New(rand.NewPCG(p.Seed, 1)), dir: dir, size: sizeOf(p.Seed), log: &standin.Log{}, results: map[string]*result{},
		versions: map[string]bool{"v1": true},
	}
	defer s.close()
	if err := s.start(ctx, program, args); err != nil {
		return bencher.Report{}, fmt.Errorf("%w (logs in %s)", err, dir)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var calling, watching sync.WaitGroup
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	for n := range s.size.callers {
		calling.Go(func() { s.caller(callCtx, n, p.Seed) })
	}
	watching.Go(func() { s.balance(ctx) })
	watching.Go(func() { s.watchRoutes(ctx) })
	duration := p.Duration
	if duration == 0 {
		duration = defaultDuration
	}
	s.disturb(ctx, duration)
	s.heal()
	healed := time.Now()
	time.Sleep(calmTime)
	stopCalls()
	calling.Wait()
	s.judgeRecovery(healed.Add(calmTime - judgedTime))
	cancel()
	watching.Wait()
	s.judge()
	return s.report(p.Seed)
}

// start starts the stand-in and the entries, and waits until all are ready.
func (s *soak) start(ctx context.Context, program string, args []string) error {
	var err error
	if s.store, err = standin.NewStore(); err != nil {
		return err
	}
	s.operator = standin.NewOperator(s.store)
	s.operator.Change(func(routes *[]standin.Route, keys map[string][]string) {
		for _, k := range []standin.Kind{standin.NonIdempotent, standin.Idempotent, standin.Stream} {
			r := standin.Route{Name: string(k), Prefix: pathOf(k), Service: "plain", Kind: k, Timeout: callerDeadline, Attempts: 3}
			if k == standin.Stream {
				r.Service = "engine"
			}
			*routes = append(*routes, r)
		}
		for _, a := range accounts {
			keys[a] = []string{"key-of-" + a}
		}
	})
	for range s.size.upstreams {
		if err := s.addUpstream("engine", "v1"); err != nil {
			return err
		}
		if err := s.addUpstream("plain", "v1"); err != nil {
			return err
		}
	}
	for i := range s.size.entries {
		p, err := newProxy(s.store.Address())
		if err != nil {
			return err
		}
		e, err := newEntry(s.dir, fmt.Sprint("entry-", i), program, args, p)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

// awaitReady waits until every entry is ready.
func (s *soak) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTime)
	for _, e := range s.entries {
		for !e.isReady(ctx, platform.ReadyPath()) {
			if time.Now().After(deadline) {
				return fmt.Errorf("soakbencher: %s is not ready after %v", e.name, readyTime)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// upstream is an upstream behind a proxy.
type upstream struct {
	*standin.Upstream
	proxy *proxy
}

// addUpstream starts one more upstream, which registers at its proxy.
func (s *soak) addUpstream(service, version string) error {
	s.mu.Lock()
	s.made++
	name := fmt.Sprintf("u%d", s.made)
	s.mu.Unlock()
	u, err := standin.NewUpstream(s.store, s.log, name, service, version, 16)
	if err != nil {
		return err
	}
	p, err := newProxy(u.Address)
	if err != nil {
		return err
	}
	u.Address = p.address()
	u.Register()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = append(s.upstreams, &upstream{u, p})
	return nil
}

// balance keeps the list of entries that take connections, as the platform's load balancer does.
func (s *soak) balance(ctx context.Context) {
	misses := map[*entry]int{}
	for ctx.Err() == nil {
		var ready []*entry
		for _, e := range s.entries {
			if e.isReady(ctx, platform.ReadyPath()) {
				misses[e] = 0
			} else {
				misses[e]++
			}
			if misses[e] < 2 {
				ready = append(ready, e)
			}
		}
		s.mu.Lock()
		s.ready = ready
		s.mu.Unlock()
		time.Sleep(250 * time.Millisecond)
	}
}

// watchRoutes asks each entry for a route that was added, and never must find it gone within one run of the process.
func (s *soak) watchRoutes(ctx context.Context) {
	type run struct {
		e           *entry
		incarnation int
	}
	seen := map[run]int{}
	pool := connector.New()
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(300 * time.Millisecond)
		s.mu.Lock()
		newest := s.routes
		s.mu.Unlock()
		for _, e := range s.entries {
			incarnation, open, calm := e.state()
			if !open || !calm || newest == 0 {
				continue
			}
			k := run{e, incarnation}
			status := s.ask(ctx, pool, e, max(seen[k], 1), i)
			if again, _, _ := e.state(); again != incarnation || status == 0 {
				continue
			}
			if status != 404 {
				seen[k] = max(seen[k], 1)
				if seen[k] < newest && knows(s.ask(ctx, pool, e, newest, i)) {
					seen[k] = newest
				}
			}
			if seen[k] > 0 {
				s.check(promiseForward, status != 404, "%s no longer knows route %d", e.name, seen[k])
			}
		}
	}
}

// knows reports whether a status shows that an entry knows a route. A question without an answer, which a slow entry may handle
// later, says nothing: seed 100 once took it for knowledge.
func knows(status int) bool {
	return status != 0 && status != http.StatusNotFound
}

// ask returns the status of a request on the n-th added route, 0 without an answer.
func (s *soak) ask(ctx context.Context, pool *connector.Pool, e *entry, n, i int) int {
	c := &call{id: fmt.Sprintf("route-%s-%d-%d", e.name, n, i), entry: e}
	return s.askRoute(ctx, pool, c, fmt.Sprintf("/added-%d/", n))
}

// judgeRecovery checks that calls succeed once all faults are over.
func (s *soak) judgeRecovery(from time.Time) {
	sent, served := 0, 0
	s.mu.Lock()
	for _, c := range s.calls {
		if c.sentAt.After(from) && c.account == accounts[0] {
			sent++
			if c.whole && c.status == 200 {
				served++
			}
		}
	}
	s.mu.Unlock()
	s.check(promiseRecovery, sent > 0 && float64(served) >= recoveredShare*float64(sent), "%d of %d calls were served after the faults",
		served, sent)
}

// close ends what the run has started.
func (s *soak) close() {
	for _, e := range s.entries {
		e.kill()
		e.store.close()
		_ = e.log.Close()
	}
	for _, u := range s.upstreams {
		u.Crash(time.Hour)
		u.proxy.close()
	}
	if s.store != nil {
		s.store.Close()
	}
}

// report makes the table and keeps the logs of a run that broke a promise.
func (s *soak) report(seed uint64) (bencher.Report, error) {
	names := make([]string, 0, len(s.results))
	total, broken := 0, 0
	for name, r := range s.results {
		names = append(names, name)
		total += r.checks
		broken += r.broken
	}
	if total == 0 || len(s.calls) == 0 {
		return bencher.Report{}, errNothingChecked
	}
	sort.Strings(names)
	x := bencher.Report{
		Columns: []string{"promise", "checks", "broken", "first"}, XLabel: "time in s", YLabel: "part of the calls that succeeded",
		Series: []bencher.Series{s.service()},
	}
	for _, name := range names {
		r := s.results[name]
		x.Rows = append(x.Rows, []string{name, strconv.Itoa(r.checks), strconv.Itoa(r.broken), r.first})
		x.Bounds = append(x.Bounds, bencher.Bound{Name: name, Measured: float64(r.broken), Limit: 0, AtMost: true, Invariant: true})
	}
	events := filepath.Join(s.dir, "events.txt")
	if err := os.WriteFile(events, []byte(strings.Join(s.events, "\n")+"\n"), 0o600); err != nil {
		return x, fmt.Errorf("soakbencher: %w", err)
	}
	if broken > 0 {
		x.Rows = append(x.Rows, []string{"logs of seed " + strconv.FormatUint(seed, 10), "", "", s.dir})
		return x, nil
	}
	if err := os.RemoveAll(s.dir); err != nil {
		return x, fmt.Errorf("soakbencher: %w", err)
	}
	return x, nil
}

// service returns the part of the calls that succeeded in each second.
func (s *soak) service() bencher.Series {
	sent, served := map[int]float64{}, map[int]float64{}
	last := 0
	for _, c := range s.calls {
		t := int(c.sentAt.Sub(s.began).Seconds())
		last = max(last, t)
		sent[t]++
		if c.whole && c.status == 200 {
			served[t]++
		}
	}
	x := bencher.Series{Name: "service"}
	for t := range last + 1 {
		if sent[t] > 0 {
			x.Points = append(x.Points, bencher.Point{X: float64(t), Y: served[t] / sent[t]})
		}
	}
	return x
}

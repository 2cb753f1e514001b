package soakbencher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/platform"
	"github.com/siskinfront/siskinfront/platform/standin"
)

const (
	// defaultDuration is how long a run injects faults unless a duration is given.
	defaultDuration = 20 * time.Second
	// faultFreeTime is the time without faults at the end of a run, in which the system has to recover.
	faultFreeTime = 8 * time.Second
	// recoveryCheckTime is the last part of faultFreeTime, in which minRecoveredShare of the calls must succeed.
	recoveryCheckTime = 3 * time.Second
	minRecoveredShare = 0.9
	// faultRecoveryTime is how long after its end a fault may still have effects.
	faultRecoveryTime = 3 * time.Second
	// readyTimeout is how long the entries may take to become ready at the start of a run.
	readyTimeout = 20 * time.Second
)

var accounts = []string{"one", "two", "three"}

// errNothingChecked is returned by a run without calls or checks, which would otherwise pass.
var errNothingChecked = errors.New("soakbencher: nothing was checked")

// scope is what a fault affects.
type scope int

// The scopes of faults: the store as some entry sees it, a process of an entry, and upstreams with the connections to them.
const (
	scopeStore scope = iota
	scopeProcess
	scopeTraffic
)

// faultWindow is the time of a fault and of the recovery from it; entry is nil if the fault affects all entries.
type faultWindow struct {
	from, to time.Time
	entry    *entry
	scope    scope
}

// namedEvent is the leave of an upstream with a start, or what happens to a key, a data centre or an upstream from at until a time.
type namedEvent struct {
	name      string
	start     int64
	at, until time.Time
}

// rollOut is a roll-out of a version; its state is empty while it is in progress.
type rollOut struct {
	version, state string
	endedAt        time.Time
}

// plannedStop is a signal to an entry, which for a graceful stop was affected by no fault when it began.
type plannedStop struct {
	entry *entry
	at    time.Time
}

// soak is the state of one run.
type soak struct {
	startedAt time.Time
	rand      *rand.Rand
	dir       string
	size      size
	store     *standin.Store
	operator  *standin.Operator
	log       *standin.RunLog
	entries   []*entry

	mu               sync.Mutex
	ready            []*entry
	upstreams        []*upstream
	upstreamsStarted int
	calls            []*call
	results          map[string]*invariantResult
	events           []string
	faultWindows     []faultWindow
	plannedStops     []plannedStop
	stops, hangUps   []plannedStop
	changes          []period
	// timeouts holds the timeouts by kind of request, and idleLimits the limits on idle connections.
	timeouts         map[standin.Kind][]setting
	idleLimits       []setting
	crowds           int
	leavingUpstreams []namedEvent
	// announcing holds the upstreams that say in their answers that they leave.
	announcing    []*upstream
	withdrawnKeys []namedEvent
	rollOuts      []*rollOut
	crasher       *standin.Crasher
	fatal         fatalPart
	// requestCrasher lets the upstreams of the plain services crash on one request.
	requestCrasher *standin.Crasher
	limits         []limitPeriod
	// evacuations holds the orders to evacuate data centres, from their acknowledgement until just before their withdrawal, dataCentres that
	// of each upstream, and silences the times in which requests to an upstream may be held back.
	dataCentres           map[string]string
	evacuations, silences []namedEvent
	// coldPerSecond is the rate of cold upstreams, from 1 to 3.
	coldPerSecond float64
	versions      map[string]bool
	routesAdded   int

	// drilled is closed when the drill has ended.
	drilled       chan struct{}
	crowdsSending sync.WaitGroup
	// background holds what else changes the state of the run; the last checks read it without the lock.
	background sync.WaitGroup
}

// Experiment returns the experiment named soak, which runs the program with arguments as entries.
func Experiment(program string, args ...string) bencher.Experiment {
	return bencher.Experiment{
		Name: "soak", Short: "Run entries as processes under faults and check invariants",
		Run: func(ctx context.Context, p bencher.Params) (bencher.Report, error) { return run(ctx, p, program, args) },
	}
}

func run(ctx context.Context, p bencher.Params, program string, args []string) (bencher.Report, error) {
	if program == "" {
		return bencher.Report{}, errors.New("soakbencher: no path of the program to run as an entry")
	}
	dir, err := os.MkdirTemp("", "soak-"+strconv.FormatUint(p.Seed, 10)+"-")
	if err != nil {
		return bencher.Report{}, fmt.Errorf("soakbencher: %w", err)
	}
	s := &soak{
		startedAt: time.Now(), rand: rand.New(rand.NewPCG(p.Seed, 1)), dir: dir, size: sizeForSeed(p.Seed),
		log: &standin.RunLog{}, crasher: &standin.Crasher{}, requestCrasher: &standin.Crasher{}, results: map[string]*invariantResult{},
		coldPerSecond: 1 + 2*rand.New(rand.NewPCG(p.Seed, 5<<32)).Float64(), dataCentres: map[string]string{},
		versions: map[string]bool{"v1": true}, timeouts: map[standin.Kind][]setting{}, drilled: make(chan struct{}),
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
		calling.Go(func() { s.runCaller(callCtx, n, p.Seed) })
		calling.Go(func() { s.runKeeper(callCtx, n, p.Seed) })
	}
	for n := range s.size.callers / 4 {
		calling.Go(func() { s.runSlowReader(callCtx, n, p.Seed) })
	}
	watching.Go(func() { s.pollReadiness(ctx) })
	watching.Go(func() { s.checkRoutes(ctx) })
	watching.Go(func() { s.sendFatal(ctx, p.Seed) })
	watching.Go(func() { s.sendFatalRequest(ctx, p.Seed) })
	lapseCtx, stopLapses := context.WithCancel(ctx)
	defer stopLapses()
	watching.Go(func() { s.lapseRegistrations(lapseCtx, p.Seed) })
	var evacuating sync.WaitGroup
	evacuating.Go(func() { s.evacuateDataCentres(lapseCtx, p.Seed) })
	evacuating.Go(func() { s.turnCold(lapseCtx, p.Seed) })
	duration := p.Duration
	if duration == 0 {
		duration = defaultDuration
	}
	time.Sleep(startupTime)
	s.drill(ctx)
	close(s.drilled)
	s.store.Copy()
	s.injectDisruptions(ctx, duration/2)
	s.injectFaults(ctx, duration)
	stopLapses()
	evacuating.Wait()
	s.endFaults()
	faultsEndedAt := time.Now()
	time.Sleep(faultFreeTime - recoveryCheckTime)
	added := s.addRoute()
	time.Sleep(recoveryCheckTime)
	s.checkChangeArrives(ctx, invariantChangeArrives, added)
	stopCalls()
	calling.Wait()
	s.crowdsSending.Wait()
	s.checkRecovery(faultsEndedAt.Add(faultFreeTime - recoveryCheckTime))
	cancel()
	watching.Wait()
	s.background.Wait()
	s.checkRun()
	return s.report(p.Seed)
}

// start starts the stand-in of the platform, the upstreams and the entries, and waits until all entries are ready.
func (s *soak) start(ctx context.Context, program string, args []string) error {
	var err error
	if s.store, err = standin.NewStore(); err != nil {
		return err
	}
	s.operator = standin.NewOperator(s.store)
	s.operator.Change(func(c *standin.Configuration) {
		c.Limits.IdleTimeout = initialIdleLimit
		for _, k := range callKinds {
			r := standin.Route{Name: string(k), Prefix: routePrefix(k), Service: plainService, Kind: k, Timeout: callerDeadline, Attempts: 3}
			if k == standin.Stream {
				r.Service = "engine"
			}
			c.Routes = append(c.Routes, r)
		}
		c.Routes = append(c.Routes, standin.Route{
			Name: "slow", Prefix: slowPrefix, Service: "engine", Kind: standin.Stream, Timeout: slowDeadline, Attempts: 3,
		})
		c.ColdPerSecond, c.ColdTime = s.coldPerSecond, coldStartTime
		for _, a := range accounts {
			c.Keys[a] = []string{"key-of-" + a}
		}
	})
	for range s.size.upstreams {
		if err := s.addUpstream("engine", "v1"); err != nil {
			return err
		}
		if err := s.addUpstream(plainService, "v1"); err != nil {
			return err
		}
	}
	for range s.size.upstreams / 2 {
		if err := s.addUpstream(otherPlainService, "v1"); err != nil {
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
	deadline := time.Now().Add(readyTimeout)
	for _, e := range s.entries {
		for !e.isReady(ctx, platform.ReadyPath()) {
			if time.Now().After(deadline) {
				return fmt.Errorf("soakbencher: %s is not ready after %v", e.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// upstream is a stand-in upstream that entries reach through a proxy.
type upstream struct {
	*standin.Upstream
	proxy *proxy
	// silentAgainAt is when it may next fall silent.
	silentAgainAt time.Time
}

// addUpstream starts one more upstream, which registers with the address of its proxy.
func (s *soak) addUpstream(service, version string) error {
	s.mu.Lock()
	s.upstreamsStarted++
	name, dataCentre := fmt.Sprintf("u%d", s.upstreamsStarted), dataCentres[s.upstreamsStarted/2%len(dataCentres)]
	s.dataCentres[name] = dataCentre
	s.mu.Unlock()
	u, err := standin.NewUpstream(s.store, s.log, name, service, version, 16)
	if err != nil {
		return err
	}
	p, err := newProxy(u.Address)
	if err != nil {
		return err
	}
	u.Address, u.DataCentre = p.address(), dataCentre
	s.startCold(u)
	switch service {
	case "engine":
		s.crasher.Add(u)
	case plainService, otherPlainService:
		s.requestCrasher.Add(u)
	}
	u.Register()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = append(s.upstreams, &upstream{Upstream: u, proxy: p})
	return nil
}

// pollReadiness keeps the list of ready entries as the platform's load balancer does: two failed checks in a row remove an entry.
func (s *soak) pollReadiness(ctx context.Context) {
	failedChecks := map[*entry]int{}
	for ctx.Err() == nil {
		var ready []*entry
		for _, e := range s.entries {
			if e.isReady(ctx, platform.ReadyPath()) {
				failedChecks[e] = 0
			} else {
				failedChecks[e]++
			}
			if failedChecks[e] < 2 {
				ready = append(ready, e)
			}
		}
		s.mu.Lock()
		s.ready = ready
		s.mu.Unlock()
		time.Sleep(250 * time.Millisecond)
	}
}

// checkRecovery checks that calls of the account whose key is never withdrawn succeed once all faults are over, but for those on
// which upstreams crash, and refusals while such crashes have left a plain service without an upstream.
func (s *soak) checkRecovery(from time.Time) {
	sent, served := 0, 0
	crashes := s.crashesOn(fatalRequestPrefix)
	services := map[standin.Kind][]string{}
	for _, k := range callKinds {
		services[k] = s.operator.Services(routePrefix(k))
	}
	s.mu.Lock()
	for _, c := range s.calls {
		if c.sentAt.After(from) && c.account == accounts[0] && c.part == "" && c.body == "" && !c.slow && !s.lacksUpstream(c, crashes, services[c.kind]) {
			sent++
			if c.complete && c.status == 200 {
				served++
			}
		}
	}
	s.mu.Unlock()
	s.check(invariantRecovery, sent > 0 && float64(served) >= minRecoveredShare*float64(sent),
		"%d of %d calls were served after the faults", served, sent)
}

// close ends the processes, upstreams, proxies and store that the run has started.
func (s *soak) close() {
	for _, e := range s.entries {
		e.kill()
		e.storeProxy.close()
		_ = e.logFile.Close()
	}
	s.crasher.Close()
	s.requestCrasher.Close()
	for _, u := range s.upstreams {
		u.Crash(time.Hour)
		u.proxy.close()
	}
	if s.store != nil {
		s.store.Close()
	}
}

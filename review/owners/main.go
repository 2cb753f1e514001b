// Command owners shows how many requests a worker with a Server-Limit gets while the entry that grants its slots stands still for a moment.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/platform/standin"
	"github.com/siskinfront/siskinfront/review/harness"
	"github.com/siskinfront/siskinfront/throttler"
)

const (
	service = "balcao-app"
	worker  = "i-0"
	prefix  = "/status/"
	budget  = 1000 * time.Millisecond
	// numEntries is the number of entries, and callersPerEntry that of callers at each but the one that is frozen.
	numEntries, callersPerEntry = 5, 40
	// limit is the Server-Limit.
	limit = 40
	// firstFreeze is when the first freeze begins, freezeEvery the time between two, freezeTime how long each lasts, and numFreezes their
	// number.
	firstFreeze, freezeEvery, freezeTime, numFreezes = 8 * time.Second, 14 * time.Second, 1250 * time.Millisecond, 3
	duration                                         = 52 * time.Second
)

// The figures of the rule.
const (
	window      = 4 * time.Second
	contactTime = 3 * time.Second
	toldTime    = 500 * time.Millisecond
	mostAllowed = int(1.5*limit*4) + 5
)

// arrival is a request that has reached the worker.
type arrival struct {
	at    time.Time
	entry string
}

// observations holds what the worker and the callers have seen.
type observations struct {
	mu       sync.Mutex
	arrivals []arrival
	// toldAt is when an entry first passed on an answer that names the limit.
	toldAt map[string]time.Time
}

func main() {
	harness.Main(show)
}

func show(c *harness.Case) (int, error) {
	o := &observations{toldAt: map[string]time.Time{}}
	w := &harness.Worker{
		Name: worker, Service: service, Slots: 64, Queue: 64, Work: 15 * time.Millisecond,
		OnArrival: func(r *http.Request, h http.Header) {
			h.Set("Server-Limit", strconv.Itoa(limit))
			id := r.Header.Get("X-Request-Id")
			if id == "" {
				return
			}
			name, _, _ := strings.Cut(id, "/")
			c.Log("arrival %s", id)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.arrivals = append(o.arrivals, arrival{time.Now(), name})
		},
	}
	if err := w.Start(c.Store); err != nil {
		return 0, err
	}
	defer w.Stop()
	c.Operator.Change(func(x *standin.Configuration) {
		x.Routes = []standin.Route{{
			Name: "status", Prefix: prefix, Service: service, Kind: standin.Idempotent, Timeout: budget, Attempts: 2,
		}}
	})
	names := make([]identifier.Instance, numEntries)
	for i := range names {
		names[i] = identifier.Instance(fmt.Sprintf("front-%d", i))
	}
	owner := throttler.OwnerOf(identifier.Upstream(fmt.Sprintf("%s/%d", worker, harness.WorkerStart)), names)
	var frozen *harness.Entry
	var others []*harness.Entry
	for _, name := range names {
		e, err := c.StartEntry(string(name))
		if err != nil {
			return 0, err
		}
		if name == owner {
			frozen = e
		} else {
			others = append(others, e)
		}
	}
	// The entries learn each other's addresses from the store.
	time.Sleep(3 * time.Second)
	end := time.Now().Add(duration)
	var sending sync.WaitGroup
	for n := range callersPerEntry {
		for _, e := range others {
			sending.Go(func() { o.call(c, e, n, end) })
		}
	}
	time.Sleep(firstFreeze)
	for range numFreezes {
		if c.Trouble {
			c.Log("%s is frozen", frozen.Name)
			frozen.Signal(syscall.SIGSTOP)
			time.Sleep(freezeTime)
			frozen.Signal(syscall.SIGCONT)
			c.Log("%s goes on", frozen.Name)
		}
		time.Sleep(freezeEvery - freezeTime)
	}
	sending.Wait()
	return o.check(c, frozen.Name), nil
}

// call sends requests one after the other, and after a refusal waits as long as it was told.
func (o *observations) call(c *harness.Case, e *harness.Entry, n int, end time.Time) {
	caller := harness.NewClient(e.Address)
	defer caller.Close()
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("%s/%d-%d", e.Name, n, i)
		a, err := caller.Send(http.MethodGet, prefix+"post", id, "", budget)
		if err != nil {
			c.Log("no answer to %s: %v", id, err)
			continue
		}
		c.Log("answer %d to %s", a.Status, id)
		if a.Header.Get("Server-Limit") != "" {
			o.mu.Lock()
			if o.toldAt[e.Name].IsZero() {
				o.toldAt[e.Name] = time.Now()
			}
			o.mu.Unlock()
		}
		if after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
			time.Sleep(time.Duration(after * float64(time.Second)))
		}
		time.Sleep(rand.N(40 * time.Millisecond))
	}
}

// check counts the separate windows in which the worker got more than its limit allows.
func (o *observations) check(c *harness.Case, frozen string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.arrivals) == 0 {
		return 0
	}
	from := o.arrivals[0].at.Add(contactTime)
	counted := slices.DeleteFunc(slices.Clone(o.arrivals), func(a arrival) bool {
		told := o.toldAt[a.entry]
		return a.at.Before(from) || a.entry == frozen || told.IsZero() || a.at.Before(told.Add(toldTime))
	})
	broken, most, first := 0, 0, 0
	var until time.Time
	for i := range counted {
		for counted[i].at.Sub(counted[first].at) >= window {
			first++
		}
		n := i - first + 1
		most = max(most, n)
		if n > mostAllowed && counted[i].at.After(until) {
			until = counted[i].at.Add(window)
			broken++
			c.Log("LIMIT broken: %d requests in %v, %d are allowed", n, window, mostAllowed)
		}
	}
	c.Log("arrivals %d, most in %v: %d, allowed %d, windows beyond that %d", len(o.arrivals), window, most, mostAllowed, broken)
	fmt.Printf("arrivals %d, most in %v: %d, allowed %d, windows beyond that %d\n", len(o.arrivals), window, most, mostAllowed, broken)
	return broken
}

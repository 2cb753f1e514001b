// Command stranger runs the case in which another writer leaves an incomplete registration of a worker in the store.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
	"github.com/siskinfront/siskinfront/review/harness"
)

const (
	contact  = 3 * time.Second
	interval = 40 * time.Millisecond
	budget   = 2 * time.Second
	callers  = 4
	// playTime is how long the callers go on after the registration was written; the worker writes its own one each 1.2 s.
	playTime = 8 * time.Second
)

func main() {
	harness.Main(play)
}

func play(c *harness.Case) (int, error) {
	var foreign, served atomic.Int64
	orders := &harness.Worker{Name: "w-orders", Service: "orders", Slots: 6, Queue: 24, Work: 20 * time.Millisecond}
	orders.OnRun = func(r *http.Request) { c.Log("run %s at w-orders %s", r.Header.Get("X-Request-Id"), r.URL.Path) }
	billing := &harness.Worker{Name: "w-billing", Service: "billing", Slots: 6, Queue: 24, Work: 20 * time.Millisecond}
	billing.OnRun = func(r *http.Request) {
		c.Log("run %s at w-billing %s", r.Header.Get("X-Request-Id"), r.URL.Path)
		if strings.HasPrefix(r.URL.Path, "/order/") {
			foreign.Add(1)
			c.Log("broken: %s of the route to the service orders has run at a worker of the service billing", r.Header.Get("X-Request-Id"))
		}
	}
	for _, w := range []*harness.Worker{orders, billing} {
		if err := w.Start(c.Store); err != nil {
			return 0, err
		}
		defer w.Stop()
	}
	c.Operator.Change(func(x *standin.Configuration) {
		x.Routes = []standin.Route{
			{Name: "order", Prefix: "/order/", Service: "orders", Kind: standin.NonIdempotent, Timeout: budget, Attempts: 1},
			{Name: "bill", Prefix: "/bill/", Service: "billing", Kind: standin.Idempotent, Timeout: budget, Attempts: 2},
		}
	})
	e, err := c.StartEntry("entry-1")
	if err != nil {
		return 0, err
	}
	time.Sleep(contact)
	var stop atomic.Bool
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			client := harness.NewClient(e.Address)
			defer client.Close()
			for n := 0; !stop.Load(); n++ {
				path := "/order/1"
				if n%4 == 0 {
					path = "/bill/1"
				}
				id := fmt.Sprintf("%d-%04d", i, n)
				a, err := client.Send(http.MethodPost, path, id, "one", budget)
				c.Log("request %s %s: status %d, error %v", id, path, a.Status, err)
				if a.Status == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(interval)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if c.Trouble {
		// The zone is missing, and the start is not that of the worker, which writes its own registration again with each liveness report.
		c.Store.Put("servers", "w-billing", map[string]any{
			"Service": "orders", "Address": billing.Address().String(), "Version": "v1", "Slots": 6, "State": "ready",
			"ColdRemainingMs": 0, "Sequence": 1, "born": harness.WorkerStart - 60_000,
		})
		c.Log("another writer has written servers/w-billing without a zone")
	}
	time.Sleep(playTime)
	stop.Store(true)
	wg.Wait()
	if served.Load() == 0 {
		return 0, errors.New("no request was served")
	}
	return int(foreign.Load()), nil
}

// Command olderstart runs the case in which the store comes back from a copy that is older than the last start of a worker, beside an
// entry that has only seen the later start.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
	"github.com/siskinfront/siskinfront/review/harness"
)

const (
	// contact is ContactMs and drainTime DrainMs.
	contact   = 3 * time.Second
	drainTime = 2 * time.Second
	// restartTime is how long the worker is down.
	restartTime = 2 * time.Second
	// rewriteTime is the time from the store's return until the workers have written again what was lost.
	rewriteTime = time.Second
	// lingerTime is how long the worker goes on serving after the store has accepted that it leaves.
	lingerTime = 4 * time.Second
	workTime   = 800 * time.Millisecond
	// quietTime is how long after drainTime the next requests come; none come before.
	quietTime = 1500 * time.Millisecond
	callers   = 8
	budget    = 2500 * time.Millisecond
)

func main() {
	harness.Main(play)
}

func play(c *harness.Case) (int, error) {
	var mu sync.Mutex
	runs := map[string]string{}
	onRun := func(name string) func(*http.Request) {
		return func(r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			runs[r.Header.Get("X-Request-Id")] = name
			c.Log("run %s at %s", r.Header.Get("X-Request-Id"), name)
		}
	}
	newWorker := func(name string, born int64) *harness.Worker {
		return &harness.Worker{
			Name: name, Service: "orders", Slots: 6, Queue: 24, Work: workTime, Born: born, OnRun: onRun(name),
		}
	}
	first, other := newWorker("w-1", harness.WorkerStart), newWorker("w-2", harness.WorkerStart)
	for _, w := range []*harness.Worker{first, other} {
		if err := w.Start(c.Store); err != nil {
			return 0, err
		}
	}
	defer other.Stop()
	c.Operator.Change(func(x *standin.Configuration) {
		x.Routes = []standin.Route{{
			Name: "order", Prefix: "/order/", Service: "orders", Kind: standin.NonIdempotent, Timeout: budget, Attempts: 1,
		}}
	})
	c.Store.Copy()
	copiedAt := time.Now()
	first.Crash()
	time.Sleep(restartTime)
	again := newWorker("w-1", harness.WorkerStart+restartTime.Milliseconds())
	again.At = first.Address()
	if err := again.Start(c.Store); err != nil {
		return 0, err
	}
	c.Log("w-1 has started again under its id")
	e, err := c.StartEntry("entry-1")
	if err != nil {
		return 0, err
	}
	// The store comes back just after a liveness report, so that the copy shows the start before the last one until the next report.
	for row := string(c.Store.Get("servers", "w-1")); string(c.Store.Get("servers", "w-1")) == row; {
		time.Sleep(10 * time.Millisecond)
	}
	if c.Trouble {
		c.Store.Return(rewriteTime)
		c.Log("the store is back from a copy that is %v old", time.Since(copiedAt))
	}
	time.Sleep(rewriteTime + 2*contact)
	var served, broken atomic.Int64
	send := func(id string) {
		client := harness.NewClient(e.Address)
		defer client.Close()
		a, err := client.Send(http.MethodPost, "/order/1", id, "one", budget)
		mu.Lock()
		ranAt := runs[id]
		mu.Unlock()
		c.Log("request %s: status %d, error %v, ran at %q", id, a.Status, err, ranAt)
		if a.Status == http.StatusOK {
			served.Add(1)
		}
	}
	// sendAll sends some requests at once and returns when all have ended.
	sendAll := func(prefix string) {
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() { send(fmt.Sprintf("%s-%d", prefix, i)) })
		}
		wg.Wait()
	}
	sendAll("before")
	if served.Load() != callers {
		return 0, errors.New("not all requests before were served")
	}
	again.Leave()
	c.Log("the store has accepted that w-1 leaves")
	time.AfterFunc(lingerTime, func() {
		again.Exit()
		c.Log("w-1 has ended")
	})
	time.Sleep(drainTime + quietTime)
	sendAll("after")
	for i := range callers {
		id := fmt.Sprintf("after-%d", i)
		mu.Lock()
		if runs[id] == "w-1" {
			broken.Add(1)
			c.Log("broken: %s was sent %v after the store had accepted that w-1 leaves, and has reached it", id, drainTime+quietTime)
		}
		mu.Unlock()
	}
	c.Log("orders without a success: %d", 2*callers-served.Load())
	return int(broken.Load()), nil
}

// Command lastkey runs the case in which the operator withdraws all keys of the only client account.
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
	// applyTime is ConfigApplyMs, and contact is ContactMs, in which the store has no fault.
	applyTime = 2 * time.Second
	contact   = 3 * time.Second
	// playTime is how long the callers go on after the keys were withdrawn.
	playTime = 8 * time.Second
	// withdrawGap is the time between the withdrawals of the two keys.
	withdrawGap = 100 * time.Millisecond
	interval    = 50 * time.Millisecond
	budget      = 2 * time.Second
	unknown     = "key-of-nobody"
)

// run is what is known of one request.
type run struct {
	key    string
	sentAt time.Time
}

func main() {
	harness.Main(play)
}

func play(c *harness.Case) (int, error) {
	var mu sync.Mutex
	sent := map[string]run{}
	var ran []string
	w := &harness.Worker{Name: "w-1", Service: "orders", Slots: 6, Queue: 24, Work: 10 * time.Millisecond}
	w.OnRun = func(r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		mu.Lock()
		ran = append(ran, id)
		mu.Unlock()
		c.Log("run %s tenant %q", id, r.Header.Get("X-Tenant"))
	}
	if err := w.Start(c.Store); err != nil {
		return 0, err
	}
	defer w.Stop()
	keys := []string{"first-key-of-desk", "second-key-of-desk"}
	c.Operator.Change(func(x *standin.Configuration) {
		x.Routes = []standin.Route{{
			Name: "order", Prefix: "/order/", Service: "orders", Kind: standin.NonIdempotent, Timeout: 2 * time.Second, Attempts: 1,
		}}
		x.Keys["desk"] = keys
	})
	e, err := c.StartEntry("entry-1")
	if err != nil {
		return 0, err
	}
	time.Sleep(contact)
	var stop atomic.Bool
	var callers sync.WaitGroup
	served := map[string]int{}
	for i, key := range append(keys, unknown) {
		callers.Go(func() {
			client := harness.NewClient(e.Address)
			client.Key = key
			defer client.Close()
			for n := 0; !stop.Load(); n++ {
				id := fmt.Sprintf("%d-%04d", i, n)
				mu.Lock()
				sent[id] = run{key, time.Now()}
				mu.Unlock()
				a, err := client.Send(http.MethodPost, "/order/1", id, "one", budget)
				c.Log("request %s key %s: status %d, error %v", id, key, a.Status, err)
				if a.Status == http.StatusOK {
					mu.Lock()
					served[key]++
					mu.Unlock()
				}
				time.Sleep(interval)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if c.Trouble {
		c.Operator.Change(func(x *standin.Configuration) { x.Keys["desk"] = keys[1:] })
		time.Sleep(withdrawGap)
		c.Operator.Change(func(x *standin.Configuration) { x.Keys["desk"] = []string{} })
		c.Log("the manifest in which the only tenant has no key is confirmed")
	}
	confirmedAt := time.Now()
	time.Sleep(playTime)
	stop.Store(true)
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	if served[keys[0]] == 0 || served[keys[1]] == 0 {
		return 0, errors.New("no request was served")
	}
	broken := 0
	for _, id := range ran {
		x := sent[id]
		if x.key == unknown || c.Trouble && x.sentAt.After(confirmedAt.Add(applyTime)) {
			broken++
			c.Log("broken: %s with the key %s was sent %v after the confirmation and has run", id, x.key, x.sentAt.Sub(confirmedAt))
		}
	}
	return broken, nil
}

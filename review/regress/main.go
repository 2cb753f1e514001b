// Command regress shows which manifest a new entry has in force after the store has come back from an older copy.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/platform/standin"
	"github.com/siskinfront/siskinfront/review/harness"
)

const (
	prefix     = "/status/"
	oldService = "balcao-app"
	newService = "balcao-next"
	budget     = 1000 * time.Millisecond
	pause      = 50 * time.Millisecond
	tenant     = "trust"
	keptKey    = "n2ctnfzs989anu6wsjnb"
	droppedKey = "anfqasnmgkcuyj8pjbvk"
	// droppedMark is in the ids of requests with the key that the newer manifest does not hold.
	droppedMark = "dropped"
	// rollbackSlack is RollbackSlackMs.
	rollbackSlack = 250 * time.Millisecond
)

// The times of the day: the copy from which the store comes back is taken copyAge before its return, the route moves and a machine is added
// after that. The store is away for awayTime, and what the operator and the workers wrote since the copy is written again after rewriteTime.
const (
	copyAge     = 5 * time.Second
	moveAfter   = 500 * time.Millisecond
	addAfter    = 1500 * time.Millisecond
	awayTime    = 500 * time.Millisecond
	rewriteTime = 5 * time.Second
	observed    = 9 * time.Second
)

// observations holds when each request was sent and which service ran it.
type observations struct {
	mu     sync.Mutex
	sentAt map[string]time.Time
	// changedAt is when a worker first saw the effect of the new manifest through an entry.
	changedAt map[string]time.Time
	// byOldService and byDroppedKey count the requests that ran as only the older manifest allows.
	byOldService, byDroppedKey int
}

func main() {
	harness.Main(show)
}

func show(c *harness.Case) (int, error) {
	o := &observations{sentAt: map[string]time.Time{}, changedAt: map[string]time.Time{}}
	for i, service := range []string{oldService, newService} {
		w := &harness.Worker{
			Name: fmt.Sprintf("i-%d", i), Service: service, Slots: 6, Queue: 24, Work: 15 * time.Millisecond,
			OnRun: func(r *http.Request) { o.run(c, service, r.Header.Get("X-Request-Id")) },
		}
		if err := w.Start(c.Store); err != nil {
			return 0, err
		}
		defer w.Stop()
	}
	change := func(service string, keys ...string) {
		version := c.Operator.Change(func(x *standin.Configuration) {
			x.Keys[tenant] = keys
			x.Routes = []standin.Route{{
				Name: "status", Prefix: prefix, Service: service, Kind: standin.Idempotent, Timeout: budget, Attempts: 2,
			}}
		})
		c.Log("manifest %d with the service %s and %d keys is confirmed", version, service, len(keys))
	}
	change(oldService, keptKey, droppedKey)
	first, err := c.StartEntry("front-0")
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() { o.call(c, first, keptKey, stop) })
	time.Sleep(3 * time.Second)
	returnAt := time.Now().Add(copyAge)
	c.Store.Copy()
	c.Log("the copy is taken")
	time.Sleep(moveAfter)
	change(newService, keptKey)
	time.Sleep(addAfter)
	added, err := c.StartEntry("front-1")
	if err != nil {
		return 0, err
	}
	sending.Go(func() { o.call(c, added, keptKey, stop) })
	sending.Go(func() { o.call(c, added, droppedKey, stop) })
	time.Sleep(time.Until(returnAt) - awayTime)
	if c.Trouble {
		c.Store.SetMode(standin.Away)
		c.Log("the store is away")
	}
	time.Sleep(awayTime)
	if c.Trouble {
		c.Store.Return(rewriteTime)
		c.Store.SetMode(standin.Serving)
		c.Log("the store is back from the copy")
	}
	time.Sleep(observed)
	close(stop)
	sending.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	result := fmt.Sprintf("requests %d, run by the old service after the new one %d, with the key that was taken away %d",
		len(o.sentAt), o.byOldService, o.byDroppedKey)
	c.Log("%s", result)
	fmt.Println(result)
	return o.byOldService + o.byDroppedKey, nil
}

// run records that a service runs a request.
func (o *observations) run(c *harness.Case, service, id string) {
	c.Log("run %s by %s", id, service)
	entry, _, _ := strings.Cut(id, "/")
	o.mu.Lock()
	defer o.mu.Unlock()
	changedAt := o.changedAt[entry]
	isLater := !changedAt.IsZero() && o.sentAt[id].After(changedAt.Add(rollbackSlack))
	switch {
	case service == newService && changedAt.IsZero():
		o.changedAt[entry] = time.Now()
	case isLater && strings.Contains(id, droppedMark):
		o.byDroppedKey++
		c.Log("CONFIG broken: %s ran with a key that was taken away, sent after %s had the newer manifest in force", id, entry)
	case isLater && service == oldService:
		o.byOldService++
		c.Log("CONFIG broken: %s was sent after %s had the newer manifest in force", id, entry)
	}
}

func (o *observations) call(c *harness.Case, e *harness.Entry, key string, stop <-chan struct{}) {
	caller := harness.NewClient(e.Address)
	caller.Key = key
	defer caller.Close()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		id := fmt.Sprintf("%s/%d", e.Name, i)
		if key == droppedKey {
			id = fmt.Sprintf("%s/%s-%d", e.Name, droppedMark, i)
		}
		o.mu.Lock()
		o.sentAt[id] = time.Now()
		o.mu.Unlock()
		c.Log("sent %s", id)
		a, err := caller.Send(http.MethodGet, prefix+"loan", id, "", budget)
		if err != nil {
			c.Log("no answer to %s: %v", id, err)
			continue
		}
		c.Log("answer %d to %s", a.Status, id)
	}
}

package detector_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/storer"
)

func name(i int) identifier.Instance {
	return identifier.Instance(fmt.Sprintf("ie-west-1-worker-%04d", i))
}

func list(n int) []storer.Instance {
	l := make([]storer.Instance, n)
	for i := range l {
		l[i] = storer.Instance{Instance: name(i), DataCentre: "dc-1", Region: "ie-west", Role: "agent"}
	}
	return l
}

// cluster is n detectors in one bubble; drop tells which messages are lost.
type cluster struct {
	nodes []*detector.Detector
	// next holds the time of the next tick of each node.
	next   []time.Time
	paused map[int]bool
	mu     sync.Mutex
	drop   func(from, to int) bool
}

func newCluster(n int, opts ...detector.Option) *cluster {
	c := &cluster{paused: map[int]bool{}, drop: func(int, int) bool { return false }}
	index := map[identifier.Instance]int{}
	for i := range n {
		index[name(i)] = i
		c.nodes = append(c.nodes, nil)
		// Each node ticks at its own offset.
		c.next = append(c.next, time.Now().Add(time.Duration(i)*detector.HeartbeatInterval/time.Duration(n)))
		c.start(i, index, list(n), opts)
	}
	return c
}

func (c *cluster) start(i int, index map[identifier.Instance]int, l []storer.Instance, opts []detector.Option) {
	send := func(to identifier.Instance, m detector.Message) {
		c.mu.Lock()
		drop := c.drop
		c.mu.Unlock()
		if j := index[to]; !drop(i, j) {
			time.AfterFunc(time.Millisecond, func() { c.nodes[j].Receive(m) })
		}
	}
	c.nodes[i] = detector.New(detector.Member{Instance: name(i), DataCentre: "dc-1"}, append([]detector.Option{
		detector.WithSend(send), detector.WithRand(rand.New(rand.NewPCG(uint64(i), 1))),
	}, opts...)...)
	c.nodes[i].Merge(l)
}

func (c *cluster) setDrop(drop func(from, to int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop = drop
}

// run ticks all nodes that are not paused once a period, for a number of seconds.
func (c *cluster) run(seconds int) {
	const resolution = 5 * time.Millisecond
	for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); time.Sleep(resolution) {
		for i, d := range c.nodes {
			if time.Now().Before(c.next[i]) {
				continue
			}
			c.next[i] = c.next[i].Add(detector.HeartbeatInterval)
			if !c.paused[i] {
				d.Tick()
			}
		}
	}
	synctest.Wait()
}

func (c *cluster) sees(target int, s detector.State) int {
	n := 0
	for i, d := range c.nodes {
		if i != target && !c.paused[i] && d.StateOf(name(target)) == s {
			n++
		}
	}
	return n
}

// Guards against a leaving or a dead instance that others learn of late or never, and against a restart taken for dead.
func TestLeaveDieRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 253
		c := newCluster(n)
		c.run(3)
		c.nodes[7].Leave()
		c.run(2)
		for i, d := range c.nodes {
			must.Eq(t, detector.Leaving, d.StateOf(name(7)), must.Sprintf("at %d", i))
		}
		c.paused[9] = true
		c.setDrop(func(from, to int) bool { return from == 9 || to == 9 })
		c.run(10)
		must.Eq(t, n-1, c.sees(9, detector.Dead))
		c.paused[9] = false
		c.setDrop(func(int, int) bool { return false })
		c.run(8)
		must.Eq(t, 0, c.sees(9, detector.Dead))
		must.Positive(t, c.nodes[9].Counters()["refutations"])
	})
}

// Guards against a paused process that accuses the others when it resumes; without local health it does.
func TestPausedProcessDoesNotAccuse(t *testing.T) {
	suspicions := func(opts ...detector.Option) (n int64) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(12, opts...)
			c.run(5)
			c.paused[3] = true
			// What arrives during the pause waits in the kernel; the first tick after it comes before the reads.
			c.setDrop(func(_, to int) bool { return to == 3 })
			c.run(8)
			c.paused[3] = false
			c.nodes[3].Tick()
			n = c.nodes[3].Counters()["suspicions"]
			c.setDrop(func(int, int) bool { return false })
			c.run(20)
			for i := range c.nodes {
				must.Eq(t, 0, c.sees(i, detector.Dead))
			}
		})
		return n
	}
	with, without := suspicions(), suspicions(detector.WithoutLocalHealth())
	t.Logf("suspicions after a pause: %d with local health, %d without", with, without)
	must.Eq(t, 0, with)
	must.Positive(t, without)
}

// Guards against one broken path between two processes that makes the whole data centre drop one of them.
func TestBrokenPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(12)
		c.run(3)
		for victim := range 3 {
			c.setDrop(func(from, to int) bool { return from == victim && to%2 == 0 && to == (victim+2)%12 })
			c.run(15)
			must.Eq(t, 0, c.sees(victim, detector.Dead))
		}
	})
}

// Guards against two processes that take each other for dead for ever, and answer each other without end, because each
// only answers the messages of the other.
func TestMutualDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		c.run(3)
		c.setDrop(func(from, to int) bool { return from == 2 || to == 2 })
		c.paused[2] = true
		for i := range 2 {
			peer, ok := c.nodes[i].Member(name(1 - i))
			must.True(t, ok)
			c.nodes[i].Receive(detector.Message{
				From:   detector.Member{Instance: name(2), State: detector.Live},
				Events: []detector.Event{{Instance: peer.Instance, State: detector.Dead, Incarnation: peer.Incarnation}},
			})
			must.Eq(t, detector.Dead, c.nodes[i].StateOf(peer.Instance))
		}
		for i := range 2 {
			c.nodes[i].Merge(list(3))
		}
		c.run(5)
		for i := range 2 {
			must.Eq(t, detector.Live, c.nodes[i].StateOf(name(1-i)))
			must.Less(t, 100, c.nodes[i].Counters()["heartbeats-received"])
		}
	})
}

// Guards against a live member that is taken for dead by a process that has it only from the platform's list, waits for its
// heartbeats by a ring of its own, and does not know its incarnation: `bench faults --seed 62`, schedule 266287972507.
func TestSuspicionWithoutIncarnationIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		c.run(3)
		self, ok := c.nodes[0].Member(name(0))
		must.True(t, ok)
		fresh := detector.New(detector.Member{Instance: name(1), DataCentre: self.DataCentre, Region: self.Region, Role: self.Role})
		fresh.Merge(list(3))
		must.Eq(t, detector.Listed, fresh.StateOf(name(0)))
		var answer []detector.Message
		accused := detector.New(self, detector.WithSend(func(to identifier.Instance, m detector.Message) {
			if to == name(1) {
				answer = append(answer, m)
			}
		}))
		accused.Receive(detector.Message{
			From:   detector.Member{Instance: name(1), DataCentre: self.DataCentre, Region: self.Region, Role: self.Role, State: detector.Live},
			Events: []detector.Event{{Instance: name(0), State: detector.Suspect}},
		})
		must.Len(t, 1, answer)
		fresh.Receive(answer[0])
		must.Eq(t, detector.Live, fresh.StateOf(name(0)))
	})
}

// Guards against cost per node that grows with the number of instances: 253 of a data centre against all 2,530.
func TestCostPerNode(t *testing.T) {
	cost := func(n int) (messages, size int) {
		synctest.Test(t, func(t *testing.T) {
			d := detector.New(detector.Member{Instance: name(0), DataCentre: "dc-1", Region: "ie-west", Role: "agent"},
				detector.WithRand(rand.New(rand.NewPCG(1, 1))), detector.WithSend(func(_ identifier.Instance, m detector.Message) {
					b, err := json.Marshal(m)
					must.NoError(t, err)
					messages++
					size += len(b)
				}))
			d.Merge(list(n))
			begin, left := time.Now(), 0
			for time.Since(begin) < time.Minute {
				// A storm of news: one instance leaves each second, far above 195 changes a day.
				for ; left <= int(time.Since(begin).Seconds()); left++ {
					d.Observe(name(1+left), detector.Leaving, 1)
				}
				d.Tick()
				for j := range n {
					d.Receive(detector.Message{From: detector.Member{Instance: name(j), DataCentre: "dc-1", State: detector.Live, Incarnation: 1}})
				}
				time.Sleep(detector.HeartbeatInterval)
			}
		})
		return messages, size
	}
	m1, b1 := cost(253)
	m2, b2 := cost(2530)
	t.Logf("per node in 60 s: 253 instances %d messages, %d bytes; 2,530 instances %d messages, %d bytes", m1, b1, m2, b2)
	must.LessEq(t, 60*7+8, m2)
	must.LessEq(t, 60*3000, b2)
	must.InDelta(t, float64(m1), float64(m2), 0.05*float64(m1))
	must.InDelta(t, float64(b1), float64(b2), 0.05*float64(b1))
}

// Guards against a list that overrules what was heard: it lags, so it neither removes a live member nor revives a dead one.
func TestLaggingList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := detector.New(detector.Member{Instance: name(0), DataCentre: "dc-1"})
		d.Merge(list(3))
		must.Len(t, 3, d.Members())
		d.Observe(name(1), detector.Live, 5)
		d.Observe(name(2), detector.Dead, 5)
		d.Merge(list(3))
		must.Eq(t, detector.Dead, d.StateOf(name(2)))
		d.Merge(list(1))
		must.Eq(t, detector.Live, d.StateOf(name(1)))
		d.Receive(detector.Message{From: detector.Member{Instance: "new", DataCentre: "dc-1", State: detector.Live, Incarnation: 1}})
		must.Eq(t, detector.Live, d.StateOf("new"))
		d.Merge(list(1))
		time.Sleep(2 * time.Minute)
		d.Merge(list(1))
		must.Len(t, 1, d.Members())
	})
}

// Guards against news that takes effect in another order than that of incarnations: an older incarnation never
// changes a member, and a dead one returns only with a higher incarnation.
func TestIncarnations(t *testing.T) {
	states := []detector.State{detector.Live, detector.Leaving, detector.Dead}
	rapid.Check(t, func(rt *rapid.T) {
		d := detector.New(detector.Member{Instance: name(0), DataCentre: "dc-1"})
		d.Merge(list(2))
		highest, dead, leaving := uint64(0), false, false
		for range rapid.IntRange(1, 30).Draw(rt, "events") {
			inc := rapid.Uint64Range(1, 4).Draw(rt, "incarnation")
			s := rapid.SampledFrom(states).Draw(rt, "state")
			d.Observe(name(1), s, inc)
			if inc > highest {
				highest, dead, leaving = inc, false, false
			}
			if inc == highest {
				dead = dead || s == detector.Dead
				leaving = leaving || s == detector.Leaving && !dead
			}
			want := detector.Live
			switch {
			case dead:
				want = detector.Dead
			case leaving:
				want = detector.Leaving
			}
			must.Eq(rt, want, d.StateOf(name(1)))
		}
	})
}

// Guards against a process that ends without telling its monitors, and against a list outage that stops heartbeats.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		sent := map[detector.State]int{}
		lists := 0
		d := detector.New(detector.Member{Instance: name(0), DataCentre: "dc-1"},
			detector.WithRand(rand.New(rand.NewPCG(1, 1))),
			detector.WithList(func(context.Context) ([]storer.Instance, error) {
				lists++
				if lists > 1 {
					return nil, storer.ErrUnavailable
				}
				return list(8), nil
			}),
			detector.WithSend(func(_ identifier.Instance, m detector.Message) {
				mu.Lock()
				defer mu.Unlock()
				sent[m.From.State]++
			}))
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- d.Run(ctx) }()
		time.Sleep(30 * time.Second)
		stop()
		must.NoError(t, <-done)
		// Nobody answers, so those that it monitors are suspected.
		must.Positive(t, d.Counters()["suspicions"])
		must.GreaterEq(t, 3*27, sent[detector.Live])
		must.GreaterEq(t, detector.MonitorsPerMember, sent[detector.Leaving])
		must.Greater(t, 4, lists)
	})
}

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

func instanceName(i int) identifier.Instance {
	return identifier.Instance(fmt.Sprintf("ie-west-1-worker-%04d", i))
}

func instanceList(n int) []storer.Instance {
	instances := make([]storer.Instance, n)
	for i := range instances {
		instances[i] = storer.Instance{Instance: instanceName(i), DataCentre: "dc-1", Region: "ie-west", Role: "agent"}
	}
	return instances
}

// cluster connects detectors within one synctest bubble; drop reports whether a message is lost.
type cluster struct {
	detectors []*detector.Detector
	// nextTickAt holds the time of the next tick of each detector.
	nextTickAt []time.Time
	paused     map[int]bool
	mu         sync.Mutex
	drop       func(from, to int) bool
}

func newCluster(n int, opts ...detector.Option) *cluster {
	c := &cluster{paused: map[int]bool{}, drop: func(int, int) bool { return false }}
	index := map[identifier.Instance]int{}
	for i := range n {
		index[instanceName(i)] = i
		c.detectors = append(c.detectors, nil)
		// The detectors tick at evenly spread times, as separate processes do not tick together.
		c.nextTickAt = append(c.nextTickAt, time.Now().Add(time.Duration(i)*detector.HeartbeatInterval/time.Duration(n)))
		c.start(i, index, instanceList(n), opts)
	}
	return c
}

func (c *cluster) start(i int, index map[identifier.Instance]int, instances []storer.Instance, opts []detector.Option) {
	send := func(to identifier.Instance, m detector.Message) {
		c.mu.Lock()
		drop := c.drop
		c.mu.Unlock()
		if j := index[to]; !drop(i, j) {
			time.AfterFunc(time.Millisecond, func() { c.detectors[j].Receive(m) })
		}
	}
	c.detectors[i] = detector.New(detector.Member{Instance: instanceName(i), DataCentre: "dc-1"}, append([]detector.Option{
		detector.WithSend(send), detector.WithRand(rand.New(rand.NewPCG(uint64(i), 1))),
	}, opts...)...)
	c.detectors[i].ApplyList(instances)
}

func (c *cluster) setDrop(drop func(from, to int) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop = drop
}

// run ticks all detectors that are not paused once per HeartbeatInterval, for a number of seconds.
func (c *cluster) run(seconds int) {
	const resolution = 5 * time.Millisecond
	for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); time.Sleep(resolution) {
		for i, d := range c.detectors {
			if time.Now().Before(c.nextTickAt[i]) {
				continue
			}
			c.nextTickAt[i] = c.nextTickAt[i].Add(detector.HeartbeatInterval)
			if !c.paused[i] {
				d.Tick()
			}
		}
	}
	synctest.Wait()
}

// countState returns the number of other detectors, without paused ones, that see a target in a state.
func (c *cluster) countState(target int, s detector.State) int {
	n := 0
	for i, d := range c.detectors {
		if i != target && !c.paused[i] && d.StateOf(instanceName(target)) == s {
			n++
		}
	}
	return n
}

// Guards against other instances that learn late or never that one is leaving or dead, and against an instance that they still
// consider dead after it can be reached again with a higher incarnation, as after a restart.
func TestLeaveDieRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 253
		c := newCluster(n)
		c.run(3)
		c.detectors[7].Leave()
		c.run(2)
		for i, d := range c.detectors {
			must.Eq(t, detector.Leaving, d.StateOf(instanceName(7)), must.Sprintf("at %d", i))
		}
		c.paused[9] = true
		c.setDrop(func(from, to int) bool { return from == 9 || to == 9 })
		c.run(10)
		must.Eq(t, n-1, c.countState(9, detector.Dead))
		c.paused[9] = false
		c.setDrop(func(int, int) bool { return false })
		c.run(8)
		must.Eq(t, 0, c.countState(9, detector.Dead))
		must.Positive(t, c.detectors[9].Counters()["refutations"])
	})
}

// Guards against a paused process that suspects the others when it resumes, as it does without the local health score.
func TestPausedProcessDoesNotAccuse(t *testing.T) {
	suspicions := func(opts ...detector.Option) (n int64) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(12, opts...)
			c.run(5)
			c.paused[3] = true
			// Messages that arrive during the pause wait in the kernel, and the first tick after it precedes their reads.
			c.setDrop(func(_, to int) bool { return to == 3 })
			c.run(8)
			c.paused[3] = false
			c.detectors[3].Tick()
			n = c.detectors[3].Counters()["suspicions"]
			c.setDrop(func(int, int) bool { return false })
			c.run(20)
			for i := range c.detectors {
				must.Eq(t, 0, c.countState(i, detector.Dead))
			}
		})
		return n
	}
	with, without := suspicions(), suspicions(detector.WithoutLocalHealth())
	t.Logf("suspicions after a pause: %d with local health, %d without", with, without)
	must.Eq(t, 0, with)
	must.Positive(t, without)
}

// Guards against a fault of one path between two processes that makes the whole data centre consider one of them dead.
func TestBrokenPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(12)
		c.run(3)
		for victim := range 3 {
			c.setDrop(func(from, to int) bool { return from == victim && to%2 == 0 && to == (victim+2)%12 })
			c.run(15)
			must.Eq(t, 0, c.countState(victim, detector.Dead))
		}
	})
}

// Guards against two processes that consider each other dead for ever, and send each other replies without end, because each
// only replies to the messages of the other.
func TestMutualDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		c.run(3)
		c.setDrop(func(from, to int) bool { return from == 2 || to == 2 })
		c.paused[2] = true
		for i := range 2 {
			peer, ok := c.detectors[i].Member(instanceName(1 - i))
			must.True(t, ok)
			c.detectors[i].Receive(detector.Message{
				From:   detector.Member{Instance: instanceName(2), State: detector.Live},
				Events: []detector.Event{{Instance: peer.Instance, State: detector.Dead, Incarnation: peer.Incarnation}},
			})
			must.Eq(t, detector.Dead, c.detectors[i].StateOf(peer.Instance))
		}
		for i := range 2 {
			c.detectors[i].ApplyList(instanceList(3))
		}
		c.run(5)
		for i := range 2 {
			must.Eq(t, detector.Live, c.detectors[i].StateOf(instanceName(1-i)))
			must.Less(t, 100, c.detectors[i].Counters()["heartbeats-received"])
		}
	})
}

// Guards against a live member that is declared dead by a process that knows it only from the platform's list, expects its
// heartbeats according to its own ring, and does not know its incarnation. The member must answer a suspicion that lacks the
// incarnation. The fault occurred in `bench faults --seed 62`, schedule 266287972507.
func TestSuspicionWithoutIncarnationIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(3)
		c.run(3)
		self, ok := c.detectors[0].Member(instanceName(0))
		must.True(t, ok)
		fresh := detector.New(detector.Member{
			Instance: instanceName(1), DataCentre: self.DataCentre, Region: self.Region, Role: self.Role,
		})
		fresh.ApplyList(instanceList(3))
		must.Eq(t, detector.Listed, fresh.StateOf(instanceName(0)))
		var replies []detector.Message
		suspected := detector.New(self, detector.WithSend(func(to identifier.Instance, m detector.Message) {
			if to == instanceName(1) {
				replies = append(replies, m)
			}
		}))
		suspected.Receive(detector.Message{
			From: detector.Member{
				Instance: instanceName(1), DataCentre: self.DataCentre, Region: self.Region, Role: self.Role, State: detector.Live,
			},
			Events: []detector.Event{{Instance: instanceName(0), State: detector.Suspect}},
		})
		must.Len(t, 1, replies)
		fresh.Receive(replies[0])
		must.Eq(t, detector.Live, fresh.StateOf(instanceName(0)))
	})
}

// Guards against a cost per process that grows with the number of instances, from 253 of one data centre to all 2,530.
func TestCostPerInstance(t *testing.T) {
	cost := func(n int) (messages, size int) {
		synctest.Test(t, func(t *testing.T) {
			d := detector.New(detector.Member{Instance: instanceName(0), DataCentre: "dc-1", Region: "ie-west", Role: "agent"},
				detector.WithRand(rand.New(rand.NewPCG(1, 1))), detector.WithSend(func(_ identifier.Instance, m detector.Message) {
					b, err := json.Marshal(m)
					must.NoError(t, err)
					messages++
					size += len(b)
				}))
			d.ApplyList(instanceList(n))
			startedAt, leavers := time.Now(), 0
			for time.Since(startedAt) < time.Minute {
				// One instance leaves each second, far more often than the expected 195 changes a day.
				for ; leavers <= int(time.Since(startedAt).Seconds()); leavers++ {
					d.Observe(instanceName(1+leavers), detector.Leaving, 1)
				}
				d.Tick()
				for j := range n {
					d.Receive(detector.Message{
						From: detector.Member{Instance: instanceName(j), DataCentre: "dc-1", State: detector.Live, Incarnation: 1},
					})
				}
				time.Sleep(detector.HeartbeatInterval)
			}
		})
		return messages, size
	}
	m1, b1 := cost(253)
	m2, b2 := cost(2530)
	t.Logf("per process in 60 s: 253 instances %d messages, %d bytes; 2,530 instances %d messages, %d bytes", m1, b1, m2, b2)
	must.LessEq(t, 60*7+8, m2)
	must.LessEq(t, 60*3000, b2)
	must.InDelta(t, float64(m1), float64(m2), 0.05*float64(m1))
	must.InDelta(t, float64(b1), float64(b2), 0.05*float64(b1))
}

// Guards against a list that overrules what messages have reported: because it lags, it must neither remove a live member nor
// make a dead one live again.
func TestLaggingList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := detector.New(detector.Member{Instance: instanceName(0), DataCentre: "dc-1"})
		d.ApplyList(instanceList(3))
		must.Len(t, 3, d.Members())
		d.Observe(instanceName(1), detector.Live, 5)
		d.Observe(instanceName(2), detector.Dead, 5)
		d.ApplyList(instanceList(3))
		must.Eq(t, detector.Dead, d.StateOf(instanceName(2)))
		d.ApplyList(instanceList(1))
		must.Eq(t, detector.Live, d.StateOf(instanceName(1)))
		d.Receive(detector.Message{From: detector.Member{Instance: "new", DataCentre: "dc-1", State: detector.Live, Incarnation: 1}})
		must.Eq(t, detector.Live, d.StateOf("new"))
		d.ApplyList(instanceList(1))
		time.Sleep(2 * time.Minute)
		d.ApplyList(instanceList(1))
		must.Len(t, 1, d.Members())
	})
}

// Guards against events that take effect in another order than that of incarnations: an older incarnation never changes a
// member, and a dead member becomes live again only with a higher incarnation.
func TestIncarnations(t *testing.T) {
	states := []detector.State{detector.Live, detector.Leaving, detector.Dead}
	rapid.Check(t, func(rt *rapid.T) {
		d := detector.New(detector.Member{Instance: instanceName(0), DataCentre: "dc-1"})
		d.ApplyList(instanceList(2))
		highest, dead, leaving := uint64(0), false, false
		for range rapid.IntRange(1, 30).Draw(rt, "events") {
			inc := rapid.Uint64Range(1, 4).Draw(rt, "incarnation")
			s := rapid.SampledFrom(states).Draw(rt, "state")
			d.Observe(instanceName(1), s, inc)
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
			must.Eq(rt, want, d.StateOf(instanceName(1)))
		}
	})
}

// Guards against a process that ends without telling its monitors, and against heartbeats that stop while the list is unavailable.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		sent := map[detector.State]int{}
		listReads := 0
		d := detector.New(detector.Member{Instance: instanceName(0), DataCentre: "dc-1"},
			detector.WithRand(rand.New(rand.NewPCG(1, 1))),
			detector.WithList(func(context.Context) ([]storer.Instance, error) {
				listReads++
				if listReads > 1 {
					return nil, storer.ErrUnavailable
				}
				return instanceList(8), nil
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
		// No other instance sends messages, so the monitored members are suspected.
		must.Positive(t, d.Counters()["suspicions"])
		must.GreaterEq(t, 3*27, sent[detector.Live])
		must.GreaterEq(t, detector.MonitorsPerMember, sent[detector.Leaving])
		must.Greater(t, 4, listReads)
	})
}

package slopesbencher

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/identifier"
)

// clusterPeriods is the number of heartbeat periods for which a cluster of detectors runs; the first half settles it. Each
// half has the same number of full heartbeats.
const clusterPeriods = 40

// clusterCost is what membership costs one process of a quiet data centre.
type clusterCost struct {
	// bytes is sent and received per second, nanoseconds is processor time per second.
	bytes, nanoseconds float64
}

// cluster runs n detectors that exchange their messages in memory.
func cluster(n int) clusterCost {
	now := epoch()
	list := members(n)
	all := make(map[identifier.Instance]*detector.Detector, n)
	order := make([]*detector.Detector, n)
	var bytes float64
	for i := range list {
		m := &list[i]
		d := detector.New(
			detector.Member{
				Instance: m.Instance, DataCentre: m.DataCentre, Region: m.Region, Role: detector.RoleAgent, Control: m.Control, Data: m.Data,
			},
			detector.WithNow(func() time.Time { return now }), detector.WithRand(rand.New(rand.NewPCG(uint64(i), 2))),
			detector.WithSend(func(to identifier.Instance, msg detector.Message) {
				bytes += encodedSize(msg) + notificationOverhead
				all[to].Receive(msg)
			}),
		)
		all[m.Instance], order[i] = d, d
	}
	for _, d := range order {
		d.Merge(list)
	}
	step := func(int) {
		now = now.Add(detector.HeartbeatInterval)
		for _, d := range order {
			d.Tick()
		}
	}
	for range clusterPeriods / 2 {
		step(0)
	}
	bytes = 0
	runtime.GC()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	begin := threadTime()
	for range clusterPeriods / 2 {
		step(0)
	}
	spent := float64(threadTime() - begin)
	for _, d := range order {
		if k := len(d.Members()); k != n {
			panic(fmt.Sprintf("slopesbencher: a detector of %d members knows %d", n, k))
		}
	}
	perProcess := float64(n) * clusterPeriods / 2 * detector.HeartbeatInterval.Seconds()
	// Every byte is sent by one process and received by another.
	return clusterCost{bytes: 2 * bytes / perProcess, nanoseconds: spent / perProcess}
}

// notificationOverhead is the size in bytes of a JSON-RPC notification without its parameters, and the headers of TCP
// and IP of it and its acknowledgement.
const notificationOverhead = 140

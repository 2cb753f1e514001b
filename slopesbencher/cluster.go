package slopesbencher

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/identifier"
)

// clusterPeriods is the number of heartbeat periods for which a cluster of detectors runs. Only the second half is measured,
// after the first has let the cluster settle; both halves contain the same number of full heartbeats.
const clusterPeriods = 40

// membershipCost is the cost of membership for one process of a data centre in which no member joins or leaves.
type membershipCost struct {
	// bytes counts what is sent and received per second; nanoseconds is the processor time per second.
	bytes, nanoseconds float64
}

// measureCluster runs n detectors that exchange their messages in memory.
func measureCluster(n int) membershipCost {
	now := epoch()
	list := members(n)
	byInstance := make(map[identifier.Instance]*detector.Detector, n)
	order := make([]*detector.Detector, n)
	var bytes float64
	for i := range list {
		m := &list[i]
		d := detector.New(
			detector.Member{
				Instance: m.Instance, DataCentre: m.DataCentre, Region: m.Region, Role: detector.RoleAgent, Control: m.ControlAddress, Data: m.DataAddress,
			},
			detector.WithNow(func() time.Time { return now }), detector.WithRand(rand.New(rand.NewPCG(uint64(i), 2))),
			detector.WithSend(func(to identifier.Instance, msg detector.Message) {
				bytes += encodedSize(msg) + notificationOverhead
				byInstance[to].Receive(msg)
			}),
		)
		byInstance[m.Instance], order[i] = d, d
	}
	for _, d := range order {
		d.ApplyList(list)
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
	begin := threadCPUTime()
	for range clusterPeriods / 2 {
		step(0)
	}
	spent := float64(threadCPUTime() - begin)
	for _, d := range order {
		if k := len(d.Members()); k != n {
			panic(fmt.Sprintf("slopesbencher: a detector of %d members knows %d", n, k))
		}
	}
	perProcess := float64(n) * clusterPeriods / 2 * detector.HeartbeatInterval.Seconds()
	// Every byte is sent by one process and received by another.
	return membershipCost{bytes: 2 * bytes / perProcess, nanoseconds: spent / perProcess}
}

// notificationOverhead is the size in bytes of a JSON-RPC notification without its parameters, and the headers of TCP
// and IP of it and its acknowledgement.
const notificationOverhead = 140

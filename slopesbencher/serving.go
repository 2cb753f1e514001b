package slopesbencher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/siskinfront/siskinfront/admitter"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/redirector"
	"github.com/siskinfront/siskinfront/streamer"
)

// measureServing measures the cost of token frames, of orders that an agent admits or queues, and of redirection pools.
func measureServing() []LinearFit {
	return []LinearFit{
		measureFit("token frame written and read", "ns of processor per token", []int{100, 400, 1600}, func(n int) float64 {
			f := streamer.Frame{
				Request: identifier.NewRequest(), Kind: streamer.KindToken,
				Data: json.RawMessage(`{"id":"chatcmpl-1","object":"chat.completion.chunk","created":1,"model":"model-01@v1",` +
					`"choices":[{"index":0,"delta":{"role":"assistant","content":"word "},"finish_reason":null}]}`),
			}
			var b bytes.Buffer
			return float64(n) * processorTime(n, func(i int) {
				f.Sequence = uint64(i + 1)
				line, err := streamer.AppendFrame(b.AvailableBuffer(), &f)
				if err != nil {
					panic(fmt.Sprintf("slopesbencher: encode frame: %v", err))
				}
				if _, err := streamer.DecodeFrame(bytes.TrimSpace(line), f.Request); err != nil {
					panic(fmt.Sprintf("slopesbencher: decode frame: %v", err))
				}
			})
		}),
		measureFit("order admitted and finished", "ns of processor per order and waiting order", []int{10, 100, 1000}, func(n int) float64 {
			a := admitterWithWaitingOrders(n)
			return processorTime(callsPerRun, func(i int) {
				t, err := a.Enqueue(queuedOrder(i), func(*admitter.Ticket, error) {})
				if err == nil && t != nil {
					t.Finish(1)
				}
			})
		}),
		measureFit("pools of redirection", "bytes per pool", []int{57, 1000, 16000}, func(n int) float64 {
			return heapBytes(func() any { return redirectorWithPools(n) })
		}),
		measureFit("orders that wait", "bytes per order", []int{100, 500, 1000}, func(n int) float64 {
			return heapBytes(func() any { return admitterWithWaitingOrders(n) })
		}),
	}
}

func queuedOrder(i int) admitter.QueuedOrder {
	return admitter.QueuedOrder{Cost: 100, Order: &streamer.Order{
		Request: identifier.Request(fmt.Sprintf("request-%08d", i)), Rank: "normal", Target: target(i),
		ClientAccount: identifier.ClientAccount(fmt.Sprintf("account-%04d", i%50)), Deadline: epoch().Add(time.Hour),
	}}
}

// admitterWithWaitingOrders returns an admitter whose only slot is taken, with n orders in its queue.
func admitterWithWaitingOrders(n int) *admitter.Admitter {
	cfg := configuration(1)
	a := admitter.New(admitter.WithNow(epoch), admitter.WithRanks(cfg.Ranks), admitter.WithSlots(1),
		admitter.WithQueueLimits(1<<20, 1<<20), admitter.WithoutEstimates())
	for i := range n + 1 {
		// The admitter itself keeps the tickets of waiting orders.
		_, _ = a.Enqueue(queuedOrder(i), func(*admitter.Ticket, error) {})
	}
	return a
}

// redirectorWithPools returns a redirector that has recorded a refusal in each of n pools.
func redirectorWithPools(n int) *redirector.Redirector {
	r := redirector.New(redirector.WithNow(epoch))
	for i := range n {
		p := redirector.Pool{
			ClientAccount: identifier.ClientAccount(fmt.Sprintf("account-%04d", i/(versions*ranks))), Target: target(i), Rank: i / versions % ranks,
		}
		r.Allow(p)
		r.RecordRefusal(p)
	}
	return r
}

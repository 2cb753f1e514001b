package slopesbencher

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/distributor"
	"github.com/siskinfront/siskinfront/estimator"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/pinner"
	"github.com/siskinfront/siskinfront/selector"
	"github.com/siskinfront/siskinfront/storer"
	"github.com/siskinfront/siskinfront/streamer"
)

const (
	// versions is the number of model versions at the target size.
	versions = 19
	// callsPerRun is the number of calls in one timed run.
	callsPerRun = 2000
)

// epoch returns the fixed time that the measured components take from their clocks.
func epoch() time.Time {
	return time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
}

func target(i int) identifier.Target {
	return identifier.Target{Model: identifier.Model(fmt.Sprintf("model-%02d", i%versions)), Version: "v1"}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// upstreams returns n upstreams of one data centre that serve two versions each.
func upstreams(n int) []balancer.Upstream {
	list := make([]balancer.Upstream, n)
	for i := range list {
		list[i] = balancer.Upstream{
			Name: identifier.Upstream(fmt.Sprintf("upstream-%04d", i)), Region: "r-1", DataCentre: "r-1-1", Agent: address(i),
			Targets: []identifier.Target{target(i), target(i + 1)},
		}
	}
	return list
}

func newBalancer(n int) *balancer.Balancer {
	b := balancer.New("r-1-1", balancer.WithRegion("r-1"), balancer.WithSelf("entry-1"), balancer.WithNow(epoch))
	b.Update(upstreams(n))
	return b
}

// measureBalancing measures the time to choose an upstream and the memory that the balancer keeps per upstream.
func measureBalancing() []LinearFit {
	sizes := []int{20, 200, 550, 2200}
	return []LinearFit{
		measureFit("choice of an upstream", "ns of processor per choice and upstream", sizes, func(n int) float64 {
			b := newBalancer(n)
			return processorTime(callsPerRun, func(i int) {
				u, err := b.Choose(balancer.Query{Target: target(i)})
				if err == nil {
					b.Begin(u.Name)
					b.End(u.Name, balancer.ResultSuccess)
				}
			})
		}),
		measureFit("upstreams known to an entry", "bytes per upstream", sizes, func(n int) float64 {
			return heapBytes(func() any { return newBalancer(n) })
		}),
	}
}

// configuration returns a configuration with n client accounts, 19 versions and 30 work kinds.
func configuration(n int) *configurer.Configuration {
	cfg := &configurer.Configuration{Revision: 1, Spend: configurer.Spend{
		Currency: "EUR", Start: epoch(), End: epoch().AddDate(1, 0, 0), Committed: 1e6, HardLimit: 2e6, OverflowFactor: 1,
	}}
	for _, name := range []identifier.Rank{"urgent", "normal", "batch"} {
		cfg.Ranks = append(cfg.Ranks, configurer.Rank{
			Name: name, Floor: 0.1, FirstToken: 1400 * time.Millisecond, BetweenTokens: 60 * time.Millisecond, Deadline: time.Minute,
		})
	}
	const kinds = 30
	for i := range kinds {
		cfg.WorkKinds = append(cfg.WorkKinds, configurer.WorkKind{
			Name: identifier.WorkKind(fmt.Sprintf("kind-%02d", i)), Rank: cfg.Ranks[i%3].Name, QualityTarget: 0.5, MaxTokens: 256,
		})
	}
	for i := range versions {
		cfg.Models = append(cfg.Models, configurer.Model{Name: target(i).Model, Versions: []configurer.Version{{
			Name: "v1", State: configurer.VersionServing, InputPrice: float64(i + 1), OutputPrice: float64(4*i + 4),
			PriorQuality: 0.5 + float64(i)/(2*versions),
		}}})
	}
	for i := range n {
		cfg.ClientAccounts = append(cfg.ClientAccounts, configurer.ClientAccount{
			Name: identifier.ClientAccount(fmt.Sprintf("account-%04d", i)), Weight: 1,
			Keys:      []configurer.Key{{Name: "first", SHA256: fmt.Sprintf("%064x", i)}},
			Allowed:   []configurer.AllowedModel{{Model: target(i).Model}, {Model: target(i + 1).Model}},
			WorkKinds: []identifier.WorkKind{cfg.WorkKinds[i%kinds].Name, cfg.WorkKinds[(i+1)%kinds].Name},
		})
	}
	return cfg.Canonical()
}

// update returns an update with all items of a configuration, as the table stores them.
func update(cfg *configurer.Configuration) distributor.Update {
	items, err := committer.EncodeItems(cfg)
	if err != nil {
		panic(fmt.Sprintf("slopesbencher: split configuration: %v", err))
	}
	u := distributor.Update{Revision: cfg.Revision, ConfirmedAt: epoch()}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		u.Items = append(u.Items, committer.Item{Key: key, Value: items[key], Revision: cfg.Revision})
	}
	return u
}

// mustApply applies an update and panics if the distributor rejects it.
func mustApply(d *distributor.Distributor, u distributor.Update) {
	if !d.Apply(u) {
		panic("slopesbencher: the configuration was refused")
	}
}

// measureDistributing measures the time to apply one change of the configuration, its encoded size, and the memory that the
// configuration takes.
func measureDistributing() []LinearFit {
	sizes := []int{50, 200, 400, 1000}
	return []LinearFit{
		measureFit("configuration change put into force", "ns of processor per change and client account", sizes, func(n int) float64 {
			cfg := configuration(n)
			d := distributor.New(distributor.WithSelf("entry-1"), distributor.WithNow(epoch))
			u := update(cfg)
			mustApply(d, u)
			changed := u.Items[0]
			const changes = 20
			return processorTime(changes, func(int) {
				revision := d.Revision() + 1
				changed.Revision = revision
				mustApply(d, distributor.Update{
					Revision: revision, Base: revision - 1, Items: []committer.Item{changed}, ConfirmedAt: epoch(),
				})
			})
		}),
		measureFit("configuration change as sent", "bytes per changed client account", []int{1, 2, 4}, func(n int) float64 {
			u := update(configuration(50))
			return encodedSize(distributor.Update{Revision: 2, Base: 1, Items: u.Items[:n], ConfirmedAt: epoch()})
		}),
		measureFit("configuration in memory", "bytes per client account", sizes, func(n int) float64 {
			return heapBytes(func() any {
				d := distributor.New(distributor.WithSelf("entry-1"), distributor.WithNow(epoch))
				mustApply(d, update(configuration(n)))
				return d
			})
		}),
	}
}

// measureSelecting measures the time to choose a version, and the memory and encoded size of the quality estimates.
func measureSelecting() []LinearFit {
	sizes := []int{10, 50, 200, 400}
	return []LinearFit{
		measureFit("choice of a version", "ns of processor per choice and client account", sizes, func(n int) float64 {
			cfg := configuration(n)
			s := selector.New(selector.WithNow(epoch))
			q := func(i int) selector.Query {
				a := &cfg.ClientAccounts[i%n]
				return selector.Query{
					ClientAccount: a, WorkKind: cfg.WorkKind(a.WorkKinds[0]), Model: identifier.ModelAuto, PromptTokens: 400, MaxTokens: 200,
				}
			}
			for i := range n {
				_, _ = s.Select(cfg, q(i))
			}
			queries := make([]selector.Query, n)
			for i := range queries {
				queries[i] = q(i)
			}
			return processorTime(callsPerRun, func(i int) { _, _ = s.Select(cfg, queries[i%n]) })
		}),
		measureFit("estimates of quality", "bytes per version and kind of work", []int{100, 300, 570}, func(n int) float64 {
			return heapBytes(func() any {
				e := estimator.New(estimator.WithNow(epoch), estimator.WithSelf("entry-1"))
				for i := range n {
					e.Add(estimator.Sample{
						WorkKind: identifier.WorkKind(fmt.Sprintf("kind-%02d", i/versions)), Target: target(i), Rating: 0.7, At: epoch(),
					})
				}
				return e
			})
		}),
		measureFit("estimates of quality as sent", "bytes per version and kind of work", []int{100, 300, 570}, func(n int) float64 {
			e := estimator.New(estimator.WithNow(epoch), estimator.WithSelf("entry-1"))
			for i := range n {
				e.Add(estimator.Sample{
					WorkKind: identifier.WorkKind(fmt.Sprintf("kind-%02d", i/versions)), Target: target(i), Rating: 0.7, At: epoch(),
				})
			}
			return encodedSize(e.Export())
		}),
	}
}

// measureBillsAndPins measures the memory of bills and session pins, and the size of bills as written to the table.
func measureBillsAndPins() []LinearFit {
	sizes := []int{1000, 4000, 16000}
	r := rand.New(rand.NewPCG(1, 2))
	bill := func(i int) biller.Bill {
		id := fmt.Sprintf("%016x-%016x", r.Uint64(), i)
		return biller.Bill{
			ID: id, Request: identifier.Request(id), ClientAccount: "account-0001", WorkKind: "kind-01", Rank: "urgent",
			Target: target(i), Usage: streamer.Usage{PromptTokens: 400, CompletionTokens: 200}, Amount: 0.0012, Final: true, At: epoch(),
		}
	}
	return []LinearFit{
		measureFit("bills that wait", "bytes per bill", sizes, func(n int) float64 {
			return heapBytes(func() any {
				b := biller.New("entry-1", nil, biller.WithNow(epoch), biller.WithMaxBytes(1<<30))
				for i := range n {
					if err := b.Record(bill(i)); err != nil {
						panic(fmt.Sprintf("slopesbencher: record bill: %v", err))
					}
				}
				return b
			})
		}),
		measureFit("bills as written", "bytes per bill", []int{10, 50, 200}, func(n int) float64 {
			list := make([]biller.Bill, n)
			for i := range list {
				list[i] = bill(i)
			}
			b, err := biller.EncodeBatch(list)
			if err != nil {
				panic(fmt.Sprintf("slopesbencher: encode bills: %v", err))
			}
			return float64(len(b))
		}),
		measureFit("sessions pinned", "bytes per session", sizes, func(n int) float64 {
			return heapBytes(func() any {
				p := pinner.New(pinner.WithNow(epoch))
				pins := make([]pinner.Pin, n)
				for i := range pins {
					pins[i] = pinner.Pin{
						ClientAccount: "account-0001", Session: identifier.Session(fmt.Sprintf("session-%08d", i)), Target: target(i),
						Revision: 1, LastUsedAt: epoch(),
					}
				}
				p.Restore(pins)
				return p
			})
		}),
	}
}

// members returns the platform's instance list for a data centre of n processes.
func members(n int) []storer.Instance {
	list := make([]storer.Instance, n)
	for i := range list {
		list[i] = storer.Instance{
			Instance: identifier.Instance(fmt.Sprintf("instance-%04d", i)), DataCentre: "r-1-1", Region: "r-1", Role: "agent",
			ControlAddress: address(i), DataAddress: address(i),
		}
	}
	return list
}

// measureMembership measures the traffic, processor time and memory of membership in one process.
func measureMembership() []LinearFit {
	sizes := []int{25, 100, 253, 506}
	return []LinearFit{
		measureFit("heartbeats", "bytes/s per member of the data centre", sizes, func(n int) float64 { return measureCluster(n).bytes }),
		measureFit("membership", "ns of processor per second and member", sizes, func(n int) float64 { return measureCluster(n).nanoseconds }),
		measureFit("members in memory", "bytes per member", sizes, func(n int) float64 {
			return heapBytes(func() any {
				d := detector.New(detector.Member{Instance: "instance-0000", DataCentre: "r-1-1"}, detector.WithNow(epoch))
				d.ApplyList(members(n))
				return d
			})
		}),
		measureFit("instance list as sent", "bytes per instance", sizes, func(n int) float64 { return encodedSize(members(n)) }),
	}
}

// callOverhead is the size in bytes of a JSON-RPC request without its parameters, its reply, and the headers of TCP
// and IP of both.
const callOverhead = 250

func encodedSize(v any) float64 {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("slopesbencher: encode: %v", err))
	}
	return float64(len(b))
}

package choicebencher

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/siskinfront/siskinfront/balancer"
	"github.com/siskinfront/siskinfront/batchfaker"
	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/streamer"
)

// Experiment returns the experiment choice.
func Experiment() bencher.Experiment {
	return bencher.Experiment{
		Name:  "choice",
		Short: "Choice of upstream by many entries from late samples against an all-knowing choice",
		Run:   run,
	}
}

// size is one size of a deployment.
type size struct {
	workers, entries, versions, dataCentres, regions int
}

func sizes() []size {
	return []size{
		{workers: 20, entries: 3, versions: 2, dataCentres: 4, regions: 1},
		{workers: 200, entries: 30, versions: 6, dataCentres: 4, regions: 2},
		{workers: 2200, entries: 330, versions: 19, dataCentres: 10, regions: 4},
	}
}

const (
	// load is the share of the capacity that arrives.
	load = 0.75
	// lag is the time from the moment a sample describes to its arrival at the entry.
	lag = time.Second
	// probeBytes is the traffic of one probe and its reply; probeLimit is the part of the 3,000 bytes per second of an entry
	// that probes may take, as membership and configuration need the rest.
	probeBytes = 250
	probeLimit = 1000
	// formerProbeRate is the number of probes per second of the policies without late binding.
	formerProbeRate = 10
	// orderBytes is the traffic of an order with its body and of the refused frame.
	orderBytes = 2500

	warmUp = 15 * time.Second
	// defaultDuration includes the warm-up.
	defaultDuration = 45 * time.Second

	prompt     = 400 // mean tokens
	tokens     = 220 // mean tokens
	sessions   = 50  // sessions per entry and version
	inSession  = 0.3 // share of requests that belong to a session
	measureMax = 200_000
	// decisions is the number of choices over which the time of one is averaged.
	decisions = 200_000
)

// The network time from an entry to an upstream.
const (
	timeSameDataCentre = time.Millisecond
	timeSameRegion     = 2 * time.Millisecond
	timeOtherRegion    = 20 * time.Millisecond
)

// shape gives 2,200 workers 400,000 tokens/s at the load of the experiment.
func shape() batchfaker.SpeedProfile {
	return batchfaker.SpeedProfile{Knee: 8, Step: 31 * time.Millisecond, Slope: 0.05, PrefillChunk: 128}
}

const (
	allKnowing policy = "all-knowing"
	routed     policy = "routed"
	queued     policy = "10 probes/s, no late binding"
	manyProbes policy = "40 probes/s, no late binding"
	manyChoice policy = "8 choices, no late binding"
	pathProbes policy = "2 probes in the path"
	central    policy = "central queue per version"
	random     policy = "random"
	roundRobin policy = "round robin"
	leastSeen  policy = "least of the late samples"
)

// result is what one policy measured at one size.
type result struct {
	requests     int
	first, total float64 // 95th percentiles in seconds
	probeBytes   float64 // per entry and second
	busy         float64 // orders refused as busy per request
	busyBytes    float64 // per entry and second
}

func simulate(seed uint64, z size, p policy, duration time.Duration) result {
	s := newSimulation(seed, z, p, duration)
	s.run()
	return s.result(duration)
}

func (s *simulation) result(duration time.Duration) result {
	z := s.size
	return result{
		requests: len(s.total), first: batchfaker.Quantile(s.first, 0.95), total: batchfaker.Quantile(s.total, 0.95),
		probeBytes: float64(s.probes) * probeBytes / float64(z.entries) / duration.Seconds(),
		busy:       float64(s.busy) / float64(max(s.requests, 1)),
		busyBytes:  float64(s.busy) * orderBytes / float64(z.entries) / duration.Seconds(),
	}
}

// ratioLimit bounds 95th percentiles relative to the all-knowing choice.
const ratioLimit = 1.15

// row returns the row of a table; best is the answer time of the all-knowing choice, 0 for no ratio.
func (r result) row(z size, name string, best float64, decision string) []string {
	ratio := ""
	if best > 0 {
		ratio = fmt.Sprintf("%.3f", r.total/best)
	}
	return []string{
		strconv.Itoa(z.workers), name, strconv.Itoa(r.requests), fmt.Sprintf("%.3f", r.first), fmt.Sprintf("%.3f", r.total),
		ratio, fmt.Sprintf("%.0f", r.probeBytes), fmt.Sprintf("%.3f", r.busy), fmt.Sprintf("%.0f", r.busyBytes), decision,
	}
}

// errNothingEnded is returned when the duration is too short for any request.
var errNothingEnded = errors.New("choicebencher: no request ended after the warm-up; use a longer duration")

// compare runs every policy at every size and times the given number of decisions.
func compare(ctx context.Context, p bencher.Params, all []size, decisions int) (bencher.Report, error) {
	report := bencher.Report{
		Columns: []string{"workers", "policy", "requests", "first token p95 (s)", "answer p95 (s)", "answer / all-knowing",
			"probe bytes/s", "busy / request", "busy bytes/s", "decision (ns)"},
		XLabel: "workers", YLabel: "95th percentile of the answer time / all-knowing",
	}
	duration := defaultDuration
	if p.Duration > 0 {
		duration = p.Duration
	}
	series := make(map[policy]*bencher.Series)
	policies := []policy{allKnowing, routed, queued, manyProbes, manyChoice, pathProbes, central, leastSeen, roundRobin, random}
	for _, z := range all {
		if err := ctx.Err(); err != nil {
			return report, err
		}
		// The runs share nothing, so their order does not change the figures.
		results := make([]result, len(policies))
		var wg sync.WaitGroup
		for i, pol := range policies {
			wg.Go(func() { results[i] = simulate(p.Seed, z, pol, duration) })
		}
		wg.Wait()
		for _, r := range results {
			if r.requests == 0 || r.first == 0 {
				return report, errNothingEnded
			}
		}
		best := results[0]
		for i, pol := range policies {
			r := results[i]
			decision := ""
			if pol == routed {
				decision = fmt.Sprintf("%.0f", decisionTime(p.Seed, z, decisions))
				report.Bounds = append(report.Bounds, bencher.Bound{
					Name: fmt.Sprintf("answer p95 / all-knowing at %d workers", z.workers), Measured: r.total / best.total,
					Limit: ratioLimit, AtMost: true,
				}, bencher.Bound{
					Name: fmt.Sprintf("first token p95 / all-knowing at %d workers", z.workers), Measured: r.first / best.first,
					Limit: ratioLimit, AtMost: true,
				}, bencher.Bound{
					Name: fmt.Sprintf("probe bytes/s per entry at %d workers", z.workers), Measured: r.probeBytes,
					Limit: probeLimit, AtMost: true,
				})
			}
			report.Rows = append(report.Rows, r.row(z, string(pol), best.total, decision))
			if series[pol] == nil {
				series[pol] = &bencher.Series{Name: string(pol)}
			}
			series[pol].Points = append(series[pol].Points, bencher.Point{X: float64(z.workers), Y: r.total / best.total})
		}
	}
	if err := scenarios(&report, p.Seed, all[min(1, len(all)-1)], duration); err != nil {
		return report, err
	}
	for _, pol := range policies {
		report.Series = append(report.Series, *series[pol])
	}
	return report, nil
}

// decisionTime returns the mean time of a choice on this machine in nanoseconds; it depends on the machine and is thus
// printed but not a bound.
func decisionTime(seed uint64, z size, n int) float64 {
	s := newSimulation(seed, z, routed, defaultDuration)
	for _, w := range s.workers {
		s.entries[0].balancer.Report(w.upstream.Name, streamer.Load{At: s.loop.Now(), Running: s.rng.IntN(2 * shape().Knee)})
	}
	start := time.Now()
	for i := range n {
		if _, err := s.entries[0].balancer.Choose(balancer.Query{Target: s.targets[i%len(s.targets)]}); err != nil {
			panic("choicebencher: " + err.Error())
		}
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}

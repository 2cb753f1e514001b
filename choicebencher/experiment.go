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

// size is the size of a simulated deployment.
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
	// loadShare is the arriving load as a share of the capacity.
	loadShare = 0.75
	// sampleDelay is the time from the moment that a load sample describes to its arrival at the entry.
	sampleDelay = time.Second
	// probeBytes is the traffic of one probe and its reply. maxProbeBytesPerSecond is the part of an entry's 3,000 bytes per
	// second of control traffic that probes may use; membership and configuration need the rest.
	probeBytes             = 250
	maxProbeBytesPerSecond = 1000
	// noLateBindingProbeRate is the number of probes per second and entry in the policies without late binding.
	noLateBindingProbeRate = 10
	// orderBytes is the traffic of a refused order: the order with its body, and the frame that refuses it.
	orderBytes = 2500

	warmUp = 15 * time.Second
	// defaultDuration includes the warm-up.
	defaultDuration = 45 * time.Second

	meanPromptTokens   = 400
	meanOutputTokens   = 220
	sessionsPerVersion = 50  // number of sessions among which the requests for a version are drawn
	sessionShare       = 0.3 // share of requests that belong to a session
	maxMeasurements    = 200_000
	// timedDecisions is the number of choices over which the decision time is averaged.
	timedDecisions = 200_000
)

// The one-way network delay from an entry to an upstream.
const (
	delaySameDataCentre = time.Millisecond
	delaySameRegion     = 2 * time.Millisecond
	delayOtherRegion    = 20 * time.Millisecond
)

// speedProfile returns the speed profile of the engines, by which 2,200 workers make 400,000 tokens/s at the load of the
// experiment.
func speedProfile() batchfaker.SpeedProfile {
	return batchfaker.SpeedProfile{Knee: 8, Step: 31 * time.Millisecond, Slope: 0.05, PrefillChunk: 128}
}

const (
	allKnowing       policy = "all-knowing"
	lateBinding      policy = "routed"
	evenLoad         policy = "routed, even load"
	noLateBinding    policy = "10 probes/s, no late binding"
	manyProbes       policy = "40 probes/s, no late binding"
	manyChoices      policy = "8 choices, no late binding"
	probesInPath     policy = "2 probes in the path"
	centralQueue     policy = "central queue per version"
	random           policy = "random"
	roundRobin       policy = "round robin"
	leastSampledLoad policy = "least of the late samples"
)

// result holds the figures of one policy at one size.
type result struct {
	requests                 int
	firstTokenP95, answerP95 float64 // 95th percentiles in seconds
	probeBytesPerSecond      float64 // per entry and second
	busyPerRequest           float64 // orders refused as busy per request
	busyBytesPerSecond       float64 // per entry and second
}

func simulate(seed uint64, z size, p policy, duration time.Duration) result {
	s := newSimulation(seed, z, p, duration)
	s.run()
	return s.result(duration)
}

func (s *simulation) result(duration time.Duration) result {
	z := s.size
	return result{
		requests: len(s.answerTimes), firstTokenP95: batchfaker.Quantile(s.firstTokenTimes, 0.95), answerP95: batchfaker.Quantile(s.answerTimes, 0.95),
		probeBytesPerSecond: float64(s.probes) * probeBytes / float64(z.entries) / duration.Seconds(),
		busyPerRequest:      float64(s.busyRefusals) / float64(max(s.requests, 1)),
		busyBytesPerSecond:  float64(s.busyRefusals) * orderBytes / float64(z.entries) / duration.Seconds(),
	}
}

// maxRatio bounds 95th percentiles relative to the all-knowing choice.
const maxRatio = 1.15

// row returns the result as a row of the report; best is the answer time of the all-knowing choice, or 0 to omit the ratio.
func (r result) row(z size, name string, best float64, decision string) []string {
	ratio := ""
	if best > 0 {
		ratio = fmt.Sprintf("%.3f", r.answerP95/best)
	}
	return []string{
		strconv.Itoa(z.workers), name, strconv.Itoa(r.requests), fmt.Sprintf("%.3f", r.firstTokenP95), fmt.Sprintf("%.3f", r.answerP95),
		ratio, fmt.Sprintf("%.0f", r.probeBytesPerSecond), fmt.Sprintf("%.3f", r.busyPerRequest), fmt.Sprintf("%.0f", r.busyBytesPerSecond), decision,
	}
}

// errNoRequestEnded is returned when the duration is too short for any request to end after the warm-up.
var errNoRequestEnded = errors.New("choicebencher: no request ended after the warm-up; use a longer duration")

// comparePolicies runs every policy at every size, and averages the decision time over the given number of decisions.
func comparePolicies(ctx context.Context, p bencher.Params, deployments []size, decisions int) (bencher.Report, error) {
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
	policies := []policy{allKnowing, lateBinding, evenLoad, noLateBinding, manyProbes, manyChoices, probesInPath, centralQueue, leastSampledLoad, roundRobin, random}
	for _, z := range deployments {
		if err := ctx.Err(); err != nil {
			return report, err
		}
		// The runs share no state, so running them in parallel does not change the figures.
		results := make([]result, len(policies))
		var wg sync.WaitGroup
		for i, pol := range policies {
			wg.Go(func() { results[i] = simulate(p.Seed, z, pol, duration) })
		}
		wg.Wait()
		for _, r := range results {
			if r.requests == 0 || r.firstTokenP95 == 0 {
				return report, errNoRequestEnded
			}
		}
		allKnowingResult := results[0]
		for i, pol := range policies {
			r := results[i]
			decision := ""
			if pol == lateBinding {
				decision = fmt.Sprintf("%.0f", decisionTime(p.Seed, z, decisions))
				report.Bounds = append(report.Bounds, bencher.Bound{
					Name: fmt.Sprintf("answer p95 / all-knowing at %d workers", z.workers), Measured: r.answerP95 / allKnowingResult.answerP95,
					Limit: maxRatio, AtMost: true,
				}, bencher.Bound{
					Name: fmt.Sprintf("first token p95 / all-knowing at %d workers", z.workers), Measured: r.firstTokenP95 / allKnowingResult.firstTokenP95,
					Limit: maxRatio, AtMost: true,
				}, bencher.Bound{
					Name: fmt.Sprintf("probe bytes/s per entry at %d workers", z.workers), Measured: r.probeBytesPerSecond,
					Limit: maxProbeBytesPerSecond, AtMost: true,
				})
			}
			report.Rows = append(report.Rows, r.row(z, string(pol), allKnowingResult.answerP95, decision))
			if series[pol] == nil {
				series[pol] = &bencher.Series{Name: string(pol)}
			}
			series[pol].Points = append(series[pol].Points, bencher.Point{X: float64(z.workers), Y: r.answerP95 / allKnowingResult.answerP95})
		}
	}
	if err := scenarios(&report, p.Seed, deployments[min(1, len(deployments)-1)], duration); err != nil {
		return report, err
	}
	for _, pol := range policies {
		report.Series = append(report.Series, *series[pol])
	}
	return report, nil
}

// decisionTime returns the mean time of a choice in nanoseconds. It depends on the machine, so it is reported without a bound.
func decisionTime(seed uint64, z size, n int) float64 {
	s := newSimulation(seed, z, lateBinding, defaultDuration)
	for _, w := range s.workers {
		s.entries[0].balancer.Report(w.upstream.Name, streamer.Load{At: s.loop.Now(), Running: s.arrivalRNG.IntN(2 * speedProfile().Knee)})
	}
	start := time.Now()
	for i := range n {
		if _, err := s.entries[0].balancer.Choose(balancer.Query{Target: s.targets[i%len(s.targets)]}); err != nil {
			panic("choicebencher: " + err.Error())
		}
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}

package choicebencher

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/bencher"
)

// scenario describes how a run differs from one with equal engines and no shared prompt prefixes.
type scenario struct {
	name string
	// slowdown multiplies the step time of one engine from the end of the warm-up on; 0 means no fault.
	slowdown float64
	// unequal makes a quarter of the engines of each version take unequal times as long for a step from the start on; 0 means none.
	unequal float64
	// prefixes is the number of prefixes per version that prompts share and engines cache; affinity passes them to the balancer.
	prefixes int
	affinity bool
	// deadline is the time after which callers cancel their requests; 0 means never.
	deadline time.Duration
}

const (
	slowFactor = 2
	// unequalFactor is that of a deployment in which a quarter of the engines works at less than half of the speed of the others.
	unequalFactor = 2.5
	stuckFactor   = 1e6
	// faultWindow is the time within which a stuck engine must lose its traffic; maxStuckShare bounds what it takes afterwards,
	// relative to the mean.
	faultWindow   = 5 * time.Second
	maxStuckShare = 0.05
	stuckName     = "one engine stuck: its traffic after 5 s / mean"
	// stuckDeadline ends the requests at a stuck engine and so frees its slots. It exceeds the longest answer of a working
	// engine, which takes 11 s.
	stuckDeadline = 15 * time.Second

	prefixesPerVersion = 200
	prefixTokens       = 1500
	// maxAddedRefusals bounds the refused orders per request that affinity adds when all requests share a prefix, so that
	// affinity gains nothing. It equals the bound of retries, 10%.
	maxAddedRefusals = 0.1
	// prefixesCached is the number of most recently used prefixes that an engine keeps.
	prefixesCached = 16
)

// prefixCache is the prefix cache of one engine, the most recently used prefix first.
type prefixCache []uint64

// access reports whether a prefix was cached, and makes it the most recently used one in either case.
func (c *prefixCache) access(p uint64) bool {
	i := slices.Index(*c, p)
	if i >= 0 {
		*c = slices.Delete(*c, i, i+1)
	}
	*c = slices.Insert(*c, 0, p)
	*c = (*c)[:min(len(*c), prefixesCached)]
	return i >= 0
}

// drawPrefix gives a request a random prefix; prefixes with low numbers are more frequent.
func (r *request) drawPrefix() {
	x := r.arrivalRNG.Float64()
	r.prefix = xxhash.Sum64String(fmt.Sprintf("%d/%d", r.version, int(x*x*float64(r.scenario.prefixes))))
	r.prompt += prefixTokens
	if r.scenario.affinity {
		r.query.Prefix = r.prefix
	}
}

// readPrompt returns the number of prompt tokens that an engine has to process, and counts the look-up in its prefix cache.
func (r *request) readPrompt(w *worker) int {
	if r.prefix == 0 {
		return r.prompt
	}
	hit := w.cache.access(r.prefix)
	if !r.sent.Before(r.measuredFrom) {
		r.cacheLookups++
		if hit {
			r.cacheHits++
		}
	}
	if hit {
		return r.prompt - prefixTokens
	}
	return r.prompt
}

// scenarios runs the scenarios with faulty engines and with prefixes at one size, and adds their rows and bounds to the report.
func scenarios(report *bencher.Report, seed uint64, z size, duration time.Duration) error {
	run := func(p policy, sc scenario) (*simulation, result, error) {
		s := newSimulation(seed, z, p, duration)
		s.scenario = sc
		s.run()
		r := s.result(duration)
		if r.requests == 0 || r.firstTokenP95 == 0 {
			return nil, r, errNoRequestEnded
		}
		report.Rows = append(report.Rows, r.row(z, string(p)+", "+sc.name, 0, ""))
		return s, r, nil
	}
	slow := scenario{name: "one engine half as fast", slowdown: slowFactor}
	_, best, err := run(allKnowing, slow)
	if err != nil {
		return err
	}
	s, r, err := run(lateBinding, slow)
	if err != nil {
		return err
	}
	atMost := func(name string, got, limit float64) {
		report.Bounds = append(report.Bounds, bencher.Bound{
			Name: fmt.Sprintf("%s at %d workers", name, z.workers), Measured: got, Limit: limit, AtMost: true,
		})
	}
	atMost("one engine half as fast: answer p95 / all-knowing", r.answerP95/best.answerP95, maxRatio)
	atMost("one engine half as fast: first token p95 / all-knowing", r.firstTokenP95/best.firstTokenP95, maxRatio)
	share, err := s.faultyShare(faultWindow, duration)
	if err != nil {
		return err
	}
	atMost("one engine half as fast: its traffic / mean", share, 1)
	if s, _, err = run(lateBinding, scenario{name: "one engine stuck", slowdown: stuckFactor, deadline: stuckDeadline}); err != nil {
		return err
	}
	if share, err = s.faultyShare(faultWindow, duration); err != nil {
		return err
	}
	atMost(stuckName, share, maxStuckShare)
	if _, best, err = run(allKnowing, scenario{name: "prefixes", prefixes: prefixesPerVersion}); err != nil {
		return err
	}
	_, bestOfOne, err := run(allKnowing, scenario{name: "one prefix", prefixes: 1})
	if err != nil {
		return err
	}
	for _, p := range []policy{allKnowing, lateBinding, evenLoad} {
		if _, _, err = run(p, scenario{name: "a quarter of the engines 2.5 times slower", unequal: unequalFactor}); err != nil {
			return err
		}
	}
	var plain result
	for _, sc := range []scenario{
		{name: "prefixes, no affinity", prefixes: prefixesPerVersion},
		{name: "prefixes", prefixes: prefixesPerVersion, affinity: true},
		{name: "one prefix, no affinity", prefixes: 1},
		{name: "one prefix", prefixes: 1, affinity: true},
	} {
		s, r, err := run(lateBinding, sc)
		if err != nil {
			return err
		}
		last := report.Rows[len(report.Rows)-1]
		last[1] += fmt.Sprintf(", hit rate %.3f, first token mean %.3f s", float64(s.cacheHits)/float64(max(s.cacheLookups, 1)), mean(s.firstTokenTimes))
		switch {
		case !sc.affinity:
			plain = r
		case sc.prefixes == prefixesPerVersion:
			atMost("prefixes: first token p95 / all-knowing", r.firstTokenP95/best.firstTokenP95, maxRatio)
		default:
			atMost("one prefix: first token p95 / all-knowing", r.firstTokenP95/bestOfOne.firstTokenP95, maxRatio)
			atMost("one prefix: refused orders / request", r.busyPerRequest, plain.busyPerRequest+maxAddedRefusals)
		}
	}
	return nil
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(max(len(list), 1))
}

package choicebencher

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/bencher"
)

// scenario is what differs from equal engines without prompt prefixes.
type scenario struct {
	name string
	// slowdown is the factor on the step time of one engine from the end of the warm-up on; 0 means none.
	slowdown float64
	// prefixes is the number of prefixes per version that prompts share and engines cache; affinity lets the balancer see them.
	prefixes int
	affinity bool
	// deadline is the time after which a caller gives up; 0 means never.
	deadline time.Duration
}

const (
	slowFactor  = 2
	stuckFactor = 1e6
	// faultWindow is the time within which a stuck engine must lose its traffic; stuckShare is what may be left of it.
	faultWindow = 5 * time.Second
	stuckShare  = 0.05
	stuckName   = "one engine stuck: its traffic after 5 s / mean"
	// stuckDeadline ends the requests at a stuck engine, which makes its slots free again; the longest answer of a working
	// engine takes 11 s.
	stuckDeadline = 15 * time.Second

	prefixesPerVersion = 200
	prefixTokens       = 1500
	// addedLimit bounds the refused orders a request that affinity adds when all requests share a prefix and it gains nothing,
	// like the 10% that bound retries.
	addedLimit = 0.1
	// prefixesCached is the number of prefixes that an engine keeps, the latest used ones.
	prefixesCached = 16
)

// prefixCache is the prefix cache of one engine, the most recently used prefix first.
type prefixCache []uint64

// use returns whether a prefix was cached; else it is now.
func (c *prefixCache) use(p uint64) bool {
	i := slices.Index(*c, p)
	if i >= 0 {
		*c = slices.Delete(*c, i, i+1)
	}
	*c = slices.Insert(*c, 0, p)
	*c = (*c)[:min(len(*c), prefixesCached)]
	return i >= 0
}

// drawPrefix gives a request a prefix; low numbers are more frequent.
func (r *request) drawPrefix() {
	x := r.rng.Float64()
	r.prefix = xxhash.Sum64String(fmt.Sprintf("%d/%d", r.version, int(x*x*float64(r.scenario.prefixes))))
	r.prompt += prefixTokens
	if r.scenario.affinity {
		r.key.Prefix = r.prefix
	}
}

// readPrompt returns the tokens of the prompt that an engine has to read.
func (r *request) readPrompt(w *worker) int {
	if r.prefix == 0 {
		return r.prompt
	}
	hit := w.cache.use(r.prefix)
	if !r.sent.Before(r.from) {
		r.lookups++
		if hit {
			r.hits++
		}
	}
	if hit {
		return r.prompt - prefixTokens
	}
	return r.prompt
}

// scenarios adds the rows and bounds of faulty engines and of prefix affinity at one size.
func scenarios(report *bencher.Report, seed uint64, z size, duration time.Duration) error {
	run := func(p policy, sc scenario) (*simulation, result, error) {
		s := newSimulation(seed, z, p, duration)
		s.scenario = sc
		s.run()
		r := s.result(duration)
		if r.requests == 0 || r.first == 0 {
			return nil, r, errNothingEnded
		}
		report.Rows = append(report.Rows, r.row(z, string(p)+", "+sc.name, 0, ""))
		return s, r, nil
	}
	slow := scenario{name: "one engine half as fast", slowdown: slowFactor}
	_, best, err := run(allKnowing, slow)
	if err != nil {
		return err
	}
	s, r, err := run(routed, slow)
	if err != nil {
		return err
	}
	atMost := func(name string, got, limit float64) {
		report.Bounds = append(report.Bounds, bencher.Bound{
			Name: fmt.Sprintf("%s at %d workers", name, z.workers), Measured: got, Limit: limit, AtMost: true,
		})
	}
	atMost("one engine half as fast: answer p95 / all-knowing", r.total/best.total, ratioLimit)
	atMost("one engine half as fast: first token p95 / all-knowing", r.first/best.first, ratioLimit)
	share, err := s.faultyShare(faultWindow, duration)
	if err != nil {
		return err
	}
	atMost("one engine half as fast: its traffic / mean", share, 1)
	if s, _, err = run(routed, scenario{name: "one engine stuck", slowdown: stuckFactor, deadline: stuckDeadline}); err != nil {
		return err
	}
	if share, err = s.faultyShare(faultWindow, duration); err != nil {
		return err
	}
	atMost(stuckName, share, stuckShare)
	if _, best, err = run(allKnowing, scenario{name: "prefixes", prefixes: prefixesPerVersion}); err != nil {
		return err
	}
	_, bestOfOne, err := run(allKnowing, scenario{name: "one prefix", prefixes: 1})
	if err != nil {
		return err
	}
	var plain result
	for _, sc := range []scenario{
		{name: "prefixes, no affinity", prefixes: prefixesPerVersion},
		{name: "prefixes", prefixes: prefixesPerVersion, affinity: true},
		{name: "one prefix, no affinity", prefixes: 1},
		{name: "one prefix", prefixes: 1, affinity: true},
	} {
		s, r, err := run(routed, sc)
		if err != nil {
			return err
		}
		last := report.Rows[len(report.Rows)-1]
		last[1] += fmt.Sprintf(", hit rate %.3f, first token mean %.3f s", float64(s.hits)/float64(max(s.lookups, 1)), mean(s.first))
		switch {
		case !sc.affinity:
			plain = r
		case sc.prefixes == prefixesPerVersion:
			atMost("prefixes: first token p95 / all-knowing", r.first/best.first, ratioLimit)
		default:
			atMost("one prefix: first token p95 / all-knowing", r.first/bestOfOne.first, ratioLimit)
			atMost("one prefix: refused orders / request", r.busy, plain.busy+addedLimit)
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

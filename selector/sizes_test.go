package selector_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/selector"
)

// optimalCost returns the lowest cost at which the requests have a mean quality of goal, computed as the maximum of the Lagrange
// dual.
func optimalCost(cfg *configurer.Configuration, sizes [][2]int, goal float64) float64 {
	dual := func(lambda float64) float64 {
		sum := lambda * goal * float64(len(sizes))
		for _, size := range sizes {
			minScore := math.Inf(1)
			for i := range cfg.Models {
				v := &cfg.Models[i].Versions[0]
				minScore = min(minScore, selector.ListPrice(v, size[0], size[1])-lambda*v.PriorQuality)
			}
			sum += minScore
		}
		return sum
	}
	// The dual is concave, so golden-section search finds its maximum.
	low, high := 0.0, 1.0
	for range 60 {
		a, b := low+0.382*(high-low), low+0.618*(high-low)
		if dual(a) < dual(b) {
			low = a
		} else {
			high = b
		}
	}
	return dual((low + high) / 2)
}

// Guards against a price of quality that fluctuates between plans: small requests then lose quality and large ones gain it, which
// costs more than a stable price at the same mean quality.
func TestMixtureOfSizesAgainstOptimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "models")
		cfg := configuration(n)
		for i := range cfg.Models {
			v := &cfg.Models[i].Versions[0]
			v.InputPrice = math.Pow(3, float64(i))
			v.OutputPrice = 4 * v.InputPrice
		}
		bestQuality := cfg.Models[n-1].Versions[0].PriorQuality
		goal := 0.5 + (bestQuality-0.5)*rapid.Float64Range(0.2, 0.8).Draw(t, "target")
		cfg.WorkKinds[0].QualityTarget = goal
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sizes := make([][2]int, 4000)
		for i := range sizes {
			sizes[i] = [2]int{50 + int(400*rng.ExpFloat64()), 20 + int(100*rng.ExpFloat64())}
		}
		s, q, cost, quality := selector.New(), query(cfg), 0.0, 0.0
		for i, size := range sizes {
			q.Now = start.Add(time.Duration(i) * 100 * time.Millisecond)
			q.PromptTokens, q.MaxTokens = size[0], size[1]
			d, err := s.Select(cfg, q)
			if err != nil {
				t.Fatal(err)
			}
			cost += selector.ListPrice(cfg.Version(d.Target), size[0], size[1])
			quality += cfg.Version(d.Target).PriorQuality / float64(len(sizes))
		}
		if optimum := optimalCost(cfg, sizes, goal); quality < goal-0.002 || cost > 1.05*optimum {
			t.Fatalf("quality %v of %v, cost %v of optimum %v", quality, goal, cost, optimum)
		}
	})
}

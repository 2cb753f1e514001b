package selector_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/estimator"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/selector"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// configuration returns n serving versions whose quality rises with their price.
func configuration(n int) *configurer.Configuration {
	cfg := &configurer.Configuration{
		Ranks:          []configurer.Rank{{Name: "normal", FirstToken: time.Second, BetweenTokens: 50 * time.Millisecond}},
		WorkKinds:      []configurer.WorkKind{{Name: "k", Rank: "normal", QualityTarget: 0.7, MaxTokens: 100}},
		ClientAccounts: []configurer.ClientAccount{{Name: "a", WorkKinds: []identifier.WorkKind{"k"}}},
	}
	for i := range n {
		name := identifier.Model(fmt.Sprintf("m%d", i))
		price := float64(1 + i)
		cfg.Models = append(cfg.Models, configurer.Model{Name: name, Versions: []configurer.Version{{
			Name: "1", State: configurer.VersionServing, InputPrice: price, OutputPrice: 3 * price,
			PriorQuality: 0.5 + 0.4*math.Sqrt(float64(i)/float64(n)),
		}}})
		cfg.ClientAccounts[0].Allowed = append(cfg.ClientAccounts[0].Allowed, configurer.AllowedModel{Model: name})
	}
	return cfg
}

func query(cfg *configurer.Configuration) selector.Query {
	return selector.Query{
		ClientAccount: &cfg.ClientAccounts[0], WorkKind: &cfg.WorkKinds[0], Model: identifier.ModelAuto,
		PromptTokens: 200, MaxTokens: 100, Now: start,
	}
}

// Guards against errors and targets that differ from those of Cheapest when the quality target is 0, and against selecting a
// withdrawn or disallowed version.
func TestSelectAgainstCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := configuration(rapid.IntRange(1, 6).Draw(t, "models"))
		cfg.WorkKinds[0].QualityTarget = 0
		account := &cfg.ClientAccounts[0]
		account.Allowed = account.Allowed[rapid.IntRange(0, len(account.Allowed)).Draw(t, "disallowed"):]
		for i := range cfg.Models {
			v := &cfg.Models[i].Versions[0]
			v.State = rapid.SampledFrom([]configurer.VersionState{configurer.VersionServing, configurer.VersionWithdrawn}).Draw(t, "state")
			v.PriorQuality = rapid.Float64Range(0, 1).Draw(t, "quality")
			v.InputPrice = rapid.Float64Range(0, 9).Draw(t, "price")
		}
		q := query(cfg)
		q.Model = rapid.SampledFrom([]identifier.Model{identifier.ModelAuto, "m0", "m1", "unknown"}).Draw(t, "model")
		got, err := selector.New().Select(cfg, q)
		want, wantErr := selector.Cheapest(cfg, q)
		if got.Target != want || !sameError(err, wantErr) {
			t.Fatalf("got %v %v, Cheapest returned %v %v", got, err, want, wantErr)
		}
	})
}

// newPriorEstimator returns an estimator without ratings, with the prior qualities of the configuration.
func newPriorEstimator(cfg *configurer.Configuration) *estimator.Estimator {
	return estimator.New(estimator.WithPrior(func(t identifier.Target) float64 { return cfg.Version(t).PriorQuality }))
}

func sameError(a, b error) bool {
	return (a == nil) == (b == nil) && (a == nil || a.Error() == b.Error())
}

// Guards against a mixture of versions that misses the quality target, or costs over 5% more than the best mixture of two
// versions, which is the optimum of the linear programme.
func TestMixtureAgainstOptimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "models")
		cfg := configuration(n)
		best := 0.0
		for i := range cfg.Models {
			v := &cfg.Models[i].Versions[0]
			v.PriorQuality = rapid.Float64Range(0.3, 0.95).Draw(t, "quality")
			best = max(best, v.PriorQuality)
		}
		goal := rapid.Float64Range(0.3, 0.9).Draw(t, "target")
		if best < goal+0.01 {
			t.Skip("target not reachable")
		}
		cfg.WorkKinds[0].QualityTarget = goal
		optimum := math.Inf(1)
		for i := range n {
			for j := range n {
				a, b := cfg.Models[i].Versions[0], cfg.Models[j].Versions[0]
				share := 1.0
				if a.PriorQuality < goal {
					if b.PriorQuality <= a.PriorQuality {
						continue
					}
					share = 1 - (goal-a.PriorQuality)/(b.PriorQuality-a.PriorQuality)
				}
				if share < 0 {
					continue
				}
				optimum = min(optimum, share*selector.ListPrice(&a, 200, 100)+(1-share)*selector.ListPrice(&b, 200, 100))
			}
		}
		s, q := selector.New(), query(cfg)
		cost, quality := 0.0, 0.0
		const requests = 6000
		for i := range requests {
			q.Now = start.Add(time.Duration(i) * 100 * time.Millisecond)
			d, err := s.Select(cfg, q)
			if err != nil {
				t.Fatal(err)
			}
			v := cfg.Version(d.Target)
			cost += selector.ListPrice(v, 200, 100) / requests
			quality += v.PriorQuality / requests
		}
		if quality < goal-0.002 || cost > 1.05*optimum {
			t.Fatalf("quality %v of %v, cost %v of optimum %v", quality, goal, cost, optimum)
		}
	})
}

// Guards against sessions that change their version while the exposure stays the same, against a share of exposed sessions other
// than configured, and against answers from a pinned version that is withdrawn.
func TestSessions(t *testing.T) {
	cfg := configuration(1)
	cfg.Models[0].Versions = append(cfg.Models[0].Versions, configurer.Version{
		Name: "2", State: configurer.VersionCandidate, Exposure: 0.1, InputPrice: 1, OutputPrice: 3, PriorQuality: 0.5,
	})
	s, q, exposed := selector.New(), query(cfg), 0
	for i := range 5000 {
		q.Session = identifier.Session(fmt.Sprint(i))
		first, err := s.Select(cfg, q)
		must.NoError(t, err)
		again, err := selector.New().Select(cfg, q)
		must.NoError(t, err)
		must.Eq(t, first.Target, again.Target)
		if first.Target.Version == "2" {
			exposed++
		}
	}
	must.Between(t, 425, exposed, 575)
	q.Pinned = identifier.Target{Model: "m0", Version: "2"}
	d, err := s.Select(cfg, q)
	must.NoError(t, err)
	must.Eq(t, q.Pinned, d.Target)
	cfg.Models[0].Versions[1].State = configurer.VersionWithdrawn
	_, err = s.Select(cfg, q)
	must.ErrorIs(t, err, selector.ErrWithdrawn)
	q.Pinned.Model = "unknown"
	_, err = s.Select(cfg, q)
	must.ErrorIs(t, err, selector.ErrWithdrawn)
}

// Guards against a cascade that costs more than starting on the expensive version, that would miss the deadline, that changes the
// version of a session, or that repeats a non-idempotent request.
func TestCascadeRule(t *testing.T) {
	for name, tc := range map[string]struct {
		belowTargetOfTen int
		deadline         time.Duration
		nonIdempotent    bool
		session          identifier.Session
		want             bool
	}{
		"mostly above target": {belowTargetOfTen: 2, deadline: time.Minute, want: true},
		"mostly below target": {belowTargetOfTen: 9, deadline: time.Minute},
		"deadline":            {belowTargetOfTen: 2, deadline: 10 * time.Second},
		"non-idempotent":      {belowTargetOfTen: 2, deadline: time.Minute, nonIdempotent: true},
		"session":             {belowTargetOfTen: 2, deadline: time.Minute, session: "s"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := configuration(2)
			cfg.Models[1].Versions[0].InputPrice, cfg.Models[1].Versions[0].OutputPrice = 10, 30
			cfg.WorkKinds[0].QualityTarget, cfg.WorkKinds[0].NonIdempotent = 0.88, tc.nonIdempotent
			e := estimator.New(estimator.WithNow(func() time.Time { return start }))
			for i := range 1000 {
				low := 0.95
				if i%10 < tc.belowTargetOfTen {
					low = 0.1
				}
				e.Add(estimator.Sample{WorkKind: "k", Target: identifier.Target{Model: "m0", Version: "1"}, Rating: low, At: start})
				e.Add(estimator.Sample{WorkKind: "k", Target: identifier.Target{Model: "m1", Version: "1"}, Rating: 0.92, At: start})
			}
			s, q, cascades := selector.New(selector.WithEstimator(e)), query(cfg), 0
			q.Deadline, q.Session = start.Add(tc.deadline), tc.session
			for range 100 {
				d, err := s.Select(cfg, q)
				must.NoError(t, err)
				if d.Cascade != nil {
					cascades++
				}
			}
			// A mixture of the cascade (mean quality 0.95) and the cheap version (0.78) reaches 0.88 with 59 cascades in 100 requests.
			if tc.want {
				must.Between(t, 45, cascades, 75)
			} else {
				must.Eq(t, 0, cascades)
			}
		})
	}
	must.False(t, selector.IsCascadeCheaper(1, 0, 4, 0.75))
	must.True(t, selector.IsCascadeCheaper(1, 0, 4, 0.74))
}

// Guards against memory allocation in Select, which runs for each request.
func TestSelectDoesNotAllocate(t *testing.T) {
	cfg := configuration(19)
	s := selector.New(selector.WithEstimator(newPriorEstimator(cfg)))
	q := query(cfg)
	must.Eq(t, 0, testing.AllocsPerRun(1000, func() { _, _ = s.Select(cfg, q) }))
}

func BenchmarkSelect(b *testing.B) {
	for _, n := range []int{5, 19, 76} {
		b.Run(fmt.Sprintf("versions=%d", n), func(b *testing.B) {
			cfg := configuration(n)
			s := selector.New(selector.WithEstimator(newPriorEstimator(cfg)))
			q := query(cfg)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = s.Select(cfg, q)
			}
		})
	}
}

// Guards against alternatives that are withdrawn, not allowed, below the quality target or more expensive than the worth of the
// answer, and against leaving out a version that could answer.
func TestAlternativesAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := configuration(rapid.IntRange(1, 6).Draw(t, "models"))
		cfg.Ranks[0].Worth = rapid.SampledFrom([]float64{0, 0.0005, 0.002}).Draw(t, "worth")
		account := &cfg.ClientAccounts[0]
		account.Allowed = account.Allowed[rapid.IntRange(0, len(account.Allowed)).Draw(t, "disallowed"):]
		want := map[identifier.Target]bool{}
		for i := range cfg.Models {
			v := &cfg.Models[i].Versions[0]
			v.State = rapid.SampledFrom([]configurer.VersionState{configurer.VersionServing, configurer.VersionWithdrawn}).Draw(t, "state")
			v.PriorQuality = rapid.Float64Range(0, 1).Draw(t, "quality")
			target := identifier.Target{Model: cfg.Models[i].Name, Version: v.Name}
			affordable := cfg.Ranks[0].Worth == 0 || selector.ListPrice(v, 200, 100) <= cfg.Ranks[0].Worth
			if v.State == configurer.VersionServing && account.Allows(target) && v.PriorQuality >= 0.7 && affordable {
				want[target] = true
			}
		}
		got := selector.New().Alternatives(cfg, query(cfg))
		if len(got) != len(want) {
			t.Fatalf("got %v, want %v", got, want)
		}
		last := 0.0
		for _, target := range got {
			price := selector.ListPrice(cfg.Version(target), 200, 100)
			if !want[target] || price < last {
				t.Fatalf("got %v, want %v, the cheapest first", got, want)
			}
			last = price
		}
		q := query(cfg)
		q.Session = "s"
		if got := selector.New().Alternatives(cfg, q); got != nil {
			t.Fatalf("a session moved to %v", got)
		}
	})
}

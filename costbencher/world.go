package costbencher

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

const (
	day = 24 * time.Hour
	// goodAnswer and shortAnswer are the qualities of a usable and of an unusable answer; a version differs from another
	// one by how often its answers are unusable.
	goodAnswer, shortAnswer = 0.94, 0.2
	ratingNoise             = 0.03
	// ratedShare is the share of answers that the rating service rates unasked.
	ratedShare = 0.3
	// priorError is the standard deviation of the configured prior quality around the truth.
	priorError  = 0.08
	ratingPrice = 0.00002
	ratingDelay = 2 * time.Second
)

// deployment describes one of the deployments of the design page.
type deployment struct {
	name     string
	requests int
	kinds    [3]identifier.WorkKind
	targets  [3]float64
	// night is the relative demand at the quietest hour.
	night float64
}

func deployments() []deployment {
	return []deployment{
		{"solas-sraide", 80_000, [3]identifier.WorkKind{"energisation-order", "engineer-answer", "fault-note-summary"}, [3]float64{0.84, 0.76, 0.66}, 0.2},
		{"muleta-certa", 60_000, [3]identifier.WorkKind{"refund-booking", "counter-answer", "item-tags"}, [3]float64{0.85, 0.74, 0.6}, 0.5},
	}
}

// request is one request of the day.
type request struct {
	at             time.Time
	account, kind  int
	session        identifier.Session
	deadline       time.Time
	prompt, output int
}

// world is one deployment with its hidden truth.
type world struct {
	deployment
	cfg      *configurer.Configuration
	targets  []identifier.Target
	start    time.Time
	midday   time.Time
	truth    [][]float64 // shortfall of an answer by kind and target before midday
	degraded int         // index of the target that degrades at midday
	requests []request
}

// newWorld draws a world; three ranks, ten client accounts, four models with two versions each.
func newWorld(d deployment, rng *rand.Rand) *world {
	w := &world{deployment: d, start: time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)}
	w.midday = w.start.Add(day / 2)
	w.cfg = &configurer.Configuration{Revision: 1, Ranks: []configurer.Rank{
		{Name: "urgent", FirstToken: 1400 * time.Millisecond, BetweenTokens: 60 * time.Millisecond, Worth: 1},
		{Name: "normal", FirstToken: 1400 * time.Millisecond, BetweenTokens: 60 * time.Millisecond, Worth: 0.1},
		{Name: "batch", FirstToken: 10 * time.Second, BetweenTokens: 100 * time.Millisecond, Worth: 0.01},
	}}
	for k, rank := range []identifier.Rank{"urgent", "normal", "batch"} {
		w.cfg.WorkKinds = append(w.cfg.WorkKinds, configurer.WorkKind{
			Name: d.kinds[k], Rank: rank, QualityTarget: d.targets[k], NonIdempotent: k == 0, MaxTokens: 300,
		})
	}
	w.truth = make([][]float64, len(d.kinds))
	for m, price := range []float64{0.2, 0.6, 2, 6} {
		model := configurer.Model{Name: identifier.Model(fmt.Sprintf("model-%d", m+1))}
		for v := range 2 {
			t := identifier.Target{Model: model.Name, Version: identifier.Version(fmt.Sprintf("v%d", v+1))}
			w.targets = append(w.targets, t)
			cost := price * (1 + 0.3*rng.Float64())
			mean := 0.0
			for k := range d.kinds {
				// Harder kinds lose more on cheap models.
				hard := []float64{0.45, 0.35, 0.22}[k]
				short := min(max(hard*math.Pow(0.45, float64(m))+0.05*rng.NormFloat64(), 0.01), 0.7)
				if m == 3 {
					short = min(short, 0.05)
				}
				w.truth[k] = append(w.truth[k], short)
				mean += expected(short) / float64(len(d.kinds))
			}
			prior := min(max(mean+priorError*rng.NormFloat64(), 0), 1)
			model.Versions = append(model.Versions, configurer.Version{
				Name: t.Version, State: configurer.VersionServing, InputPrice: cost, OutputPrice: 4 * cost, PriorQuality: prior,
			})
		}
		w.cfg.Models = append(w.cfg.Models, model)
	}
	w.degraded = 2 + rng.IntN(2)
	for a := range 10 {
		acc := configurer.ClientAccount{Name: identifier.ClientAccount(fmt.Sprintf("account-%02d", a+1)), WorkKinds: d.kinds[:], Weight: 1}
		for m := range w.cfg.Models {
			// Some accounts do not allow one of the cheaper models.
			if m < 3 && a%4 == 3 && m == a%3 {
				continue
			}
			acc.Allowed = append(acc.Allowed, configurer.AllowedModel{Model: w.cfg.Models[m].Name})
		}
		w.cfg.ClientAccounts = append(w.cfg.ClientAccounts, acc)
	}
	w.draw(rng)
	return w
}

// draw fills the day with requests; a few accounts are large and demand follows the hour.
func (w *world) draw(rng *rand.Rand) {
	var ends [3][10]time.Time
	var sessions [3][10]int
	at := w.start
	mean := float64(day) / float64(w.deployment.requests)
	for at.Before(w.start.Add(day)) {
		hour := at.Sub(w.start).Hours()
		demand := w.night + (1-w.night)*math.Max(0, math.Sin(math.Pi*(hour-6)/14))
		at = at.Add(time.Duration(rng.ExpFloat64() * mean / max(demand, 0.05) * (0.15 + 0.6*(1-w.night))))
		kind := []int{0, 1, 1, 1, 2, 2, 2, 2, 2, 2}[rng.IntN(10)]
		account := min(int(10*math.Pow(rng.Float64(), 2)), 9)
		r := request{at: at, account: account, kind: kind, prompt: 50 + int(400*rng.ExpFloat64()), output: 20 + int(100*rng.ExpFloat64())}
		r.deadline = at.Add([]time.Duration{30 * time.Second, time.Minute, time.Hour}[kind])
		if kind == 1 && rng.IntN(5) == 0 {
			if at.After(ends[kind][account]) {
				sessions[kind][account]++
				ends[kind][account] = at.Add(10 * time.Minute)
			}
			r.session = identifier.Session(fmt.Sprintf("%d-%d-%d", kind, account, sessions[kind][account]))
		}
		w.requests = append(w.requests, r)
	}
}

// shortfall returns the true share of unusable answers.
func (w *world) shortfall(kind, target int, at time.Time) float64 {
	short := w.truth[kind][target]
	if target == w.degraded && !at.Before(w.midday) {
		short = min(short+0.3, 0.9)
	}
	return short
}

func expected(short float64) float64 { return (1-short)*goodAnswer + short*shortAnswer }

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
	// usableQuality and unusableQuality are the qualities of usable and unusable answers; versions differ in the share of
	// their answers that are unusable.
	usableQuality, unusableQuality = 0.94, 0.2
	ratingDeviation                = 0.03
	// freelyRatedShare is the share of answers that the rating service rates unasked.
	freelyRatedShare = 0.3
	// priorQualityDeviation is the standard deviation of the configured prior quality from the true quality.
	priorQualityDeviation = 0.08
	ratingPrice           = 0.00002
	ratingDelay           = 2 * time.Second
)

// deployment describes one of the two deployments of the design page.
type deployment struct {
	name     string
	requests int
	kinds    [3]identifier.WorkKind
	targets  [3]float64
	// nightDemand is the demand at the quietest hour relative to that at the busiest.
	nightDemand float64
}

func deployments() []deployment {
	return []deployment{
		{"solas-sraide", 80_000, [3]identifier.WorkKind{"energisation-order", "engineer-answer", "fault-note-summary"}, [3]float64{0.84, 0.76, 0.66}, 0.2},
		{"muleta-certa", 60_000, [3]identifier.WorkKind{"refund-booking", "counter-answer", "item-tags"}, [3]float64{0.85, 0.74, 0.6}, 0.5},
	}
}

// request is one request of the simulated day.
type request struct {
	at             time.Time
	account, kind  int
	session        identifier.Session
	deadline       time.Time
	prompt, output int
}

// simulatedDay is one deployment with the true quality of its versions, which the router does not know.
type simulatedDay struct {
	deployment
	cfg            *configurer.Configuration
	targets        []identifier.Target
	start          time.Time
	midday         time.Time
	unusableShares [][]float64 // by kind and target: the share of unusable answers before midday
	degradedTarget int         // index of the target whose answers become worse at midday
	requests       []request
}

// newSimulatedDay draws a deployment with three ranks, ten client accounts, and four models with two versions each.
func newSimulatedDay(d deployment, rng *rand.Rand) *simulatedDay {
	w := &simulatedDay{deployment: d, start: time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)}
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
	w.unusableShares = make([][]float64, len(d.kinds))
	for m, price := range []float64{0.2, 0.6, 2, 6} {
		model := configurer.Model{Name: identifier.Model(fmt.Sprintf("model-%d", m+1))}
		for v := range 2 {
			t := identifier.Target{Model: model.Name, Version: identifier.Version(fmt.Sprintf("v%d", v+1))}
			w.targets = append(w.targets, t)
			inputPrice := price * (1 + 0.3*rng.Float64())
			meanQuality := 0.0
			for k := range d.kinds {
				// Harder work kinds have more unusable answers from cheap models.
				cheapestModelShare := []float64{0.45, 0.35, 0.22}[k]
				unusable := min(max(cheapestModelShare*math.Pow(0.45, float64(m))+0.05*rng.NormFloat64(), 0.01), 0.7)
				if m == 3 {
					unusable = min(unusable, 0.05)
				}
				w.unusableShares[k] = append(w.unusableShares[k], unusable)
				meanQuality += expectedQuality(unusable) / float64(len(d.kinds))
			}
			prior := min(max(meanQuality+priorQualityDeviation*rng.NormFloat64(), 0), 1)
			model.Versions = append(model.Versions, configurer.Version{
				Name: t.Version, State: configurer.VersionServing, InputPrice: inputPrice, OutputPrice: 4 * inputPrice, PriorQuality: prior,
			})
		}
		w.cfg.Models = append(w.cfg.Models, model)
	}
	w.degradedTarget = 2 + rng.IntN(2)
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
	w.drawRequests(rng)
	return w
}

// drawRequests draws the requests of the day. A few accounts send most of them, and the demand depends on the hour.
func (w *simulatedDay) drawRequests(rng *rand.Rand) {
	var sessionEnds [3][10]time.Time
	var sessions [3][10]int
	at := w.start
	meanInterval := float64(day) / float64(w.deployment.requests)
	for at.Before(w.start.Add(day)) {
		hour := at.Sub(w.start).Hours()
		demand := w.nightDemand + (1-w.nightDemand)*math.Max(0, math.Sin(math.Pi*(hour-6)/14))
		at = at.Add(time.Duration(rng.ExpFloat64() * meanInterval / max(demand, 0.05) * (0.15 + 0.6*(1-w.nightDemand))))
		kind := []int{0, 1, 1, 1, 2, 2, 2, 2, 2, 2}[rng.IntN(10)]
		account := min(int(10*math.Pow(rng.Float64(), 2)), 9)
		r := request{at: at, account: account, kind: kind, prompt: 50 + int(400*rng.ExpFloat64()), output: 20 + int(100*rng.ExpFloat64())}
		r.deadline = at.Add([]time.Duration{30 * time.Second, time.Minute, time.Hour}[kind])
		if kind == 1 && rng.IntN(5) == 0 {
			if at.After(sessionEnds[kind][account]) {
				sessions[kind][account]++
				sessionEnds[kind][account] = at.Add(10 * time.Minute)
			}
			r.session = identifier.Session(fmt.Sprintf("%d-%d-%d", kind, account, sessions[kind][account]))
		}
		w.requests = append(w.requests, r)
	}
}

// unusableShare returns the true share of unusable answers for a kind from a target at one time.
func (w *simulatedDay) unusableShare(kind, target int, at time.Time) float64 {
	share := w.unusableShares[kind][target]
	if target == w.degradedTarget && !at.Before(w.midday) {
		share = min(share+0.3, 0.9)
	}
	return share
}

// expectedQuality returns the mean quality of answers with the given share of unusable ones.
func expectedQuality(unusableShare float64) float64 {
	return (1-unusableShare)*usableQuality + unusableShare*unusableQuality
}

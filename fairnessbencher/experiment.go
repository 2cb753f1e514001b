package fairnessbencher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/admitter"
	"github.com/siskinfront/siskinfront/batchfaker"
	"github.com/siskinfront/siskinfront/bencher"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Experiment returns the experiment fairness.
func Experiment() bencher.Experiment {
	return bencher.Experiment{
		Name:  "fairness",
		Short: "Small client accounts beside a large one that asks for ten times its share",
		Run:   run,
	}
}

const (
	smallAccounts = 9
	// largeLoad is the load of the large account in multiples of its share of the capacity.
	largeLoad = 10
	// smallLoad is the load of each small account relative to its share of the capacity.
	smallLoad        = 0.5
	meanPromptTokens = 400
	meanOutputTokens = 120

	runDuration  = 200 * time.Second
	warmUp       = 20 * time.Second
	largeAccount = identifier.ClientAccount("large")
)

func speedProfile() batchfaker.SpeedProfile {
	return batchfaker.SpeedProfile{Knee: 32, Step: 25 * time.Millisecond, Slope: 0.05, PrefillChunk: 128}
}

// policy selects how an agent admits calls: fairly between client accounts, fairly with an engine that cannot pause calls, or
// in order of arrival.
type policy int

const (
	fairAdmission policy = iota
	fairWithoutPause
	fifo
)

// result holds the figures of one run.
type result struct {
	firstTokenTimes, answerTimes []float64 // seconds, of the small accounts
	refused                      int       // calls of the small accounts
	smallSteps                   float64
	largeSteps                   float64
	usedShare                    float64 // share of the capacity that was busy
}

// simulation is the state of one run.
type simulation struct {
	loop   *batchfaker.Loop
	submit func(*batchfaker.Call)
	start  time.Time
	result result
}

func simulate(seed uint64, p policy, withSmall, withLarge bool) result {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	loop := batchfaker.NewLoop(start)
	sh := speedProfile()
	engine := batchfaker.NewEngine(loop, sh)
	s := &simulation{loop: loop, start: start}
	if p == fifo {
		f := &batchfaker.FIFO{Engine: engine, Slots: sh.Knee}
		s.submit = f.Submit
	} else {
		ranks := []configurer.Rank{{Name: "normal", FirstToken: 5 * time.Second}}
		a := admitter.New(admitter.WithRanks(ranks), admitter.WithSlots(sh.Knee), admitter.WithNow(loop.Now))
		g := batchfaker.NewAgent(loop, engine, a)
		g.CannotPause = p == fairWithoutPause
		s.submit = g.Submit
	}
	// Each account has its own random generator, so that the small accounts send the same calls with and without the large one.
	share := sh.Capacity() / (smallAccounts + 1)
	for i := range smallAccounts {
		if withSmall {
			s.scheduleCalls(rand.New(rand.NewPCG(seed, uint64(i))), identifier.ClientAccount(fmt.Sprintf("small-%d", i)), smallLoad*share)
		}
	}
	if withLarge {
		s.scheduleCalls(rand.New(rand.NewPCG(seed, smallAccounts)), largeAccount, largeLoad*share)
	}
	busySlots := 0
	samples := 0
	loop.Every(10*time.Millisecond, func() bool {
		if loop.Now().Sub(start) >= warmUp {
			samples++
			busySlots += min(engine.Running(), sh.Knee)
		}
		return true
	})
	loop.Run(start.Add(runDuration))
	s.result.usedShare = float64(busySlots) / float64(samples*sh.Knee)
	return s.result
}

// scheduleCalls schedules the calls of an account that demands a rate of slot steps per second.
func (s *simulation) scheduleCalls(rng *rand.Rand, account identifier.ClientAccount, rate float64) {
	chunk := speedProfile().PrefillChunk
	perSecond := rate / (float64(meanPromptTokens)/float64(chunk) + 0.5 + meanOutputTokens)
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= runDuration {
			return
		}
		promptTokens, outputTokens := drawAroundMean(rng, meanPromptTokens), drawAroundMean(rng, meanOutputTokens)
		costExcess := 1 + rng.Float64()/2
		s.loop.After(at, func() { s.send(account, promptTokens, outputTokens, costExcess) })
	}
}

// drawAroundMean draws a number between half the mean and one and a half times the mean, at least 2.
func drawAroundMean(rng *rand.Rand, mean int) int {
	return max(int(float64(mean)*(0.5+rng.Float64())), 2)
}

func (s *simulation) send(account identifier.ClientAccount, promptTokens, outputTokens int, costExcess float64) {
	sent := s.loop.Now()
	measured := sent.Sub(s.start) >= warmUp
	steps := float64((promptTokens+speedProfile().PrefillChunk-1)/speedProfile().PrefillChunk + outputTokens)
	s.submit(&batchfaker.Call{
		Order: &streamer.Order{ClientAccount: account, Rank: "normal", Deadline: sent.Add(time.Minute)},
		Cost:  steps * costExcess, Prompt: promptTokens, Tokens: outputTokens,
		OnFirstToken: func() {
			if measured && account != largeAccount {
				s.result.firstTokenTimes = append(s.result.firstTokenTimes, s.loop.Now().Sub(sent).Seconds())
			}
		},
		OnDone: func() {
			switch {
			case !measured:
			case account == largeAccount:
				s.result.largeSteps += steps
			default:
				s.result.smallSteps += steps
				s.result.answerTimes = append(s.result.answerTimes, s.loop.Now().Sub(sent).Seconds())
			}
		},
		OnRefused: func(*admitter.Refusal) {
			if measured && account != largeAccount {
				s.result.refused++
			}
		},
		OnPauseExpired: func() {},
	})
}

func run(_ context.Context, p bencher.Params) (bencher.Report, error) {
	report := bencher.Report{Columns: []string{"policy", "small calls", "small refused", "first token p95 (s)", "/ alone",
		"answer p95 (s)", "/ alone", "small steps/s", "large steps/s", "capacity used"}}
	smallAlone := simulate(p.Seed, fairAdmission, true, false)
	smallAndLarge := simulate(p.Seed, fairAdmission, true, true)
	onlyLarge := simulate(p.Seed, fairAdmission, false, true)
	rows := []struct {
		name string
		r    result
	}{
		{"small alone", smallAlone}, {"fair", smallAndLarge}, {"fair, large alone", onlyLarge},
		{"fair, engine cannot resume", simulate(p.Seed, fairWithoutPause, true, true)},
		{"first come first served", simulate(p.Seed, fifo, true, true)},
	}
	seconds := (runDuration - warmUp).Seconds()
	firstAlone, answerAlone := batchfaker.Quantile(smallAlone.firstTokenTimes, 0.95), batchfaker.Quantile(smallAlone.answerTimes, 0.95)
	for _, row := range rows {
		firstTokenP95, answerP95 := batchfaker.Quantile(row.r.firstTokenTimes, 0.95), batchfaker.Quantile(row.r.answerTimes, 0.95)
		report.Rows = append(report.Rows, []string{
			row.name, strconv.Itoa(len(row.r.answerTimes)), strconv.Itoa(row.r.refused), fmt.Sprintf("%.3f", firstTokenP95), fmt.Sprintf("%.2f", firstTokenP95/firstAlone),
			fmt.Sprintf("%.3f", answerP95), fmt.Sprintf("%.2f", answerP95/answerAlone), fmt.Sprintf("%.0f", row.r.smallSteps/seconds),
			fmt.Sprintf("%.0f", row.r.largeSteps/seconds), fmt.Sprintf("%.3f", row.r.usedShare),
		})
	}
	report.Bounds = []bencher.Bound{
		{
			Name: "small first token p95 / alone", Measured: batchfaker.Quantile(smallAndLarge.firstTokenTimes, 0.95) / firstAlone,
			Limit: 1.2, AtMost: true,
		},
		{
			Name: "small answer p95 / alone", Measured: batchfaker.Quantile(smallAndLarge.answerTimes, 0.95) / answerAlone, Limit: 1.2, AtMost: true,
		},
		{Name: "small calls refused", Measured: float64(smallAndLarge.refused), Limit: 0, AtMost: true},
		// The small accounts use half of nine tenths of the capacity. The large account must get nearly all of the rest, and
		// nearly all of the capacity when it is alone.
		{Name: "capacity used beside small accounts", Measured: smallAndLarge.usedShare, Limit: 0.95},
		{Name: "capacity used by the large account alone", Measured: onlyLarge.usedShare, Limit: 0.95},
	}
	return report, nil
}

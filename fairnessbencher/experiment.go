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
	// greed is what the large account asks for, in multiples of its share of the capacity.
	greed = 10
	// smallLoad is what each small account asks for, in parts of its share.
	smallLoad = 0.5
	prompt    = 400 // mean tokens
	tokens    = 120 // mean tokens

	duration = 200 * time.Second
	warmUp   = 20 * time.Second
	large    = identifier.ClientAccount("large")
)

func shape() batchfaker.SpeedProfile {
	return batchfaker.SpeedProfile{Knee: 32, Step: 25 * time.Millisecond, Slope: 0.05, PrefillChunk: 128}
}

type policy int

const (
	fair policy = iota
	unresumable
	firstCome
)

// result is what one run measured.
type result struct {
	first, total []float64 // seconds, of the small accounts
	refused      int       // calls of the small accounts
	smallSteps   float64
	largeSteps   float64
	used         float64 // share of the capacity that was busy
}

type simulation struct {
	loop   *batchfaker.Loop
	submit func(*batchfaker.Call)
	start  time.Time
	r      result
}

func simulate(seed uint64, p policy, smalls, larges bool) result {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	loop := batchfaker.NewLoop(start)
	sh := shape()
	engine := batchfaker.NewEngine(loop, sh)
	s := &simulation{loop: loop, start: start}
	if p == firstCome {
		f := &batchfaker.FIFO{Engine: engine, Slots: sh.Knee}
		s.submit = f.Submit
	} else {
		ranks := []configurer.Rank{{Name: "normal", FirstToken: 5 * time.Second}}
		a := admitter.New(admitter.WithRanks(ranks), admitter.WithSlots(sh.Knee), admitter.WithNow(loop.Now))
		g := batchfaker.NewAgent(loop, engine, a)
		g.CannotPause = p == unresumable
		s.submit = g.Submit
	}
	// Each account has its own generator, so that the small ones send the same calls with and without the large one.
	share := sh.Capacity() / (smallAccounts + 1)
	for i := range smallAccounts {
		if smalls {
			s.arrivals(rand.New(rand.NewPCG(seed, uint64(i))), identifier.ClientAccount(fmt.Sprintf("small-%d", i)), smallLoad*share)
		}
	}
	if larges {
		s.arrivals(rand.New(rand.NewPCG(seed, smallAccounts)), large, greed*share)
	}
	busy := 0
	polls := 0
	loop.Every(10*time.Millisecond, func() bool {
		if loop.Now().Sub(start) >= warmUp {
			polls++
			busy += min(engine.Running(), sh.Knee)
		}
		return true
	})
	loop.Run(start.Add(duration))
	s.r.used = float64(busy) / float64(polls*sh.Knee)
	return s.r
}

// arrivals schedules the calls of an account that asks for a rate of slot steps per second.
func (s *simulation) arrivals(rng *rand.Rand, account identifier.ClientAccount, rate float64) {
	chunk := shape().PrefillChunk
	perSecond := rate / (float64(prompt)/float64(chunk) + 0.5 + tokens)
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= duration {
			return
		}
		p, n := vary(rng, prompt), vary(rng, tokens)
		excess := 1 + rng.Float64()/2
		s.loop.After(at, func() { s.send(account, p, n, excess) })
	}
}

func vary(rng *rand.Rand, mean int) int {
	return max(int(float64(mean)*(0.5+rng.Float64())), 2)
}

func (s *simulation) send(account identifier.ClientAccount, p, n int, excess float64) {
	sent := s.loop.Now()
	measured := sent.Sub(s.start) >= warmUp
	steps := float64((p+shape().PrefillChunk-1)/shape().PrefillChunk + n)
	s.submit(&batchfaker.Call{
		Order: &streamer.Order{ClientAccount: account, Rank: "normal", Deadline: sent.Add(time.Minute)},
		Cost:  steps * excess, Prompt: p, Tokens: n,
		OnFirst: func() {
			if measured && account != large {
				s.r.first = append(s.r.first, s.loop.Now().Sub(sent).Seconds())
			}
		},
		OnDone: func() {
			switch {
			case !measured:
			case account == large:
				s.r.largeSteps += steps
			default:
				s.r.smallSteps += steps
				s.r.total = append(s.r.total, s.loop.Now().Sub(sent).Seconds())
			}
		},
		OnRefused: func(*admitter.Refusal) {
			if measured && account != large {
				s.r.refused++
			}
		},
		OnBroken: func() {},
	})
}

func run(_ context.Context, p bencher.Params) (bencher.Report, error) {
	report := bencher.Report{Columns: []string{"policy", "small calls", "small refused", "first token p95 (s)", "/ alone",
		"answer p95 (s)", "/ alone", "small steps/s", "large steps/s", "capacity used"}}
	alone := simulate(p.Seed, fair, true, false)
	both := simulate(p.Seed, fair, true, true)
	onlyLarge := simulate(p.Seed, fair, false, true)
	rows := []struct {
		name string
		r    result
	}{
		{"small alone", alone}, {"fair", both}, {"fair, large alone", onlyLarge},
		{"fair, engine cannot resume", simulate(p.Seed, unresumable, true, true)},
		{"first come first served", simulate(p.Seed, firstCome, true, true)},
	}
	seconds := (duration - warmUp).Seconds()
	firstAlone, totalAlone := batchfaker.Quantile(alone.first, 0.95), batchfaker.Quantile(alone.total, 0.95)
	for _, x := range rows {
		f, t := batchfaker.Quantile(x.r.first, 0.95), batchfaker.Quantile(x.r.total, 0.95)
		report.Rows = append(report.Rows, []string{
			x.name, strconv.Itoa(len(x.r.total)), strconv.Itoa(x.r.refused), fmt.Sprintf("%.3f", f), fmt.Sprintf("%.2f", f/firstAlone),
			fmt.Sprintf("%.3f", t), fmt.Sprintf("%.2f", t/totalAlone), fmt.Sprintf("%.0f", x.r.smallSteps/seconds),
			fmt.Sprintf("%.0f", x.r.largeSteps/seconds), fmt.Sprintf("%.3f", x.r.used),
		})
	}
	report.Bounds = []bencher.Bound{
		{
			Name: "small first token p95 / alone", Measured: batchfaker.Quantile(both.first, 0.95) / firstAlone,
			Limit: 1.2, AtMost: true,
		},
		{
			Name: "small answer p95 / alone", Measured: batchfaker.Quantile(both.total, 0.95) / totalAlone, Limit: 1.2, AtMost: true,
		},
		{Name: "small calls refused", Measured: float64(both.refused), Limit: 0, AtMost: true},
		// The small accounts use half of nine tenths; the large account must get nearly all of the rest, and all of the
		// capacity when it is alone.
		{Name: "capacity used beside small accounts", Measured: both.used, Limit: 0.95},
		{Name: "capacity used by the large account alone", Measured: onlyLarge.used, Limit: 0.95},
	}
	return report, nil
}

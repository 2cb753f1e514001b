package demonstrator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/examples"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/questioner"
	"github.com/siskinfront/siskinfront/replayer"
)

const (
	// RecordedSeed is the seed of the committed traces of the examples.
	RecordedSeed = 1
	// traceLength is the time over which a trace is played.
	traceLength = 8 * time.Second
	// traceRate is the mean number of requests per second of a trace.
	traceRate = 50
	// largeShare is the share of requests that the large client accounts send.
	largeShare = 0.6
	// repeatShare is the share of requests that repeat an earlier non-idempotent one with its key.
	repeatShare = 0.05
	// serviceShare is the share of requests that call a plain service.
	serviceShare = 0.15
	// mostInProgress bounds the requests in progress of a deployment, some 5 at this rate. On a machine that is too slow for the
	// rate, orders would otherwise find no answer in time, and callers would get errors that no trace states.
	mostInProgress = 16
	// progressStep is the number of requests between two progress lines.
	progressStep = 100
)

// ErrInvariant is returned when a run of the demo broke something that must always hold.
var ErrInvariant = errors.New("demonstrator: an invariant was broken")

// shapes are the two deployments of today.
func shapes() []shape {
	return []shape{
		{name: "solas-sraide", region: "ie-west", dataCentres: 4, engines: 20, services: 4, largeAccounts: 3},
		{name: "muleta-certa", region: "pt-centro", dataCentres: 3, engines: 10, services: 3, largeAccounts: 3},
	}
}

// Trace returns the trace of an example for a seed; the seed of the nth example is seed+n.
func Trace(example string, seed uint64) (*replayer.Trace, error) {
	for i, sh := range shapes() {
		if sh.name != example {
			continue
		}
		_, cfg, err := team(sh.name)
		if err != nil {
			return nil, err
		}
		return replayer.Generate(cfg, replayer.Traffic{
			Length: traceLength, Rate: traceRate, LargeShare: largeShare, LargeAccounts: sh.largeAccounts, RepeatShare: repeatShare,
			ServiceShare: serviceShare,
		}, seed+uint64(i)), nil
	}
	return nil, fmt.Errorf("demonstrator: no example is named %q", example)
}

// trace returns the committed trace of an example, or a generated one for any other seed than the recorded one.
func trace(example string, seed uint64) (*replayer.Trace, error) {
	if seed != RecordedSeed {
		return Trace(example, seed)
	}
	text, err := examples.Files.ReadFile(example + "/trace.ndjson")
	if err != nil {
		return nil, fmt.Errorf("demonstrator: read trace: %w", err)
	}
	return replayer.Read(bytes.NewReader(text))
}

// Run plays a trace of both deployments at the same time and writes progress to progress. The report is valid if the
// error is nil or ErrInvariant, which means that a promise was broken.
func Run(ctx context.Context, progress io.Writer, seed uint64) (*Report, error) {
	out := &lineWriter{w: progress}
	all := shapes()
	reports := make([]*Report, len(all))
	g, ctx := errgroup.WithContext(ctx)
	for i, sh := range all {
		g.Go(func() error {
			r, err := play(ctx, out, sh, seed)
			if err != nil {
				return fmt.Errorf("demonstrator: %s: %w", sh.name, err)
			}
			reports[i] = r
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	total := &Report{Violations: []Violation{}}
	for _, r := range reports {
		total.merge(r)
	}
	if n := len(total.Violations); n > 0 {
		return total, fmt.Errorf("%w: %d violations", ErrInvariant, n)
	}
	return total, nil
}

// lineWriter keeps the lines of deployments that run at the same time whole.
type lineWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lineWriter) printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.w, format, args...)
}

// team returns the answers of an example and the configuration that follows from them.
func team(example string) (*questioner.Answers, *configurer.Configuration, error) {
	text, err := examples.Files.ReadFile(example + "/answers.yaml")
	if err != nil {
		return nil, nil, fmt.Errorf("demonstrator: read answers: %w", err)
	}
	answers, err := questioner.Parse(example+"/answers.yaml", text)
	if err != nil {
		return nil, nil, err
	}
	cfg, err := questioner.Configuration(answers)
	return answers, cfg, err
}

func play(ctx context.Context, out *lineWriter, sh shape, seed uint64) (*Report, error) {
	answers, cfg, err := team(sh.name)
	if err != nil {
		return nil, err
	}
	trace, err := trace(sh.name, seed)
	if err != nil {
		return nil, err
	}
	out.printf("%s: starting %d engines, %d applications, %d entries\n", sh.name, sh.engines, sh.services, sh.dataCentres)
	d, err := start(ctx, sh, cfg, seed)
	if err != nil {
		return nil, err
	}
	var done atomic.Int64
	player := replayer.NewPlayer(d.callers(),
		func(a identifier.ClientAccount) string { return questioner.ExampleKey(answers.Team, string(a)) },
		replayer.WithMaxInFlight(mostInProgress),
		replayer.WithProgress(func(int) {
			if n := done.Add(1); n%progressStep == 0 {
				out.printf("%s: %d of %d requests\n", sh.name, n, len(trace.Entries))
			}
		}))
	results := player.Play(ctx, trace)
	if err := errors.Join(ctx.Err(), d.stop()); err != nil {
		return nil, err
	}
	out.printf("%s: %d requests, all processes drained\n", sh.name, len(trace.Entries))
	return assess(d, trace, results)
}

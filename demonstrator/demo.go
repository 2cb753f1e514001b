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
	// RecordedSeed is the seed with which the traces in the examples folder were generated.
	RecordedSeed = 1
	// traceLength is the time from the start of a trace to its last request.
	traceLength = 8 * time.Second
	// traceRate is the mean number of requests per second of a trace.
	traceRate = 50
	// largeShare is the share of requests that the large client accounts send.
	largeShare = 0.6
	// repeatShare is the share of requests that repeat an earlier non-idempotent one under the same idempotency key.
	repeatShare = 0.05
	// serviceShare is the share of requests that call a plain service.
	serviceShare = 0.15
	// maxInFlight bounds the requests in flight to one deployment, of which traceRate causes some 5. Without a bound, requests
	// pile up on a machine that is too slow for traceRate, miss their deadlines, and return errors that the trace doesn't permit.
	maxInFlight = 16
	// requestsPerProgressLine is the number of finished requests between two progress lines.
	requestsPerProgressLine = 100
)

// ErrInvariant is returned when a run of the demo violated an invariant, such as billing each answer once.
var ErrInvariant = errors.New("demonstrator: invariant violated")

// exampleSpecs returns the sizes of the two example deployments.
func exampleSpecs() []deploymentSpec {
	return []deploymentSpec{
		{name: "solas-sraide", region: "ie-west", dataCentres: 4, engines: 20, services: 4, largeAccounts: 3},
		{name: "muleta-certa", region: "pt-centro", dataCentres: 3, engines: 10, services: 3, largeAccounts: 3},
	}
}

// Trace generates the trace of an example; its random source is seeded with seed plus the position of the example from 0.
func Trace(example string, seed uint64) (*replayer.Trace, error) {
	for i, spec := range exampleSpecs() {
		if spec.name != example {
			continue
		}
		_, cfg, err := loadExample(spec.name)
		if err != nil {
			return nil, err
		}
		return replayer.Generate(cfg, replayer.Traffic{
			Duration: traceLength, Rate: traceRate, LargeShare: largeShare, LargeAccounts: spec.largeAccounts, RepeatShare: repeatShare,
			ServiceShare: serviceShare,
		}, seed+uint64(i)), nil
	}
	return nil, fmt.Errorf("demonstrator: no example is named %q", example)
}

// loadTrace reads the recorded trace of an example if seed is RecordedSeed, and generates one otherwise.
func loadTrace(example string, seed uint64) (*replayer.Trace, error) {
	if seed != RecordedSeed {
		return Trace(example, seed)
	}
	text, err := examples.Files.ReadFile(example + "/trace.ndjson")
	if err != nil {
		return nil, fmt.Errorf("demonstrator: read trace: %w", err)
	}
	return replayer.Read(bytes.NewReader(text))
}

// Run plays the traces of both example deployments at the same time and writes progress lines to progress. The report is
// valid if the error is nil or ErrInvariant.
func Run(ctx context.Context, progress io.Writer, seed uint64) (*Report, error) {
	out := &lineWriter{w: progress}
	specs := exampleSpecs()
	reports := make([]*Report, len(specs))
	g, ctx := errgroup.WithContext(ctx)
	for i, spec := range specs {
		g.Go(func() error {
			r, err := playExample(ctx, out, spec, seed)
			if err != nil {
				return fmt.Errorf("demonstrator: %s: %w", spec.name, err)
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

// lineWriter serialises the progress lines of deployments that run at the same time.
type lineWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lineWriter) printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.w, format, args...)
}

// loadExample reads the questionnaire answers of an example and derives its configuration.
func loadExample(example string) (*questioner.Answers, *configurer.Configuration, error) {
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

func playExample(ctx context.Context, out *lineWriter, spec deploymentSpec, seed uint64) (*Report, error) {
	answers, cfg, err := loadExample(spec.name)
	if err != nil {
		return nil, err
	}
	trace, err := loadTrace(spec.name, seed)
	if err != nil {
		return nil, err
	}
	out.printf("%s: starting %d engines, %d applications, %d entries\n", spec.name, spec.engines, spec.services, spec.dataCentres)
	d, err := startDeployment(ctx, spec, cfg, seed)
	if err != nil {
		return nil, err
	}
	var done atomic.Int64
	player := replayer.NewPlayer(d.callers(),
		func(a identifier.ClientAccount) string { return questioner.ExampleKey(answers.Team, string(a)) },
		replayer.WithMaxInFlight(maxInFlight),
		replayer.WithProgress(func(int) {
			if n := done.Add(1); n%requestsPerProgressLine == 0 {
				out.printf("%s: %d of %d requests\n", spec.name, n, len(trace.Entries))
			}
		}))
	results := player.Play(ctx, trace)
	if err := errors.Join(ctx.Err(), d.stop()); err != nil {
		return nil, err
	}
	out.printf("%s: %d requests, all processes drained\n", spec.name, len(trace.Entries))
	return assess(d, trace, results)
}

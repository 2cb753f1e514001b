package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/examples"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/questioner"
	"github.com/siskinfront/siskinfront/replayer"
)

const (
	// traceLength is the time over which a trace is played.
	traceLength = 12 * time.Second
	// traceRate is the mean number of requests per second of a trace.
	traceRate = 50
	// largeShare is the share of requests that the large client accounts send.
	largeShare = 0.6
	// repeatShare is the share of requests that repeat an earlier non-idempotent one with its key.
	repeatShare = 0.05
	// progressStep is the number of requests between two progress lines.
	progressStep = 150
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

// Run plays a trace of both deployments, writes progress and one row per rank to w, and returns ErrInvariant if a
// promise was broken.
func Run(ctx context.Context, w io.Writer, seed uint64) error {
	var total report
	for i, sh := range shapes() {
		r, err := play(ctx, w, sh, seed+uint64(i))
		if err != nil {
			return fmt.Errorf("demonstrator: %s: %w", sh.name, err)
		}
		total.merge(r)
	}
	if err := total.write(w); err != nil {
		return err
	}
	if len(total.violations) > 0 {
		return fmt.Errorf("%w: %d violations", ErrInvariant, len(total.violations))
	}
	return nil
}

// team returns the answers of a deployment and the configuration that follows from them.
func team(sh shape) (*questioner.Answers, *configurer.Configuration, error) {
	text, err := examples.Files.ReadFile(sh.name + "/answers.yaml")
	if err != nil {
		return nil, nil, fmt.Errorf("demonstrator: read answers: %w", err)
	}
	answers, err := questioner.Parse(sh.name+"/answers.yaml", text)
	if err != nil {
		return nil, nil, err
	}
	cfg, err := questioner.Configuration(answers)
	return answers, cfg, err
}

func play(ctx context.Context, w io.Writer, sh shape, seed uint64) (*report, error) {
	answers, cfg, err := team(sh)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(w, "%s: starting %d engines, %d applications, %d entries\n", sh.name, sh.engines, sh.services, sh.dataCentres)
	d, err := start(ctx, sh, cfg, seed)
	if err != nil {
		return nil, err
	}
	trace := replayer.Generate(cfg, replayer.Shape{
		Length: traceLength, Rate: traceRate, LargeShare: largeShare, Large: sh.largeAccounts, RepeatShare: repeatShare,
	}, seed)
	var done atomic.Int64
	player := replayer.NewPlayer(d.callers(),
		func(a identifier.ClientAccount) string { return questioner.ExampleKey(answers.Team, string(a)) },
		replayer.WithDone(func(int) {
			if n := done.Add(1); n%progressStep == 0 {
				fmt.Fprintf(w, "%s: %d of %d requests\n", sh.name, n, len(trace.Entries))
			}
		}))
	results := player.Play(ctx, trace)
	if err := errors.Join(ctx.Err(), d.stop()); err != nil {
		return nil, err
	}
	fmt.Fprintf(w, "%s: %d requests, all processes drained\n", sh.name, len(trace.Entries))
	return assess(d, trace, results)
}

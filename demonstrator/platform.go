package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// readHeaderTimeout bounds the reading of request headers on the listeners of the fakes.
	readHeaderTimeout = 5 * time.Second
	// instanceListLag is how long a change stays invisible in the platform's instance list.
	instanceListLag = 300 * time.Millisecond
	// ratingDelay is how long the rating of an answer takes.
	ratingDelay = 200 * time.Millisecond
	// ratingNoise is the largest absolute error of a rating, whose error is uniformly distributed.
	ratingNoise = 0.1
)

// loopback returns the loopback address with port 0, with which a listener takes any free port.
func loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

// platform holds the fake platform services of one deployment and all of its HTTP servers.
type platform struct {
	table     *platformfaker.Table
	objects   *platformfaker.Objects
	ratings   *platformfaker.Ratings
	instances *platformfaker.Instances
	addresses configurer.PlatformSettings
	servers   []*http.Server
}

// newPlatform starts the fake platform services; quality returns the true quality of an answer.
func newPlatform(ctx context.Context, quality func(storer.Rating) float64, seed uint64) (*platform, error) {
	p := &platform{
		table: platformfaker.NewTable(), objects: platformfaker.NewObjects(),
		ratings:   platformfaker.NewRatings(time.Now, rand.New(rand.NewPCG(seed, seed))),
		instances: platformfaker.NewInstances(time.Now),
	}
	p.ratings.Quality, p.ratings.Noise = quality, ratingNoise
	p.ratings.RatingDelay = func() time.Duration { return ratingDelay }
	p.instances.Lag = instanceListLag
	weights := platformfaker.NewWeights(&platformfaker.Faults{}, 1<<10, nil)
	for _, x := range []struct {
		h http.Handler
		a *netip.AddrPort
	}{
		{p.table, &p.addresses.Table}, {p.objects, &p.addresses.Objects}, {weights, &p.addresses.Weights},
		{p.ratings, &p.addresses.Ratings}, {p.instances, &p.addresses.Instances},
	} {
		a, err := p.serve(ctx, x.h)
		if err != nil {
			return nil, errors.Join(err, p.stop())
		}
		*x.a = a
	}
	return p, nil
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (p *platform) serve(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", loopback().String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("demonstrator: listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	p.servers = append(p.servers, server)
	go func() {
		// Serve always returns an error; ErrServerClosed is the expected one.
		_ = server.Serve(l)
	}()
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

func (p *platform) stop() error {
	errs := make([]error, 0, len(p.servers))
	for _, s := range p.servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// trueQuality takes the configured prior quality of a version as the true quality of its answers, which entries have to
// learn from noisy ratings.
func trueQuality(cfg *configurer.Configuration) func(storer.Rating) float64 {
	return func(r storer.Rating) float64 {
		if v := cfg.Version(r.Target); v != nil {
			return v.PriorQuality
		}
		return 0
	}
}

// targets lists the versions of a configuration that may receive work.
func targets(cfg *configurer.Configuration) []identifier.Target {
	var list []identifier.Target
	for _, m := range cfg.Models {
		for _, v := range m.Versions {
			if v.State != configurer.VersionWithdrawn {
				list = append(list, identifier.Target{Model: m.Name, Version: v.Name})
			}
		}
	}
	return list
}

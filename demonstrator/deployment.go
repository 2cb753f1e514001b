package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/siskinfront/siskinfront/agentserver"
	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/enginefaker"
	"github.com/siskinfront/siskinfront/entryserver"
	"github.com/siskinfront/siskinfront/identifier"
)

// shutdownTime bounds the graceful shutdown of one listener of the demo.
const shutdownTime = 5 * time.Second

// deployment is one entry with its agents and engines.
type deployment struct {
	Entry     netip.AddrPort
	upstreams []entryserver.Upstream
	next      atomic.Uint64
	servers   []*http.Server
}

// start brings up n engines with their agents, and one entry.
func start(ctx context.Context, cfg *configurer.Configuration, n int, record func(entryserver.Bill)) (*deployment, error) {
	d := &deployment{}
	for i := range n {
		engine, err := d.listen(ctx, enginefaker.New(enginefaker.WithInterval(time.Millisecond)))
		if err != nil {
			return nil, errors.Join(err, d.stop())
		}
		name := identifier.Upstream(fmt.Sprintf("upstream-%d", i+1))
		agent, err := d.listen(ctx, agentserver.New(name, engine))
		if err != nil {
			return nil, errors.Join(err, d.stop())
		}
		d.upstreams = append(d.upstreams, entryserver.Upstream{Name: name, Agent: agent})
	}
	entry, err := d.listen(ctx, entryserver.New(
		entryserver.WithConfiguration(func() *configurer.Configuration { return cfg }),
		entryserver.WithChoose(d.choose),
		entryserver.WithRecord(record),
	))
	if err != nil {
		return nil, errors.Join(err, d.stop())
	}
	d.Entry = entry
	return d, nil
}

// choose takes the upstreams in turn.
func (d *deployment) choose(context.Context, entryserver.Choice) (entryserver.Upstream, error) {
	return d.upstreams[d.next.Add(1)%uint64(len(d.upstreams))], nil
}

func (d *deployment) listen(ctx context.Context, h http.Handler) (netip.AddrPort, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("demonstrator: listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: shutdownTime}
	d.servers = append(d.servers, server)
	go func() {
		// Serve always returns an error; ErrServerClosed is the expected one.
		_ = server.Serve(l)
	}()
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

// stop shuts every server down, the entry first.
func (d *deployment) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	var errs []error
	for i := len(d.servers) - 1; i >= 0; i-- {
		errs = append(errs, d.servers[i].Shutdown(ctx))
	}
	return errors.Join(errs...)
}

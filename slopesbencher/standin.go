package slopesbencher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/siskinfront/siskinfront/assembler"
	"github.com/siskinfront/siskinfront/committer"
	"github.com/siskinfront/siskinfront/describer"
	"github.com/siskinfront/siskinfront/detector"
	"github.com/siskinfront/siskinfront/distributor"
	"github.com/siskinfront/siskinfront/enginefaker"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/messenger"
	"github.com/siskinfront/siskinfront/observer"
	"github.com/siskinfront/siskinfront/platformfaker"
	"github.com/siskinfront/siskinfront/storer"
	"github.com/siskinfront/siskinfront/streamer"
)

// standIns are the platform's services and the other members for one process under measurement, all on loopback.
type standIns struct {
	ctx context.Context //nolint:containedctx // The stand-ins end with the measurement.
	// number selects the loopback address; processes that run at the same time have different ones.
	number           int
	dir              string
	platformSettings string
	engine           netip.AddrPort
	servers          []*httptest.Server
	group            errgroup.Group
}

func (s *standIns) serve(h http.Handler) netip.AddrPort {
	server := httptest.NewServer(h)
	s.servers = append(s.servers, server)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// start starts the platform's services with a committed configuration, and n members that answer control calls.
func (s *standIns) start(n, accounts int) error {
	dir, err := os.MkdirTemp("", "siskinfront-resident")
	if err != nil {
		return fmt.Errorf("slopesbencher: %w", err)
	}
	s.dir = dir
	s.engine = s.serve(enginefaker.New())
	instances := platformfaker.NewInstances(time.Now)
	table := s.serve(platformfaker.NewTable())
	s.platformSettings = fmt.Sprintf("  table: %s\n", table)
	for _, x := range []struct {
		name    string
		handler http.Handler
	}{
		{"objects", platformfaker.NewObjects()}, {"ratings", platformfaker.NewRatings(time.Now, rand.New(rand.NewPCG(1, 1)))},
		{"instances", instances}, {"weights", platformfaker.NewWeights(&platformfaker.Faults{}, 1<<10, nil)},
	} {
		s.platformSettings += fmt.Sprintf("  %s: %s\n", x.name, s.serve(x.handler))
	}
	cfg := configuration(accounts)
	u := update(cfg)
	if _, err := committer.Commit(s.ctx, storer.NewTable(table), 0, cfg, "bench"); err != nil {
		return fmt.Errorf("slopesbencher: commit configuration: %w", err)
	}
	list := members(n)
	for i := range list {
		// The share of entries is that of the target, about one process in eight.
		if float64(i) < float64(n)*entries/(entries+workers) {
			list[i].Role = string(detector.RoleEntry)
		}
		l, err := (&net.ListenConfig{}).Listen(s.ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("slopesbencher: listen for a member: %w", err)
		}
		list[i].ControlAddress = netip.MustParseAddrPort(l.Addr().String())
		list[i].DataAddress = list[i].ControlAddress
		s.group.Go(func() error { return messenger.Serve(s.ctx, l, peerMux(i, u)) })
	}
	instances.Set(list)
	return nil
}

// peerMux returns the handlers of a member that answers probes as an idle agent, serves the configuration u and discards
// notifications.
func peerMux(i int, u distributor.Update) *messenger.Mux {
	mux := messenger.NewMux()
	load := func(context.Context, messenger.Peer, assembler.Empty) (streamer.Load, error) {
		return streamer.Load{}, nil
	}
	messenger.Handle(mux, "probe", load)
	messenger.Handle(mux, "describe", func(context.Context, messenger.Peer, assembler.Empty) (describer.Description, error) {
		return describer.Description{
			Upstream: identifier.Upstream(fmt.Sprintf("upstream-%04d", i)), Targets: []identifier.Target{target(i), target(i + 1)}, MaxVersions: 4,
		}, nil
	})
	messenger.Handle(mux, "config-since", func(context.Context, messenger.Peer, assembler.ConfigSinceRequest) (distributor.Update, error) {
		// The process under measurement may not be a reader of the table; then it gets its configuration from here.
		u := u
		u.ConfirmedAt = time.Now()
		return u, nil
	})
	handleAndDiscard[detector.Message](mux, "heartbeat")
	handleAndDiscard[distributor.Update](mux, "config-changes")
	handleAndDiscard[observer.Batch](mux, "observations")
	handleAndDiscard[assembler.DurableBills](mux, "bills-durable")
	return mux
}

// handleAndDiscard registers a handler that accepts the calls of a method and ignores them.
func handleAndDiscard[P any](mux *messenger.Mux, method string) {
	messenger.Handle(mux, method, func(context.Context, messenger.Peer, P) (assembler.Empty, error) { return assembler.Empty{}, nil })
}

// writeSettings writes the settings file of the process and returns its path and the debug address.
func (s *standIns) writeSettings(role string) (debug netip.AddrPort, file string, err error) {
	var text strings.Builder
	fmt.Fprintf(&text, "instance: %s-1\ndata-centre: r-1-1\nregion: r-1\nplatform:\n%s", role, s.platformSettings)
	listeners := []string{"control", "debug", "caller", "admin"}
	if role == "entry" {
		text.WriteString("data-centres: [r-1-1]\n")
	} else {
		listeners = []string{"control", "debug", "data"}
		fmt.Fprintf(&text, "upstream: {name: upstream-1, address: %s, slots: 8, versions: 4}\n", s.engine)
	}
	addresses, err := s.freeAddresses(len(listeners))
	if err != nil {
		return debug, "", err
	}
	for i, name := range listeners {
		if name == "debug" {
			debug = addresses[i]
		}
		fmt.Fprintf(&text, "%s-address: %s\n", name, addresses[i])
	}
	file = filepath.Join(s.dir, role+".yaml")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		return debug, "", fmt.Errorf("slopesbencher: write settings: %w", err)
	}
	return debug, file, nil
}

// freeAddresses returns n unused addresses on a loopback host.
func (s *standIns) freeAddresses(n int) (list []netip.AddrPort, err error) {
	host := fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%128, os.Getpid()/128%250, s.number)
	for range n {
		l, err := (&net.ListenConfig{}).Listen(s.ctx, "tcp", host)
		if err != nil {
			return nil, fmt.Errorf("slopesbencher: find a free address: %w", err)
		}
		// All listeners stay open until the function returns, so that the addresses differ.
		defer func() { err = errors.Join(err, l.Close()) }()
		list = append(list, netip.MustParseAddrPort(l.Addr().String()))
	}
	return list, nil
}

// close stops the stand-ins; ctx must have been canceled before.
func (s *standIns) close() error {
	for _, server := range s.servers {
		server.CloseClientConnections()
		server.Close()
	}
	return errors.Join(s.group.Wait(), os.RemoveAll(s.dir))
}

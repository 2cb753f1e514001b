package assembler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/describer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/leaser"
	"github.com/siskinfront/siskinfront/placer"
	"github.com/siskinfront/siskinfront/storer"
)

const (
	// placementInterval is the time between two plans; an engine takes longer than that to load a version.
	placementInterval = 10 * time.Second
	// orderTime bounds one order; the agent replies within replyTime.
	orderTime = 8 * time.Second
	// replyTime is the time after which an agent replies although a command still runs, because a control call is
	// handled for at most 10 s and an unload waits up to 30 s for the runs of its version.
	replyTime = 5 * time.Second
	// commandTime bounds one command at the agent: 30 s of waiting for runs and 30 s at the engine.
	commandTime = 65 * time.Second
	// maxCommands bounds the commands that an agent has in progress.
	maxCommands = 4
)

func placementLease(d identifier.DataCentre) string {
	return "placement/" + string(d)
}

// place plans which versions the engines of the data centre have loaded while this process holds the lease for it.
func (e *Entry) place(ctx context.Context) error {
	return e.keepLease(ctx, placementLease(e.settings.DataCentre), placementInterval, func(ctx context.Context, l *leaser.Lease) {
		(&placement{
			configuration: e.distributor.Current, engines: e.directory.Engines, use: e.use.Recent, valid: l.Valid,
			token: l.Token(), order: e.order,
		}).step(ctx)
	})
}

// placement is one step of a lease holder.
type placement struct {
	configuration func() *configurer.Configuration
	engines       func() []placer.Engine
	use           func() map[identifier.Target]float64
	valid         func() bool
	token         uint64
	order         func(context.Context, placer.Order, uint64) error
}

// step sends the orders of one plan and waits for them; the next plan repeats what failed.
func (p *placement) step(ctx context.Context) {
	cfg := p.configuration()
	if cfg == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	var g errgroup.Group
	for _, o := range placer.Plan(cfg, p.engines(), p.use()) {
		if !p.valid() {
			break
		}
		g.Go(func() error { return p.order(ctx, o, p.token) })
	}
	_ = g.Wait()
}

// order sends one order to the agent of its engine.
func (e *Entry) order(ctx context.Context, o placer.Order, token uint64) error {
	name, ok := e.directory.AgentOf(o.Upstream)
	if !ok {
		return fmt.Errorf("%w: agent of %s", errUnknownPeer, o.Upstream)
	}
	body, err := json.Marshal(engineOrder{Token: token, Target: o.Target.String()})
	if err != nil {
		return fmt.Errorf("assembler: encode order for %s: %w", o.Upstream, err)
	}
	_, err = ask[EngineCommand, None](ctx, e.peers, name, methodCommand, EngineCommand{Name: string(o.Action), Body: body})
	e.directory.Refresh(o.Upstream)
	e.log.InfoContext(ctx, "placement order", "upstream", o.Upstream, "action", o.Action, "target", o.Target.String(),
		"reason", o.Reason, "error", err)
	return err
}

// engineOrder is the body of a control call of the engine.
type engineOrder struct {
	Token  uint64 `json:"token"`
	Target string `json:"target"`
}

var (
	errEngineRefused = errors.New("assembler: engine refused the command")
	errCommandRuns   = errors.New("assembler: command still runs")
	errManyCommands  = errors.New("assembler: too many commands in progress")
)

// commands runs the commands of an agent, which may take longer than a control call.
type commands struct {
	running errgroup.Group
	pass    func(context.Context, EngineCommand) error
}

func newCommands(pass func(context.Context, EngineCommand) error) *commands {
	c := &commands{pass: pass}
	c.running.SetLimit(maxCommands)
	return c
}

// run starts a command and waits for its result for at most replyTime; the command goes on after that.
func (c *commands) run(ctx context.Context, x EngineCommand) error {
	done := make(chan error, 1)
	started := c.running.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commandTime)
		defer cancel()
		done <- c.pass(ctx, x)
		return nil
	})
	if !started {
		return errManyCommands
	}
	t := time.NewTimer(replyTime)
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		return errCommandRuns
	}
}

// command passes a command to the engine and looks at once what it has loaded.
func (a *Agent) command(ctx context.Context, c EngineCommand) error {
	reply, err := a.server.Command(ctx, c.Name, c.Body)
	if err != nil {
		return err
	}
	if reply.Status >= 300 {
		return fmt.Errorf("%w: %s: status %d", errEngineRefused, c.Name, reply.Status)
	}
	a.engine.Poll(ctx)
	return nil
}

// commandMark returns the last fencing token of the placement lease, below which commands are stale.
func (a *Agent) commandMark(ctx context.Context) (uint64, error) {
	row, err := a.table.Get(ctx, "lease/"+placementLease(a.settings.DataCentre))
	if errors.Is(err, storer.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var r leaser.Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return 0, fmt.Errorf("assembler: decode %s: %w", row.Key, err)
	}
	return r.Token, nil
}

// targets returns the loaded versions that take new orders and those that are being unloaded.
func (a *Agent) targets() (serving, unloading []identifier.Target) {
	for _, t := range a.engine.Targets() {
		if a.server.IsUnloading(t) {
			unloading = append(unloading, t)
		} else {
			serving = append(serving, t)
		}
	}
	return serving, unloading
}

// describe returns what entries need to know about the upstream.
func (a *Agent) describe() describer.Description {
	u := &a.settings.Upstream
	serving, unloading := a.targets()
	d := describer.Description{Upstream: u.Name, Service: u.Service, Targets: serving, Unloading: unloading, Load: a.currentLoad()}
	if u.Service == "" && a.engine.TargetsKnown() {
		d.MaxVersions = u.MaxVersions
	}
	return d
}

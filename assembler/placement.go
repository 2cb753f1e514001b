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
	// placementInterval is the time between two placement plans; an engine takes longer than that to load a version.
	placementInterval = 10 * time.Second
	// orderTimeout bounds the orders of one plan; the agent replies within commandReplyTimeout.
	orderTimeout = 8 * time.Second
	// commandReplyTimeout is the time after which an agent replies although the command still runs. The handler of a control
	// call may take at most 10 s, but an unload waits up to 30 s for the runs of its version.
	commandReplyTimeout = 5 * time.Second
	// commandTimeout bounds one command at the agent: 30 s of waiting for runs, 30 s at the engine and a margin.
	commandTimeout = 65 * time.Second
	// maxCommands bounds the commands that an agent has in progress.
	maxCommands = 4
)

func placementLease(d identifier.DataCentre) string {
	return "placement/" + string(d)
}

// runPlacement plans which versions the engines of the data centre load, while this process holds the placement lease.
func (e *Entry) runPlacement(ctx context.Context) error {
	return e.runWithLease(ctx, placementLease(e.settings.DataCentre), placementInterval, func(ctx context.Context, l *leaser.Lease) {
		(&placement{
			configuration: e.distributor.Current, engines: e.directory.Engines, usage: e.usage.Recent, leaseValid: l.Valid,
			fencingToken: l.Token(), sendOrder: e.sendOrder,
		}).step(ctx)
	})
}

// placement has the inputs of one planning step of the lease holder and the function that sends its orders.
type placement struct {
	configuration func() *configurer.Configuration
	engines       func() []placer.Engine
	usage         func() map[identifier.Target]float64
	leaseValid    func() bool
	fencingToken  uint64
	sendOrder     func(context.Context, placer.Order, uint64) error
}

// step sends the orders of one plan and waits for the replies; the next plan repeats failed orders.
func (p *placement) step(ctx context.Context) {
	cfg := p.configuration()
	if cfg == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var g errgroup.Group
	for _, order := range placer.Plan(cfg, p.engines(), p.usage()) {
		if !p.leaseValid() {
			break
		}
		g.Go(func() error { return p.sendOrder(ctx, order, p.fencingToken) })
	}
	_ = g.Wait()
}

// sendOrder sends one order to the agent of the upstream, with the fencing token of the lease.
func (e *Entry) sendOrder(ctx context.Context, order placer.Order, token uint64) error {
	agent, ok := e.directory.AgentOf(order.Upstream)
	if !ok {
		return fmt.Errorf("%w: agent of %s", errUnknownPeer, order.Upstream)
	}
	body, err := json.Marshal(engineOrder{Token: token, Target: order.Target.String()})
	if err != nil {
		return fmt.Errorf("assembler: encode order for %s: %w", order.Upstream, err)
	}
	_, err = callPeer[EngineCommand, Empty](ctx, e.peers, agent, methodCommand, EngineCommand{Name: string(order.Action), Body: body})
	e.directory.Refresh(order.Upstream)
	e.log.InfoContext(ctx, "placement order", "upstream", order.Upstream, "action", order.Action, "target", order.Target.String(),
		"reason", order.Reason, "error", err)
	return err
}

// engineOrder is the body of a control call to the engine.
type engineOrder struct {
	Token  uint64 `json:"token"`
	Target string `json:"target"`
}

var (
	errEngineRefused   = errors.New("assembler: engine refused the command")
	errCommandRunning  = errors.New("assembler: command still runs")
	errTooManyCommands = errors.New("assembler: too many commands in progress")
)

// commandRunner executes engine commands at an agent, which may take longer than the control calls that request them.
type commandRunner struct {
	running errgroup.Group
	execute func(context.Context, EngineCommand) error
}

func newCommandRunner(execute func(context.Context, EngineCommand) error) *commandRunner {
	c := &commandRunner{execute: execute}
	c.running.SetLimit(maxCommands)
	return c
}

// run starts a command and waits for its result up to commandReplyTimeout; after that the command continues in the background.
func (c *commandRunner) run(ctx context.Context, command EngineCommand) error {
	done := make(chan error, 1)
	started := c.running.TryGo(func() error {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commandTimeout)
		defer cancel()
		done <- c.execute(ctx, command)
		return nil
	})
	if !started {
		return errTooManyCommands
	}
	t := time.NewTimer(commandReplyTimeout)
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		return errCommandRunning
	}
}

// runCommand sends a command to the engine and then polls at once which versions the engine has loaded.
func (a *Agent) runCommand(ctx context.Context, c EngineCommand) error {
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

// placementFencingToken returns the latest fencing token of the placement lease; a command with a lower token is stale.
func (a *Agent) placementFencingToken(ctx context.Context) (uint64, error) {
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

// describe returns the description of the upstream that entries fetch from its agent.
func (a *Agent) describe() describer.Description {
	u := &a.settings.Upstream
	serving, unloading := a.targets()
	d := describer.Description{Upstream: u.Name, Service: u.Service, Targets: serving, Unloading: unloading, Load: a.currentLoad()}
	if u.Service == "" && a.engine.TargetsKnown() {
		d.MaxVersions = u.MaxVersions
	}
	return d
}

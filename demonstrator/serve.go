package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/questioner"
)

const (
	// defaultExample is the example that Serve runs if it is given no answers.
	defaultExample = "solas-sraide"
	// servedDataCentres and servedEngines are the size of a deployment that Serve runs from a team's own answers.
	servedDataCentres = 2
	servedEngines     = 4
)

// Serve runs one deployment until ctx ends and then drains it. Once requests are served, it writes addresses, keys, a model
// and a kind of work to w, one "name: value" line each. Without answers it runs the first example.
func Serve(ctx context.Context, w io.Writer, answers *questioner.Answers, seed uint64) error {
	spec := exampleSpecs()[0]
	if answers == nil {
		var err error
		if answers, _, err = loadExample(defaultExample); err != nil {
			return err
		}
	} else {
		spec = deploymentSpec{
			name: answers.Team, region: answers.Region, dataCentres: servedDataCentres, engines: servedEngines,
			services: len(answers.Services),
		}
	}
	cfg, err := questioner.Configuration(answers)
	if err != nil {
		return err
	}
	info, err := chooseConnectionInfo(answers, cfg)
	if err != nil {
		return err
	}
	d, err := startDeployment(ctx, spec, cfg, seed)
	if ctx.Err() != nil {
		// ctx ended during the start, which is a regular stop.
		err = nil
	}
	if err != nil || d == nil {
		return err
	}
	a := d.entries[0].Addresses()
	info.write(w, a.Caller.String(), a.Admin.String())
	<-ctx.Done()
	return d.stop()
}

// connectionInfo holds what a caller and an operator need for their first requests.
type connectionInfo struct {
	callerKey, secondCallerKey, operatorKey string
	model                                   identifier.Model
	workKind                                identifier.WorkKind
}

func (in *connectionInfo) write(w io.Writer, caller, admin string) {
	fmt.Fprintf(w, "caller-address: %s\nadmin-address: %s\ncaller-key: %s\nsecond-caller-key: %s\noperator-key: %s\n"+
		"model: %s\nwork-kind: %s\n", caller, admin, in.callerKey, in.secondCallerKey, in.operatorKey, in.model, in.workKind)
}

// chooseConnectionInfo chooses the model and the idempotent kind of work that most client accounts may use, and the
// operator with the most rights. It takes the keys of two of these accounts, so that requests of two callers can be
// compared; with a single account both keys are the same.
func chooseConnectionInfo(answers *questioner.Answers, cfg *configurer.Configuration) (*connectionInfo, error) {
	if !answers.UseExampleKeys {
		return nil, errors.New("demonstrator: the answers have no example keys, so no caller's key is known; set example-keys: true")
	}
	info := &connectionInfo{}
	maxAccounts := 0
	for i := range cfg.WorkKinds {
		kind := &cfg.WorkKinds[i]
		if kind.NonIdempotent {
			continue
		}
		for j := range cfg.Models {
			model := &cfg.Models[j]
			if accounts := accountsAllowed(cfg, kind.Name, model); len(accounts) > maxAccounts {
				maxAccounts, info.model, info.workKind = len(accounts), model.Name, kind.Name
				info.callerKey = questioner.ExampleKey(answers.Team, string(accounts[0]))
				info.secondCallerKey = questioner.ExampleKey(answers.Team, string(accounts[min(1, len(accounts)-1)]))
			}
		}
	}
	if maxAccounts == 0 {
		return nil, errors.New("demonstrator: no client account may use a model for an idempotent kind of work")
	}
	for _, role := range []configurer.Role{configurer.RoleAdministrator, configurer.RoleOperator, configurer.RoleViewer} {
		i := slices.IndexFunc(cfg.Operators, func(o configurer.Operator) bool { return o.Role == role })
		if i >= 0 {
			info.operatorKey = questioner.ExampleOperatorKey(answers.Team, cfg.Operators[i].Name)
			return info, nil
		}
	}
	return nil, errors.New("demonstrator: the answers contain no operator with a known role")
}

// accountsAllowed lists the client accounts that may use a serving version of a model for a kind of work.
func accountsAllowed(cfg *configurer.Configuration, kind identifier.WorkKind, m *configurer.Model) []identifier.ClientAccount {
	var names []identifier.ClientAccount
	for i := range cfg.ClientAccounts {
		account := &cfg.ClientAccounts[i]
		if !slices.Contains(account.WorkKinds, kind) {
			continue
		}
		if slices.ContainsFunc(m.Versions, func(v configurer.Version) bool {
			return v.State == configurer.VersionServing && account.Allows(identifier.Target{Model: m.Name, Version: v.Name})
		}) {
			names = append(names, account.Name)
		}
	}
	return names
}

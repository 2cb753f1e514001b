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
	// servedExample is the example that Serve runs without answers.
	servedExample = "solas-sraide"
	// The size of a deployment that Serve runs from a team's own answers.
	servedDataCentres = 2
	servedEngines     = 4
)

// Serve runs one deployment until ctx ends and then drains it. It writes one name: value line for each thing that a
// caller needs to w once requests are served. Without answers the deployment is that of the first example.
func Serve(ctx context.Context, w io.Writer, answers *questioner.Answers, seed uint64) error {
	sh := shapes()[0]
	if answers == nil {
		var err error
		if answers, _, err = team(servedExample); err != nil {
			return err
		}
	} else {
		sh = shape{
			name: answers.Team, region: answers.Region, dataCentres: servedDataCentres, engines: servedEngines,
			services: len(answers.Services),
		}
	}
	cfg, err := questioner.Configuration(answers)
	if err != nil {
		return err
	}
	in, err := introduce(answers, cfg)
	if err != nil {
		return err
	}
	d, err := start(ctx, sh, cfg, seed)
	if ctx.Err() != nil {
		// The request to stop came during the start.
		err = nil
	}
	if err != nil || d == nil {
		return err
	}
	a := d.entries[0].Addresses()
	in.write(w, a.Caller.String(), a.Admin.String())
	<-ctx.Done()
	return d.stop()
}

// introduction is what a first caller and a first operator need.
type introduction struct {
	callerKey, secondCallerKey, operatorKey string
	model                                   identifier.Model
	workKind                                identifier.WorkKind
}

func (in *introduction) write(w io.Writer, caller, admin string) {
	fmt.Fprintf(w, "caller-address: %s\nadmin-address: %s\ncaller-key: %s\nsecond-caller-key: %s\noperator-key: %s\n"+
		"model: %s\nwork-kind: %s\n", caller, admin, in.callerKey, in.secondCallerKey, in.operatorKey, in.model, in.workKind)
}

// introduce picks a model and an idempotent kind of work that two client accounts may use, so that requests of both
// callers can be compared, and the operator with the most rights. A team with one account has one caller.
func introduce(answers *questioner.Answers, cfg *configurer.Configuration) (*introduction, error) {
	if !answers.UseExampleKeys {
		return nil, errors.New("demonstrator: the answers have no example keys, so no caller's key is known; set example-keys: true")
	}
	in := &introduction{}
	most := 0
	for i := range cfg.WorkKinds {
		kind := &cfg.WorkKinds[i]
		if kind.NonIdempotent {
			continue
		}
		for j := range cfg.Models {
			model := &cfg.Models[j]
			if accounts := callersOf(cfg, kind.Name, model); len(accounts) > most {
				most, in.model, in.workKind = len(accounts), model.Name, kind.Name
				in.callerKey = questioner.ExampleKey(answers.Team, string(accounts[0]))
				in.secondCallerKey = questioner.ExampleKey(answers.Team, string(accounts[min(1, len(accounts)-1)]))
			}
		}
	}
	if most == 0 {
		return nil, errors.New("demonstrator: no client account may use a model for an idempotent kind of work")
	}
	for _, role := range []configurer.Role{configurer.RoleAdministrator, configurer.RoleOperator, configurer.RoleViewer} {
		i := slices.IndexFunc(cfg.Operators, func(o configurer.Operator) bool { return o.Role == role })
		if i >= 0 {
			in.operatorKey = questioner.ExampleOperatorKey(answers.Team, cfg.Operators[i].Name)
			return in, nil
		}
	}
	return nil, errors.New("demonstrator: the answers name no operator")
}

// callersOf lists the client accounts that may use a serving version of a model for a kind of work.
func callersOf(cfg *configurer.Configuration, kind identifier.WorkKind, m *configurer.Model) []identifier.ClientAccount {
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

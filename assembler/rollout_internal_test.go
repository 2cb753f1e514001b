package assembler

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/promoter"
)

// Guards against a roll-out step that modifies the configuration in force before or without its commit, which is also a data
// race. This happens when the copy shares its lists of versions with the original.
func TestApplyChangesKeepsConfigurationInForce(t *testing.T) {
	target := identifier.Target{Model: "finch", Version: "v2"}
	cfg := &configurer.Configuration{Revision: 7, Models: []configurer.Model{{Name: "finch", Versions: []configurer.Version{
		{Name: "v1", State: configurer.VersionServing}, {Name: "v2", State: configurer.VersionCandidate, Exposure: 0.1},
	}}}}
	next := applyChanges(cfg, []promoter.Change{
		{Target: target, State: configurer.VersionWithdrawn},
		{Target: identifier.Target{Model: "finch", Version: "gone"}, State: configurer.VersionServing},
	})
	must.Eq(t, configurer.VersionWithdrawn, next.Version(target).State)
	must.Eq(t, 0, next.Version(target).Exposure)
	must.Eq(t, configurer.VersionCandidate, cfg.Version(target).State)
	must.Eq(t, 0.1, cfg.Version(target).Exposure)
}

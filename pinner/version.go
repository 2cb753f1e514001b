package pinner

import (
	"github.com/cespare/xxhash/v2"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

func hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		// Writes to the digest never fail.
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// DeriveVersion returns the version of a model on which a session starts. In the order of the configuration, each candidate gets
// a part of the hash space equal to its exposure, and the first serving version gets the rest. It returns false if the client
// account may use none of them.
func DeriveVersion(
	cfg *configurer.Configuration, acc identifier.ClientAccount, s identifier.Session, model identifier.Model,
) (identifier.Target, bool) {
	m, account := cfg.Model(model), cfg.ClientAccount(acc)
	if m == nil || account == nil {
		return identifier.Target{}, false
	}
	point := float64(hash(string(acc), string(s), string(model))>>11) / (1 << 53)
	var serving identifier.Target
	for i := range m.Versions {
		v := &m.Versions[i]
		t := identifier.Target{Model: model, Version: v.Name}
		if !account.Allows(t) {
			continue
		}
		switch v.State {
		case configurer.VersionCandidate:
			if point < v.Exposure {
				return t, true
			}
			point -= v.Exposure
		case configurer.VersionServing:
			if serving.Version == "" {
				serving = t
			}
		}
	}
	return serving, serving.Version != ""
}

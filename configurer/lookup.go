package configurer

import (
	"slices"

	"github.com/siskinfront/siskinfront/identifier"
)

// ClientAccount returns the client account of that name, or nil.
func (c *Configuration) ClientAccount(name identifier.ClientAccount) *ClientAccount {
	for i := range c.ClientAccounts {
		if c.ClientAccounts[i].Name == name {
			return &c.ClientAccounts[i]
		}
	}
	return nil
}

// Model returns the model of that name, or nil.
func (c *Configuration) Model(name identifier.Model) *Model {
	for i := range c.Models {
		if c.Models[i].Name == name {
			return &c.Models[i]
		}
	}
	return nil
}

// Version returns the version that t names, or nil.
func (c *Configuration) Version(t identifier.Target) *Version {
	m := c.Model(t.Model)
	if m == nil {
		return nil
	}
	for i := range m.Versions {
		if m.Versions[i].Name == t.Version {
			return &m.Versions[i]
		}
	}
	return nil
}

// WorkKind returns the kind of work of that name, or nil.
func (c *Configuration) WorkKind(name identifier.WorkKind) *WorkKind {
	for i := range c.WorkKinds {
		if c.WorkKinds[i].Name == name {
			return &c.WorkKinds[i]
		}
	}
	return nil
}

// Service returns the plain service of that name, or nil.
func (c *Configuration) Service(name identifier.Service) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// RankIndex returns the index of a rank, where 0 is the most urgent, or -1 if there is no such rank.
func (c *Configuration) RankIndex(name identifier.Rank) int {
	return slices.IndexFunc(c.Ranks, func(r Rank) bool { return r.Name == name })
}

// Allows reports whether the account may use the target.
func (a *ClientAccount) Allows(t identifier.Target) bool {
	for _, allowed := range a.Allowed {
		if allowed.Model != t.Model {
			continue
		}
		if len(allowed.Versions) == 0 || slices.Contains(allowed.Versions, t.Version) {
			return true
		}
	}
	return false
}

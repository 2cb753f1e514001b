package administrator

import (
	"net/http"
	"slices"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// collection is a list of the configuration whose entries have names.
type collection[T any] struct {
	path string
	noun string
	role configurer.Role
	list func(c *configurer.Configuration) *[]T
	name func(*T) string
}

// find returns the index of an entry, or -1.
func (k collection[T]) find(c *configurer.Configuration, name string) int {
	return slices.IndexFunc(*k.list(c), func(v T) bool { return k.name(&v) == name })
}

// tag returns the ETag of an entry.
func (k collection[T]) tag(name string) func(*configurer.Configuration) (string, error) {
	return func(c *configurer.Configuration) (string, error) {
		i := k.find(c, name)
		if i < 0 {
			return absent, nil
		}
		return etag((*k.list(c))[i])
	}
}

// routes returns the operations of the collection: list, read, put and delete.
func (k collection[T]) routes(s *Server) []Route {
	one := k.path + "/{name}"
	return []Route{
		{Method: http.MethodGet, Path: k.path, MinRole: configurer.RoleViewer, Summary: "List every " + k.noun + ".", handler: k.all},
		{Method: http.MethodGet, Path: one, MinRole: configurer.RoleViewer, Summary: "Read one " + k.noun + ".", handler: k.get},
		{Method: http.MethodPut, Path: one, MinRole: k.role, RequiresIfMatch: true, Summary: "Create (If-Match: *) or replace one " + k.noun + ".",
			handler: func(c *call) (reply, error) { return k.put(s, c) }},
		{Method: http.MethodDelete, Path: one, MinRole: k.role, RequiresIfMatch: true, Summary: "Delete one " + k.noun + " that nothing refers to.",
			handler: func(c *call) (reply, error) { return k.remove(s, c) }},
	}
}

func (k collection[T]) all(c *call) (reply, error) {
	return reply{etag: revisionTag(c.current), body: configurer.ToGeneric(*k.list(c.current))}, nil
}

func (k collection[T]) get(c *call) (reply, error) {
	return k.reply(c.current, c.PathValue("name"), http.StatusOK)
}

func (k collection[T]) reply(cfg *configurer.Configuration, name string, status int) (reply, error) {
	i := k.find(cfg, name)
	if i < 0 {
		return reply{}, k.missing(name)
	}
	v := (*k.list(cfg))[i]
	tag, err := etag(v)
	return reply{status: status, etag: tag, body: configurer.ToGeneric(v)}, err
}

func (k collection[T]) missing(name string) error {
	return fail(http.StatusNotFound, "not-found", "there is no %s named %q", k.noun, name)
}

func (k collection[T]) put(s *Server, c *call) (reply, error) {
	name := c.PathValue("name")
	v, err := decode[T](c, false)
	if err != nil {
		return reply{}, err
	}
	if k.name(&v) != name {
		return reply{}, fail(http.StatusUnprocessableEntity, "name-differs", "the body names %q, the path %q", k.name(&v), name)
	}
	status := http.StatusOK
	next, err := s.change(c, edit{tag: k.tag(name), apply: func(cfg *configurer.Configuration) error {
		list := k.list(cfg)
		if i := k.find(cfg, name); i >= 0 {
			(*list)[i] = v
		} else {
			*list = append(*list, v)
			status = http.StatusCreated
		}
		return nil
	}})
	if err != nil {
		return reply{}, err
	}
	return k.reply(next, name, status)
}

func (k collection[T]) remove(s *Server, c *call) (reply, error) {
	name := c.PathValue("name")
	if k.find(c.current, name) < 0 {
		return reply{}, k.missing(name)
	}
	_, err := s.change(c, edit{tag: k.tag(name), apply: func(cfg *configurer.Configuration) error {
		list := k.list(cfg)
		i := k.find(cfg, name)
		if i < 0 {
			return k.missing(name)
		}
		*list = slices.Delete(*list, i, i+1)
		return nil
	}})
	return reply{}, err
}

// update changes one existing entry in place.
func (k collection[T]) update(s *Server, c *call, name string, f func(*T) error) (*configurer.Configuration, error) {
	if k.find(c.current, name) < 0 {
		return nil, k.missing(name)
	}
	return s.change(c, edit{tag: k.tag(name), apply: func(cfg *configurer.Configuration) error {
		i := k.find(cfg, name)
		if i < 0 {
			return k.missing(name)
		}
		return f(&(*k.list(cfg))[i])
	}})
}

var (
	accounts = collection[configurer.ClientAccount]{
		path: "/admin/v1/client-accounts", noun: "client account", role: configurer.RoleOperator,
		list: func(c *configurer.Configuration) *[]configurer.ClientAccount { return &c.ClientAccounts },
		name: func(a *configurer.ClientAccount) string { return string(a.Name) },
	}
	models = collection[configurer.Model]{
		path: "/admin/v1/models", noun: "model", role: configurer.RoleOperator,
		list: func(c *configurer.Configuration) *[]configurer.Model { return &c.Models },
		name: func(m *configurer.Model) string { return string(m.Name) },
	}
	workKinds = collection[configurer.WorkKind]{
		path: "/admin/v1/work-kinds", noun: "kind of work", role: configurer.RoleOperator,
		list: func(c *configurer.Configuration) *[]configurer.WorkKind { return &c.WorkKinds },
		name: func(k *configurer.WorkKind) string { return string(k.Name) },
	}
	ranks = collection[configurer.Rank]{
		path: "/admin/v1/ranks", noun: "rank", role: configurer.RoleOperator,
		list: func(c *configurer.Configuration) *[]configurer.Rank { return &c.Ranks },
		name: func(r *configurer.Rank) string { return string(r.Name) },
	}
	services = collection[configurer.Service]{
		path: "/admin/v1/services", noun: "plain service", role: configurer.RoleOperator,
		list: func(c *configurer.Configuration) *[]configurer.Service { return &c.Services },
		name: func(v *configurer.Service) string { return string(v.Name) },
	}
	operators = collection[configurer.Operator]{
		path: "/admin/v1/operators", noun: "operator", role: configurer.RoleAdministrator,
		list: func(c *configurer.Configuration) *[]configurer.Operator { return &c.Operators },
		name: func(o *configurer.Operator) string { return o.Name },
	}
)

// limits is the part of a client account that says how much it may use.
type limits struct {
	Weight          float64 `yaml:"weight" validate:"gt=0"`
	TokensPerSecond float64 `yaml:"tokens-per-second" validate:"gte=0"`
}

// target is the part of a kind of work that says how good answers must be.
type target struct {
	QualityTarget float64 `yaml:"quality-target" validate:"gte=0,lte=1"`
}

// partRoutes returns the operations on parts of an entry.
func (s *Server) partRoutes() []Route {
	return []Route{
		{Method: http.MethodPut, Path: "/admin/v1/client-accounts/{name}/limits", MinRole: configurer.RoleOperator, RequiresIfMatch: true,
			Summary: "Change weight and token limit of a client account; If-Match takes the ETag of the account.",
			handler: func(c *call) (reply, error) {
				return part(s, c, accounts, func(a *configurer.ClientAccount, l limits) {
					a.Weight, a.TokensPerSecond = l.Weight, l.TokensPerSecond
				})
			}},
		{Method: http.MethodPut, Path: "/admin/v1/work-kinds/{name}/quality-target", MinRole: configurer.RoleOperator, RequiresIfMatch: true,
			Summary: "Change the quality target of a kind of work; If-Match takes the ETag of the kind.",
			handler: func(c *call) (reply, error) {
				return part(s, c, workKinds, func(k *configurer.WorkKind, t target) { k.QualityTarget = t.QualityTarget })
			}},
	}
}

// part replaces a part P of one entry T.
func part[T, P any](s *Server, c *call, k collection[T], set func(*T, P)) (reply, error) {
	p, err := decode[P](c, false)
	if err != nil {
		return reply{}, err
	}
	name := c.PathValue("name")
	next, err := k.update(s, c, name, func(v *T) error {
		set(v, p)
		return nil
	})
	if err != nil {
		return reply{}, err
	}
	return k.reply(next, name, http.StatusOK)
}

// version returns a version of a model for change.
func version(m *configurer.Model, name identifier.Version) (*configurer.Version, error) {
	for i := range m.Versions {
		if m.Versions[i].Name == name {
			return &m.Versions[i], nil
		}
	}
	return nil, fail(http.StatusNotFound, "not-found", "model %q has no version %q", m.Name, name)
}

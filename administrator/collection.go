package administrator

import (
	"net/http"
	"slices"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// collection describes a list of named entries in the configuration and serves its operations.
type collection[T any] struct {
	path string
	// noun names one entry in summaries and error messages.
	noun string
	// writeRole is the lowest role that may change entries.
	writeRole configurer.Role
	list      func(c *configurer.Configuration) *[]T
	name      func(*T) string
}

// index returns the index of the named entry, or -1.
func (k collection[T]) index(c *configurer.Configuration, name string) int {
	return slices.IndexFunc(*k.list(c), func(v T) bool { return k.name(&v) == name })
}

// etagFunc returns a function that computes the ETag of the named entry, or absentTag if there is no such entry.
func (k collection[T]) etagFunc(name string) func(*configurer.Configuration) (string, error) {
	return func(c *configurer.Configuration) (string, error) {
		i := k.index(c, name)
		if i < 0 {
			return absentTag, nil
		}
		return etag((*k.list(c))[i])
	}
}

// routes returns the operations of the collection: list, read, create or replace, and delete.
func (k collection[T]) routes(s *Server) []Route {
	entryPath := k.path + "/{name}"
	return []Route{
		{Method: http.MethodGet, Path: k.path, MinRole: configurer.RoleViewer, Summary: "List every " + k.noun + ".", handler: k.getAll},
		{Method: http.MethodGet, Path: entryPath, MinRole: configurer.RoleViewer, Summary: "Read one " + k.noun + ".", handler: k.get},
		{Method: http.MethodPut, Path: entryPath, MinRole: k.writeRole, RequiresIfMatch: true, Summary: "Create (If-Match: *) or replace one " + k.noun + ".",
			handler: func(c *call) (reply, error) { return k.put(s, c) }},
		{Method: http.MethodDelete, Path: entryPath, MinRole: k.writeRole, RequiresIfMatch: true, Summary: "Delete one " + k.noun + " that nothing refers to.",
			handler: func(c *call) (reply, error) { return k.remove(s, c) }},
	}
}

func (k collection[T]) getAll(c *call) (reply, error) {
	return reply{etag: revisionTag(c.current), body: configurer.ToGeneric(*k.list(c.current))}, nil
}

func (k collection[T]) get(c *call) (reply, error) {
	return k.entryReply(c.current, c.PathValue("name"), http.StatusOK)
}

func (k collection[T]) entryReply(cfg *configurer.Configuration, name string, status int) (reply, error) {
	i := k.index(cfg, name)
	if i < 0 {
		return reply{}, k.notFound(name)
	}
	v := (*k.list(cfg))[i]
	tag, err := etag(v)
	return reply{status: status, etag: tag, body: configurer.ToGeneric(v)}, err
}

func (k collection[T]) notFound(name string) error {
	return newAPIError(http.StatusNotFound, "not-found", "there is no %s named %q", k.noun, name)
}

func (k collection[T]) put(s *Server, c *call) (reply, error) {
	name := c.PathValue("name")
	v, err := decodeBody[T](c, false)
	if err != nil {
		return reply{}, err
	}
	if k.name(&v) != name {
		return reply{}, newAPIError(http.StatusUnprocessableEntity, "name-differs", "the body names %q, the path %q", k.name(&v), name)
	}
	status := http.StatusOK
	next, err := s.commitEdit(c, edit{tag: k.etagFunc(name), apply: func(cfg *configurer.Configuration) error {
		list := k.list(cfg)
		if i := k.index(cfg, name); i >= 0 {
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
	return k.entryReply(next, name, status)
}

func (k collection[T]) remove(s *Server, c *call) (reply, error) {
	name := c.PathValue("name")
	if k.index(c.current, name) < 0 {
		return reply{}, k.notFound(name)
	}
	_, err := s.commitEdit(c, edit{tag: k.etagFunc(name), apply: func(cfg *configurer.Configuration) error {
		list := k.list(cfg)
		i := k.index(cfg, name)
		if i < 0 {
			return k.notFound(name)
		}
		*list = slices.Delete(*list, i, i+1)
		return nil
	}})
	return reply{}, err
}

// update commits a modification by f of one existing entry.
func (k collection[T]) update(s *Server, c *call, name string, f func(*T) error) (*configurer.Configuration, error) {
	if k.index(c.current, name) < 0 {
		return nil, k.notFound(name)
	}
	return s.commitEdit(c, edit{tag: k.etagFunc(name), apply: func(cfg *configurer.Configuration) error {
		i := k.index(cfg, name)
		if i < 0 {
			return k.notFound(name)
		}
		return f(&(*k.list(cfg))[i])
	}})
}

var (
	accounts = collection[configurer.ClientAccount]{
		path: "/admin/v1/client-accounts", noun: "client account", writeRole: configurer.RoleOperator,
		list: func(c *configurer.Configuration) *[]configurer.ClientAccount { return &c.ClientAccounts },
		name: func(a *configurer.ClientAccount) string { return string(a.Name) },
	}
	models = collection[configurer.Model]{
		path: "/admin/v1/models", noun: "model", writeRole: configurer.RoleOperator,
		list: func(c *configurer.Configuration) *[]configurer.Model { return &c.Models },
		name: func(m *configurer.Model) string { return string(m.Name) },
	}
	workKinds = collection[configurer.WorkKind]{
		path: "/admin/v1/work-kinds", noun: "kind of work", writeRole: configurer.RoleOperator,
		list: func(c *configurer.Configuration) *[]configurer.WorkKind { return &c.WorkKinds },
		name: func(k *configurer.WorkKind) string { return string(k.Name) },
	}
	ranks = collection[configurer.Rank]{
		path: "/admin/v1/ranks", noun: "rank", writeRole: configurer.RoleOperator,
		list: func(c *configurer.Configuration) *[]configurer.Rank { return &c.Ranks },
		name: func(r *configurer.Rank) string { return string(r.Name) },
	}
	services = collection[configurer.Service]{
		path: "/admin/v1/services", noun: "plain service", writeRole: configurer.RoleOperator,
		list: func(c *configurer.Configuration) *[]configurer.Service { return &c.Services },
		name: func(v *configurer.Service) string { return string(v.Name) },
	}
	operators = collection[configurer.Operator]{
		path: "/admin/v1/operators", noun: "operator", writeRole: configurer.RoleAdministrator,
		list: func(c *configurer.Configuration) *[]configurer.Operator { return &c.Operators },
		name: func(o *configurer.Operator) string { return o.Name },
	}
)

// limitsBody is the request body that replaces the weight and the token limit of a client account.
type limitsBody struct {
	Weight          float64 `yaml:"weight" validate:"gt=0"`
	TokensPerSecond float64 `yaml:"tokens-per-second" validate:"gte=0"`
}

// qualityTargetBody is the request body that replaces the quality target of a work kind.
type qualityTargetBody struct {
	QualityTarget float64 `yaml:"quality-target" validate:"gte=0,lte=1"`
}

// fieldRoutes returns the operations that replace single fields of an entry.
func (s *Server) fieldRoutes() []Route {
	return []Route{
		{Method: http.MethodPut, Path: "/admin/v1/client-accounts/{name}/limits", MinRole: configurer.RoleOperator, RequiresIfMatch: true,
			Summary: "Change weight and token limit of a client account; If-Match takes the ETag of the account.",
			handler: func(c *call) (reply, error) {
				return putFields(s, c, accounts, func(a *configurer.ClientAccount, l limitsBody) {
					a.Weight, a.TokensPerSecond = l.Weight, l.TokensPerSecond
				})
			}},
		{Method: http.MethodPut, Path: "/admin/v1/work-kinds/{name}/quality-target", MinRole: configurer.RoleOperator, RequiresIfMatch: true,
			Summary: "Change the quality target of a kind of work; If-Match takes the ETag of the kind.",
			handler: func(c *call) (reply, error) {
				return putFields(s, c, workKinds, func(k *configurer.WorkKind, t qualityTargetBody) { k.QualityTarget = t.QualityTarget })
			}},
	}
}

// putFields decodes a P from the body and sets its fields in one entry T.
func putFields[T, P any](s *Server, c *call, k collection[T], set func(*T, P)) (reply, error) {
	p, err := decodeBody[P](c, false)
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
	return k.entryReply(next, name, http.StatusOK)
}

// findVersion returns a pointer to a version of the model, through which it can be modified.
func findVersion(m *configurer.Model, name identifier.Version) (*configurer.Version, error) {
	for i := range m.Versions {
		if m.Versions[i].Name == name {
			return &m.Versions[i], nil
		}
	}
	return nil, newAPIError(http.StatusNotFound, "not-found", "model %q has no version %q", m.Name, name)
}

package administrator

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
)

// ChangeReply is one change as the history shows it.
type ChangeReply struct {
	Revision uint64    `json:"revision"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	// Items are the keys of the changed items.
	Items []string `json:"items"`
}

// ApplyReply is the result of a whole configuration that was applied or tried.
type ApplyReply struct {
	Revision uint64                  `json:"revision"`
	DryRun   bool                    `json:"dry-run"`
	Changes  []configurer.Difference `json:"changes"`
	Warnings []configurer.Warning    `json:"warnings"`
}

// undo is the optional body of an undo; revision 0 means the one before the current.
type undo struct {
	Revision uint64 `yaml:"revision"`
}

// routes lists every operation of the API.
func (s *Server) routes() []Route {
	const path = "/admin/v1/configuration"
	routes := []Route{
		{Method: http.MethodGet, Path: path, MinRole: configurer.RoleViewer, Summary: "Read the whole configuration, or with ?revision= an earlier one.", handler: s.getWhole},
		{Method: http.MethodPut, Path: path, MinRole: configurer.RoleOperator, RequiresIfMatch: true,
			Summary: "Apply a whole configuration, JSON or YAML; with ?dry-run=true only show what would change.", handler: s.putWhole},
		{Method: http.MethodGet, Path: path + "/history", MinRole: configurer.RoleViewer, Summary: "List who changed what and when, the newest first.", handler: s.history},
		{Method: http.MethodGet, Path: path + "/diff", MinRole: configurer.RoleViewer,
			Summary: "Show what differs between the revisions ?from= and ?to=.", handler: s.diff},
		{Method: http.MethodPost, Path: path + "/undo", MinRole: configurer.RoleOperator, RequiresIfMatch: true,
			Summary: "Return to the content of an earlier revision, by default the one before, as a new change.", handler: s.undo},
		{Method: http.MethodGet, Path: "/admin/v1/spend", MinRole: configurer.RoleViewer, Summary: "Read the committed spend.", handler: s.getSpend},
		{Method: http.MethodPut, Path: "/admin/v1/spend", MinRole: configurer.RoleOperator, RequiresIfMatch: true, Summary: "Replace the committed spend.", handler: s.putSpend},
	}
	routes = append(routes, accounts.routes(s)...)
	routes = append(routes, models.routes(s)...)
	routes = append(routes, workKinds.routes(s)...)
	routes = append(routes, ranks.routes(s)...)
	routes = append(routes, services.routes(s)...)
	routes = append(routes, operators.routes(s)...)
	routes = append(routes, s.partRoutes()...)
	routes = append(routes, s.rolloutRoutes()...)
	routes = append(routes, keyRoutes(s, accounts, func(a *configurer.ClientAccount) *[]configurer.Key { return &a.Keys })...)
	return append(routes, keyRoutes(s, operators, func(o *configurer.Operator) *[]configurer.Key { return &o.Keys })...)
}

// Routes lists every operation of the API.
func Routes() []Route {
	return (&Server{}).routes()
}

func (s *Server) getWhole(c *call) (reply, error) {
	if text := c.URL.Query().Get("revision"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return reply{}, fail(http.StatusBadRequest, "bad-revision", "?revision= needs a revision")
		}
		earlier, err := s.at(c, n)
		if err != nil {
			return reply{}, err
		}
		return reply{etag: revisionTag(earlier), body: configurer.ToGeneric(earlier)}, nil
	}
	return reply{etag: revisionTag(c.current), body: configurer.ToGeneric(c.current)}, nil
}

func wholeTag(c *configurer.Configuration) (string, error) { return revisionTag(c), nil }

// replace puts the content of next in the place of everything but the revision.
func replace(next *configurer.Configuration) func(*configurer.Configuration) error {
	return func(c *configurer.Configuration) error {
		revision := c.Revision
		*c = *clone(next)
		c.Revision = revision
		return nil
	}
}

func (s *Server) putWhole(c *call) (reply, error) {
	next, err := decode[configurer.Configuration](c, false)
	if err != nil {
		return reply{}, err
	}
	if c.URL.Query().Get("dry-run") == "true" {
		if tag := revisionTag(c.current); !matches(c.Request, tag) {
			refusal := fail(http.StatusPreconditionFailed, "changed-meanwhile", "If-Match does not name the current value; read it and decide anew")
			refusal.ETag = tag
			return reply{}, refusal
		}
		if err := configurer.Validate(&next); err != nil {
			return reply{}, err
		}
		if err := permitted(c.operator, c.current, &next); err != nil {
			return reply{}, err
		}
		return applied(c.current, c.current.Revision, &next, true)
	}
	before := c.current
	after, err := s.change(c, edit{tag: wholeTag, apply: replace(&next)})
	if err != nil {
		return reply{}, err
	}
	return applied(before, after.Revision, after, false)
}

func applied(before *configurer.Configuration, revision uint64, after *configurer.Configuration, dryRun bool) (reply, error) {
	diff, err := configurer.Diff(before, after)
	if err != nil {
		return reply{}, err
	}
	return reply{etag: `"` + strconv.FormatUint(revision, 10) + `"`, body: ApplyReply{
		Revision: revision, DryRun: dryRun,
		Changes: append([]configurer.Difference{}, diff...), Warnings: append([]configurer.Warning{}, configurer.Warnings(after)...),
	}}, nil
}

func (s *Server) history(c *call) (reply, error) {
	changes, err := s.store.History(c.Context())
	if err != nil {
		return reply{}, err
	}
	list := make([]ChangeReply, 0, len(changes))
	for i, ch := range changes {
		entry := ChangeReply{Revision: ch.Revision, By: ch.By, At: ch.At, Items: []string{}}
		if i+1 < len(changes) {
			diff, err := configurer.Diff(changes[i+1].Configuration, ch.Configuration)
			if err != nil {
				return reply{}, err
			}
			for _, d := range diff {
				entry.Items = append(entry.Items, d.Key)
			}
		}
		list = append(list, entry)
	}
	return reply{etag: revisionTag(c.current), body: list}, nil
}

// at returns the configuration of a revision.
func (s *Server) at(c *call, revision uint64) (*configurer.Configuration, error) {
	changes, err := s.store.History(c.Context())
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(changes, func(ch Change) bool { return ch.Revision == revision })
	if i < 0 {
		return nil, fail(http.StatusNotFound, "unknown-revision", "the history does not hold revision %d", revision)
	}
	return changes[i].Configuration, nil
}

func (s *Server) diff(c *call) (reply, error) {
	var both [2]*configurer.Configuration
	for i, name := range []string{"from", "to"} {
		n, err := strconv.ParseUint(c.URL.Query().Get(name), 10, 64)
		if err != nil {
			return reply{}, fail(http.StatusBadRequest, "bad-revision", "?%s= needs a revision", name)
		}
		if both[i], err = s.at(c, n); err != nil {
			return reply{}, err
		}
	}
	diff, err := configurer.Diff(both[0], both[1])
	return reply{body: append([]configurer.Difference{}, diff...)}, err
}

func (s *Server) undo(c *call) (reply, error) {
	body, err := decode[undo](c, true)
	if err != nil {
		return reply{}, err
	}
	revision := body.Revision
	if revision == 0 {
		changes, err := s.store.History(c.Context())
		if err != nil {
			return reply{}, err
		}
		i := slices.IndexFunc(changes, func(ch Change) bool { return ch.Revision == c.current.Revision })
		if i < 0 || i+1 >= len(changes) {
			return reply{}, fail(http.StatusConflict, "nothing-to-undo", "the history holds nothing before revision %d", c.current.Revision)
		}
		revision = changes[i+1].Revision
	}
	earlier, err := s.at(c, revision)
	if err != nil {
		return reply{}, err
	}
	before := c.current
	after, err := s.change(c, edit{tag: wholeTag, apply: replace(earlier)})
	if err != nil {
		return reply{}, err
	}
	return applied(before, after.Revision, after, false)
}

func spendTag(c *configurer.Configuration) (string, error) { return etag(c.Spend) }

func (s *Server) getSpend(c *call) (reply, error) {
	tag, err := spendTag(c.current)
	return reply{etag: tag, body: configurer.ToGeneric(c.current.Spend)}, err
}

func (s *Server) putSpend(c *call) (reply, error) {
	spend, err := decode[configurer.Spend](c, false)
	if err != nil {
		return reply{}, err
	}
	next, err := s.change(c, edit{tag: spendTag, apply: func(cfg *configurer.Configuration) error {
		cfg.Spend = spend
		return nil
	}})
	if err != nil {
		return reply{}, err
	}
	tag, err := spendTag(next)
	return reply{etag: tag, body: configurer.ToGeneric(next.Spend)}, err
}

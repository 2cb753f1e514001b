package administrator

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/inspector"
)

// ChangeReply is one change in the history.
type ChangeReply struct {
	Revision uint64    `json:"revision"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	// Items are the keys of the changed items.
	Items []string `json:"items"`
}

// ApplyReply is the result of applying a whole configuration, or of a dry run.
type ApplyReply struct {
	Revision uint64                  `json:"revision"`
	DryRun   bool                    `json:"dry-run"`
	Changes  []configurer.Difference `json:"changes"`
	Warnings []inspector.Warning     `json:"warnings"`
}

// undoBody is the optional body of an undo request; revision 0 means the one before the current revision.
type undoBody struct {
	Revision uint64 `yaml:"revision"`
}

// routes returns all operations of the API.
func (s *Server) routes() []Route {
	const path = "/admin/v1/configuration"
	routes := []Route{
		{Method: http.MethodGet, Path: path, MinRole: configurer.RoleViewer, Summary: "Read the whole configuration, or with ?revision= an earlier one.", handler: s.getConfiguration},
		{Method: http.MethodPut, Path: path, MinRole: configurer.RoleOperator, RequiresIfMatch: true,
			Summary: "Apply a whole configuration, JSON or YAML; with ?dry-run=true only show what would change.", handler: s.putConfiguration},
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
	routes = append(routes, s.fieldRoutes()...)
	routes = append(routes, s.rolloutRoutes()...)
	routes = append(routes, keyRoutes(s, accounts, func(a *configurer.ClientAccount) *[]configurer.Key { return &a.Keys })...)
	return append(routes, keyRoutes(s, operators, func(o *configurer.Operator) *[]configurer.Key { return &o.Keys })...)
}

// Routes returns all operations of the API.
func Routes() []Route {
	return (&Server{}).routes()
}

func (s *Server) getConfiguration(c *call) (reply, error) {
	if text := c.URL.Query().Get("revision"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return reply{}, newAPIError(http.StatusBadRequest, "bad-revision", "?revision= needs a revision")
		}
		earlier, err := s.configurationAt(c, n)
		if err != nil {
			return reply{}, err
		}
		return reply{etag: revisionTag(earlier), body: configurer.ToGeneric(earlier)}, nil
	}
	return reply{etag: revisionTag(c.current), body: configurer.ToGeneric(c.current)}, nil
}

func configurationTag(c *configurer.Configuration) (string, error) { return revisionTag(c), nil }

// replaceContent returns an edit that replaces everything but the revision by the content of next.
func replaceContent(next *configurer.Configuration) func(*configurer.Configuration) error {
	return func(c *configurer.Configuration) error {
		revision := c.Revision
		*c = *clone(next)
		c.Revision = revision
		return nil
	}
}

func (s *Server) putConfiguration(c *call) (reply, error) {
	next, err := decodeBody[configurer.Configuration](c, false)
	if err != nil {
		return reply{}, err
	}
	if c.URL.Query().Get("dry-run") == "true" {
		if tag := revisionTag(c.current); !ifMatchContains(c.Request, tag) {
			refusal := newAPIError(http.StatusPreconditionFailed, "changed-meanwhile", "If-Match does not name the current value; read it and decide anew")
			refusal.ETag = tag
			return reply{}, refusal
		}
		if err := configurer.Validate(&next); err != nil {
			return reply{}, err
		}
		if err := checkPermission(c.operator, c.current, &next); err != nil {
			return reply{}, err
		}
		if err := checkAllowed(c.current, &next); err != nil {
			return reply{}, err
		}
		return newApplyReply(c.current, c.current.Revision, &next, true)
	}
	before := c.current
	after, err := s.commitEdit(c, edit{tag: configurationTag, apply: replaceContent(&next)})
	if err != nil {
		return reply{}, err
	}
	return newApplyReply(before, after.Revision, after, false)
}

func newApplyReply(before *configurer.Configuration, revision uint64, after *configurer.Configuration, dryRun bool) (reply, error) {
	diff, err := configurer.Diff(before, after)
	if err != nil {
		return reply{}, err
	}
	return reply{etag: `"` + strconv.FormatUint(revision, 10) + `"`, body: ApplyReply{
		Revision: revision, DryRun: dryRun,
		Changes: append([]configurer.Difference{}, diff...), Warnings: append([]inspector.Warning{}, inspector.Warnings(after)...),
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

// configurationAt returns the configuration at a revision, or a 404 error if the history no longer holds it.
func (s *Server) configurationAt(c *call, revision uint64) (*configurer.Configuration, error) {
	changes, err := s.store.History(c.Context())
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(changes, func(ch Change) bool { return ch.Revision == revision })
	if i < 0 {
		return nil, newAPIError(http.StatusNotFound, "unknown-revision", "the history does not hold revision %d", revision)
	}
	return changes[i].Configuration, nil
}

func (s *Server) diff(c *call) (reply, error) {
	var compared [2]*configurer.Configuration
	for i, name := range []string{"from", "to"} {
		n, err := strconv.ParseUint(c.URL.Query().Get(name), 10, 64)
		if err != nil {
			return reply{}, newAPIError(http.StatusBadRequest, "bad-revision", "?%s= needs a revision", name)
		}
		if compared[i], err = s.configurationAt(c, n); err != nil {
			return reply{}, err
		}
	}
	diff, err := configurer.Diff(compared[0], compared[1])
	return reply{body: append([]configurer.Difference{}, diff...)}, err
}

func (s *Server) undo(c *call) (reply, error) {
	body, err := decodeBody[undoBody](c, true)
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
			return reply{}, newAPIError(http.StatusConflict, "nothing-to-undo", "the history holds nothing before revision %d", c.current.Revision)
		}
		revision = changes[i+1].Revision
	}
	earlier, err := s.configurationAt(c, revision)
	if err != nil {
		return reply{}, err
	}
	before := c.current
	after, err := s.commitEdit(c, edit{tag: configurationTag, apply: replaceContent(earlier), isReturn: true})
	if err != nil {
		return reply{}, err
	}
	return newApplyReply(before, after.Revision, after, false)
}

func spendTag(c *configurer.Configuration) (string, error) { return etag(c.Spend) }

func (s *Server) getSpend(c *call) (reply, error) {
	tag, err := spendTag(c.current)
	return reply{etag: tag, body: configurer.ToGeneric(c.current.Spend)}, err
}

func (s *Server) putSpend(c *call) (reply, error) {
	spend, err := decodeBody[configurer.Spend](c, false)
	if err != nil {
		return reply{}, err
	}
	next, err := s.commitEdit(c, edit{tag: spendTag, apply: func(cfg *configurer.Configuration) error {
		cfg.Spend = spend
		return nil
	}})
	if err != nil {
		return reply{}, err
	}
	tag, err := spendTag(next)
	return reply{etag: tag, body: configurer.ToGeneric(next.Spend)}, err
}

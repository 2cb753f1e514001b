package administrator

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// maxAttempts bounds the commits of one request that lose against changes of other items.
const maxAttempts = 8

// absent is the ETag of an item that does not exist; If-Match: * creates it.
const absent = "*"

// etag returns a strong ETag over the content of v.
func etag(v any) (string, error) {
	b, err := configurer.MarshalJSON(v)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(b)
	return `"` + hex.EncodeToString(sum[:8]) + `"`, nil
}

// revisionTag returns the ETag of the whole configuration.
func revisionTag(c *configurer.Configuration) string {
	return fmt.Sprintf(`"%d"`, c.Revision)
}

// matches reports whether If-Match names the tag. For an existing item * is refused: a change must name what it read.
func matches(r *http.Request, tag string) bool {
	for part := range strings.SplitSeq(strings.Join(r.Header.Values("If-Match"), ","), ",") {
		if strings.TrimSpace(part) == tag {
			return true
		}
	}
	return false
}

// edit is a change of a copy of the configuration; tag returns the ETag of what the request must have read.
type edit struct {
	tag   func(c *configurer.Configuration) (string, error)
	apply func(c *configurer.Configuration) error
}

// change commits an edit. Requests that lose a race against a change of another item are repeated on the new
// configuration; those whose own item has changed get 412 with the current ETag.
func (s *Server) change(c *call, e edit) (*configurer.Configuration, error) {
	current := c.current
	for range maxAttempts {
		tag, err := e.tag(current)
		if err != nil {
			return nil, err
		}
		if !matches(c.Request, tag) {
			refusal := fail(http.StatusPreconditionFailed, "changed-meanwhile", "If-Match does not name the current value; read it and decide anew")
			if tag != absent {
				refusal.ETag = tag
			}
			return nil, refusal
		}
		next := clone(current)
		if err := e.apply(next); err != nil {
			return nil, err
		}
		if err := permitted(c.operator, current, next); err != nil {
			return nil, err
		}
		if err := configurer.Validate(next); err != nil {
			return nil, err
		}
		revision, err := s.store.Commit(c.Context(), current.Revision, next, c.operator.Name)
		if err == nil {
			next = next.Canonical()
			next.Revision = revision
			s.count("changes")
			s.log.InfoContext(c.Context(), "configuration changed", slog.Uint64("revision", revision), slog.String("by", c.operator.Name))
			return next, nil
		}
		if !errors.Is(err, ErrConflict) {
			return nil, err
		}
		if current, err = s.store.Load(c.Context()); err != nil {
			return nil, err
		}
		// The operator may have lost its key or role in the meantime.
		c.operator = authenticate(current, c.Request)
		if c.operator == nil {
			return nil, fail(http.StatusUnauthorized, "invalid-key", "the operator key has been revoked")
		}
	}
	return nil, fail(http.StatusConflict, "too-many-changes", "other changes came first %d times; try again", maxAttempts)
}

// clone copies the lists that edits change; entries are replaced as a whole.
func clone(c *configurer.Configuration) *configurer.Configuration {
	n := c.Canonical()
	n.Ranks = slices.Clone(c.Ranks)
	for i := range n.Models {
		n.Models[i].Versions = slices.Clone(n.Models[i].Versions)
	}
	for i := range n.ClientAccounts {
		n.ClientAccounts[i].Keys = slices.Clone(n.ClientAccounts[i].Keys)
	}
	for i := range n.Operators {
		n.Operators[i].Keys = slices.Clone(n.Operators[i].Keys)
	}
	return n
}

// permitted refuses changes that need more than the role of the route: operators, and versions to or from withdrawn.
func permitted(o *configurer.Operator, before, after *configurer.Configuration) error {
	if rights(o.Role) < rights(configurer.RoleOperator) {
		return fail(http.StatusForbidden, "role-too-low", "operator %q changes nothing", o.Name)
	}
	diff, err := configurer.Diff(before, after)
	if err != nil {
		return err
	}
	for _, d := range diff {
		if strings.HasPrefix(d.Key, "operators/") && o.Role != configurer.RoleAdministrator {
			return fail(http.StatusForbidden, "role-too-low", "only an administrator changes %s", d.Key)
		}
	}
	if o.CanWithdraw() {
		return nil
	}
	is, was := withdrawn(after), withdrawn(before)
	for t := range is {
		if !was[t] && before.Version(t) != nil {
			return fail(http.StatusForbidden, "may-not-withdraw", "operator %q may not withdraw %s", o.Name, t)
		}
	}
	for t := range was {
		if !is[t] {
			return fail(http.StatusForbidden, "may-not-withdraw", "operator %q may not bring back or remove the withdrawn %s", o.Name, t)
		}
	}
	for _, m := range before.Models {
		for _, v := range m.Versions {
			t := identifier.Target{Model: m.Name, Version: v.Name}
			if after.Version(t) == nil {
				return fail(http.StatusForbidden, "may-not-withdraw", "operator %q may not remove %s, which withdraws it", o.Name, t)
			}
		}
	}
	return nil
}

func withdrawn(c *configurer.Configuration) map[identifier.Target]bool {
	set := map[identifier.Target]bool{}
	for _, m := range c.Models {
		for _, v := range m.Versions {
			if v.State == configurer.VersionWithdrawn {
				set[identifier.Target{Model: m.Name, Version: v.Name}] = true
			}
		}
	}
	return set
}

// decode reads the body, JSON or YAML, strictly into a T; an empty body leaves the zero value.
func decode[T any](c *call, mayBeEmpty bool) (T, error) {
	var v T
	body, err := io.ReadAll(c.Body)
	if err != nil {
		return v, fmt.Errorf("administrator: read body from %s: %w", c.RemoteAddr, err)
	}
	if mayBeEmpty && len(strings.TrimSpace(string(body))) == 0 {
		return v, nil
	}
	err = configurer.Check("body", body, &v)
	return v, err
}

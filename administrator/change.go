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
	"github.com/siskinfront/siskinfront/inspector"
)

// maxCommitAttempts limits the commit attempts of one request; an attempt fails if another item changes concurrently.
const maxCommitAttempts = 8

// absentTag stands for the ETag of an item that does not exist; a request with If-Match: * creates the item.
const absentTag = "*"

// etag returns a strong ETag computed from the content of v.
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

// ifMatchContains reports whether If-Match lists the ETag. It does not accept * for an existing item, because a request
// must name the value that it read.
func ifMatchContains(r *http.Request, tag string) bool {
	for part := range strings.SplitSeq(strings.Join(r.Header.Values("If-Match"), ","), ",") {
		if strings.TrimSpace(part) == tag {
			return true
		}
	}
	return false
}

// edit modifies a copy of the configuration; tag returns the ETag that If-Match must contain, that of the item the request
// modifies.
type edit struct {
	tag   func(c *configurer.Configuration) (string, error)
	apply func(c *configurer.Configuration) error
	// isReturn is set for the return to an earlier revision.
	isReturn bool
}

// check checks that an operator may make the edit and that its result is valid.
func (e *edit) check(o *configurer.Operator, before, after *configurer.Configuration) error {
	if err := checkPermission(o, before, after); err != nil {
		return err
	}
	if !e.isReturn {
		if err := checkAllowed(before, after); err != nil {
			return err
		}
	}
	return configurer.Validate(after)
}

// commitEdit commits an edit. If another item changed concurrently, it repeats the edit on the new configuration; if the
// edited item itself changed, it returns 412 with the current ETag.
func (s *Server) commitEdit(c *call, e edit) (*configurer.Configuration, error) {
	current := c.current
	for range maxCommitAttempts {
		tag, err := e.tag(current)
		if err != nil {
			return nil, err
		}
		if !ifMatchContains(c.Request, tag) {
			refusal := newAPIError(http.StatusPreconditionFailed, "changed-meanwhile", "If-Match does not name the current value; read it and decide anew")
			if tag != absentTag {
				refusal.ETag = tag
			}
			return nil, refusal
		}
		next := clone(current)
		if err := e.apply(next); err != nil {
			return nil, err
		}
		if err := e.check(c.operator, current, next); err != nil {
			return nil, err
		}
		revision, err := s.store.Commit(c.Context(), current.Revision, next, c.operator.Name)
		if err == nil {
			next = next.Canonical()
			next.Revision = revision
			s.count("changes")
			c.warnings = inspector.AddedWarnings(current, next)
			s.log.InfoContext(c.Context(), "configuration changed", slog.Uint64("revision", revision), slog.String("by", c.operator.Name))
			return next, nil
		}
		if !errors.Is(err, ErrConflict) {
			return nil, err
		}
		if current, err = s.store.Load(c.Context()); err != nil {
			return nil, err
		}
		// The concurrent change may have revoked the operator's key or lowered its role.
		c.operator = authenticate(current, c.Request)
		if c.operator == nil {
			return nil, newAPIError(http.StatusUnauthorized, "invalid-key", "the operator key has been revoked")
		}
	}
	return nil, newAPIError(http.StatusConflict, "too-many-changes", "other changes came first %d times; try again", maxCommitAttempts)
}

// clone copies the configuration and the lists that edits modify in place; the entries of other lists are only replaced whole.
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

// checkPermission returns an error for changes that need more than the minimum role of the route: only administrators may
// change operators, and withdrawing, removing or restoring a version needs the right to withdraw.
func checkPermission(o *configurer.Operator, before, after *configurer.Configuration) error {
	if roleLevel(o.Role) < roleLevel(configurer.RoleOperator) {
		return newAPIError(http.StatusForbidden, "role-too-low", "operator %q changes nothing", o.Name)
	}
	diff, err := configurer.Diff(before, after)
	if err != nil {
		return err
	}
	for _, d := range diff {
		if strings.HasPrefix(d.Key, "operators/") && o.Role != configurer.RoleAdministrator {
			return newAPIError(http.StatusForbidden, "role-too-low", "only an administrator changes %s", d.Key)
		}
	}
	if o.CanWithdraw() {
		return nil
	}
	withdrawnAfter, withdrawnBefore := withdrawnVersions(after), withdrawnVersions(before)
	for target := range withdrawnAfter {
		if !withdrawnBefore[target] && before.Version(target) != nil {
			return newAPIError(http.StatusForbidden, "may-not-withdraw", "operator %q may not withdraw %s", o.Name, target)
		}
	}
	for target := range withdrawnBefore {
		if !withdrawnAfter[target] {
			return newAPIError(http.StatusForbidden, "may-not-withdraw", "operator %q may not bring back or remove the withdrawn %s", o.Name, target)
		}
	}
	for _, m := range before.Models {
		for _, v := range m.Versions {
			target := identifier.Target{Model: m.Name, Version: v.Name}
			if after.Version(target) == nil {
				return newAPIError(http.StatusForbidden, "may-not-withdraw", "operator %q may not remove %s, which withdraws it", o.Name, target)
			}
		}
	}
	return nil
}

func withdrawnVersions(c *configurer.Configuration) map[identifier.Target]bool {
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

// decodeBody decodes the JSON or YAML body into a T and rejects unknown keys. With mayBeEmpty, an empty body gives the zero value.
func decodeBody[T any](c *call, mayBeEmpty bool) (T, error) {
	var v T
	body, err := io.ReadAll(c.Body)
	if err != nil {
		return v, fmt.Errorf("administrator: read body from %s: %w", c.RemoteAddr, err)
	}
	if mayBeEmpty && len(strings.TrimSpace(string(body))) == 0 {
		return v, nil
	}
	err = configurer.DecodeAndValidate("body", body, &v)
	return v, err
}

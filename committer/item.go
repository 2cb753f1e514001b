package committer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/siskinfront/siskinfront/configurer"
)

// Item is one part of the configuration; an empty value means that the part was removed at the revision.
type Item struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	Revision uint64          `json:"revision"`
}

// The keys of items; items with a name end in a slash followed by the name.
const (
	itemRanks    = "ranks"
	itemSpend    = "spend"
	itemWorkKind = "work-kind/"
	itemModel    = "model/"
	itemAccount  = "client-account/"
	itemService  = "service/"
	itemOperator = "operator/"
)

// Split encodes a configuration as items without revisions.
func Split(c *configurer.Configuration) (map[string]json.RawMessage, error) {
	values := map[string]any{itemRanks: c.Ranks, itemSpend: c.Spend}
	for i := range c.WorkKinds {
		values[itemWorkKind+string(c.WorkKinds[i].Name)] = c.WorkKinds[i]
	}
	for i := range c.Models {
		values[itemModel+string(c.Models[i].Name)] = c.Models[i]
	}
	for i := range c.ClientAccounts {
		values[itemAccount+string(c.ClientAccounts[i].Name)] = c.ClientAccounts[i]
	}
	for i := range c.Services {
		values[itemService+string(c.Services[i].Name)] = c.Services[i]
	}
	for i := range c.Operators {
		values[itemOperator+c.Operators[i].Name] = c.Operators[i]
	}
	items := make(map[string]json.RawMessage, len(values))
	for k, v := range values {
		b, err := json.Marshal(v)
		if err != nil {
			return nil, fmt.Errorf("committer: encode %s: %w", k, err)
		}
		items[k] = b
	}
	return items, nil
}

// Join decodes the items of one revision; named parts come in the order of their names.
func Join(revision uint64, items map[string]Item) (*configurer.Configuration, error) {
	c := &configurer.Configuration{Revision: revision}
	for _, k := range slices.Sorted(maps.Keys(items)) {
		v := items[k].Value
		if len(v) == 0 {
			continue
		}
		var err error
		switch {
		case k == itemRanks:
			err = json.Unmarshal(v, &c.Ranks)
		case k == itemSpend:
			err = json.Unmarshal(v, &c.Spend)
		case strings.HasPrefix(k, itemWorkKind):
			c.WorkKinds, err = extend(c.WorkKinds, v)
		case strings.HasPrefix(k, itemModel):
			c.Models, err = extend(c.Models, v)
		case strings.HasPrefix(k, itemAccount):
			c.ClientAccounts, err = extend(c.ClientAccounts, v)
		case strings.HasPrefix(k, itemService):
			c.Services, err = extend(c.Services, v)
		case strings.HasPrefix(k, itemOperator):
			c.Operators, err = extend(c.Operators, v)
		default:
			// A newer version of the program may know more kinds of items.
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("committer: decode %s at revision %d: %w", k, revision, err)
		}
	}
	return c, nil
}

func extend[T any](list []T, b json.RawMessage) ([]T, error) {
	var v T
	err := json.Unmarshal(b, &v)
	return append(list, v), err
}

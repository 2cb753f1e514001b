package committer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/siskinfront/siskinfront/configurer"
)

// Item is one part of the configuration, such as a model or the ranks; an empty value means that the part was removed at
// Revision.
type Item struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	Revision uint64          `json:"revision"`
}

// The keys of items; a key that ends in a slash is followed by the name of the part.
const (
	itemRanks    = "ranks"
	itemSpend    = "spend"
	itemWorkKind = "work-kind/"
	itemModel    = "model/"
	itemAccount  = "client-account/"
	itemService  = "service/"
	itemOperator = "operator/"
)

// EncodeItems encodes a configuration as the values of its items by key.
func EncodeItems(c *configurer.Configuration) (map[string]json.RawMessage, error) {
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

// DecodeItems decodes the items of one revision into a configuration; named parts are sorted by name.
func DecodeItems(revision uint64, items map[string]Item) (*configurer.Configuration, error) {
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
			c.WorkKinds, err = appendDecoded(c.WorkKinds, v)
		case strings.HasPrefix(k, itemModel):
			c.Models, err = appendDecoded(c.Models, v)
		case strings.HasPrefix(k, itemAccount):
			c.ClientAccounts, err = appendDecoded(c.ClientAccounts, v)
		case strings.HasPrefix(k, itemService):
			c.Services, err = appendDecoded(c.Services, v)
		case strings.HasPrefix(k, itemOperator):
			c.Operators, err = appendDecoded(c.Operators, v)
		default:
			// A newer version of the program may have written a kind of item that this one does not know.
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("committer: decode %s at revision %d: %w", k, revision, err)
		}
	}
	return c, nil
}

// appendDecoded appends the part that is encoded in b to the list.
func appendDecoded[T any](list []T, b json.RawMessage) ([]T, error) {
	var v T
	err := json.Unmarshal(b, &v)
	return append(list, v), err
}

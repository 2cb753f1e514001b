package distributor

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/committer"
)

// Update brings a process from any revision at or above Base to Revision; it contains all items that changed after Base.
type Update struct {
	Revision    uint64           `json:"revision"`
	Base        uint64           `json:"base"`
	Items       []committer.Item `json:"items,omitempty"`
	ConfirmedAt time.Time        `json:"confirmed-at"`
}

func sortItems(items []committer.Item) {
	slices.SortFunc(items, func(a, b committer.Item) int { return cmp.Compare(a.Key, b.Key) })
}

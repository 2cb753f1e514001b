package biller

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Bill is what one request is billed; its ID is the same at every instance that holds it.
type Bill struct {
	ID            string                   `json:"id"`
	Request       identifier.Request       `json:"request"`
	ClientAccount identifier.ClientAccount `json:"client-account"`
	WorkKind      identifier.WorkKind      `json:"work-kind"`
	Rank          identifier.Rank          `json:"rank"`
	Target        identifier.Target        `json:"target"`
	Service       identifier.Service       `json:"service,omitempty"`
	Usage         streamer.Usage           `json:"usage"`
	Amount        float64                  `json:"amount"`
	// Final is set once the run has ended; an earlier bill covers the tokens so far.
	Final bool      `json:"final"`
	At    time.Time `json:"at"`
}

// fixedSize approximates the memory of a bill, in bytes, beyond its texts.
const fixedSize = 256

func (b *Bill) size() int {
	return fixedSize + len(b.ID) + len(b.Request) + len(b.ClientAccount) + len(b.WorkKind) + len(b.Rank) +
		len(b.Target.Model) + len(b.Target.Version) + len(b.Service)
}

// compare orders bills of one ID: a final one is above any other, then the larger usage, the larger amount and the
// later time, so that the choice does not depend on the order in which batches are read.
func compare(a, b *Bill) int {
	if a.Final != b.Final {
		if a.Final {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(a.Usage.PromptTokens+a.Usage.CompletionTokens, b.Usage.PromptTokens+b.Usage.CompletionTokens),
		cmp.Compare(a.Amount, b.Amount),
		a.At.Compare(b.At),
	)
}

// Union returns one bill per ID, in the order of IDs: the final one with the larger usage wins.
func Union(batches ...[]Bill) []Bill {
	best := map[string]Bill{}
	for _, batch := range batches {
		for _, b := range batch {
			if old, ok := best[b.ID]; !ok || compare(&b, &old) > 0 {
				best[b.ID] = b
			}
		}
	}
	all := make([]Bill, 0, len(best))
	for _, b := range best {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b Bill) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

package biller

import (
	"cmp"
	"slices"
	"time"

	"github.com/siskinfront/siskinfront/identifier"
	"github.com/siskinfront/siskinfront/streamer"
)

// Bill is the charge for one request; its ID is the same on each instance that holds it.
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
	// Final is set once the run has ended; a bill that is not final covers the tokens produced so far.
	Final bool      `json:"final"`
	At    time.Time `json:"at"`
}

// billOverheadBytes approximates the memory of a bill besides its strings.
const billOverheadBytes = 256

func (b *Bill) size() int {
	return billOverheadBytes + len(b.ID) + len(b.Request) + len(b.ClientAccount) + len(b.WorkKind) + len(b.Rank) +
		len(b.Target.Model) + len(b.Target.Version) + len(b.Service)
}

// compareBills orders bills of one ID: a final bill is above any other, then the larger usage, the larger amount and the later
// time decide, so that the result does not depend on the order in which batches are read.
func compareBills(a, b *Bill) int {
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

// Union returns one bill per ID, sorted by ID: a final bill precedes one that is not, and a larger usage precedes a smaller one.
func Union(batches ...[]Bill) []Bill {
	best := map[string]Bill{}
	for _, batch := range batches {
		for _, b := range batch {
			if old, ok := best[b.ID]; !ok || compareBills(&b, &old) > 0 {
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

package faultsbencher

import (
	"strings"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/claimer"
)

// finish judges the state after all faults have healed.
func (c *checker) finish() {
	c.outcome.Kind = c.s.label
	c.leaseServed()
	c.finishConfiguration()
	c.finishClaims()
	c.finishBills()
	c.finishHistories()
}

func (c *checker) finishConfiguration() {
	present := map[float64]uint64{}
	for r, m := range c.marks {
		present[m] = r
	}
	for mark, revision := range c.accepted {
		c.expect(ConfigNoLostUpdate, present[mark] == revision, "accepted revision %d is not in the history", revision)
	}
	for mark := range c.conflicting {
		_, ok := present[mark]
		c.expect(ConfigNoLostUpdate, !ok, "change %v was reported as refused and is in the history", mark)
	}
	for _, n := range c.s.nodes {
		if from := c.commits[c.head]; c.head > 0 && n.quiet(from, c.s.Now()) && c.s.Now().Sub(from) > inForceLimit {
			c.expect(ConfigInForce, n.revision == c.head, "%s ends at revision %d of %d", n.name, n.revision, c.head)
		}
	}
}

func (c *checker) finishClaims() {
	for _, row := range c.s.table.Rows("claim/") {
		var rec claimer.Record
		c.decode(row.Value, &rec)
		key := row.Key[strings.LastIndex(row.Key, "/")+1:]
		if c.stored[key] {
			c.expect(ClaimSameResult, rec.Result != nil && string(rec.Result.Body) == c.bodies[key],
				"%s was finished and is %s in the table", key, rec.Phase)
		}
		if rec.Phase == claimer.PhaseClaimed {
			c.expect(ClaimNotRunTrue, !c.ran[rec.Request], "%s ran without a durable start", key)
		}
	}
}

func (c *checker) finishBills() {
	var batches [][]biller.Bill
	for _, row := range c.s.table.Rows("bill/") {
		batches = append(batches, c.batch(row.Value))
	}
	for _, k := range c.s.objects.Keys() {
		if strings.HasPrefix(k, "bill/") {
			b, _ := c.s.objects.Object(k)
			batches = append(batches, c.batch(b))
		}
	}
	durable := map[string]biller.Bill{}
	for _, b := range biller.Union(batches...) {
		_, twice := durable[b.ID]
		c.expect(BillCountedOnce, !twice, "%s is counted twice", b.ID)
		durable[b.ID] = b
	}
	for _, id := range c.billOrder {
		got, ok := durable[id]
		best := 0.0
		for _, h := range c.bills[id] {
			if h.n.up && h.n.Incarnation == h.life {
				best = max(best, h.bill.Amount)
			}
		}
		if !ok && best == 0 {
			c.outcome.BillsLostWithHolders++
			continue
		}
		c.expect(BillKept, ok && got.Amount >= best, "%s is billed %v, a live holder has %v", id, got.Amount, best)
		c.expect(BillCountedOnce, got.Amount <= fullTokens, "%s is billed %v", id, got.Amount)
	}
}

func (c *checker) batch(b []byte) []biller.Bill {
	list, err := biller.DecodeBatch(b)
	if err != nil {
		panic("faultsbencher: decode batch: " + err.Error())
	}
	return list
}

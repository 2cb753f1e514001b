package faultsbencher

import (
	"strings"

	"github.com/siskinfront/siskinfront/biller"
	"github.com/siskinfront/siskinfront/claimer"
)

// finish makes the checks at the end of a schedule, after all faults are over.
func (c *checker) finish() {
	c.outcome.Kind = c.s.faultKind
	c.leaseWritten()
	c.finishConfiguration()
	c.finishClaims()
	c.finishBills()
	c.finishHistories()
}

func (c *checker) finishConfiguration() {
	revisionOfMark := map[float64]uint64{}
	for r, m := range c.markOfRevision {
		revisionOfMark[m] = r
	}
	for mark, revision := range c.acceptedMarks {
		c.expect(ConfigNoLostUpdate, revisionOfMark[mark] == revision, "accepted revision %d is not in the history", revision)
	}
	for mark := range c.conflictingMarks {
		_, ok := revisionOfMark[mark]
		c.expect(ConfigNoLostUpdate, !ok, "change %v was reported as refused and is in the history", mark)
	}
	for _, n := range c.s.instances {
		if from := c.commitTimes[c.headRevision]; c.headRevision > 0 && n.undisturbed(from, c.s.Now()) &&
			c.s.Now().Sub(from) > inForceLimit {
			c.expect(ConfigInForce, n.revision == c.headRevision, "%s ends at revision %d of %d", n.name, n.revision, c.headRevision)
		}
	}
}

func (c *checker) finishClaims() {
	for _, row := range c.s.table.Rows("claim/") {
		var rec claimer.Record
		c.decode(row.Value, &rec)
		key := row.Key[strings.LastIndex(row.Key, "/")+1:]
		if c.storedResults[key] {
			c.expect(ClaimSameResult, rec.Result != nil && string(rec.Result.Body) == c.bodies[key],
				"%s was finished and is %s in the table", key, rec.Phase)
		}
		if rec.Phase == claimer.PhaseClaimed {
			c.expect(ClaimNotRunTrue, !c.executedRequests[rec.Request], "%s ran without a durable start", key)
		}
	}
}

func (c *checker) finishBills() {
	var batches [][]biller.Bill
	for _, row := range c.s.table.Rows("bill/") {
		batches = append(batches, c.decodeBatch(row.Value))
	}
	for _, k := range c.s.objects.Keys() {
		if strings.HasPrefix(k, "bill/") {
			b, _ := c.s.objects.Object(k)
			batches = append(batches, c.decodeBatch(b))
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
		maxHeldAmount := 0.0
		for _, h := range c.bills[id] {
			if h.instance.up && h.instance.Incarnation == h.incarnation {
				maxHeldAmount = max(maxHeldAmount, h.bill.Amount)
			}
		}
		if !ok && maxHeldAmount == 0 {
			c.outcome.BillsLostWithHolders++
			continue
		}
		c.expect(BillKept, ok && got.Amount >= maxHeldAmount, "%s is billed %v, a live holder has %v", id, got.Amount, maxHeldAmount)
		c.expect(BillCountedOnce, got.Amount <= finalTokens, "%s is billed %v", id, got.Amount)
	}
}

func (c *checker) decodeBatch(b []byte) []biller.Bill {
	list, err := biller.DecodeBatch(b)
	if err != nil {
		panic("faultsbencher: decode batch: " + err.Error())
	}
	return list
}

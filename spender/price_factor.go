package spender

import (
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// PriceFactor returns the factor between list price and real cost: near 0 while the commitment is projected to go
// unused, rising to 1 as the projection reaches it, and 1 once the commitment is used or without a commitment.
func (s *Spender) PriceFactor() float64 {
	spend := &s.cfg().Spend
	s.mu.Lock()
	committed, used := s.committed, s.used
	if committed == 0 {
		committed = spend.Committed
	}
	s.mu.Unlock()
	return paceFactor(spend, s.now(), used, committed)
}

// paceFactor projects the use at the end of the period from the mean rate since its start.
func paceFactor(spend *configurer.Spend, now time.Time, used, committed float64) float64 {
	if committed <= 0 || used >= committed || !now.Before(spend.End) {
		return 1
	}
	length := spend.End.Sub(spend.Start)
	elapsed := float64(now.Sub(spend.Start)) / float64(length)
	if elapsed <= 0 || length <= 0 {
		return freeFactor
	}
	projected := used / committed / elapsed
	return min(max((projected-1+paceWidth)/paceWidth, freeFactor), 1)
}

// Period names the period of a spend in row keys.
func Period(spend *configurer.Spend) string { return spend.Start.UTC().Format("20060102t150405") }

// RowKey returns the key of the row of one data centre.
func RowKey(spend *configurer.Spend, d identifier.DataCentre) string {
	return "spend/" + Period(spend) + "/" + string(d)
}

package spender

import (
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/identifier"
)

// PriceFactor returns the factor from list price to real cost. It is close to 0 while the projected use stays below the
// commitment, rises to 1 as the projection reaches the commitment, and is 1 when the commitment is used up or there is none.
func (s *Spender) PriceFactor() float64 {
	spend := &s.cfg().Spend
	s.mu.Lock()
	committed, granted := s.committed, s.granted
	if committed == 0 {
		committed = spend.Committed
	}
	s.mu.Unlock()
	return projectedPriceFactor(spend, s.now(), granted, committed)
}

// projectedPriceFactor projects the use at the end of the period from the mean rate since its start and returns the factor for
// it.
func projectedPriceFactor(spend *configurer.Spend, now time.Time, granted, committed float64) float64 {
	if committed <= 0 || granted >= committed || !now.Before(spend.End) {
		return 1
	}
	length := spend.End.Sub(spend.Start)
	elapsed := float64(now.Sub(spend.Start)) / float64(length)
	if elapsed <= 0 || length <= 0 {
		return minPriceFactor
	}
	projected := granted / committed / elapsed
	return min(max((projected-1+priceFactorRamp)/priceFactorRamp, minPriceFactor), 1)
}

// Period returns the name of a commitment period in row keys.
func Period(spend *configurer.Spend) string { return spend.Start.UTC().Format("20060102t150405") }

// RowKey returns the key of the row of one data centre.
func RowKey(spend *configurer.Spend, d identifier.DataCentre) string {
	return "spend/" + Period(spend) + "/" + string(d)
}

package selector

import (
	"time"

	"github.com/siskinfront/siskinfront/estimator"
)

// Option configures a Selector.
type Option func(*Selector)

// WithEstimator sets the source of quality estimates; by default the prior quality in the configuration is used.
func WithEstimator(e *estimator.Estimator) Option { return func(s *Selector) { s.estimator = e } }

// WithPriceFactor sets the factor between list price and real cost; the default is 1.
func WithPriceFactor(f func() float64) Option { return func(s *Selector) { s.priceFactor = f } }

// WithNow sets the clock for queries that carry no time.
func WithNow(now func() time.Time) Option { return func(s *Selector) { s.now = now } }

// WithRatingCost sets the price, in the currency of the spend, and the delay of rating one answer.
func WithRatingCost(price float64, delay time.Duration) Option {
	return func(s *Selector) { s.ratingPrice, s.ratingDelay = price, delay }
}

// WithRefreshInterval sets the age at which plans are rebuilt from current estimates.
func WithRefreshInterval(d time.Duration) Option { return func(s *Selector) { s.refreshInterval = d } }

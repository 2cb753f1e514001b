// Package explainer keeps a bounded number of decision records, so that operators can see why a request went its way.
package explainer

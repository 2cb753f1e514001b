// Package explainer keeps a bounded number of decision records, from which operators see why a request was routed as it was.
package explainer

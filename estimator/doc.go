// Package estimator estimates the quality of each version for each kind of work from noisy ratings that arrive late.
package estimator

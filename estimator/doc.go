// Package estimator estimates the quality of each version per kind of work from late and noisy ratings.
package estimator

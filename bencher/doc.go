// Package bencher defines the experiments of the bench command and renders their reports.
package bencher

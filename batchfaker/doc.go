// Package batchfaker models engines with continuous batching on a virtual clock, for experiments.
package batchfaker

// Package enginefaker is a small stand-in for a model engine, for tests and the demo.
package enginefaker

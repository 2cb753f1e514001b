// Package enginefaker has small stand-ins for a model engine and a plain service, for tests, experiments and the demo.
package enginefaker

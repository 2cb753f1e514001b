// Package enginefaker provides fakes of a model engine, a plain service and a network, for tests, experiments and the demo.
package enginefaker

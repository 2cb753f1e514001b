// Package soakbencher runs entries as separate processes against the stand-in of the platform, injects faults from outside
// them, and checks the system's invariants on what callers and upstreams observe.
package soakbencher

// Package soakbencher runs entries as separate processes against the stand-in of the platform, injects faults from outside
// them, and checks what must always hold from what callers and upstreams see.
package soakbencher

// Package runner builds and runs an entry that sends requests directly to upstreams, without agents, from its settings and the
// functions of a platform.
package runner

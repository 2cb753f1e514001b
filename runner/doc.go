// Package runner builds and runs an entry that sends to upstreams without agents, from its settings and a platform.
package runner

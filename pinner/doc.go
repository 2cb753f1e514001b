// Package pinner keeps sessions on the version they started on. The entry that owns a session's hash in the region
// decides; without it, every entry derives the same version from the session's hash and the configuration.
package pinner

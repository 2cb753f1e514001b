// Package arbiter decides which of the operator's configurations is in force, also when the store comes back from an older copy and
// shows configurations again that others have replaced.
package arbiter

// Package streamer carries responses as numbered frames over HTTP between entry and agent: encoding, a bounded replay
// buffer, detection of lost, repeated and foreign frames, heartbeats, and resume on a new connection.
package streamer

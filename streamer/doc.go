// Package streamer transfers responses as numbered frames over HTTP from agents to entries. It encodes frames, keeps them
// in a bounded replay buffer, detects frames that are lost, repeated or of another request, sends heartbeats, and resumes a
// stream on a new connection.
package streamer

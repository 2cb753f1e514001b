// Package agentserver is the agent role: the sidecar of one upstream. It admits orders, runs each at most once, keeps
// their frames for resume, guards the upstream's commands, and holds bills until they are durable.
package agentserver

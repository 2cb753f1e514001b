// Package agentserver is the agent role: the sidecar of one upstream. It admits orders, runs each at most once, buffers
// response frames so that a reader can resume, rejects commands with stale fencing tokens, and holds bills until they are
// durable.
package agentserver

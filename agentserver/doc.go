// Package agentserver is the agent role: the sidecar of one upstream that admits, runs and reports its work.
package agentserver

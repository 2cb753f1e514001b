// Package replayer reads recorded traces of caller requests, plays them against a deployment, and compares what the
// callers saw with the outcomes that the trace states.
package replayer

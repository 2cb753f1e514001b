package meter

// LatencyHistogram is a histogram of durations with one label.
type LatencyHistogram struct {
	// Name is in kebab case; the text format shows it as siskinfront_NAME_seconds.
	Name string
	// Label is the key of the label.
	Label string
	// Help says in one sentence what is measured.
	Help string
}

// Latencies holds the latency histograms of a process.
type Latencies struct {
	FirstToken, BetweenTokens, Request, QueueWait, ConfigurationAge LatencyHistogram
}

// AllLatencies returns the histograms that parts observe.
func AllLatencies() Latencies {
	return Latencies{
		FirstToken:       LatencyHistogram{"first-token", "rank", "Time from the arrival of a request to its first token."},
		BetweenTokens:    LatencyHistogram{"between-tokens", "rank", "Mean time between two tokens of one complete response."},
		Request:          LatencyHistogram{"request", "rank", "Time from the arrival of a request to the end of its response."},
		QueueWait:        LatencyHistogram{"queue-wait", "rank", "Time that a request waited in the queue of an agent."},
		ConfigurationAge: LatencyHistogram{"configuration-age", "data-centre", "Time since the configuration was last confirmed as current."},
	}
}

// Counter is a documented counter.
type Counter struct {
	// Part and Name are in kebab case; the text format shows them as siskinfront_PART_NAME_total.
	Part, Name string
	// Help says in one sentence what is counted.
	Help string
}

package meter

// Latency is a histogram of durations with one label.
type Latency struct {
	// Name is in kebab case; the text format shows it as siskinfront_NAME_seconds.
	Name string
	// Label is the key of the label.
	Label string
	// Help says in one sentence what is measured.
	Help string
}

// Latencies are the histograms of a process.
type Latencies struct {
	FirstToken, BetweenTokens, Request, QueueWait, ConfigurationAge Latency
}

// AllLatencies returns the histograms that parts observe.
func AllLatencies() Latencies {
	return Latencies{
		FirstToken:       Latency{"first-token", "rank", "Time from the arrival of a request to its first token."},
		BetweenTokens:    Latency{"between-tokens", "rank", "Mean time between two tokens of one complete response."},
		Request:          Latency{"request", "rank", "Time from the arrival of a request to the end of its response."},
		QueueWait:        Latency{"queue-wait", "rank", "Time that a request waited in the queue of an agent."},
		ConfigurationAge: Latency{"configuration-age", "data-centre", "Time since the configuration was last confirmed as current."},
	}
}

// Counter is a documented counter.
type Counter struct {
	// Part and Name are in kebab case; the text format shows them as siskinfront_PART_NAME_total.
	Part, Name string
	// Help says in one sentence what is counted.
	Help string
}

// Counters returns the counters of the parts that this package documents; other parts add theirs by Register.
func Counters() []Counter {
	return []Counter{
		{"administrator", "requests", "Requests to the administration API."},
		{"administrator", "changes", "Accepted changes of the configuration."},
		{"administrator", "errors-changed-meanwhile", "Changes that lost a race and got 412."},
		{"administrator", "errors-invalid-key", "Requests with a missing, unknown or revoked operator key."},
		{"administrator", "errors-role-too-low", "Requests beyond the role of the operator."},
		{"administrator", "errors-may-not-withdraw", "Changes that need the right to withdraw a version."},
		{"administrator", "errors-invalid-configuration", "Changes that were refused by validation."},
		{"administrator", "errors-if-match-required", "Changes without If-Match."},
		{"administrator", "errors-too-many-changes", "Changes that gave up after repeated races."},
		{"administrator", "errors-store-unavailable", "Requests that the configuration store did not answer."},
		{"administrator", "errors-not-found", "Requests for something that does not exist."},
		{"dumper", "dumps", "State dumps."},
		{"dumper", "redacted-values", "Values that looked like secrets and were replaced."},
		{"explainer", "records-added", "Decision records added."},
		{"explainer", "records-evicted", "Decision records dropped for newer ones."},
		{"explainer", "steps-dropped", "Steps beyond the bound of one record."},
		{"meter", "scrapes", "Scrapes of the metrics."},
		{"meter", "backward-counters", "Counters that a part reported below their earlier value."},
	}
}

package forwarder

// Headers names the headers of requests and responses that the forwarder reads or sets.
type Headers struct {
	RequestID, Deadline, Account, ExpectUpstream, Urgency, Model, Tokens, Prefix, Session, LastEventID string
	// Stamp is set in every response that an upstream itself sends, NotRun in one which says that the request did not run.
	Stamp, NotRun, Confidence, Load string
	// Leaving has the value 1 in all responses of an upstream that leaves.
	Leaving string
	// Limit has the requests per second that an upstream takes from all entries together, in all its responses while it needs that.
	Limit string
	// Cold has the milliseconds that an upstream stays cold, 0 if it is not.
	Cold string
	// AnyModel is what a caller sends as the model to leave the choice to the system.
	AnyModel string
	// Reserved lists headers that only the system sets.
	Reserved []string
}

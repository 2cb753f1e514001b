package forwarder

// Streams returns the number of streams in progress.
func (f *Forwarder) Streams() int64 {
	return f.streams.Load()
}

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int64 {
	return f.active.Load()
}

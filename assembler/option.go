package assembler

import "log/slog"

// Option configures a process.
type Option func(*options)

type options struct {
	log *slog.Logger
}

// WithLog sets the logger; the default is that of slog.
func WithLog(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

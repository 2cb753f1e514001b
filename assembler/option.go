package assembler

import (
	"log/slog"

	"github.com/siskinfront/siskinfront/identifier"
)

// Option configures a process.
type Option func(*options)

type options struct {
	log *slog.Logger
	// dataCentres are those whose instances the process needs to know; an agent needs its own only.
	dataCentres []identifier.DataCentre
}

// WithLog sets the logger; the default is that of slog.
func WithLog(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

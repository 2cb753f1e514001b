package assembler

import (
	"log/slog"

	"github.com/siskinfront/siskinfront/identifier"
)

// Option configures a process.
type Option func(*options)

type options struct {
	log *slog.Logger
	// dataCentres are the data centres whose instances the process needs to know; an agent needs only its own.
	dataCentres []identifier.DataCentre
}

// WithLog sets the logger; the default is slog.Default.
func WithLog(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

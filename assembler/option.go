package assembler

import (
	"log/slog"

	"github.com/siskinfront/siskinfront/identifier"
)

// Option configures a process.
type Option func(*options)

type options struct {
	log         *slog.Logger
	dataCentres []identifier.DataCentre
}

// WithLog sets the logger; the default is that of slog.
func WithLog(log *slog.Logger) Option {
	return func(o *options) { o.log = log }
}

// WithDataCentres names all data centres of the deployment, among which entries divide the committed spend.
func WithDataCentres(all ...identifier.DataCentre) Option {
	return func(o *options) { o.dataCentres = all }
}

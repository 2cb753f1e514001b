package runner

import "github.com/siskinfront/siskinfront/evacuator"

// applyEvacuation takes the upstreams of a data centre out of the choice, or back into it, after the order for it has changed.
func (r *Runner) applyEvacuation(x evacuator.Event) {
	if x.Transition != evacuator.Held {
		r.directory.regroup()
	}
	fields := []any{"data-centre", x.DataCentre, "at", x.At.String(), "upstreams", r.directory.sizeOf(x.DataCentre)}
	switch x.Transition {
	case evacuator.Started:
		if !x.HeldUntil.IsZero() {
			fields = append(fields, "stated-by-another-entry", true, "until", x.HeldUntil)
		}
		r.log.Warn("data centre is evacuated", fields...)
	case evacuator.Held:
		r.log.Warn("store may have lost the order to evacuate a data centre, it holds", append(fields, "until", x.HeldUntil)...)
	case evacuator.Ended:
		r.log.Info("data centre is in service again", fields...)
	}
}

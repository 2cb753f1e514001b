package runner

import (
	"time"

	"github.com/siskinfront/siskinfront/registrar"
)

// logLeaving logs that an upstream announced that it leaves.
func (r *Runner) logLeaving(a registrar.Announcement) {
	age := time.Duration(0)
	if !a.ChangedAt.IsZero() {
		age = a.At.Sub(a.ChangedAt)
	}
	r.log.Info("upstream leaves", "upstream", a.Upstream, "source", a.Source, "age", age)
}

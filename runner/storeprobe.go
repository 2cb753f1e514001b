package runner

import (
	"time"

	"github.com/siskinfront/siskinfront/prober"
)

// shareProbe lets one follower call a store that is out for all of them, if the settings say so. Without that the group has no members.
func (r *Runner) shareProbe() {
	r.storeProbe = prober.New(
		prober.WithOnLoss(func(member string) { r.log.Warn("store lost, one follower probes it", "table", member) }),
		prober.WithOnReturn(func(member string, since time.Time) {
			r.log.Info("store serves all followers again", "table", member, "out", time.Since(since))
		}))
	if !r.settings.Load().SingleStoreProbe {
		return
	}
	r.upstreams.Probe = r.storeProbe.Join(r.upstreams.Name)
	r.sharing.follower.Probe = r.storeProbe.Join(r.sharing.follower.Name)
	if r.operator.SetProbe != nil {
		r.operator.SetProbe(r.storeProbe.Join("operator"))
	}
	r.rollouts.isStoreOut = func() bool { return r.storeProbe.Withhold(tallyInterval) }
}

package runner

import (
	"encoding/json"
	"net/http"

	"github.com/siskinfront/siskinfront/meter"
)

// debugHandler returns the handler of the metrics and the state dump.
func (r *Runner) debugHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+meter.Path, r.meter)
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		state := map[string]any{
			"forwarder": r.forwarder.State(), "balancer": r.balancer.State(), "registrar": r.registrar.State(),
			"roll-outs": r.rollouts.State(), "quarantine": r.sharing.quarantine.State(),
			"limits": r.sharing.throttler.State(), "evacuations": r.evacuator.State(),
			"confirmations": r.confirmations.State(), "store-probe": r.storeProbe.State(),
		}
		if t := r.table.Load(); t != nil {
			state["revision"] = t.Revision
		}
		if err := json.NewEncoder(w).Encode(state); err != nil {
			r.log.Warn("writing the state dump failed", "error", err.Error())
		}
	})
	return mux
}

package promoter

import (
	_ "embed"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/interpreter"
)

//go:embed rollout.yaml
var rollout []byte

// Chart returns the state chart of a rollout.
func Chart() *interpreter.Chart { return interpreter.MustParse(rollout) }

// The states and events of the chart.
const (
	StateNew       interpreter.State = "new"
	StateCanary    interpreter.State = "canary"
	StateSmall     interpreter.State = "small"
	StateQuarter   interpreter.State = "quarter"
	StateHalf      interpreter.State = "half"
	StateMost      interpreter.State = "most"
	StateConfirmed interpreter.State = "confirmed"
	StateWithdrawn interpreter.State = "withdrawn"

	EventStart    interpreter.Event = "start"
	EventEvidence interpreter.Event = "evidence"
	EventConfirm  interpreter.Event = "confirm"
	EventDoubt    interpreter.Event = "doubt"
	EventBad      interpreter.Event = "bad"
)

// stage is the exposure of a state and what ends it.
type stage struct {
	state    interpreter.State
	exposure float64
	// pairs and least are the rated pairs and the time after which the stage ends.
	pairs int
	least time.Duration
	// retreats is set when weak evidence leads back to the former stage. The smaller stages stay, because the rollback needs
	// their answers as evidence.
	retreats bool
	// last is set when confirmation follows the stage.
	last bool
}

// stages lists the stages in order. For a day half of the work stays with the serving versions, because only answers of the
// same hours tell a bad version from a hard hour, and equal parts tell it soonest. Then a tenth stays for days, since a
// version without a control is not rolled back whatever it does.
func stages() []stage {
	return []stage{
		{state: StateNew},
		{state: StateCanary, exposure: 0.02, pairs: 10, least: stageTime},
		{state: StateSmall, exposure: 0.1, pairs: 100, least: stageTime},
		{state: StateQuarter, exposure: 0.25, pairs: 100, least: stageTime},
		{state: StateHalf, exposure: 0.5, pairs: 200, least: dayTime, retreats: true},
		{state: StateMost, exposure: 0.9, pairs: 200, least: confirmTime, retreats: true, last: true},
	}
}

// stageOf returns the stage of a configured version: the last one whose exposure is not above the configured one. The
// configuration is the only durable state of a rollout, so another holder of the lease continues from it.
func stageOf(v *configurer.Version) stage {
	found := stages()[0]
	for _, s := range stages() {
		if v.Exposure >= s.exposure {
			found = s
		}
	}
	return found
}

func exposureOf(state interpreter.State) float64 {
	for _, s := range stages() {
		if s.state == state {
			return s.exposure
		}
	}
	return 0
}

package promoter

import (
	_ "embed"
	"time"

	"github.com/siskinfront/siskinfront/configurer"
	"github.com/siskinfront/siskinfront/interpreter"
)

//go:embed rollout.yaml
var rolloutChart []byte

// Chart returns the state chart of the roll-out of a candidate version.
func Chart() *interpreter.Chart { return interpreter.MustParse(rolloutChart) }

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
	EventRetreat  interpreter.Event = "doubt"
	EventBad      interpreter.Event = "bad"
)

// stage is the exposure of a state and the conditions for leaving it.
type stage struct {
	state    interpreter.State
	exposure float64
	// minPairs is the number of rated pairs and minDuration the time that the stage needs before the next one starts.
	minPairs    int
	minDuration time.Duration
	// canRetreat is set if recent evidence against the candidate leads back to the previous stage. The smaller stages keep their
	// exposure, because a rollback needs the answers of the candidate as evidence.
	canRetreat bool
	// last is set if the stage ends with the confirmation of the version.
	last bool
}

// stages returns the stages in order. The half stage lasts at least a day: only a control group of the same hours separates a
// bad version from requests that are harder at that time, and equal shares detect it soonest. The last stage leaves a tenth of
// the requests to the serving versions for days, because a version without a control group is never rolled back.
func stages() []stage {
	return []stage{
		{state: StateNew},
		{state: StateCanary, exposure: 0.02, minPairs: 10, minDuration: minStageDuration},
		{state: StateSmall, exposure: 0.1, minPairs: 100, minDuration: minStageDuration},
		{state: StateQuarter, exposure: 0.25, minPairs: 100, minDuration: minStageDuration},
		{state: StateHalf, exposure: 0.5, minPairs: 200, minDuration: minHalfDuration, canRetreat: true},
		{state: StateMost, exposure: 0.9, minPairs: 200, minDuration: minMostDuration, canRetreat: true, last: true},
	}
}

// stageOf returns the stage of a configured version: the last one whose exposure is not above the configured one. The
// configuration is the only durable state of a roll-out, so a new holder of the lease continues from it.
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

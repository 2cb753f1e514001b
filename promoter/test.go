package promoter

const (
	// betRate is the weight of one pair in the means that decide the bet, so that it adapts within about 40 pairs.
	betRate = 0.023
	// maxBet keeps the wealth positive after the worst pair.
	maxBet = 0.5
	// restartPairs is the number of pairs after which another process starts; a version that turns bad late then does not
	// have to win back what the earlier processes lost.
	restartPairs = 100
	// maxProcesses bounds the memory; the process with the least wealth is dropped, which only makes the test stricter.
	maxProcesses = 24
)

// process is one wealth process: a bet on the mean difference being above the tolerance.
type process struct{ wealth, weight float64 }

// evidence is an always-valid one-sided test of E[difference] <= tolerance for differences from -1 to 1. Its value is a
// mixture, with weights that sum to at most 1, of wealth processes that start later and later. Each is a non-negative
// supermartingale under the hypothesis, so the probability that the value ever reaches 1/alpha is at most alpha.
type evidence struct {
	tolerance float64
	pairs     int
	processes []process
	// mean and square are exponentially weighted, and decide the next bet only.
	mean, square float64
}

// add takes one difference.
func (e *evidence) add(difference float64) {
	d := min(max(difference, -1), 1) - e.tolerance
	if e.pairs%restartPairs == 0 {
		k := float64(e.pairs / restartPairs)
		e.start(1 / ((k + 1) * (k + 2)))
	}
	bet := 0.0
	if e.pairs > 0 {
		bet = min(max(e.mean/(e.square+1e-6), 0), maxBet)
	}
	factor := 1 + bet*d
	for i := range e.processes {
		e.processes[i].wealth *= factor
	}
	e.pairs++
	// The first pairs weigh more, so that the bet does not start from an arbitrary mean.
	rate := max(betRate, 1/float64(e.pairs+4))
	e.mean += rate * (d - e.mean)
	e.square += rate * (d*d - e.square)
}

// start begins a process with the given weight.
func (e *evidence) start(weight float64) {
	if len(e.processes) >= maxProcesses {
		least := 0
		for i := range e.processes {
			if e.processes[i].wealth*e.processes[i].weight < e.processes[least].wealth*e.processes[least].weight {
				least = i
			}
		}
		e.processes[least] = process{1, weight}
		return
	}
	e.processes = append(e.processes, process{1, weight})
}

// value returns the evidence against the hypothesis; the weight of processes that have not started counts as 0.
func (e *evidence) value() float64 {
	sum := 0.0
	for _, p := range e.processes {
		sum += p.weight * p.wealth
	}
	return sum
}

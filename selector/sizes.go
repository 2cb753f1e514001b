package selector

import "sync/atomic"

// sizeWindowLength is the number of latest requests whose sizes determine the price of quality of a plan.
const sizeWindowLength = 128

// requestSize holds the properties of a request that its cost depends on: its token counts and whether it may use a cascade.
type requestSize struct {
	prompt, output float64
	cascadeAllowed bool
}

// sizeWindow is a ring buffer of the latest request sizes, packed into one word each; it is safe for concurrent use.
type sizeWindow struct {
	count  atomic.Uint64
	packed [sizeWindowLength]atomic.Uint64
}

// tokenCountBits is the number of bits of each packed token count, and maxTokenCount the highest count that they hold.
const (
	tokenCountBits = 31
	maxTokenCount  = 1<<tokenCountBits - 1
)

func (w *sizeWindow) add(prompt, output float64, cascadeAllowed bool) {
	word := uint64(min(max(prompt, 0), maxTokenCount))<<tokenCountBits | uint64(min(max(output, 0), maxTokenCount))
	if cascadeAllowed {
		word |= 1 << (2 * tokenCountBits)
	}
	w.packed[(w.count.Add(1)-1)%sizeWindowLength].Store(word)
}

// list returns the sizes of the latest requests, in no particular order.
func (w *sizeWindow) list() []requestSize {
	n := min(w.count.Load(), sizeWindowLength)
	requests := make([]requestSize, 0, n)
	for i := range n {
		word := w.packed[i].Load()
		requests = append(requests, requestSize{
			prompt: float64(word >> tokenCountBits & maxTokenCount), output: float64(word & maxTokenCount),
			cascadeAllowed: word>>(2*tokenCountBits) != 0,
		})
	}
	return requests
}

// meanTokens returns the mean number of prompt tokens and of completion tokens.
func meanTokens(requests []requestSize) [2]float64 {
	var sum [2]float64
	for i := range requests {
		sum[0] += requests[i].prompt / float64(len(requests))
		sum[1] += requests[i].output / float64(len(requests))
	}
	return sum
}

const (
	// bisectionSteps is the number of bisection steps for the price of quality, which leave an error of 1/4,000 of the range.
	bisectionSteps = 12
	// nearBisectionSteps is the number of steps when the new price is within the factor nearLambdaFactor of the previous one.
	nearBisectionSteps, nearLambdaFactor = 6, 1.2
)

// findLambda returns the lowest price of quality up to maxLambda at which the given requests have a mean quality of goal when
// each is sent to the option on the hull with the lowest score, or maxLambda when there is none. It first searches near the
// previous price.
func (p *plan) findLambda(requests []requestSize, priceFactor, goal, maxLambda, previous float64) float64 {
	singles, all := p.hullOptions(p.singleCount), p.hullOptions(len(p.options))
	reachesGoal := func(lambda float64) bool {
		sum := 0.0
		for i := range requests {
			request, options := &requests[i], singles
			if request.cascadeAllowed {
				options = all
			}
			// Evenly spaced positions stand for the hashes of the sessions.
			w := newScoreWeights(lambda, priceFactor, p.worth, (float64(i)+0.5)/float64(len(requests)))
			sum += options[indexOfLowestScore(options, w, request.prompt, request.output)].quality
		}
		return sum >= goal*float64(len(requests))
	}
	if reachesGoal(0) {
		return 0
	}
	low, high, steps := 0.0, maxLambda, bisectionSteps
	if previous*nearLambdaFactor < maxLambda && reachesGoal(previous*nearLambdaFactor) && !reachesGoal(previous/nearLambdaFactor) {
		low, high, steps = previous/nearLambdaFactor, previous*nearLambdaFactor, nearBisectionSteps
	}
	for range steps {
		if lambda := (low + high) / 2; reachesGoal(lambda) {
			high = lambda
		} else {
			low = lambda
		}
	}
	return high
}

// hullOptions returns the options that are on the hull of the first n options.
func (p *plan) hullOptions(n int) []option {
	points := hull(p.options[:n], p.meanTokens)
	options := make([]option, len(points))
	for i := range points {
		options[i] = p.options[points[i].index]
	}
	return options
}

// indexOfLowestScore returns the index of the option with the lowest score, and of these the one with the lowest price.
func indexOfLowestScore(options []option, w scoreWeights, prompt, output float64) int {
	best, bestScore, bestPrice := 0, 0.0, 0.0
	for i := range options {
		price := options[i].price(prompt, output)
		score := w.cost*price - w.quality*options[i].quality
		if i == 0 || score < bestScore || score == bestScore && price < bestPrice {
			best, bestScore, bestPrice = i, score, price
		}
	}
	return best
}

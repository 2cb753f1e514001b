package selector

import "sync/atomic"

// sizeSample is the number of latest requests of a plan whose sizes its price of quality is computed from.
const sizeSample = 128

// size is what the cost of a request depends on.
type size struct {
	prompt, output float64
	// cascade reports whether a cascade was permitted.
	cascade bool
}

// sizes holds the latest requests of one control; it is safe for concurrent use and takes one word per request.
type sizes struct {
	count  atomic.Uint64
	packed [sizeSample]atomic.Uint64
}

// sizeBits is the number of bits of each token count, and sizeMost the highest count that they hold.
const (
	sizeBits = 31
	sizeMost = 1<<sizeBits - 1
)

func (s *sizes) add(prompt, output float64, cascade bool) {
	word := uint64(min(max(prompt, 0), sizeMost))<<sizeBits | uint64(min(max(output, 0), sizeMost))
	if cascade {
		word |= 1 << (2 * sizeBits)
	}
	s.packed[(s.count.Add(1)-1)%sizeSample].Store(word)
}

// list returns the latest requests.
func (s *sizes) list() []size {
	n := min(s.count.Load(), sizeSample)
	list := make([]size, 0, n)
	for i := range n {
		word := s.packed[i].Load()
		list = append(list, size{
			prompt: float64(word >> sizeBits & sizeMost), output: float64(word & sizeMost), cascade: word>>(2*sizeBits) != 0,
		})
	}
	return list
}

// mean returns the mean prompt and output tokens.
func mean(list []size) [2]float64 {
	var sum [2]float64
	for i := range list {
		sum[0] += list[i].prompt / float64(len(list))
		sum[1] += list[i].output / float64(len(list))
	}
	return sum
}

const (
	// priceSteps is the number of halvings of the range of the price of quality, which leaves it exact to 1 in 4,000.
	priceSteps = 12
	// priceStepsNear and priceNear are those halvings, and the range around the former price, while the price hardly changes.
	priceStepsNear, priceNear = 6, 1.2
)

// price returns the lowest price of quality up to most at which the requests of the list have a mean quality of goal when each
// goes to the option on the hull with the lowest score, and most when there is none. The search begins at the former price.
func (p *plan) price(list []size, factor, goal, most, former float64) float64 {
	singles, all := p.onHull(p.singles), p.onHull(len(p.options))
	reached := func(lambda float64) bool {
		sum := 0.0
		for i := range list {
			r, options := &list[i], singles
			if r.cascade {
				options = all
			}
			// Evenly spread requests stand for the hashes of sessions.
			w := weigh(lambda, factor, p.worth, (float64(i)+0.5)/float64(len(list)))
			sum += options[cheapest(options, w, r.prompt, r.output)].quality
		}
		return sum >= goal*float64(len(list))
	}
	if reached(0) {
		return 0
	}
	low, high, steps := 0.0, most, priceSteps
	if former*priceNear < most && reached(former*priceNear) && !reached(former/priceNear) {
		low, high, steps = former/priceNear, former*priceNear, priceStepsNear
	}
	for range steps {
		if middle := (low + high) / 2; reached(middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return high
}

// onHull returns those of the first n options that are on their hull.
func (p *plan) onHull(n int) []option {
	points := hull(p.options[:n], p.reference)
	options := make([]option, len(points))
	for i := range points {
		options[i] = p.options[points[i].index]
	}
	return options
}

// cheapest returns the index of the option with the lowest score; of equal ones the one with the lowest price.
func cheapest(options []option, w weights, prompt, output float64) int {
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

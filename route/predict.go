package route

import (
	"math"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// A predictor predicts a positive figure of a request, such as the number of its output
// tokens, from earlier requests. Requests are classified by a list of keys, each of which
// is a part of the one before; classes with few samples take the mean of the next larger
// one. Figures are averaged as logarithms, since they range over orders of magnitude. It
// is safe for concurrent use.
type predictor struct {
	mutex   sync.Mutex
	classes map[uint64]*logAverage
	// hints holds the logarithm of the figure relative to the caller's hint, by class.
	hints map[uint64]*logAverage
	prior logAverage
	// unreported holds the samples that the other instances do not have.
	unreported, unreportedHints map[uint64]*logSum
}

// A logSum holds sums of the logarithms of samples.
type logSum struct{ n, sum, squares float64 }

// A logAverage is the decayed mean and variance of logarithms.
type logAverage struct {
	weight, mean, variance float64
}

const (
	// maxClasses bounds the classes of a predictor, of 40 bytes each. A further one replaces
	// any other, whose requests then use the mean of the larger class that they belong to.
	maxClasses = 4096
	// sampleMemory is the number of samples that the averages of a class hold, so that they
	// follow a change within as many requests.
	sampleMemory = 30
	// classPrior is the number of samples that the larger class stands for.
	classPrior = 4
	// initialSpread is the standard deviation of the logarithms before there are samples.
	initialSpread = 1.0
	// hintSpread is the one of the caller's hint: it is right at the median, and often far off.
	hintSpread = 0.7
)

// add adds a sample, starting from the average of the larger class.
func (a *logAverage) add(x float64, parent logAverage) {
	if a.weight == 0 {
		a.mean, a.variance = parent.mean, parent.variance
	}
	a.weight = min(sampleMemory, a.weight+1)
	part := 1 / (a.weight + classPrior)
	delta := x - a.mean
	a.mean += part * delta
	a.variance += part * (delta*delta*(1-part) - a.variance)
}

func newPredictor(typical float64) *predictor {
	return &predictor{
		classes: map[uint64]*logAverage{}, hints: map[uint64]*logAverage{}, unreported: map[uint64]*logSum{}, unreportedHints: map[uint64]*logSum{},
		prior: logAverage{mean: math.Log(typical), variance: initialSpread * initialSpread},
	}
}

// lookup returns the average of the smallest known class, each of which began with that of
// the larger one.
func lookup(classes map[uint64]*logAverage, keys []uint64, prior logAverage) logAverage {
	for _, key := range keys {
		if a := classes[key]; a != nil {
			prior = *a
		}
	}
	return prior
}

func learn(classes map[uint64]*logAverage, keys []uint64, prior logAverage, x float64) {
	for _, key := range keys {
		a := classes[key]
		if a == nil {
			if len(classes) >= maxClasses {
				removeAny(classes)
			}
			a = &logAverage{}
			classes[key] = a
		}
		a.add(x, prior)
		prior = *a
	}
}

// removeAny removes an arbitrary class.
func removeAny(classes map[uint64]*logAverage) {
	for key := range classes {
		delete(classes, key)
		return
	}
}

var hintPrior = logAverage{variance: hintSpread * hintSpread}

// predict returns the expected figure of a request with the keys and the caller's hint,
// which is 0 if there is none.
func (p *predictor) predict(keys []uint64, hint float64) float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := lookup(p.classes, keys, p.prior)
	mean, variance := known.mean, known.variance
	if hint > 0 {
		// The inverse of the variances weighs what is known of the class and the hint.
		relative := lookup(p.hints, keys, hintPrior)
		a, b := 1/max(minVariance, variance), 1/max(minVariance, relative.variance)
		mean = (a*mean + b*(math.Log(hint)+relative.mean)) / (a + b)
		variance = 1 / (a + b)
	}
	return math.Exp(mean + min(maxVariance, variance)/2)
}

const (
	// minVariance bounds the weight of either source.
	minVariance = 0.01
	// maxVariance bounds the part that the spread adds to the expected figure, so that
	// single outliers do not multiply it.
	maxVariance = 1.0
)

// observe records the figure of a request with the keys and the caller's hint.
func (p *predictor) observe(keys []uint64, hint, figure float64) {
	if !(figure > 0) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	learn(p.classes, keys, p.prior, math.Log(figure))
	addUnreported(p.unreported, keys, math.Log(figure))
	if hint > 0 {
		learn(p.hints, keys, hintPrior, math.Log(figure/hint))
		addUnreported(p.unreportedHints, keys, math.Log(figure/hint))
	}
}

// OutputKeys returns the keys of a request by which its output is predicted: the route, the
// workspace and the size of the prompt.
func OutputKeys(route, workspace string, promptTokens, maxOutput int64) []uint64 {
	r := xxhash.Sum64String(route)
	w := mix(r ^ xxhash.Sum64String("w"+workspace))
	size := uint64(math.Log2(float64(1+max(0, promptTokens))))<<8 | uint64(math.Log2(float64(1+max(0, maxOutput))))
	return []uint64{r, w, mix(w ^ size)}
}

// PathKeys returns the keys of a request without a prompt by which its run time is
// predicted: the route, with the method, and the shape of its path.
func PathKeys(route, method, path string) []uint64 {
	r := xxhash.Sum64String(method + " " + route)
	return []uint64{r, mix(r ^ xxhash.Sum64String(pathShape(path)))}
}

// pathShape returns the path with its variable segments, which contain a digit or are long,
// replaced by a star.
func pathShape(path string) string {
	const longSegment = 24
	segments := strings.Split(path, "/")
	for i, s := range segments {
		if len(s) >= longSegment || strings.ContainsAny(s, "0123456789%") {
			segments[i] = "*"
		}
	}
	return strings.Join(segments, "/")
}

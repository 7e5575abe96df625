package route

import "math"

// A ClassKind says what figures a ClassSample is about.
type ClassKind int

// The kinds of figures.
const (
	// OutputClass is the number of output tokens.
	OutputClass ClassKind = iota + 1
	// HintClass is the number of output tokens relative to the caller's hint.
	HintClass
	// RunTimeClass is the run time of a request without a prompt, in seconds at usual speed.
	RunTimeClass
)

// A ClassSample tells of the requests of one class: their number, and the mean and the variance
// of the logarithms of their figures.
type ClassSample struct {
	Kind                    ClassKind
	Class                   uint64
	Samples, Mean, Variance float64
}

// maxUnreported bounds the classes of which samples wait to be reported.
const maxUnreported = 256

func addUnreported(sums map[uint64]*logSum, keys []uint64, x float64) {
	for _, key := range keys {
		s := sums[key]
		if s == nil {
			if len(sums) >= maxUnreported {
				continue
			}
			s = &logSum{}
			sums[key] = s
		}
		s.n, s.sum, s.squares = s.n+1, s.sum+x, s.squares+x*x
	}
}

// TakeSamples returns the samples of at most the given number of classes that this instance has
// observed and not returned before.
func (m *CostModel) TakeSamples(limit int) []ClassSample {
	var list []ClassSample
	for _, source := range m.sources() {
		source.predictor.mutex.Lock()
		for key, s := range source.unreported {
			if len(list) >= limit {
				break
			}
			mean := s.sum / s.n
			list = append(list, ClassSample{source.kind, key, s.n, mean, max(0, s.squares/s.n-mean*mean)})
			delete(source.unreported, key)
		}
		source.predictor.mutex.Unlock()
	}
	return list
}

// AddPooled takes what all instances observed of a class, this one included. Samples that were
// observed here and not yet reported are lost until they are reported. A control instance that
// started lately knows less than this one; what it has is ignored then.
func (m *CostModel) AddPooled(s ClassSample) {
	if !(s.Samples > 0) || !(math.Abs(s.Mean) < maxLogarithm) || !(s.Variance >= 0) || s.Variance > maxLogarithm {
		return
	}
	for _, source := range m.sources() {
		if source.kind != s.Kind {
			continue
		}
		source.predictor.mutex.Lock()
		if known := source.classes[s.Class]; known == nil || s.Samples >= known.weight {
			if known == nil && len(source.classes) >= maxClasses {
				removeAny(source.classes)
			}
			source.classes[s.Class] = &logAverage{weight: min(sampleMemory, s.Samples), mean: s.Mean, variance: s.Variance}
		}
		source.predictor.mutex.Unlock()
	}
}

// maxLogarithm bounds the means and variances that other instances report.
const maxLogarithm = 50

type classSource struct {
	kind       ClassKind
	predictor  *predictor
	classes    map[uint64]*logAverage
	unreported map[uint64]*logSum
}

func (m *CostModel) sources() []classSource {
	return []classSource{
		{OutputClass, m.outputs, m.outputs.classes, m.outputs.unreported},
		{HintClass, m.outputs, m.outputs.hints, m.outputs.unreportedHints},
		{RunTimeClass, m.runTimes, m.runTimes.classes, m.runTimes.unreported},
	}
}

package origin

import (
	"slices"
	"time"
)

// A Reason tells how a decision was made.
type Reason string

const (
	// Recorded means that the origin is on record.
	Recorded Reason = "recorded"
	// Single means that nothing is on record, and that only one kind of software can have begun
	// the stream.
	Single Reason = "single"
	// Several means that nothing is on record, and that several kinds of software can have begun
	// the stream.
	Several Reason = "several"
	// Disputed means that there are records of several origins.
	Disputed Reason = "disputed"
	// NotCovered means that nothing is on record, and that it is not known for long enough, or by
	// every control instance, which software served.
	NotCovered Reason = "not_covered"
)

// A Decision tells what may continue a stream.
type Decision struct {
	origin Origin
	reason Reason
	// conclusive is true if every control instance that is known has answered.
	conclusive bool
}

// Origin returns what may continue the stream, and whether anything may.
func (d Decision) Origin() (Origin, bool) { return d.origin, d.origin != Origin{} }

// Reason returns how the decision was made.
func (d Decision) Reason() Reason { return d.reason }

// Conclusive reports whether every control instance that is known has answered.
func (d Decision) Conclusive() bool { return d.conclusive }

// Evidence is what one instance knows of a stream and of the software that served.
type Evidence struct {
	// Origins holds what is on record; the zero Origin stands for a disputed one.
	Origins []Origin
	// History holds the software of the services that the instance knew to serve.
	History []Seen
	// Covered is the time that the history covers.
	Covered time.Duration
}

// Seen is software that targets of a service run, or ran.
type Seen struct {
	Origin Origin
	// Age is the time since it last served; 0 if it serves.
	Age time.Duration
}

// Decide returns what may continue a stream that began at most span ago, by the evidence of this
// instance and the answers of control instances. complete is true if every control instance that is
// known could be asked. Without that, this instance, and those that answered, may be out of step, and
// that they know of one version only does not show that there is no other. For the same reason this
// instance's own history counts only if no control instance has one.
func Decide(own Evidence, answers []Evidence, complete bool, span time.Duration) Decision {
	var recorded, possible []Origin
	covered := len(answers) == 0 && own.Covered >= span
	for _, e := range answers {
		covered = covered || e.Covered >= span
	}
	for _, e := range append(answers, own) {
		for _, o := range e.Origins {
			recorded = appendNew(recorded, o)
		}
		for _, s := range e.History {
			if s.Age <= span {
				possible = appendNew(possible, s.Origin)
			}
		}
	}
	switch {
	case len(recorded) == 1 && recorded[0] != disputed:
		return Decision{origin: recorded[0], reason: Recorded}
	case len(recorded) > 0:
		return Decision{reason: Disputed}
	case len(possible) > 1:
		return Decision{reason: Several}
	case len(possible) == 0 || !covered || !complete:
		return Decision{reason: NotCovered}
	}
	return Decision{origin: possible[0], reason: Single}
}

func appendNew(list []Origin, o Origin) []Origin {
	if slices.Contains(list, o) {
		return list
	}
	return append(list, o)
}

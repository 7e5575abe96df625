package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// A Kind names what a fault does.
type Kind string

// The kinds of faults. Planned ones are an operator's ordinary work.
const (
	KillEntry     Kind = "kill_entry"
	KillControl   Kind = "kill_control"
	KillControls  Kind = "kill_all_controls"
	PauseEntry    Kind = "pause_entry"
	PauseControl  Kind = "pause_control"
	LoseFolder    Kind = "lose_folder"
	TearLog       Kind = "tear_log"
	CutControl    Kind = "cut_control"
	CutOneWay     Kind = "cut_one_way"
	CutDomain     Kind = "cut_domain"
	DelayControl  Kind = "delay_control"
	ResetEntry    Kind = "reset_entry"
	ResetControl  Kind = "reset_control"
	MuteEntry     Kind = "mute_entry"
	MuteControl   Kind = "mute_control"
	CrashTarget   Kind = "crash_target"
	SpoilAnswers  Kind = "spoil_answers"
	StopEntry     Kind = "stop_entry"
	StopControl   Kind = "stop_control"
	ReloadAll     Kind = "reload_all"
	LeaveTarget   Kind = "leave_target"
	ChangeVersion Kind = "change"
	RaceVersions  Kind = "race"
	BadVersion    Kind = "bad_change"
)

var (
	plannedKinds   = []Kind{StopEntry, StopEntry, StopControl, ReloadAll, LeaveTarget, ChangeVersion, ChangeVersion, RaceVersions, BadVersion}
	unplannedKinds = []Kind{
		KillEntry, KillControl, KillControls, PauseEntry, PauseControl, LoseFolder, TearLog, CutControl, CutOneWay, CutDomain,
		DelayControl, ResetEntry, ResetControl, MuteEntry, MuteControl, CrashTarget, SpoilAnswers,
	}
)

// Planned reports whether the kind is an operator's ordinary work, during which
// nothing may be lost.
func (k Kind) Planned() bool { return slices.Contains(plannedKinds, k) }

// A Fault represents something that is done to the site.
type Fault struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	// On picks among what the kind strikes.
	On int
}

const (
	// leastFault and mostFault bound how long a fault lasts.
	leastFault = 300 * time.Millisecond
	mostFault  = 4 * time.Second
	// seriesGap bounds the time between two faults of a series, calm the time
	// between two series: longer than instances need to find each other.
	seriesGap = 700 * time.Millisecond
	calm      = 2500 * time.Millisecond
	// mostInSeries bounds the faults of a series.
	mostInSeries = 6
)

// Plan draws the faults of a run. A third of the seeds has planned work only, a
// third faults only; the others have both, overlapping.
func Plan(seed uint64, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	kinds := append(append([]Kind(nil), plannedKinds...), unplannedKinds...)
	switch seed % 3 {
	case 0:
		kinds = plannedKinds
	case 1:
		kinds = append([]Kind{ChangeVersion}, unplannedKinds...)
	}
	var faults []Fault
	at := time.Duration(0)
	for at < span {
		for range 1 + random.IntN(mostInSeries) {
			f := Fault{At: at, Kind: kinds[random.IntN(len(kinds))], On: random.IntN(1 << 16)}
			f.For = leastFault + time.Duration(random.Int64N(int64(mostFault-leastFault)))
			faults = append(faults, f)
			at += time.Duration(random.Int64N(int64(seriesGap)))
		}
		at += time.Duration(random.Int64N(int64(2 * calm)))
	}
	faults = slices.DeleteFunc(faults, func(f Fault) bool { return f.At >= span })
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

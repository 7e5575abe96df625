package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// A Kind is a kind of fault.
type Kind string

// The kinds of faults. The planned ones are ordinary operations: stops, reloads,
// draining targets and configuration changes.
const (
	KillEntry        Kind = "kill_entry"
	KillControl      Kind = "kill_control"
	KillControls     Kind = "kill_all_controls"
	PauseEntry       Kind = "pause_entry"
	PauseControl     Kind = "pause_control"
	LoseDataFolder   Kind = "lose_folder"
	TornLogWrite     Kind = "tear_log"
	PartitionControl Kind = "cut_control"
	PartitionOneWay  Kind = "cut_one_way"
	PartitionDomain  Kind = "cut_domain"
	DelayControl     Kind = "delay_control"
	ResetEntry       Kind = "reset_entry"
	ResetControl     Kind = "reset_control"
	StallEntry       Kind = "mute_entry"
	StallControl     Kind = "mute_control"
	CrashTarget      Kind = "crash_target"
	FaultyResponses  Kind = "spoil_answers"
	StopEntry        Kind = "stop_entry"
	StopControl      Kind = "stop_control"
	ReloadAll        Kind = "reload_all"
	DrainTarget      Kind = "leave_target"
	ChangeConfig     Kind = "change"
	RaceChanges      Kind = "race"
	InvalidVersion   Kind = "bad_change"

	OddWriter        Kind = "odd_writer"
	LoseAcknowledger Kind = "lose_acknowledger"
	LateResponses    Kind = "late_answers"
	IsolateEntry     Kind = "isolate_entry"
	RestartUnheard   Kind = "restart_unheard"
	ReleaseOutOfStep Kind = "release_out_of_step"

	LateRequests      Kind = "late_requests"
	FailContinuations Kind = "fail_continuations"

	BadResponses Kind = "bad_responses"
	OddCallers   Kind = "odd_callers"
)

var (
	plannedKinds   = []Kind{StopEntry, StopEntry, StopControl, ReloadAll, DrainTarget, ChangeConfig, ChangeConfig, RaceChanges, InvalidVersion}
	unplannedKinds = []Kind{
		KillEntry, KillControl, KillControls, PauseEntry, PauseControl, LoseDataFolder, TornLogWrite, PartitionControl, PartitionOneWay, PartitionDomain,
		DelayControl, ResetEntry, ResetControl, StallEntry, StallControl, CrashTarget, FaultyResponses,
	}
)

// separateKinds are drawn apart from the other kinds, so that a seed keeps the faults that it had before they were
// added. Odd writers disturb nothing, and count as planned.
var separateKinds = []Kind{OddWriter, LoseAcknowledger, LateResponses, IsolateEntry, RestartUnheard, ReleaseOutOfStep}

// laterKinds are drawn apart from these, for the same reason. Late requests belong to a planned stop.
var laterKinds = []Kind{LateRequests, FailContinuations}

// protocolKinds are drawn apart from these. Odd callers disturb nothing, and count as planned.
var protocolKinds = []Kind{BadResponses, OddCallers}

// Planned reports whether the kind is an ordinary operation, during which no
// request may be lost.
func (k Kind) Planned() bool {
	return k == OddWriter || k == LateRequests || k == OddCallers || slices.Contains(plannedKinds, k)
}

// A Fault represents a fault or ordinary operation that starts at At, counted from
// the start of the injection, and lasts for For.
type Fault struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Selector, modulo their number, selects one of the instances or targets.
	Selector int
}

const (
	// minFaultDuration and maxFaultDuration bound how long a fault lasts.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// maxGapInSeries bounds the time between two faults of a series.
	// meanSeriesPause is the mean time between two series. It is longer than
	// instances need to find each other.
	maxGapInSeries  = 700 * time.Millisecond
	meanSeriesPause = 2500 * time.Millisecond
	// maxSeriesLength bounds the number of faults in a series.
	maxSeriesLength = 6
)

// Plan draws the faults of a run of the given duration from the seed. The remainder
// of the seed divided by 3 decides: 0 gives planned kinds only, 1 unplanned kinds
// and configuration changes, 2 all kinds.
func Plan(seed uint64, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	kinds := append(append([]Kind(nil), plannedKinds...), unplannedKinds...)
	switch seed % 3 {
	case 0:
		kinds = plannedKinds
	case 1:
		kinds = append([]Kind{ChangeConfig}, unplannedKinds...)
	}
	var faults []Fault
	at := time.Duration(0)
	for at < span {
		for range 1 + random.IntN(maxSeriesLength) {
			f := Fault{At: at, Kind: kinds[random.IntN(len(kinds))], Selector: random.IntN(1 << 16)}
			f.For = minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
			faults = append(faults, f)
			at += time.Duration(random.Int64N(int64(maxGapInSeries)))
		}
		at += time.Duration(random.Int64N(int64(2 * meanSeriesPause)))
	}
	faults = append(faults, planSeparate(seed, span)...)
	faults = append(faults, planLater(seed, span)...)
	faults = append(faults, planProtocol(seed, span)...)
	faults = slices.DeleteFunc(faults, func(f Fault) bool { return f.At >= span })
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// planSeparate draws the faults of separateKinds. Seeds with planned kinds only get odd writers only.
func planSeparate(seed uint64, span time.Duration) (faults []Fault) {
	random := rand.New(rand.NewPCG(seed, 5))
	kinds := separateKinds
	if seed%3 == 0 {
		kinds = []Kind{OddWriter}
	}
	for at := time.Duration(0); at < span; at += time.Duration(random.Int64N(int64(meanSeriesPause))) {
		f := Fault{At: at, Kind: kinds[random.IntN(len(kinds))], Selector: random.IntN(1 << 16)}
		f.For = minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		faults = append(faults, f)
	}
	return faults
}

// planLater draws the faults of laterKinds: seeds with planned kinds only get late requests only.
func planLater(seed uint64, span time.Duration) []Fault {
	kinds := laterKinds
	if seed%3 == 0 {
		kinds = []Kind{LateRequests}
	}
	return planApart(rand.New(rand.NewPCG(seed, 7)), kinds, span)
}

// planProtocol draws the faults of protocolKinds: only OddCallers for seeds with planned kinds.
func planProtocol(seed uint64, span time.Duration) []Fault {
	kinds := protocolKinds
	if seed%3 == 0 {
		kinds = []Kind{OddCallers}
	}
	return planApart(rand.New(rand.NewPCG(seed, 9)), kinds, span)
}

// planApart draws faults of the kinds, one after the other.
func planApart(random *rand.Rand, kinds []Kind, span time.Duration) (faults []Fault) {
	for at := time.Duration(random.Int64N(int64(meanSeriesPause))); at < span; at += time.Duration(random.Int64N(int64(2 * meanSeriesPause))) {
		f := Fault{At: at, Kind: kinds[random.IntN(len(kinds))], Selector: random.IntN(1 << 16)}
		f.For = minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		faults = append(faults, f)
	}
	return faults
}

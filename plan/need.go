package plan

import (
	"math"
	"time"
)

const (
	// imbalance is the load of the busiest target in relation to the mean; 2.2 was measured. Capacity is
	// planned so that the busiest target is in time.
	imbalance = 2.0
	// waitDivisor is the part of the objective that a prompt may wait for others on average on the busiest target.
	waitDivisor = 2
	// maxBusyShare is the share of a target's slots that may be in use on the busiest target. Requests
	// wait beyond that when streams arrive unevenly.
	maxBusyShare = 0.8
	// defaultObjective applies to services whose routes state none.
	defaultObjective = 500 * time.Millisecond
	// bestUtilization is the share of the time that prefill targets work at the planned peak, at the observed rate, which
	// includes waits. Bursts of one kind of request last three seconds, less than a start.
	bestUtilization = 0.6
	// reducedUtilization is the share of the time that prefill targets work after the loss of a failure domain, at the
	// mean demand: bursts of 1.9 make prompts late, but the backlog does not grow.
	reducedUtilization = 0.6
	// utilizationBand is how much higher than that the utilization may be. The queue from which it is computed
	// has constant rates; targets have different speeds, which change several times a second.
	utilizationBand = 1.25
	// minPlannedRate bounds the observed prefill rate from below, in tokens a second.
	minPlannedRate = 2_000
)

// Throughput represents what one target can do.
type Throughput struct {
	// Slots is the number of requests that a target runs at once.
	Slots int
	// Staged is true if some targets only prefill and the others only decode.
	Staged bool
	// Objective is the time to the first event that is intended.
	Objective time.Duration
}

// A load represents the demand for which targets are counted.
type load struct{ tokens, squares, running float64 }

// targetsFor returns the number of targets with which the busiest one lets a prompt wait for others for the given
// time on average.
//
// It is that of a queue with random arrivals: with n targets, rate r, tokens t and squares q a second, one
// target is busy for u = t/(n r), and a prompt waits q/(n r² 2 (1-u)). With the imbalance b, n is
// b (t/r + q/(2 r² wait)).
//
// If the load is steady rather than that of some seconds, the number is kept within utilizationBand.
func (t Throughput) targetsFor(l load, rate float64, wait time.Duration, steady bool) float64 {
	rate = max(minPlannedRate, rate)
	prefill := l.tokens / rate / reducedUtilization
	if steady {
		usual := l.tokens / rate / bestUtilization
		prefill = imbalance * (l.tokens/rate + l.squares/(2*rate*rate*wait.Seconds()))
		prefill = min(max(prefill, usual/utilizationBand), usual)
	}
	decode := imbalance * l.running / (maxBusyShare * float64(max(1, t.Slots)))
	if !t.Staged {
		return prefill + decode
	}
	return max(prefill/(1-decodeShare), decode/decodeShare)
}

// A Need represents the number of targets that carry a service's demand.
type Need struct {
	// Steady is the number with which requests are in time at the planned peak.
	Steady float64
	// Reduced is the number that serves the mean demand without a backlog for the seconds after the loss
	// of a failure domain, until replacements serve. Prompts are then late, but not refused.
	Reduced float64
	// Total is the number to order, so that Steady holds with a margin, and Reduced after the loss.
	Total int
}

const (
	// orderMargin is the margin of what is ordered over what is needed, so that demand that rises a little
	// causes no order.
	orderMargin = 1.1
	// floorRatio is the least number of targets per initial one. The demand of the last tens of seconds
	// says little about that of the next minute, and starting takes seconds.
	floorRatio = 0.5
)

// need returns the number of targets that carry the demand, spread over the number of failure domains, of
// which there were initial ones before any were ordered.
func (t Throughput) need(o Outlook, domains, initial int) Need {
	objective := t.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	scale := 1.0
	if o.Mean > 0 {
		scale = o.Planned / o.Mean
	}
	lost := 1 / float64(max(2, domains))
	// Prompts whose cached part was on the lost targets are prefilled as a whole.
	refilled := o.Mean + lost*max(0, o.Prompt-o.Mean)
	refillScale := 1.0
	if o.Mean > 0 {
		refillScale = refilled / o.Mean
	}
	n := Need{
		Steady:  t.targetsFor(load{o.Planned, o.Squares * scale, o.RunningPlanned}, o.PrefillRate, objective/waitDivisor, true),
		Reduced: t.targetsFor(load{refilled, o.Squares * refillScale, o.RunningMean}, o.PrefillRate, objective, false),
	}
	total := max(orderMargin*n.Steady, n.Reduced/(1-lost), floorRatio*float64(initial), float64(domains))
	n.Total = int(math.Ceil(min(total, maxTotal)))
	return n
}

// maxTotal bounds the computed number of targets, so that it is an int. The maximum of the service bounds
// orders.
const maxTotal = 1 << 20

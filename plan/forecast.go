package plan

import (
	"cmp"
	"slices"
	"time"
)

// A Demand represents what callers demand of a service at one time, as rates a second over the last
// seconds, summed over entry instances.
type Demand struct {
	// PromptTokens are those of all prompts, PrefillTokens those that no target was expected to hold in
	// its cache. PrefillSquares is the sum of the squares of the latter by request.
	Requests, PromptTokens, PrefillTokens, PrefillSquares float64
	// Running is the number of requests in flight on targets that decode.
	Running float64
	// EntryMean and EntryPeak are the sums of the mean and of the peak of PrefillTokens at each entry
	// instance. Instances peak at different times, so that the sum is an upper bound of the peak.
	EntryMean, EntryPeak float64
	// RunningPeak is likewise the sum of the peaks of Running.
	RunningPeak float64
	// PrefillRate is the number of tokens a second that one target prefills, as observed.
	PrefillRate float64
	// Complete is true if the sums cover every entry instance that is known to be live.
	Complete bool
}

const (
	// demandWindow is the time over which the mean and the peak of demand are taken. It covers two of
	// the swings seen, of 13 s, so that a target is not released in one half of a swing and ordered
	// again in the other.
	demandWindow = 30 * time.Second
	// fullHistory is the history from which the own peak is trusted: two swings.
	fullHistory = 26 * time.Second
	// demandSampleInterval is the least time between two samples.
	demandSampleInterval = 400 * time.Millisecond
	// maxDemandGap is the longest gap in the samples over which the history is kept.
	maxDemandGap = 10 * time.Second
	// usualSwing is the peak of demand in relation to its mean over whole swings: demand swings by 0.55. It
	// bounds the sum of the peaks of entry instances, which see few requests each, so that the sum of their
	// peaks is far above the peak of the sum.
	usualSwing = 1.55
	// earlySwing is the peak in relation to a mean over a part of a swing, which may be the upper one.
	earlySwing = 1.3
)

// A forecast holds the history of a service's demand. The zero value has none.
type forecast struct {
	samples []demandSample
	// since is when the history began, last when demand was last observed.
	since, last time.Duration
	// ongoing is true if demand has been observed before, by another leader, so that the means and peaks of
	// the entry instances cover more time than the samples.
	ongoing bool
}

type demandSample struct {
	at     time.Duration
	demand Demand
}

// observe adds the demand at the time to the history. While the reports of some entry instances are
// missing, the history stands still, except that a higher demand counts as a peak.
func (f *forecast) observe(now time.Duration, d Demand) {
	gap := now - f.last
	if len(f.samples) > 0 && gap < demandSampleInterval {
		return
	}
	f.last = now
	if gap > maxDemandGap {
		f.samples = nil
	}
	if len(f.samples) == 0 {
		f.since = now
	}
	if !d.Complete {
		f.since += gap
		for i := range f.samples {
			f.samples[i].at += gap
		}
	}
	for len(f.samples) > 0 && now-f.samples[0].at > demandWindow {
		f.samples = f.samples[1:]
	}
	if peaks := f.peaksBefore(now); d.Complete || len(f.samples) == 0 || d.PrefillTokens > peaks.PrefillTokens || d.Running > peaks.Running {
		f.samples = append(f.samples, demandSample{now, d})
	}
}

// history returns how long demand has been observed.
func (f *forecast) history(now time.Duration) time.Duration {
	if len(f.samples) == 0 {
		return 0
	}
	return now - f.since
}

// An Outlook represents the demand of a service that its targets must carry.
type Outlook struct {
	// Mean and Peak are prompt tokens to prefill a second, over the last tens of seconds. Planned is the
	// peak expected by the time that targets ordered now serve. Growth is the increase of the mean a
	// second.
	Mean, Peak, Planned, Growth float64
	// Prompt is the mean of all prompt tokens a second, cached or not.
	Prompt float64
	// Squares is the mean of the sum of squares of the tokens to prefill a second.
	Squares float64
	// RunningMean, RunningPeak and RunningPlanned count the requests in flight on targets that decode.
	RunningMean, RunningPeak, RunningPlanned float64
	// PrefillRate is the number of tokens a second that one target prefills.
	PrefillRate float64
}

// outlook returns the demand that targets ordered at the time, which serve after the lead time, must carry.
func (f *forecast) outlook(now, lead time.Duration) Outlook {
	o := Outlook{}
	n, early, late, earlyCount, lateCount := 0.0, 0.0, 0.0, 0.0, 0.0
	entryMean, entryPeak, entryRunning, requests := 0.0, 0.0, 0.0, 0.0
	for _, s := range f.samples {
		d := s.demand
		if !d.Complete {
			// The reports of a part of the instances say how much there is at least.
			continue
		}
		n++
		o.Mean += d.PrefillTokens
		o.Prompt += d.PromptTokens
		o.Squares += d.PrefillSquares
		o.RunningMean += d.Running
		o.PrefillRate += d.PrefillRate * d.Requests
		requests += d.Requests
		entryMean, entryPeak, entryRunning = d.EntryMean, d.EntryPeak, d.RunningPeak
		switch age := now - s.at; {
		case age <= fullHistory/2:
			late, lateCount = late+d.PrefillTokens, lateCount+1
		case age <= fullHistory:
			early, earlyCount = early+d.PrefillTokens, earlyCount+1
		}
	}
	peaks := f.peaksBefore(now)
	o.Peak, o.RunningPeak = peaks.PrefillTokens, peaks.Running
	o.Planned, o.RunningPlanned = o.Peak, o.RunningPeak
	if n == 0 {
		return o
	}
	o.Mean, o.Prompt, o.Squares, o.RunningMean = o.Mean/n, o.Prompt/n, o.Squares/n, o.RunningMean/n
	if requests > 0 {
		o.PrefillRate /= requests
	}
	history := f.history(now)
	switch {
	case history < fullHistory && f.ongoing:
		o.Peak = max(o.Peak, min(entryPeak, usualSwing*entryMean))
		o.RunningPeak = max(o.RunningPeak, min(entryRunning, earlySwing*o.RunningMean))
	case history < fullHistory/2:
		o.Peak, o.RunningPeak = max(o.Peak, earlySwing*o.Mean), max(o.RunningPeak, earlySwing*o.RunningMean)
	}
	if history >= fullHistory && earlyCount > 0 && lateCount > 0 {
		// Each half is a whole swing, so that the difference is not a part of one.
		o.Growth = max(0, late/lateCount-early/earlyCount) / (fullHistory / 2).Seconds()
	}
	o.Planned, o.RunningPlanned = o.Peak+o.Growth*lead.Seconds(), o.RunningPeak
	if history >= fullHistory/2+lead {
		// The earlier peak is that of a whole swing.
		o.RunningPlanned = rising(f.peaksBefore(now-lead).Running, o.RunningPeak)
	}
	return o
}

// peakSamples is the number of samples whose mean is a peak: three seconds, the length of a burst. The highest
// sample alone depends on chance.
const peakSamples = 7

// peaksBefore returns the peaks of the samples up to the time.
func (f *forecast) peaksBefore(at time.Duration) Demand {
	var tokens, running []float64
	for _, s := range f.samples {
		if s.at <= at {
			tokens, running = append(tokens, s.demand.PrefillTokens), append(running, s.demand.Running)
		}
	}
	return Demand{PrefillTokens: peak(tokens), Running: peak(running)}
}

// peak returns the mean of the highest peakSamples values, or of a third of fewer ones.
func peak(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, func(a, b float64) int { return cmp.Compare(b, a) })
	highest := values[:min(peakSamples, (len(values)+2)/3)]
	sum := 0.0
	for _, v := range highest {
		sum += v
	}
	return sum / float64(len(highest))
}

const (
	// leastRise is the rise of a peak from which it counts as one, and not as chance.
	leastRise = 0.05
	// maxRise bounds the expected rise of a peak, since a burst is no trend.
	maxRise = 0.25
)

// rising returns the peak that is expected after as much time as it took to rise from the one before.
func rising(before, peak float64) float64 {
	return peak + min(max(0, peak-(1+leastRise)*before), maxRise*peak)
}

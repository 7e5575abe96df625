package route

import "time"

// WeighsCost reports whether the placer weighs predicted costs in the fleet.
func (p Placer) WeighsCost(f *Fleet, now time.Time) bool {
	return p.Cost == CostOn || p.Cost == CostAuto && f.SpeedStated(now)
}

// plain reports whether the request is one without a prompt whose run time is predicted.
func (p Prompt) plain() bool { return p.TotalTokens == 0 && p.RunTime > 0 }

// manyEntries is the number of entry instances from which a sample is compared in a small
// fleet too, if costs are weighed: with the information of 0.1 to 0.3 s ago, all of them
// would choose the same target. Fewer ones exchange their work every 80 ms.
const manyEntries = 16

// smallFleetSample is the number of random targets that are compared then. Of three targets
// the best one is chosen by 5 of 9 entries, and by 65 of 81 if four were compared.
const smallFleetSample = 2

// comparesAll reports whether all of the targets, those of one stage, are compared.
func (p Placer) comparesAll(f *Fleet, targets []*Target, now time.Time) bool {
	if len(targets) > fullScanLimit {
		return false
	}
	return len(targets) <= smallFleetSample || targets[0].entries.Load() < manyEntries || !p.WeighsCost(f, now)
}

const (
	// exploreOneIn is the share of placements that try a target of which no recent speed is
	// known, so that one that was slow, or was taken for slow, is found when it is fast.
	exploreOneIn = 16
	// exploreAge is the age of a speed from which the target is worth a try: several others
	// have been stated since.
	exploreAge = 5 * speedPeriod
)

// exploredTarget returns a random target to try, or nil as a rule.
func (p Placer) exploredTarget(f *Fleet, now time.Time) *Target {
	if len(f.decodeTargets) < 2 || !p.WeighsCost(f, now) || p.randIntN(exploreOneIn) > 0 {
		return nil
	}
	t := f.decodeTargets[p.randIntN(len(f.decodeTargets))]
	if !t.Available(now) || t.speed.age(now) < exploreAge {
		return nil
	}
	return t
}

// A requestCost is the predicted cost of a request on one target.
type requestCost struct {
	// first is the time to the first event, completion the time to the end of the response,
	// and added the sum of the delays of the requests that are there already.
	first, completion, added time.Duration
	// penalty counts in comparisons only.
	penalty time.Duration
}

func (c requestCost) total() time.Duration { return c.completion + c.added + c.penalty }

// accessDelay returns the delay of a request on the target that does not come from work.
func (p Placer) accessDelay(f *Fleet, t *Target) time.Duration {
	delay := t.warmUpLeft()
	if t.domain != f.domain {
		delay += p.RemoteDelay
	}
	if t.Silent() {
		delay += silentPenalty
	}
	return delay
}

// plainCost returns the cost of a request without a prompt. Requests beyond the slots wait
// in the order in which they arrive, so that those already there are not delayed.
func (p Placer) plainCost(f *Fleet, t *Target, prompt Prompt, now time.Time) requestCost {
	o := t.outstanding(f.model, now)
	slots := float64(max(1, t.slots))
	mean := prompt.RunTime
	if o.requests >= 1 {
		mean = scale(o.rest, 1/o.requests)
	}
	wait := time.Duration(0)
	if beyond := o.requests + 1 - slots; beyond > 0 {
		wait = scale(mean, beyond/slots)
	}
	factor, uncertainty := f.model.factor(t, now, wait+prompt.RunTime)
	busy := min(1, o.requests/slots)
	// Requests are refused if first is later than their callers wait. The predicted run time is not
	// part of it: a class of requests that was slow once would be refused ever after.
	c := requestCost{first: scale(wait, factor) + p.accessDelay(f, t)}
	c.completion = c.first + scale(prompt.RunTime, factor)
	// Requests of other instances that are not known yet may take the last slots.
	c.penalty = scale(mean, factor*busy*busy/slots) + scale(prompt.RunTime, uncertainty*uncertaintyWeight)
	return c
}

// prefillDelayShare is the part of a prefill on a decode target by which it delays each running
// request: the pieces of the prompt take turns with the steps of the batch. In the simulation, 1
// gave a mean completion of 1.293, 1.454 and 1.695 s at 286, 360 and 430 requests a second, 0.5
// gave 1.280, 1.419 and 1.687 s, and 0.25 gave 1.316, 1.451 and 1.698 s.
const prefillDelayShare = 0.5

// decodeCost returns the cost of the output of a request, and of the prefill before it, on a
// target that decodes. A prefill there delays the output of the running requests. Each step of
// the batch takes longer by the same amount for every request in it, so that the request and
// those already there delay each other equally, for as long as both run.
func (p Placer) decodeCost(f *Fleet, t *Target, prompt Prompt, prefill time.Duration, transferred bool, now time.Time) requestCost {
	m := f.model
	o := t.outstanding(m, now)
	base, perRequest := m.step()
	output := m.output(prompt)
	slots := float64(max(1, t.slots))
	running := min(o.requests, slots)
	mutual := time.Duration(min(running*output*perRequest, o.rest.Seconds()) * float64(time.Second))
	own := time.Duration(output * (base + perRequest) * float64(time.Second))
	wait := time.Duration(0)
	if beyond := o.requests + 1 - slots; beyond > 0 {
		left := o.rest.Seconds() / perRequestOr(perRequest) / max(1, o.requests)
		wait = time.Duration(left * (base + perRequest*slots) * beyond / slots * float64(time.Second))
	}
	c := requestCost{}
	factor, uncertainty := m.factor(t, now, o.prefill+prefill+own)
	near, _ := m.factor(t, now, o.prefill+prefill)
	c.first = minFirstEvent + scale(wait+prefill, near) + p.accessDelay(f, t)
	if !transferred {
		c.first += scale(o.prefill, near)
	}
	// The rest of the prompts that are prefilled there slows the output all the same.
	c.completion = c.first + scale(own+mutual, factor)
	if transferred {
		c.completion += scale(o.prefill, near)
	}
	c.added = scale(mutual, factor) + scale(prefill, near*running*prefillDelayShare)
	c.penalty = scale(prefill+own+mutual, uncertainty*uncertaintyWeight)
	return c
}

// perRequestOr returns the duration, or the initial one in place of 0.
func perRequestOr(perRequest float64) float64 {
	if perRequest > 0 {
		return perRequest
	}
	return initialStepPerRequest
}

// wholeRequestByCost returns the placement of the whole request on the target.
func (p Placer) wholeRequestByCost(f *Fleet, t *Target, prompt Prompt, assumedCached float64, now time.Time) Placement {
	uncached := f.uncachedTokens(t, prompt, assumedCached)
	placement := Placement{DecodeTarget: t, PrefillTokens: uncached, queuedTokens: t.queuedTokens(), rates: f.rates, model: f.model, RestWork: f.model.restWork(prompt)}
	var c requestCost
	if prompt.plain() {
		c = p.plainCost(f, t, prompt, now)
	} else {
		placement.PrefillWork = f.model.prefillTime(t, uncached)
		c = p.decodeCost(f, t, prompt, placement.PrefillWork, false, now)
		c.penalty += f.repeatedPrefillWork(t, uncached, prompt)
	}
	placement.FirstEvent, placement.Completion, placement.cost = c.first, c.completion, c.total()
	return placement
}

// disaggregatedByCost returns the placement of the prompt on one target and of the output on
// another one.
func (p Placer) disaggregatedByCost(f *Fleet, prefillTarget *Target, decoder decodeCandidate, prompt Prompt, assumedCached float64, now time.Time) Placement {
	uncached := f.uncachedTokens(prefillTarget, prompt, assumedCached)
	work := f.model.prefillTime(prefillTarget, uncached)
	o := prefillTarget.outstanding(f.model, now)
	factor, uncertainty := f.model.factor(prefillTarget, now, o.prefill+work)
	transfer := p.TransferDelay
	if prefillTarget.domain != decoder.target.domain {
		transfer += p.CrossDomainDelay
	}
	// Prompts are prefilled in the order in which they arrive, so that those already there
	// are not delayed.
	ready := scale(o.prefill+work, factor) + transfer + p.accessDelay(f, prefillTarget)
	c := decoder.cost
	return Placement{
		DecodeTarget: decoder.target, PrefillTarget: prefillTarget, PrefillTokens: uncached, queuedTokens: prefillTarget.queuedTokens(), rates: f.rates, model: f.model,
		FirstEvent: ready + c.first, Completion: ready + c.completion, PrefillWork: work, RestWork: f.model.restWork(prompt),
		cost: ready + c.total() + scale(work, uncertainty*uncertaintyWeight) + f.repeatedPrefillWork(prefillTarget, uncached, prompt),
	}
}

// repeatedPrefillWork returns the cost, for the requests queued behind it, of prefilling again
// shared blocks that another target may already hold.
func (f *Fleet) repeatedPrefillWork(t *Target, uncached int64, prompt Prompt) time.Duration {
	if len(prompt.BlockEnds) == 0 {
		return 0
	}
	unshared := prompt.TotalTokens - prompt.BlockEnds[len(prompt.BlockEnds)-1]
	return f.model.prefillTime(t, max(0, uncached-unshared)) * repeatedPrefillWeight
}

// decodeCandidateByCost returns the target as a candidate for the output of a request whose
// prompt another target prefills.
func (p Placer) decodeCandidateByCost(f *Fleet, t *Target, prompt Prompt, now time.Time) decodeCandidate {
	c := p.decodeCost(f, t, prompt, 0, true, now)
	return decodeCandidate{target: t, cost: c, score: c.total()}
}

// WithModel replaces the cost model by one that outlives the fleet, and returns the fleet.
func (f *Fleet) WithModel(m *CostModel) *Fleet {
	f.model = m
	return f
}

// Model returns the cost model of the targets.
func (f *Fleet) Model() *CostModel { return f.model }

// Factor returns the work factor that is expected of the target now.
func (m *CostModel) Factor(t *Target, now time.Time) float64 {
	factor, _ := m.factor(t, now, 0)
	return factor
}

// StartPrefill adds the placement's prefill to the ledger of the prefill target. It returns nil
// if costs are not weighed.
func (p Placement) StartPrefill() *Job {
	if p.model == nil {
		return nil
	}
	return p.PrefillTarget.StartJob(p.PrefillWork, 0)
}

// StartDecode adds the placement's work to the ledger of the decode target, without the prefill
// if the prompt's KV cache is transferred. It returns nil if costs are not weighed.
func (p Placement) StartDecode(transferred bool) *Job {
	if p.model == nil {
		return nil
	}
	if transferred {
		return p.DecodeTarget.StartJob(0, p.RestWork)
	}
	return p.DecodeTarget.StartJob(p.PrefillWork, p.RestWork)
}

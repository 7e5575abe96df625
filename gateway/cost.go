package gateway

import (
	"bytes"
	"time"

	"go.uber.org/zap"

	"auburnscale/catalog"
	"auburnscale/peer"
	"auburnscale/route"
)

// A costRecord holds what was predicted of a request, and what is compared with it when the
// request has ended. It is empty if costs are not weighed for the service.
type costRecord struct {
	model *route.CostModel
	// keys classify the request; hint is the output length that the caller expects, 0 if it
	// states none.
	keys []uint64
	hint float64
	// plain is true for a request without output tokens, whose run time is predicted.
	plain bool
	// tokens counts the events of the stream: targets send one for each output token.
	tokens int64
	// The following belong to the last attempt.
	job        *route.Job
	target     *route.Target
	completion time.Duration
	sent       time.Time
	factor     float64
}

// predictCost adds to the prompt, once, what is predicted of the request, if costs are weighed
// for the targets.
func (c *call) predictCost(fleet *route.Fleet, now time.Time) {
	if c.cost.model != nil || !c.server.deps.Fleets.Placer().WeighsCost(fleet, now) {
		return
	}
	c.cost.model = fleet.Model()
	c.cost.plain = c.info.PromptTokens == 0 && c.route.RequestKind != catalog.Streaming
	if c.cost.plain {
		c.cost.keys = route.PathKeys(c.route.Name, c.http.Method, c.http.URL.EscapedPath())
		c.prompt.RunTime = c.cost.model.PredictRunTime(c.cost.keys)
		return
	}
	c.cost.hint = float64(c.info.LengthHint)
	c.cost.keys = route.OutputKeys(c.route.Name, c.workspaceName(), c.info.PromptTokens, c.info.OutputTokens)
	c.prompt.OutputTokens = c.cost.model.PredictOutput(c.cost.keys, c.cost.hint, float64(c.info.OutputTokens))
}

// startCost adds the request's work to the ledger of the decode target. transferred is true if
// another target has prefilled the prompt. The caller must end the job.
func (c *call) startCost(p route.Placement, transferred bool, now time.Time) *route.Job {
	r := &c.cost
	r.job = p.StartDecode(transferred)
	r.target, r.completion, r.sent, r.tokens = p.DecodeTarget, p.Completion, now, 0
	if r.model != nil {
		r.factor = r.model.Factor(p.DecodeTarget, now)
	}
	return r.job
}

// countEvents counts complete events of the response as output tokens.
func (r *costRecord) countEvents(events []byte, predicted float64) {
	if r.model == nil {
		return
	}
	for _, end := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r")} {
		r.tokens += int64(bytes.Count(events, end))
	}
	if predicted > 0 {
		r.job.Progress(float64(r.tokens) / predicted)
	}
}

// observeCost compares a served request with what was predicted of it, and learns from it. A
// request that was sent several times, or continues a stream, tells nothing of a whole one.
func (c *call) observeCost(now time.Time) {
	r := &c.cost
	if r.model == nil || r.target == nil || c.runs != 1 || c.sends != 1 || c.info.LastEventID != "" || c.status != "200" {
		return
	}
	took := now.Sub(r.sent)
	if r.plain {
		if c.route.RequestKind != catalog.Streaming {
			c.server.countPrediction("run_time", took.Seconds(), c.prompt.RunTime.Seconds()*r.factor)
			r.model.ObserveRunTime(r.target, r.keys, took, now)
		}
		return
	}
	c.server.countPrediction("first_event", c.firstEventAfter.Seconds(), c.estimatedFirst.Seconds())
	c.server.countPrediction("completion", now.Sub(c.arrived).Seconds(), r.completion.Seconds())
	if r.tokens > 0 {
		c.server.countPrediction("output_tokens", float64(r.tokens), c.prompt.OutputTokens)
		r.model.ObserveOutput(r.target, r.keys, r.hint, float64(r.tokens), now.Sub(c.arrived)-c.firstEventAfter, now)
	}
}

// countPrediction counts a prediction by how many times the observed figure is the predicted
// one.
func (s *Server) countPrediction(what string, observed, predicted float64) {
	if predicted <= 0 {
		return
	}
	class := "over_4"
	for _, c := range []struct {
		below float64
		name  string
	}{{0.25, "under_0.25"}, {0.5, "0.25_to_0.5"}, {0.8, "0.5_to_0.8"}, {1.25, "0.8_to_1.25"}, {2, "1.25_to_2"}, {4, "2_to_4"}} {
		if observed < c.below*predicted {
			class = c.name
			break
		}
	}
	s.deps.Metrics.Tagged(map[string]string{"of": what, "ratio": class}).Counter("predictions").Inc(1)
}

// fields returns the log fields of the predictions; none if costs are not weighed.
func (r *costRecord) fields(p route.Prompt) []zap.Field {
	if r.model == nil || r.target == nil {
		return nil
	}
	list := []zap.Field{zap.Int64("predicted_ms", r.completion.Milliseconds()), zap.Float64("work_factor", r.factor)}
	if r.plain {
		return append(list, zap.Float64("predicted_run_ms", p.RunTime.Seconds()*1000))
	}
	return append(list, zap.Int64("predicted_tokens", int64(p.OutputTokens)), zap.Int64("tokens", r.tokens))
}

// RecordSpeed records the work factor that the target of the service stated with its load; 0 if it
// stated none.
func (f *Fleets) RecordSpeed(service string, t *route.Target, factor float64, now time.Time) {
	f.demand.loadStated(service, factor > 0)
	if factor <= 0 {
		return
	}
	f.mutex.Lock()
	model := f.state(service).model
	f.mutex.Unlock()
	model.RecordSpeed(t, factor, now)
}

// maxSharedSpeedAge bounds the age of a shared speed; an older one has no weight anyway.
const maxSharedSpeedAge = time.Minute

// sharedSpeedAge returns the age of the speed that another instance reports. One from the future
// would keep out all later ones.
func sharedSpeedAge(w *peer.TargetWork) time.Duration {
	return time.Duration(min(max(0, w.GetSpeedAgeMs()), maxSharedSpeedAge.Milliseconds())) * time.Millisecond
}

// maxClassesPerReport bounds the classes of requests in a report, of about 35 bytes each.
const maxClassesPerReport = 4

// TakeCostClasses returns what this instance observed of requests since the last call.
func (f *Fleets) TakeCostClasses() []*peer.CostClass {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var list []*peer.CostClass
	for service, state := range f.services {
		for _, s := range state.model.TakeSamples(maxClassesPerReport - len(list)) {
			list = append(list, &peer.CostClass{Service: service, Kind: peer.CostClass_Kind(s.Kind), Class: s.Class, Samples: float32(s.Samples), Mean: float32(s.Mean), Variance: float32(s.Variance)})
		}
	}
	return list
}

// AddCostClasses takes what all instances observed of some classes of requests. Those of services
// that this instance does not know are ignored.
func (f *Fleets) AddCostClasses(classes []*peer.CostClass) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, c := range classes {
		if state := f.services[c.Service]; state != nil {
			state.model.AddPooled(route.ClassSample{Kind: route.ClassKind(c.Kind), Class: c.Class, Samples: float64(c.Samples), Mean: float64(c.Mean), Variance: float64(c.Variance)})
		}
	}
}

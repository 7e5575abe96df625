package gateway

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"auburnscale/event"
	"auburnscale/exchange"
	"auburnscale/origin"
	"auburnscale/peer"
	"auburnscale/route"
)

// fields returns the fields that every log line about the request has, followed by
// more.
func (c *call) fields(more ...zap.Field) []zap.Field {
	list := make([]zap.Field, 0, len(more)+12)
	list = append(list, zap.String("request", logged(c.info.ID)), zap.Int64("ms", time.Since(c.arrived).Milliseconds()))
	if c.configuration != nil {
		list = append(list, zap.Uint64("version", c.configuration.Version()))
	}
	if c.route != nil {
		list = append(list, zap.String("route", c.route.Name))
	}
	if c.service != nil {
		list = append(list, zap.String("service", c.service.Name))
	}
	if c.workspace != nil {
		list = append(list, zap.String("workspace", c.workspace.Name))
	}
	return append(list, more...)
}

// logged returns a text of a caller as it is logged: bounded, and valid UTF-8.
func logged(text string) string { return peer.Clip(text, peer.MaxNameBytes) }

// maxLoggedBlocks bounds the prompt blocks in a log line.
const maxLoggedBlocks = 8

// promptFields returns the fields that identify the request's content: its fingerprint,
// which is the same when a caller sends it again, and the ids of the prompt blocks that
// other requests may share.
func (c *call) promptFields() []zap.Field {
	shared := sharedBlocks(c.info)
	ids := make([]string, 0, min(len(shared), maxLoggedBlocks))
	for _, block := range shared[:min(len(shared), maxLoggedBlocks)] {
		ids = append(ids, strconv.FormatUint(block.ID, 16))
	}
	return []zap.Field{zap.String("fingerprint", strconv.FormatUint(c.fingerprint, 16)), zap.Strings("blocks", ids), zap.Int("block_count", len(shared))}
}

func (s *Server) countOutcome(name string) {
	s.deps.Metrics.Tagged(map[string]string{"outcome": name}).Counter("requests").Inc(1)
}

// The kinds of sends that are counted.
const (
	sendFirst     = "first"
	sendRepeated  = "repeated"
	sendPrefill   = "prefill"
	sendContinued = "continued"
)

// countSend counts a request that is sent to the target, also if it is sent in vain.
func (s *Server) countSend(t *route.Target, kind string) {
	s.deps.Metrics.Tagged(map[string]string{"kind": kind, "limited": strconv.FormatBool(s.deps.Fleets.limited(t))}).Counter("target_sends").Inc(1)
}

func (s *Server) logServed(c *call) {
	s.countOutcome("served")
	s.deps.Metrics.Timer("first_event").Record(c.firstEventAfter)
	c.observeCost(time.Now())
	s.deps.Logger.Log(event.RequestServed, c.fields(append(append(c.promptFields(), c.cost.fields(c.prompt)...), zap.String("target", c.target), zap.String("target_version", c.targetVersion), zap.String("status", c.status), zap.String("reader", c.prefillTarget),
		zap.Int64("read_ms", c.prefillTime.Milliseconds()), zap.Int64("unread_tokens", c.prefillTokens),
		zap.Int64("first_ms", c.firstEventAfter.Milliseconds()), zap.Int64("estimate_ms", c.estimatedFirst.Milliseconds()),
		zap.Int("sends", c.sends), zap.Int("runs", c.runs))...)...)
}

func (s *Server) logRefusal(c *call, f *failure) {
	s.countOutcome(f.code)
	reason := c.notRepeatedReason()
	if reason != "" {
		s.deps.Metrics.Tagged(map[string]string{"reason": reason}).Counter("requests_not_repeated").Inc(1)
	}
	s.deps.Logger.Log(event.RequestRefused, c.fields(zap.Int("status", f.status), zap.String("code", f.code), zap.Bool("not_run", f.notRun),
		zap.Int64("retry_after_ms", f.retryAfter.Milliseconds()), zap.Int64("estimate_ms", c.estimatedFirst.Milliseconds()),
		zap.Int("sends", c.sends), zap.Int("runs", c.runs), zap.Strings("tried", c.excluded), zap.String("block", c.blockedBy), zap.String("not_repeated", reason))...)
}

func (s *Server) logDisconnected(c *call) {
	s.countOutcome("caller_left")
	s.deps.Logger.Log(event.RequestCancelled, c.fields(zap.String("target", c.target), zap.Int("sends", c.sends), zap.String("reader", c.prefillTarget),
		zap.Int64("read_ms", c.prefillTime.Milliseconds()), zap.Int64("unread_tokens", c.prefillTokens), zap.Int64("estimate_ms", c.estimatedFirst.Milliseconds()))...)
}

func (s *Server) logCut(c *call, t *route.Target, err error) {
	if c.callerDisconnected(err) {
		s.logDisconnected(c)
		return
	}
	s.countOutcome("cut")
	s.deps.Logger.Log(event.StreamCut, c.fields(zap.String("target", t.Name()), zap.Error(err), zap.Int("runs", c.runs))...)
}

func (s *Server) logTargetFailed(c *call, t *route.Target, err error) {
	s.deps.Logger.Log(event.TargetFailed, c.fields(append(c.promptFields(), zap.String("target", t.Name()), zap.Int64("incarnation", t.Incarnation()),
		zap.String("address", t.Address()), zap.Bool("not_sent", exchange.NotSent(err)), zap.Int64("streamed_ms", c.streamedFor().Milliseconds()), zap.Error(err))...)...)
}

func (s *Server) logDeclined(c *call, t *route.Target, info ResponseInfo) {
	s.deps.Logger.Log(event.TargetDeclined, c.fields(zap.String("target", t.Name()), zap.Bool("other_target", info.WrongTarget),
		zap.Int("running", info.Load.Running), zap.Int("waiting", info.Load.Waiting))...)
}

// countContinued counts a stream that goes on at a target, within a response or in another one.
func (s *Server) countContinued(within bool, version string) {
	s.deps.Metrics.Tagged(map[string]string{"within_response": strconv.FormatBool(within), "version": version}).Counter("streams_continued").Inc(1)
}

// The versions at which streams go on, compared with those that began them.
const (
	versionSame    = "same"
	versionOther   = "other"
	versionUnknown = "unknown"
)

// compareVersions compares the software versions of two targets.
func compareVersions(before, t *route.Target) string {
	switch {
	case before.Version() == "" || t.Version() == "":
		return versionUnknown
	case before.Version() != t.Version():
		return versionOther
	}
	return versionSame
}

// logResumed logs that the stream continues from another target than the one before.
func (s *Server) logResumed(c *call, before, t *route.Target, after string) {
	s.countContinued(true, compareVersions(before, t))
	s.deps.Logger.Log(event.StreamResumed, c.fields(zap.String("target", t.Name()), zap.String("target_version", t.Version()),
		zap.String("before", before.Name()), zap.String("before_version", before.Version()), zap.String("after", after))...)
}

// logNotContinued logs that a target's response cannot continue the stream that the caller is reading.
func (s *Server) logNotContinued(c *call, t *route.Target, response *exchange.Response, info ResponseInfo) {
	s.deps.Logger.Log(event.StreamNotContinued, c.fields(zap.String("target", t.Name()), zap.Int("status", response.Status()),
		zap.String("type", logged(response.Header().Get("Content-Type"))), zap.Bool("not_run", info.NotRun), zap.Bool("from_target", info.FromTarget), zap.Int("runs", c.runs))...)
}

// logOtherStart logs that a target did not get the request because it does not state the start that is known.
func (s *Server) logOtherStart(c *call, t *route.Target, err error) {
	s.deps.Logger.Log(event.TargetOtherStart, c.fields(zap.String("target", t.Name()), zap.Int64("incarnation", t.Incarnation()), zap.Error(err))...)
}

// logTakenUp logs that the request takes up a stream that another request began, and what may
// continue it.
func (s *Server) logTakenUp(c *call, d origin.Decision) {
	o, known := d.Origin()
	version := versionUnknown
	if known {
		version = versionSame
	}
	s.countContinued(false, version)
	s.deps.Logger.Log(event.StreamTakenUp, c.fields(zap.String("resumes", logged(c.info.Resumes)), zap.String("after", logged(c.info.LastEventID)),
		zap.String("origin_service", o.Service), zap.String("origin", o.Software), zap.String("reason", string(d.Reason())), zap.Bool("conclusive", d.Conclusive()))...)
}

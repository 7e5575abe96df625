package gateway

import (
	"time"

	"go.uber.org/zap"

	"auburnscale/event"
	"auburnscale/route"
)

// fields are what every line on a request has.
func (c *call) fields(more ...zap.Field) []zap.Field {
	list := make([]zap.Field, 0, len(more)+12)
	list = append(list, zap.String("request", c.ask.ID), zap.Int64("ms", time.Since(c.arrived).Milliseconds()))
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

func (s *Server) outcome(name string) {
	s.parts.Metrics.Tagged(map[string]string{"outcome": name}).Counter("requests").Inc(1)
}

func (s *Server) logServed(c *call) {
	s.outcome("served")
	s.parts.Metrics.Timer("first_event").Record(c.first)
	s.parts.Logger.Log(event.RequestServed, c.fields(zap.String("target", c.target), zap.String("status", c.outcome), zap.String("reader", c.reader),
		zap.Int64("read_ms", c.readTime.Milliseconds()), zap.Int64("unread_tokens", c.unread),
		zap.Int64("first_ms", c.first.Milliseconds()), zap.Int64("estimate_ms", c.estimated.Milliseconds()),
		zap.Int("sends", c.sends), zap.Int("runs", c.runs))...)
}

func (s *Server) logRefusal(c *call, f *failure) {
	s.outcome(f.code)
	s.parts.Logger.Log(event.RequestRefused, c.fields(zap.Int("status", f.status), zap.String("code", f.code), zap.Bool("not_run", f.notRun),
		zap.Int64("retry_after_ms", f.retryAfter.Milliseconds()), zap.Int64("estimate_ms", c.estimated.Milliseconds()),
		zap.Int("sends", c.sends), zap.Int("runs", c.runs), zap.Strings("tried", c.avoid))...)
}

func (s *Server) logGone(c *call) {
	s.outcome("caller_left")
	s.parts.Logger.Log(event.RequestCancelled, c.fields(zap.String("target", c.target), zap.Int("sends", c.sends), zap.String("reader", c.reader),
		zap.Int64("read_ms", c.readTime.Milliseconds()), zap.Int64("unread_tokens", c.unread), zap.Int64("estimate_ms", c.estimated.Milliseconds()))...)
}

func (s *Server) logCut(c *call, t *route.Target, err error) {
	if c.isCaller(err) {
		s.logGone(c)
		return
	}
	s.outcome("cut")
	s.parts.Logger.Log(event.StreamCut, c.fields(zap.String("target", t.Name()), zap.Error(err), zap.Int("runs", c.runs))...)
}

func (s *Server) logBroken(c *call, t *route.Target, err error) {
	s.parts.Logger.Log(event.TargetBroke, c.fields(zap.String("target", t.Name()), zap.String("address", t.Address()), zap.Error(err))...)
}

func (s *Server) logNotRun(c *call, t *route.Target, said ResponseInfo) {
	s.parts.Logger.Log(event.TargetDeclined, c.fields(zap.String("target", t.Name()), zap.Bool("other_target", said.WrongTarget),
		zap.Int("running", said.Load.Running), zap.Int("waiting", said.Load.Waiting))...)
}

func (s *Server) logResumed(c *call, t *route.Target, after string) {
	s.parts.Logger.Log(event.StreamResumed, c.fields(zap.String("target", t.Name()), zap.String("after", after))...)
}

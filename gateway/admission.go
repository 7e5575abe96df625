package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"auburnscale/admit"
	"auburnscale/catalog"
	"auburnscale/event"
)

// serviceObjectives holds the shortest latency objective of the routes to each service of a
// configuration.
type serviceObjectives struct {
	configuration *catalog.Snapshot
	shortest      map[string]time.Duration
}

// shortestObjective returns the shortest latency objective of the routes to the service, or 0.
func (s *Server) shortestObjective(configuration *catalog.Snapshot, service string) time.Duration {
	if known := s.objectives.Load(); known != nil && known.configuration == configuration {
		return known.shortest[service]
	}
	next := &serviceObjectives{configuration: configuration, shortest: map[string]time.Duration{}}
	routes := configuration.Routes()
	for i := range routes {
		objective := routes[i].LatencyObjective
		for _, name := range routes[i].Services() {
			if known := next.shortest[name]; objective > 0 && (known == 0 || objective < known) {
				next.shortest[name] = objective
			}
		}
	}
	s.objectives.Store(next)
	return next.shortest[service]
}

// admit returns the refusal of a request that is not sent because of a shortage, or nil. The rest of a
// stream, for which the work so far has been done, is always sent.
func (c *call) admit() *failure {
	s, fleet, now := c.server, c.server.deps.Fleets.Fleet(c.service.Name), time.Now()
	if c.info.LastEventID != "" || !s.deps.Gate.Active(fleet.SpeedStated(now)) {
		return nil
	}
	load := admit.Load{Backlog: fleet.Backlog(now), Objective: s.shortestObjective(c.configuration, c.service.Name)}
	load.Slots, load.Requests = fleet.Occupancy(now)
	v := s.deps.Gate.Decide(load, admit.Demand{
		Service: c.service.Name, Workspace: c.workspaceName(), Priority: c.priority(), Cost: admit.Cost(c.info.PromptTokens, c.info.OutputTokens),
		Fingerprint: c.fingerprint, Objective: c.route.LatencyObjective,
	}, now)
	if v.Changed {
		c.logShortage(v, load)
	}
	c.admitted = v.Refusal == nil
	if c.admitted {
		return nil
	}
	// A refused request is demand as well.
	c.countDemand(c.place())
	f := refuse(http.StatusServiceUnavailable, "no_capacity", v.Refusal.Error())
	// It is spread already, and the caller is expected at this time.
	f.retryAfter = v.Refusal.RetryAfter()
	return f
}

func (c *call) logShortage(v admit.Verdict, load admit.Load) {
	kind, gauge := event.ShortageEnded, 0.0
	if v.Short {
		kind, gauge = event.ShortageBegan, 1
	}
	c.server.deps.Metrics.Tagged(map[string]string{"service": c.service.Name}).Gauge("shortage").Update(gauge)
	c.server.deps.Logger.Log(kind, zap.String("service", c.service.Name), zap.Float64("pressure", v.Pressure),
		zap.Int64("slots", load.Slots), zap.Int64("requests", load.Requests), zap.Int64("backlog_ms", load.Backlog.Milliseconds()))
}

// recordDuration records how long a request took that was admitted and that a target ran.
func (c *call) recordDuration() {
	if c.admitted && c.counted {
		c.server.deps.Gate.Ended(c.service.Name, time.Since(c.arrived), time.Now())
	}
}

package serve

import (
	"time"

	"auburnscale/clock"
	"auburnscale/permit"
)

// quotaOf returns the quota of the workspace in the newest configuration that this control instance
// has applied. Its version is 0 if there is none.
func (c *Control) quotaOf(workspace string) permit.Limit {
	snapshot := c.snapshot()
	if snapshot == nil {
		return permit.Limit{}
	}
	limit := permit.Limit{Version: snapshot.Version()}
	if w := snapshot.Workspace(workspace); w != nil && w.Quota.Limited() {
		f, slack := c.settings.Fleet, 0.0
		if w.Quota.InTokens {
			slack = f.QuotaSlack
		}
		limit.PerSecond, limit.Burst = w.Quota.PerSecond, w.Quota.Burst
		limit.Tolerated = permit.Tolerated(limit.PerSecond, limit.Burst, f.QuotaWindow.AsDuration(), f.QuotaOverage, slack)
	}
	return limit
}

// updateQuotaGauges sets the gauges of the buckets of the workspaces' quotas, which are those of the
// leader.
func (c *Control) updateQuotaGauges() {
	c.metrics.Gauge("control_quotas_taken").Update(float64(c.tokens.Taken()))
	c.metrics.Gauge("control_quotas_refused").Update(float64(c.tokens.Refused()))
	for _, u := range c.tokens.Uses() {
		scope := c.metrics.Tagged(map[string]string{"workspace": u.Workspace})
		scope.Gauge("control_quota_per_second").Update(u.PerSecond)
		scope.Gauge("control_quota_level").Update(u.Level)
		scope.Gauge("control_quota_granted_per_second").Update(u.Used)
		scope.Gauge("control_quota_silent_shares").Update(u.Share)
	}
}

// quotaGaugeInterval is the time between two updates of the gauges of quotas. The fleets are
// refreshed far more often, and there may be many workspaces.
const quotaGaugeInterval = time.Second

// updateQuotaGauges sets the gauges of what this instance knows of the workspaces' quotas.
func (e *Entry) updateQuotaGauges() {
	now := clock.Now()
	if now-e.quotaGaugesAt < quotaGaugeInterval {
		return
	}
	e.quotaGaugesAt = now
	for _, u := range e.quotas.Uses() {
		scope := e.metrics.Tagged(map[string]string{"workspace": u.Workspace})
		scope.Gauge("quota_per_second").Update(u.PerSecond)
		scope.Gauge("quota_granted_per_second").Update(u.Used)
		scope.Gauge("quota_share_per_second").Update(u.Share)
	}
	lost := 0.0
	if e.quotas.Lost() {
		lost = 1
	}
	e.metrics.Gauge("quota_leader_lost").Update(lost)
}

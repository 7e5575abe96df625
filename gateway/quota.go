package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"auburnscale/catalog"
	"auburnscale/event"
	"auburnscale/permit"
)

// A QuotaKeeper decides whether requests are within the quotas of their workspaces over all instances.
type QuotaKeeper interface {
	// Take decides on a request that costs the amount, and takes it if the request is allowed.
	Take(ctx context.Context, workspace string, limit permit.Limit, amount float64) permit.QuotaDecision
	// Charge takes the amount without a decision.
	Charge(workspace string, amount float64)
	// Return gives back an amount that the decision took.
	Return(workspace string, amount float64, d permit.QuotaDecision)
}

const (
	// quotaLogFirst refusals for quotas are logged, and one each quotaLogInterval after that. A
	// workspace beyond its quota sends many.
	quotaLogFirst    = 20
	quotaLogInterval = time.Second
)

// charges is what a request has taken from the quota of its workspace.
type charges struct {
	// decided is true once the quota was asked; decision is the decision, and cost what each run costs.
	decided  bool
	decision permit.QuotaDecision
	cost     float64
	// count is the number of sends that were charged.
	count int
}

// charge charges the request before it is sent. The first charge needs a decision of the quota;
// further sends of a request that may have run are charged in any case. The limit is that of the
// newest configuration, also if it changed while the request waited.
func (c *call) charge() *failure {
	keeper := c.server.deps.Quotas
	if keeper == nil || c.workspace == nil {
		return nil
	}
	if c.charges.decided {
		c.chargeAgain()
		return nil
	}
	c.charges.decided = true
	quota, version := c.quota()
	if !quota.Limited() {
		return nil
	}
	cost := quota.Cost(c.info.PromptTokens + c.info.OutputTokens)
	if cost <= 0 {
		return nil
	}
	limit := permit.Limit{PerSecond: quota.PerSecond, Burst: quota.Burst, Version: version}
	d := keeper.Take(c.ctx, c.workspace.Name, limit, cost)
	if !d.Allowed() {
		if c.ctx.Err() != nil {
			return c.timedOut()
		}
		c.server.logQuotaRefused(c, limit, cost, d)
		return refuse(http.StatusTooManyRequests, "quota_used_up", "the quota of the workspace is used up").withRetryAfter(d.Wait())
	}
	c.charges.decision, c.charges.cost, c.charges.count = d, cost, 1
	c.countQuota("quota_charged", cost)
	return nil
}

// chargeAgain charges a further send of a request that targets may have run as often as it was charged.
func (c *call) chargeAgain() {
	if c.charges.cost > 0 && c.runs >= c.charges.count {
		c.charges.count++
		c.server.deps.Quotas.Charge(c.workspace.Name, c.charges.cost)
		c.countQuota("quota_charged", c.charges.cost)
	}
}

// quota returns the quota of the workspace in the newest configuration, and its version. A workspace
// that was removed has none.
func (c *call) quota() (catalog.Quota, uint64) {
	configuration := c.server.deps.State.Configuration()
	if configuration == nil {
		configuration = c.configuration
	}
	if w := configuration.Workspace(c.workspace.Name); w != nil {
		return w.Quota, configuration.Version()
	}
	return catalog.Quota{}, 0
}

// returnCharges returns what was charged for sends of the request that certainly did not run. A
// prompt that a target prefilled has run in part.
func (c *call) returnCharges() {
	ran := c.runs
	if c.prefillRuns > 0 {
		ran = max(1, ran)
	}
	if unused := float64(c.charges.count-ran) * c.charges.cost; unused > 0 {
		c.server.deps.Quotas.Return(c.workspace.Name, unused, c.charges.decision)
		c.countQuota("quota_returned", unused)
	}
}

// countQuota counts an amount of the workspace's quota, rounded to integers.
func (c *call) countQuota(name string, amount float64) {
	c.server.deps.Metrics.Tagged(map[string]string{"workspace": c.workspaceName()}).Counter(name).Inc(int64(amount + 0.5))
}

func (s *Server) logQuotaRefused(c *call, limit permit.Limit, cost float64, d permit.QuotaDecision) {
	s.deps.Metrics.Tagged(map[string]string{"workspace": c.workspaceName(), "reason": string(d.Reason())}).Counter("quota_refused").Inc(1)
	s.quotaLog.Do(func() {
		s.deps.Logger.Log(event.QuotaRefused, c.fields(zap.String("reason", string(d.Reason())), zap.Float64("per_second", limit.PerSecond), zap.Float64("burst", limit.Burst),
			zap.Float64("cost", cost), zap.Float64("used", d.Used()), zap.Float64("share", d.Share()), zap.Int64("wait_ms", d.Wait().Milliseconds()))...)
	})
}

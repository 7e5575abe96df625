package proposal

import (
	"net/url"
	"strings"
	"time"

	"auburnscale/catalog"
	"auburnscale/diagnostic"
)

// lowestPriority is the least urgent priority that targets know. Higher numbers act like this one.
const lowestPriority = 9

// checkMatches adds a finding for each entry that no request can match.
func (c *checker) checkMatches(configuration *catalog.Configuration) {
	used, authenticated := map[string]bool{}, false
	for i := range configuration.Routes {
		r := &configuration.Routes[i]
		path := diagnostic.Index("routes", i)
		authenticated = authenticated || !r.Unauthenticated
		if r.Host == "" {
			c.add(Unmatched, path+".host", "no request has an empty host")
		}
		if !canMatch(r.Prefix) {
			c.add(Unmatched, path+".prefix", "no request path begins with %q in its escaped form", r.Prefix)
		}
		for j, share := range r.Shares {
			used[share.Service] = true
			if share.Weight == 0 && len(r.Shares) > 1 {
				c.add(Unmatched, diagnostic.Index(path+".shares", j)+".weight", "service %q gets no request of this route", share.Service)
			}
		}
	}
	for i := range configuration.Services {
		s := &configuration.Services[i]
		if !used[s.Name] {
			c.add(Unmatched, diagnostic.Index("services", i)+".name", "no route leads to service %q", s.Name)
		}
		if s.Scaling != nil && s.Scaling.Max <= 0 {
			c.add(Unmatched, diagnostic.Index("services", i)+".scaling.max", "service %q can have no targets", s.Name)
		}
	}
	for i := range configuration.Workspaces {
		w := &configuration.Workspaces[i]
		path := diagnostic.Index("workspaces", i) + ".keys"
		if len(w.Keys) == 0 {
			c.add(Unmatched, path, "workspace %q has no key, so no request belongs to it", w.Name)
		}
		for j, key := range w.Keys {
			if key == "" || strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
				c.add(Unmatched, diagnostic.Index(path, j), "no request can carry this key")
			}
		}
		if !authenticated && len(w.Keys) > 0 && len(configuration.Routes) > 0 {
			c.add(Unmatched, path, "no route asks for a key")
		}
	}
}

// canMatch reports whether the escaped path of a request can begin with the prefix.
func canMatch(prefix string) bool {
	u, err := url.ParseRequestURI(prefix)
	return err != nil && !strings.HasPrefix(prefix, "/") || err == nil && u.EscapedPath() == prefix
}

// checkLimits adds a finding for each limit that contradicts another.
func (c *checker) checkLimits(configuration *catalog.Configuration) {
	for i := range configuration.Routes {
		c.checkRouteLimits(&configuration.Routes[i], diagnostic.Index("routes", i))
	}
	for i := range configuration.Services {
		s := &configuration.Services[i]
		if p := s.Scaling; p != nil && p.Min > p.Max {
			c.add(Contradictory, diagnostic.Index("services", i)+".scaling.min", "%d is above max, %d", p.Min, p.Max)
		}
		if e := s.Engine; e != nil && e.KVCapacityTokens > configuration.Limits.MaxBodyBytes {
			c.add(Contradictory, "limits.body_bytes", "%d bytes are fewer than the %d tokens of a prompt that engines of %q can hold", configuration.Limits.MaxBodyBytes, e.KVCapacityTokens, s.Name)
		}
	}
	for i := range configuration.Workspaces {
		w := &configuration.Workspaces[i]
		path := diagnostic.Index("workspaces", i)
		if w.Priority > lowestPriority {
			c.add(Contradictory, path+".priority", "%d acts like %d, the least urgent one", w.Priority, lowestPriority)
		}
		if q := w.Quota; q.Limited() && q.Burst < q.Cost(0) {
			c.add(Contradictory, path+".burst", "%g is less than a request without token counts costs, %g", q.Burst, q.Cost(0))
		}
	}
}

func (c *checker) checkRouteLimits(r *catalog.Route, path string) {
	if r.Timeout > 0 && r.LatencyObjective > r.Timeout {
		c.add(Contradictory, path+".latency_objective", "%d ms are above the timeout, %d ms", r.LatencyObjective.Milliseconds(), r.Timeout.Milliseconds())
	}
	if r.Timeout > 0 && r.EventGapObjective > r.Timeout {
		c.add(Contradictory, path+".event_gap", "%d ms are above the timeout, %d ms", r.EventGapObjective.Milliseconds(), r.Timeout.Milliseconds())
	}
	switch need := time.Duration(r.MaxAttempts) * r.LatencyObjective; {
	case r.MaxAttempts > 1 && r.RequestKind != 0 && !r.RetrySafe():
		c.add(Contradictory, path+".max_attempts", "%d attempts have no effect: a request that may have run is not sent again", r.MaxAttempts)
	case r.MaxAttempts > 1 && r.Timeout > 0 && r.LatencyObjective <= r.Timeout && need > r.Timeout:
		c.add(Contradictory, path+".max_attempts", "%d attempts of %d ms do not fit into the timeout, %d ms", r.MaxAttempts, r.LatencyObjective.Milliseconds(), r.Timeout.Milliseconds())
	}
	if r.Priority > lowestPriority {
		c.add(Contradictory, path+".priority", "%d acts like %d, the least urgent one", r.Priority, lowestPriority)
	}
}

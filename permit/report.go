package permit

import "auburnscale/peer"

// Reports returns the limits that this instance has observed since the last call, or all known
// limits.
func (g *Gate) Reports(all bool) []*peer.TargetLimit {
	if all {
		g.clearReports()
		list, _ := g.book.Since(0)
		return list
	}
	var list []*peer.TargetLimit
	for k := range g.clearReports() {
		if news := g.book.message(k); news != nil {
			list = append(list, news)
		}
	}
	return list
}

func (g *Gate) clearReports() map[key]bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	keys := g.unreported
	if len(keys) > 0 {
		g.unreported = map[key]bool{}
	}
	if now := g.now(); len(g.reported) > maxLimits {
		for k, at := range g.reported {
			if now-at > reportInterval {
				delete(g.reported, k)
			}
		}
	}
	return keys
}

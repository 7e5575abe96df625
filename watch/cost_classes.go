package watch

import "auburnscale/peer"

const (
	// maxCostClasses bounds the classes of requests that a control instance holds, of about
	// 120 bytes each.
	maxCostClasses = 4096
	// maxClassesPerResponse bounds those in a response, of about 35 bytes each. With eleven
	// exchanges a second, 1,000 classes take 15 s.
	maxClassesPerResponse = 6
	// classMemory is the number of samples that the average of a class holds, so that it
	// follows a change.
	classMemory = 60
)

// A classKey identifies a class of requests.
type classKey struct {
	service string
	kind    peer.CostClass_Kind
	class   uint64
}

// costClasses holds what the entry instances that report to this control instance observed, by
// class of requests.
type costClasses struct {
	classes map[classKey]*peer.CostClass
	order   []classKey
	at      int
}

func newCostClasses() costClasses { return costClasses{classes: map[classKey]*peer.CostClass{}} }

// add merges reported samples. Ones that are not numbers are ignored.
func (c *costClasses) add(list []*peer.CostClass) {
	for _, r := range list {
		if !(r.Samples > 0) || !(r.Samples < 1e6) || !(r.Mean > -50 && r.Mean < 50) || !(r.Variance >= 0 && r.Variance < 50) || len(r.Service) > peer.MaxNameBytes {
			continue
		}
		key := classKey{r.Service, r.Kind, r.Class}
		known := c.classes[key]
		if known == nil {
			c.insert(key, r)
			continue
		}
		part := r.Samples / (known.Samples + r.Samples)
		delta := r.Mean - known.Mean
		// A new message, since responses under way hold the one before.
		c.classes[key] = &peer.CostClass{
			Service: r.Service, Kind: r.Kind, Class: r.Class, Samples: min(classMemory, known.Samples+r.Samples),
			Mean: known.Mean + part*delta, Variance: (1-part)*known.Variance + part*r.Variance + part*(1-part)*delta*delta,
		}
	}
}

// insert adds a class, in place of the one whose turn is next if there are too many.
func (c *costClasses) insert(key classKey, r *peer.CostClass) {
	r.Samples = min(classMemory, r.Samples)
	c.classes[key] = r
	if len(c.order) < maxCostClasses {
		c.order = append(c.order, key)
		return
	}
	c.at %= len(c.order)
	delete(c.classes, c.order[c.at])
	c.order[c.at] = key
	c.at++
}

// next returns the classes whose turn it is.
func (c *costClasses) next(limit int) []*peer.CostClass {
	var list []*peer.CostClass
	for range min(limit, len(c.order)) {
		c.at %= len(c.order)
		list = append(list, c.classes[c.order[c.at]])
		c.at++
	}
	return list
}

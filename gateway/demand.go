package gateway

import (
	"math"
	"sync"
	"time"

	"auburnscale/peer"
	"auburnscale/route"
)

const (
	// demandBucket is the time over which demand is counted, demandBuckets the number of buckets over
	// which its mean and peak are taken. They cover two of the swings of demand seen, of 13 s.
	demandBucket  = 500 * time.Millisecond
	demandBuckets = 60
	// demandRateBuckets is the number of whole buckets over which the present rate is taken.
	demandRateBuckets = 4
	// demandInterval is the least time between two reports. A report at each exchange of load would
	// take a quarter of the traffic that control may use.
	demandInterval = 400 * time.Millisecond
	// speedTTL is how long a service counts as one whose targets state their speed.
	speedTTL = time.Minute
)

// A demandMeter measures what callers demand of each service at this instance. It is safe for
// concurrent use.
type demandMeter struct {
	now func() time.Duration

	mutex    sync.Mutex
	services map[string]*serviceDemand
	reported time.Duration
}

// A serviceDemand is the demand of one service by bucket.
type serviceDemand struct {
	buckets [demandBuckets]demandCounts
	// since is the number of the bucket in which the service was first demanded.
	since int64
	// answered is true once a target of the service has stated its load, so that it is known whether targets
	// state their speed. speedSeen is when one last did; negative if none did.
	answered  bool
	speedSeen time.Duration
}

// demandCounts holds the sums of one bucket, and its number since the clock's origin.
type demandCounts struct {
	number                                     int64
	requests, prompt, prefill, squares, output float64
	running                                    float64
}

func newDemandMeter(now func() time.Duration) *demandMeter {
	return &demandMeter{now: now, services: map[string]*serviceDemand{}, reported: -demandInterval}
}

// service returns the demand of the service. m.mutex must be held.
func (m *demandMeter) service(name string) *serviceDemand {
	s := m.services[name]
	if s == nil {
		s = &serviceDemand{since: int64(m.now() / demandBucket), speedSeen: -1}
		for i := range s.buckets {
			s.buckets[i].number = -1
		}
		m.services[name] = s
	}
	return s
}

// bucket returns the bucket of the number, emptied if it was used before.
func (s *serviceDemand) bucket(number int64) *demandCounts {
	b := &s.buckets[number%demandBuckets]
	if b.number != number {
		*b = demandCounts{number: number}
	}
	return b
}

// count counts a request with the numbers of tokens of its prompt, of those to prefill, and of its output.
func (m *demandMeter) count(service string, prompt, prefill, output int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	b := m.service(service).bucket(int64(m.now() / demandBucket))
	b.requests++
	b.prompt += float64(prompt)
	b.prefill += float64(prefill)
	b.squares += float64(prefill) * float64(prefill)
	b.output += float64(output)
}

// loadStated records that a target of the service stated its load, and whether also its speed.
func (m *demandMeter) loadStated(service string, speed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := m.service(service)
	s.answered = true
	if speed {
		s.speedSeen = m.now()
	}
}

// report returns the demand of the services whose targets have stated their load, or nil if it was reported within demandInterval. usage
// returns the requests in flight on a service's decode targets, and the rate at which its targets prefill.
func (m *demandMeter) report(usage func(service string) (running, prefillRate float64)) []*peer.ServiceDemand {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.now()
	if now-m.reported < demandInterval {
		return nil
	}
	m.reported = now
	list := []*peer.ServiceDemand{{Entries: 1}}
	number := int64(now / demandBucket)
	for name, s := range m.services {
		if !s.answered {
			continue
		}
		running, rate := usage(name)
		b := s.bucket(number)
		b.running = max(b.running, running)
		d := s.rates(number)
		d.Service, d.Running, d.PrefillRate, d.Entries = name, float32(running), float32(rate), 1
		d.SpeedStated = s.speedSeen >= 0 && now-s.speedSeen < speedTTL
		list = append(list, d)
	}
	return list
}

// rates returns the rates before the bucket with the number, with the mean and the peak.
func (s *serviceDemand) rates(number int64) *peer.ServiceDemand {
	seconds := demandBucket.Seconds()
	known := min(demandBuckets-1, number-s.since)
	d := &peer.ServiceDemand{}
	prefill := make([]float64, 0, known)
	sum, peak, runningPeak := 0.0, 0.0, s.bucket(number).running
	for back := known; back >= 1; back-- {
		b := demandCounts{}
		if at := s.buckets[(number-back)%demandBuckets]; at.number == number-back {
			b = at
		}
		prefill = append(prefill, b.prefill)
		sum += b.prefill
		runningPeak = max(runningPeak, b.running)
		if n := len(prefill); n >= demandRateBuckets {
			window := 0.0
			for _, p := range prefill[n-demandRateBuckets:] {
				window += p
			}
			peak = max(peak, window/(demandRateBuckets*seconds))
		}
		if back <= demandRateBuckets {
			scale := 1 / (float64(min(demandRateBuckets, known)) * seconds)
			d.Requests += float32(b.requests * scale)
			d.PromptTokens += float32(b.prompt * scale)
			d.PrefillTokens += float32(b.prefill * scale)
			d.PrefillSquares += float32(math.Min(b.squares*scale, math.MaxFloat32/demandBuckets))
			d.OutputTokens += float32(b.output * scale)
		}
	}
	if known > 0 {
		d.PrefillMean = float32(sum / (float64(known) * seconds))
	}
	d.PrefillPeak, d.RunningPeak = max(float32(peak), d.PrefillTokens), float32(runningPeak)
	return d
}

// countDemand counts the request, once, with the prompt tokens that the placement's target must prefill. A request
// that no target can take, or that is refused as late, is demand as well.
func (c *call) countDemand(p route.Placement) {
	if c.demandCounted {
		return
	}
	c.demandCounted = true
	prefill := p.PrefillTokens
	if p.DecodeTarget == nil {
		prefill = c.prompt.TotalTokens
	}
	c.server.deps.Fleets.demand.count(c.service.Name, c.prompt.TotalTokens, prefill, c.info.OutputTokens)
}

// DemandReport returns what callers demand of the services at this instance, or nil if that was
// reported shortly before.
func (f *Fleets) DemandReport() []*peer.ServiceDemand { return f.demand.report(f.usage) }

// usage returns the requests of this instance in flight on the service's targets that decode, and the
// observed rate at which its targets prefill, in tokens a second.
func (f *Fleets) usage(service string) (running, prefillRate float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, k := range f.targets {
		if k.row.Service == service && k.target.Decodes() {
			_, requests := k.target.OwnLoad()
			running += float64(requests)
		}
	}
	return running, f.state(service).rates.PrefillOnly()
}

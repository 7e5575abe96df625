// Package experiment measures policies side by side: it runs the product's
// instances and stand-in engines in one process under a load, once per variant
// and seed, and brings faults about at given times.
//
// It owns the scenarios' form, the running of one trial and the table of
// results. It must not decide anything that the product decides.
//
// # Usage
//
//	scenario, findings := experiment.Parse("mix_swing.toml", data)
//	report, err := experiment.Run(ctx, scenario, os.Stderr)
package experiment

import (
	"slices"
	"time"

	"auburnscale/finding"
	"auburnscale/load"
	"auburnscale/settings"
	"auburnscale/standin"
)

// A Scenario represents one question put to several policies.
type Scenario struct {
	Name  string   `toml:"name"`
	About string   `toml:"about"`
	Seeds []uint64 `toml:"seeds"`
	// Domains and InstancesPerDomain make up the instances; the first three
	// are the voters.
	Domains            []string  `toml:"domains"`
	InstancesPerDomain int       `toml:"instances_per_domain"`
	Engines            Engines   `toml:"engines"`
	Load               load.Plan `toml:"load"`
	Variants           []Variant `toml:"variants"`
	Faults             []Fault   `toml:"faults"`
}

// Engines describes the stand-in engines, the same in each failure domain.
type Engines struct {
	PerDomain   int               `toml:"per_domain"`
	Slots       int               `toml:"slots"`
	CachePieces int               `toml:"cache_pieces"`
	KVTokens    int               `toml:"kv_tokens"`
	LoadLag     settings.Duration `toml:"load_lag"`
	EventDelay  settings.Duration `toml:"event_delay"`
	GapEvery    int               `toml:"gap_every"`
	// SlowFirst multiplies the step times of the first engine.
	SlowFirst   float64 `toml:"slow_first"`
	CrashMarker string  `toml:"crash_marker"`
}

// A Variant represents one choice of policies.
type Variant struct {
	Name      string `toml:"name"`
	Routing   string `toml:"routing"`
	Admission string `toml:"admission"`
	Retries   string `toml:"retries"`
}

// killEngines is the kind of fault that crashes a failure domain's engines.
const killEngines = "kill_engines"

// A Fault happens once in each trial.
type Fault struct {
	At settings.Duration `toml:"at"`
	// Kind is kill_engines: all engines of Domain crash at once.
	Kind   string `toml:"kind"`
	Domain string `toml:"domain"`
}

// Parse reads a scenario and returns the findings about it.
func Parse(file string, data []byte) (Scenario, *finding.List) {
	s := Scenario{Seeds: []uint64{1}, Domains: []string{"d1", "d2"}, InstancesPerDomain: 2}
	s.Load.FirstToken = settings.Duration(1300 * time.Millisecond)
	s.Load.BetweenTokens = settings.Duration(54 * time.Millisecond)
	s.Load.Timeout = settings.Duration(30 * time.Second)
	list := &finding.List{}
	if finding.DecodeTOML(file, data, &s, list) {
		s.check(file, list)
	}
	return s, list
}

func (s *Scenario) check(file string, list *finding.List) {
	if s.Name == "" {
		list.Add(file, "name", "is missing")
	}
	if len(s.Variants) == 0 {
		list.Add(file, "variants", "is missing")
	}
	if s.Engines.PerDomain < 1 {
		list.Add(file, "engines.per_domain", "must be 1 or more")
	}
	if len(s.Domains)*s.InstancesPerDomain < 1 {
		list.Add(file, "instances_per_domain", "leaves no instance")
	}
	for i, f := range s.Faults {
		key := finding.Index("faults", i)
		if f.Kind != killEngines {
			list.Add(file, key+".kind", "%q is not %q", f.Kind, killEngines)
		}
		if !slices.Contains(s.Domains, f.Domain) {
			list.Add(file, key+".domain", "%q is not in domains", f.Domain)
		}
	}
}

func (e *Engines) config(name string, seed uint64, first bool) standin.EngineConfig {
	c := standin.EngineConfig{
		Name: name, Slots: e.Slots, KVTokens: e.KVTokens, CachePieces: e.CachePieces, Seed: seed,
		Faults: standin.Faults{
			LoadLag: e.LoadLag.AsDuration(), EventDelay: e.EventDelay.AsDuration(), GapEvery: e.GapEvery, CrashMarker: e.CrashMarker,
		},
	}
	if first && e.SlowFirst > 0 {
		c.Faults.Slow = e.SlowFirst
	}
	return c
}

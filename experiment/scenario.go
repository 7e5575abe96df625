// Package experiment compares policies: it runs auburnscale instances and stand-in
// engines in one process under a load, once per variant and seed, and injects
// faults at given times.
//
// The package defines the scenario format, runs the trials and prints the results.
// It must not make any of the decisions that it measures, such as routing.
//
// # Usage
//
//	scenario, findings := experiment.Parse("mix_swing.toml", data)
//	report, err := experiment.Run(ctx, scenario, os.Stderr)
package experiment

import (
	"slices"
	"time"

	"auburnscale/diagnostic"
	"auburnscale/load"
	"auburnscale/settings"
	"auburnscale/standin"
)

// A Scenario represents a load, a fleet and faults under which several variants of
// the policies are compared.
type Scenario struct {
	Name  string   `toml:"name"`
	About string   `toml:"about"`
	Seeds []uint64 `toml:"seeds"`
	// Domains are the failure domains, each with InstancesPerDomain instances. The
	// first three instances are voters, or the first one if there are fewer than
	// three.
	Domains            []string  `toml:"domains"`
	InstancesPerDomain int       `toml:"instances_per_domain"`
	Engines            Engines   `toml:"engines"`
	Load               load.Plan `toml:"load"`
	Variants           []Variant `toml:"variants"`
	Faults             []Fault   `toml:"faults"`
}

// Engines describes the stand-in engines, which are the same in each failure domain.
type Engines struct {
	PerDomain   int               `toml:"per_domain"`
	Slots       int               `toml:"slots"`
	CacheBlocks int               `toml:"cache_pieces"`
	KVTokens    int               `toml:"kv_tokens"`
	LoadLag     settings.Duration `toml:"load_lag"`
	EventDelay  settings.Duration `toml:"event_delay"`
	GapEvery    int               `toml:"gap_every"`
	// SlowFirst is a factor on the step times of the first engine.
	SlowFirst   float64 `toml:"slow_first"`
	CrashMarker string  `toml:"crash_marker"`
}

// A Variant represents one choice of policies. An empty policy means the default.
type Variant struct {
	Name      string `toml:"name"`
	Routing   string `toml:"routing"`
	Admission string `toml:"admission"`
	Retries   string `toml:"retries"`
}

// killEngines is the kind of fault that crashes all engines of a failure domain.
const killEngines = "kill_engines"

// A Fault is injected once in each trial.
type Fault struct {
	At settings.Duration `toml:"at"`
	// Kind must be kill_engines: all engines of Domain crash at once.
	Kind   string `toml:"kind"`
	Domain string `toml:"domain"`
}

// Parse decodes a scenario from TOML and returns it with the findings of its
// validation.
func Parse(file string, data []byte) (Scenario, *diagnostic.List) {
	s := Scenario{Seeds: []uint64{1}, Domains: []string{"d1", "d2"}, InstancesPerDomain: 2}
	s.Load.FirstToken = settings.Duration(1300 * time.Millisecond)
	s.Load.BetweenTokens = settings.Duration(54 * time.Millisecond)
	s.Load.Timeout = settings.Duration(30 * time.Second)
	list := &diagnostic.List{}
	if diagnostic.DecodeTOML(file, data, &s, list) {
		s.check(file, list)
	}
	return s, list
}

func (s *Scenario) check(file string, list *diagnostic.List) {
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
		list.Add(file, "instances_per_domain", "must give at least one instance in all domains together")
	}
	for i, f := range s.Faults {
		key := diagnostic.Index("faults", i)
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
		Name: name, Slots: e.Slots, KVTokens: e.KVTokens, CacheBlocks: e.CacheBlocks, Seed: seed,
		Faults: standin.Faults{
			LoadLag: e.LoadLag.AsDuration(), EventDelay: e.EventDelay.AsDuration(), GapEvery: e.GapEvery, CrashMarker: e.CrashMarker,
		},
	}
	if first && e.SlowFirst > 0 {
		c.Faults.Slow = e.SlowFirst
	}
	return c
}

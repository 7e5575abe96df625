package experiment

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"auburnscale/load"
)

// A Report holds the results of a scenario.
type Report struct {
	Scenario string   `json:"scenario"`
	About    string   `json:"about"`
	Trials   []Trial  `json:"trials"`
	Medians  []Median `json:"medians"`
}

// A Trial represents one run of one variant with one seed.
type Trial struct {
	Variant string       `json:"variant"`
	Seed    uint64       `json:"seed"`
	Result  *load.Result `json:"result"`
	Figures Figures      `json:"figures"`
}

// Figures are the metrics by which variants are compared.
type Figures struct {
	// Goodput is the share of the sent requests that met the latency objectives.
	Goodput float64 `json:"goodput"`
	// GoodTokens is the output of good requests in tokens per second.
	GoodTokens float64 `json:"good_tokens_per_second"`
	// WorstWorkspace is the lowest goodput of any workspace.
	WorstWorkspace float64 `json:"worst_workspace"`
	// WorstOfFairShare is the lowest ratio, over the workspaces, of a workspace's good
	// responses to its max-min fair share of all good responses.
	WorstOfFairShare float64 `json:"worst_of_fair_share"`
	// CacheHits is the share of the looked-up prefix blocks that were in a prefix cache.
	CacheHits float64 `json:"cache_hits"`
	// BusiestOverMean is the ratio of the busiest engine's requests to the mean per engine.
	BusiestOverMean float64 `json:"busiest_over_mean"`
	// Arrivals counts the completion requests that reached the engines.
	Arrivals         float64 `json:"arrivals"`
	Wrong            float64 `json:"wrong"`
	FirstTokenP95    float64 `json:"first_token_p95_ms"`
	BetweenTokensP95 float64 `json:"between_tokens_p95_ms"`
}

// A Median holds a variant's figures, each the median over the seeds.
type Median struct {
	Variant string  `json:"variant"`
	Figures Figures `json:"figures"`
}

// Run measures every variant with every seed, one trial after another, and writes
// one line per trial to progress.
func Run(ctx context.Context, s Scenario, progress io.Writer) (*Report, error) {
	report := &Report{Scenario: s.Name, About: s.About}
	for _, seed := range s.Seeds {
		for _, variant := range s.Variants {
			trial, err := runTrial(ctx, s, variant, seed)
			if err != nil {
				return nil, fmt.Errorf("%s, seed %d: %w", variant.Name, seed, err)
			}
			report.Trials = append(report.Trials, *trial)
			fmt.Fprintf(progress, "%s seed %d %s: goodput %.3f, worst %.3f, hits %.3f, first p95 %.0f ms\n",
				s.Name, seed, variant.Name, trial.Figures.Goodput, trial.Figures.WorstWorkspace, trial.Figures.CacheHits, trial.Figures.FirstTokenP95)
		}
	}
	for _, variant := range s.Variants {
		report.Medians = append(report.Medians, medianOf(variant.Name, report.Trials))
	}
	return report, nil
}

func runTrial(ctx context.Context, s Scenario, variant Variant, seed uint64) (*Trial, error) {
	site, err := newSite(ctx, &s, variant, seed)
	if err != nil {
		return nil, err
	}
	defer site.close()
	plan := s.Load
	plan.Seed = seed
	plan.Addresses = nil
	for _, n := range site.instances {
		plan.Addresses = append(plan.Addresses, n.address(callerPort))
	}
	plan.Workspaces = slices.Clone(plan.Workspaces)
	for i := range plan.Workspaces {
		plan.Workspaces[i].Key = keyOf(plan.Workspaces[i].Name)
	}
	faults, cancel := context.WithCancel(ctx)
	defer cancel()
	go site.injectFaults(faults, time.Now())
	result, err := load.Run(ctx, plan, nil)
	if err != nil {
		return nil, err
	}
	return &Trial{Variant: variant.Name, Seed: seed, Result: result, Figures: site.figures(result)}, nil
}

// injectFaults injects the scenario's faults at their times.
func (s *site) injectFaults(ctx context.Context, started time.Time) {
	for _, f := range s.scenario.Faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(started.Add(f.At.AsDuration()))):
			s.inject(f)
		}
	}
}

func (s *site) figures(r *load.Result) Figures {
	f := Figures{Wrong: float64(r.Wrong), FirstTokenP95: r.FirstToken.P95, BetweenTokensP95: r.Between.P95, WorstWorkspace: 1}
	f.Goodput = share(r.Good, r.Sent)
	f.GoodTokens = float64(r.GoodTokens) / r.Seconds
	for _, w := range r.Workspaces {
		if w.Sent > 0 {
			f.WorstWorkspace = min(f.WorstWorkspace, share(w.Good, w.Sent))
		}
	}
	f.WorstOfFairShare = worstFairShareRatio(r)
	var hits, lookups, most, total int64
	for _, e := range s.all {
		engineHits, engineLookups := e.CacheStats()
		hits += engineHits
		lookups += engineLookups
		most = max(most, int64(e.Arrivals()))
		total += int64(e.Arrivals())
	}
	f.CacheHits = share(int(hits), int(lookups))
	f.Arrivals = float64(total)
	if total > 0 {
		f.BusiestOverMean = float64(most) * float64(len(s.all)) / float64(total)
	}
	return f
}

// worstFairShareRatio divides the good responses max-min fairly among the workspaces,
// each of which can get at most as many as it sent requests, and returns the lowest
// ratio of a workspace's good responses to its fair share.
func worstFairShareRatio(r *load.Result) float64 {
	workspaces := slices.Clone(r.Workspaces)
	slices.SortFunc(workspaces, func(a, b load.WorkspaceResult) int { return a.Sent - b.Sent })
	remaining, worst := float64(r.Good), 1.0
	for i, w := range workspaces {
		part := min(float64(w.Sent), remaining/float64(len(workspaces)-i))
		remaining -= part
		if part > 0 {
			worst = min(worst, float64(w.Good)/part)
		}
	}
	return worst
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func medianOf(variant string, trials []Trial) Median {
	of := func(pick func(Figures) float64) float64 {
		var values []float64
		for _, t := range trials {
			if t.Variant == variant {
				values = append(values, pick(t.Figures))
			}
		}
		slices.Sort(values)
		return values[(len(values)-1)/2]
	}
	return Median{Variant: variant, Figures: Figures{
		Goodput: of(func(f Figures) float64 { return f.Goodput }), GoodTokens: of(func(f Figures) float64 { return f.GoodTokens }),
		WorstWorkspace: of(func(f Figures) float64 { return f.WorstWorkspace }), WorstOfFairShare: of(func(f Figures) float64 { return f.WorstOfFairShare }), CacheHits: of(func(f Figures) float64 { return f.CacheHits }),
		BusiestOverMean: of(func(f Figures) float64 { return f.BusiestOverMean }), Arrivals: of(func(f Figures) float64 { return f.Arrivals }),
		Wrong: of(func(f Figures) float64 { return f.Wrong }), FirstTokenP95: of(func(f Figures) float64 { return f.FirstTokenP95 }),
		BetweenTokensP95: of(func(f Figures) float64 { return f.BetweenTokensP95 }),
	}}
}

// Print writes the medians as a table.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%s: %s\n", r.Scenario, r.About)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "variant\tgoodput\tgood tokens/s\tworst workspace\tworst of fair share\tcache hits\tbusiest/mean\twrong\tfirst p95 ms\tgap p95 ms")
	for _, m := range r.Medians {
		f := m.Figures
		fmt.Fprintf(table, "%s\t%.3f\t%.0f\t%.3f\t%.3f\t%.3f\t%.2f\t%.0f\t%.0f\t%.0f\n",
			m.Variant, f.Goodput, f.GoodTokens, f.WorstWorkspace, f.WorstOfFairShare, f.CacheHits, f.BusiestOverMean, f.Wrong, f.FirstTokenP95, f.BetweenTokensP95)
	}
	_ = table.Flush()
}

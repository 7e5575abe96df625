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

// A Report represents a scenario's results.
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

// Figures are what a trial is judged by.
type Figures struct {
	// Goodput is the share of requests sent that kept their times.
	Goodput float64 `json:"goodput"`
	// GoodTokens is the output of good requests in tokens a second.
	GoodTokens float64 `json:"good_tokens_per_second"`
	// Worst is the lowest goodput of a workspace.
	Worst float64 `json:"worst_workspace"`
	// FairShare is the lowest part that a workspace got of its fair share: the
	// good answers of all, filled up evenly to what each asked for.
	FairShare float64 `json:"worst_of_fair_share"`
	// CacheHits is the share of prompt pieces found in a prefix cache.
	CacheHits float64 `json:"cache_hits"`
	// Busiest is the busiest engine's requests over the mean.
	Busiest float64 `json:"busiest_over_mean"`
	// Arrivals counts the completions that reached engines.
	Arrivals float64 `json:"arrivals"`
	Wrong    float64 `json:"wrong"`
	FirstP95 float64 `json:"first_token_p95_ms"`
	GapP95   float64 `json:"between_tokens_p95_ms"`
}

// A Median represents a variant's figures, each the median over its seeds.
type Median struct {
	Variant string  `json:"variant"`
	Figures Figures `json:"figures"`
}

// Run measures every variant with every seed, one trial after another.
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
				s.Name, seed, variant.Name, trial.Figures.Goodput, trial.Figures.Worst, trial.Figures.CacheHits, trial.Figures.FirstP95)
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
	for _, n := range site.nodes {
		plan.Addresses = append(plan.Addresses, n.address(callerPort))
	}
	plan.Workspaces = slices.Clone(plan.Workspaces)
	for i := range plan.Workspaces {
		plan.Workspaces[i].Key = keyOf(plan.Workspaces[i].Name)
	}
	faults, cancel := context.WithCancel(ctx)
	defer cancel()
	go site.loop(faults, time.Now())
	result, err := load.Run(ctx, plan, nil)
	if err != nil {
		return nil, err
	}
	return &Trial{Variant: variant.Name, Seed: seed, Result: result, Figures: site.figures(result)}, nil
}

// loop brings the scenario's faults about when they are due.
func (s *site) loop(ctx context.Context, started time.Time) {
	for _, f := range s.scenario.Faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(started.Add(f.At.AsDuration()))):
			s.strike(f)
		}
	}
}

func (s *site) figures(r *load.Result) Figures {
	f := Figures{Wrong: float64(r.Wrong), FirstP95: r.FirstToken.P95, GapP95: r.Between.P95, Worst: 1}
	f.Goodput = share(r.Good, r.Sent)
	f.GoodTokens = float64(r.GoodTokens) / r.Seconds
	for _, w := range r.Workspaces {
		if w.Sent > 0 {
			f.Worst = min(f.Worst, share(w.Good, w.Sent))
		}
	}
	f.FairShare = worstOfFairShare(r)
	var hits, asked, most, total int64
	for _, e := range s.all {
		found, looked := e.CacheUse()
		hits += found
		asked += looked
		most = max(most, int64(e.Arrivals()))
		total += int64(e.Arrivals())
	}
	f.CacheHits = share(int(hits), int(asked))
	f.Arrivals = float64(total)
	if total > 0 {
		f.Busiest = float64(most) * float64(len(s.all)) / float64(total)
	}
	return f
}

// worstOfFairShare divides the good answers max-min fairly over the workspaces
// and returns the lowest ratio of what a workspace got to its part.
func worstOfFairShare(r *load.Result) float64 {
	asked := slices.Clone(r.Workspaces)
	slices.SortFunc(asked, func(a, b load.WorkspaceResult) int { return a.Sent - b.Sent })
	left, worst := float64(r.Good), 1.0
	for i, w := range asked {
		part := min(float64(w.Sent), left/float64(len(asked)-i))
		left -= part
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
		Worst: of(func(f Figures) float64 { return f.Worst }), FairShare: of(func(f Figures) float64 { return f.FairShare }), CacheHits: of(func(f Figures) float64 { return f.CacheHits }),
		Busiest: of(func(f Figures) float64 { return f.Busiest }), Arrivals: of(func(f Figures) float64 { return f.Arrivals }),
		Wrong: of(func(f Figures) float64 { return f.Wrong }), FirstP95: of(func(f Figures) float64 { return f.FirstP95 }),
		GapP95: of(func(f Figures) float64 { return f.GapP95 }),
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
			m.Variant, f.Goodput, f.GoodTokens, f.Worst, f.FairShare, f.CacheHits, f.Busiest, f.Wrong, f.FirstP95, f.GapP95)
	}
	_ = table.Flush()
}

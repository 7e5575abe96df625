package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A Result summarizes a load. Answered counts the complete and correct responses,
// Good those of them that met the latency objectives, Wrong the incorrect responses,
// and Codes the failures by code. Percentiles are over the requests without a code,
// which include those with incorrect responses.
type Result struct {
	Seconds    float64           `json:"seconds"`
	Sent       int               `json:"sent"`
	Answered   int               `json:"answered"`
	Good       int               `json:"good"`
	GoodTokens int64             `json:"good_tokens"`
	Wrong      int               `json:"wrong"`
	Codes      map[string]int    `json:"codes"`
	Workspaces []WorkspaceResult `json:"workspaces"`
	FirstToken Percentiles       `json:"first_token_ms"`
	Between    Percentiles       `json:"between_tokens_ms"`
	Total      Percentiles       `json:"total_ms"`
	WrongNotes []string          `json:"wrong_notes,omitempty"`
}

// A WorkspaceResult represents one workspace's part of a Result.
type WorkspaceResult struct {
	Name         string `json:"name"`
	Sent         int    `json:"sent"`
	Answered     int    `json:"answered"`
	Good         int    `json:"good"`
	PromptTokens int64  `json:"prompt_tokens"`
	OutputTokens int64  `json:"output_tokens"`
}

// Percentiles are latencies in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
	maxWrongNotes   = 10
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	const perMs = 1000.0
	return Percentiles{
		P50: float64(h.ValueAtQuantile(50)) / perMs, P95: float64(h.ValueAtQuantile(95)) / perMs,
		P99: float64(h.ValueAtQuantile(99)) / perMs, Max: float64(h.Max()) / perMs,
	}
}

func summarize(plan Plan, outcomes []outcome, took time.Duration) *Result {
	r := &Result{Seconds: took.Seconds(), Codes: map[string]int{}}
	for _, w := range plan.Workspaces {
		r.Workspaces = append(r.Workspaces, WorkspaceResult{Name: w.Name})
	}
	first, between, total := newHistogram(), newHistogram(), newHistogram()
	for i := range outcomes {
		o := &outcomes[i]
		r.add(plan, o)
		if o.code != "" {
			continue
		}
		_ = first.RecordValue(o.first.Microseconds())
		_ = total.RecordValue(o.total.Microseconds())
		for _, g := range o.gaps {
			_ = between.RecordValue(g.Microseconds())
		}
	}
	r.FirstToken, r.Between, r.Total = percentiles(first), percentiles(between), percentiles(total)
	return r
}

func (r *Result) add(plan Plan, o *outcome) {
	w := &r.Workspaces[o.arrival.workspace]
	r.Sent++
	w.Sent++
	switch {
	case o.wrong != "":
		r.Wrong++
		if len(r.WrongNotes) < maxWrongNotes {
			r.WrongNotes = append(r.WrongNotes, fmt.Sprintf("request %d: %s", o.arrival.number, o.wrong))
		}
	case o.code != "":
		r.Codes[o.code]++
	default:
		r.Answered++
		w.Answered++
		w.PromptTokens += o.prompt
		w.OutputTokens += int64(o.tokens)
		if o.good(plan) {
			r.Good++
			r.GoodTokens += int64(o.tokens)
			w.Good++
		}
	}
}

// good reports whether the response met the latency objectives of the plan for the
// time to first token and the mean time between tokens. A response that was not
// streamed has neither time and counts as good.
func (o *outcome) good(plan Plan) bool {
	if o.first > plan.FirstToken.AsDuration() {
		return false
	}
	if len(o.gaps) == 0 {
		return true
	}
	var sum time.Duration
	for _, g := range o.gaps {
		sum += g
	}
	return sum/time.Duration(len(o.gaps)) <= plan.BetweenTokens.AsDuration()
}

// Print writes the result as a table.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "sent %d, answered %d, good %d, wrong %d in %.1f s\n", r.Sent, r.Answered, r.Good, r.Wrong, r.Seconds)
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(out, "  %s: %d\n", code, r.Codes[code])
	}
	for _, note := range r.WrongNotes {
		fmt.Fprintln(out, "  wrong:", note)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "ms\tp50\tp95\tp99\tmax")
	printRow(table, "first token", r.FirstToken)
	printRow(table, "between tokens", r.Between)
	printRow(table, "total", r.Total)
	_ = table.Flush()
	table = tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "workspace\tsent\tanswered\tgood\tprompt tokens\toutput tokens")
	for _, w := range r.Workspaces {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\n", w.Name, w.Sent, w.Answered, w.Good, w.PromptTokens, w.OutputTokens)
	}
	_ = table.Flush()
}

func printRow(out io.Writer, name string, p Percentiles) {
	fmt.Fprintf(out, "%s\t%.1f\t%.1f\t%.1f\t%.1f\n", name, p.P50, p.P95, p.P99, p.Max)
}

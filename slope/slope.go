// Package slope measures how the control group's costs grow, for
// docs/CAPACITY.md: heartbeats, the spread of a configuration, claims, a restart
// and the memory of a configuration, each at three sizes or more.
//
// It owns light instances (a follower without callers or targets) around three
// real voters with real folders, all in one process, and a straight-line fit. It
// must not simulate: what it measures is the product's code on this machine.
//
// # Usage
//
//	figures, err := slope.Measure(ctx, slope.Sizes{Instances: []int{6, 50, 350}}, os.Stderr)
//	figures.Print(os.Stdout)
package slope

import (
	"context"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Sizes are the points at which each slope is measured.
type Sizes struct {
	Instances  []int
	Claims     []int
	Changes    []int
	Workspaces []int
}

// DefaultSizes end at the size to design for.
var DefaultSizes = Sizes{
	Instances: []int{6, 50, 150, 350}, Claims: []int{250, 500, 1000},
	Changes: []int{500, 1000, 2000}, Workspaces: []int{750, 2500, 7500},
}

// Figures represents all that was measured.
type Figures struct {
	Control []ControlPoint `json:"control"`
	Claims  []ClaimPoint   `json:"claims"`
	Restart []RestartPoint `json:"restart"`
	Memory  []MemoryPoint  `json:"memory"`
	// ControlCPU fits the core share over the instances, Parse the
	// milliseconds over the workspaces.
	ControlCPU Line `json:"control_cpu_fit"`
	Parse      Line `json:"parse_fit"`
	Heap       Line `json:"heap_fit"`
}

// A ControlPoint is the cost of heartbeats at rest and of one change.
type ControlPoint struct {
	Instances int `json:"instances"`
	// CPU is the share of a core that the voters and the instances take
	// together at rest.
	CPU float64 `json:"cpu_share"`
	// BytesPerInstance is what an instance sends and receives a second at rest.
	BytesPerInstance float64 `json:"bytes_per_instance_per_second"`
	// InForceMs is the time from proposing a change to its being in force at
	// every instance, the median and the longest of several.
	InForceMs    float64 `json:"in_force_ms"`
	InForceMaxMs float64 `json:"in_force_max_ms"`
	// ChangeBytes is what an instance receives for one change.
	ChangeBytes float64 `json:"change_bytes_per_instance"`
	// ChangeCPUMs is the processor time of one change, all together.
	ChangeCPUMs float64 `json:"change_cpu_ms"`
}

// A ClaimPoint is the latency of claims at an offered rate.
type ClaimPoint struct {
	Offered int     `json:"offered_per_second"`
	Done    float64 `json:"done_per_second"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
}

// A RestartPoint is the time until a voter's folder is read again.
type RestartPoint struct {
	Changes int     `json:"changes"`
	Ms      float64 `json:"ms"`
	LogMB   float64 `json:"log_mb"`
}

// A MemoryPoint is what a configuration takes in an instance.
type MemoryPoint struct {
	Workspaces int     `json:"workspaces"`
	Targets    int     `json:"targets"`
	TextKB     float64 `json:"text_kb"`
	ParseMs    float64 `json:"parse_ms"`
	HeapMB     float64 `json:"heap_mb"`
	DeltaBytes float64 `json:"delta_bytes"`
}

// A Line is a least-squares fit y = Base + Slope*x, with the largest distance
// of a point from it.
type Line struct {
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Distance float64 `json:"largest_distance"`
}

// fit returns the line through the points.
func fit(x, y []float64) Line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	l := Line{}
	if d := n*sxx - sx*sx; d != 0 {
		l.Slope = (n*sxy - sx*sy) / d
	}
	l.Base = (sy - l.Slope*sx) / n
	for i := range x {
		l.Distance = max(l.Distance, math.Abs(y[i]-l.Base-l.Slope*x[i]))
	}
	return l
}

// Measure runs every measurement, one after another.
func Measure(ctx context.Context, sizes Sizes, progress io.Writer) (*Figures, error) {
	f := &Figures{}
	for _, n := range sizes.Workspaces {
		f.Memory = append(f.Memory, measureMemory(n))
	}
	for _, n := range sizes.Instances {
		point, err := measureControl(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("control at %d instances: %w", n, err)
		}
		fmt.Fprintf(progress, "control at %d instances: %+v\n", n, *point)
		f.Control = append(f.Control, *point)
	}
	for _, n := range sizes.Claims {
		point, err := measureClaims(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("claims at %d a second: %w", n, err)
		}
		fmt.Fprintf(progress, "claims: %+v\n", *point)
		f.Claims = append(f.Claims, *point)
	}
	for _, n := range sizes.Changes {
		point, err := measureRestart(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("restart after %d changes: %w", n, err)
		}
		f.Restart = append(f.Restart, *point)
	}
	f.fitAll()
	return f, nil
}

func (f *Figures) fitAll() {
	var x, cpu []float64
	for _, p := range f.Control {
		x = append(x, float64(p.Instances))
		cpu = append(cpu, p.CPU)
	}
	f.ControlCPU = fit(x, cpu)
	var w, parse, heap []float64
	for _, p := range f.Memory {
		w = append(w, float64(p.Workspaces))
		parse = append(parse, p.ParseMs)
		heap = append(heap, p.HeapMB)
	}
	f.Parse, f.Heap = fit(w, parse), fit(w, heap)
}

// Print writes the figures as tables.
func (f *Figures) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "instances\tcore share, all\tbytes/s each\tin force ms\tlongest ms\tbytes a change each\tCPU ms a change, all")
	for _, p := range f.Control {
		fmt.Fprintf(table, "%d\t%.4f\t%.0f\t%.1f\t%.1f\t%.0f\t%.1f\n", p.Instances, p.CPU, p.BytesPerInstance, p.InForceMs, p.InForceMaxMs, p.ChangeBytes, p.ChangeCPUMs)
	}
	fmt.Fprintln(table, "\nclaims offered/s\tdone/s\tp50 ms\tp99 ms")
	for _, p := range f.Claims {
		fmt.Fprintf(table, "%d\t%.0f\t%.2f\t%.2f\n", p.Offered, p.Done, p.P50Ms, p.P99Ms)
	}
	fmt.Fprintln(table, "\nchanges before the restart\tms to read the folder\tlog MB")
	for _, p := range f.Restart {
		fmt.Fprintf(table, "%d\t%.1f\t%.1f\n", p.Changes, p.Ms, p.LogMB)
	}
	fmt.Fprintln(table, "\nworkspaces\ttargets\ttext KB\tparse ms\theap MB\tdelta bytes")
	for _, p := range f.Memory {
		fmt.Fprintf(table, "%d\t%d\t%.0f\t%.1f\t%.2f\t%.0f\n", p.Workspaces, p.Targets, p.TextKB, p.ParseMs, p.HeapMB, p.DeltaBytes)
	}
	_ = table.Flush()
	fmt.Fprintf(out, "\ncore share = %.4f + %.6f per instance (off by %.4f at most)\n", f.ControlCPU.Base, f.ControlCPU.Slope, f.ControlCPU.Distance)
	fmt.Fprintf(out, "parse ms = %.1f + %.4f per workspace (off by %.1f at most)\n", f.Parse.Base, f.Parse.Slope, f.Parse.Distance)
	fmt.Fprintf(out, "heap MB = %.2f + %.5f per workspace (off by %.2f at most)\n", f.Heap.Base, f.Heap.Slope, f.Heap.Distance)
}

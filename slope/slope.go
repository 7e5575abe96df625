// Package slope measures how the control group's costs grow with size, for
// docs/CAPACITY.md: heartbeats, the propagation of a configuration, claims, a
// restart and the memory of a configuration, each at three sizes or more.
//
// It owns minimal instances (a control client without callers or targets) around
// three real voters with data folders on disk, all in one process, and a linear
// fit. It must not simulate: it measures the system's code on this host.
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

// Sizes holds the points at which each cost is measured: numbers of instances,
// claims per second, configuration changes before a restart, and workspaces.
type Sizes struct {
	Instances  []int
	Claims     []int
	Changes    []int
	Workspaces []int
}

// DefaultSizes are the default points. The last of each is the design size.
var DefaultSizes = Sizes{
	Instances: []int{6, 50, 150, 350}, Claims: []int{250, 500, 1000},
	Changes: []int{500, 1000, 2000}, Workspaces: []int{750, 2500, 7500},
}

// Figures holds all measurements and the fits through them.
type Figures struct {
	Control []ControlPoint `json:"control"`
	Claims  []ClaimPoint   `json:"claims"`
	Restart []RestartPoint `json:"restart"`
	Memory  []MemoryPoint  `json:"memory"`
	// ControlCPU is the fit of the idle CPU share over the instances, Parse and
	// Heap are the fits of the parse milliseconds and the heap MB over the
	// workspaces.
	ControlCPU Line `json:"control_cpu_fit"`
	Parse      Line `json:"parse_fit"`
	Heap       Line `json:"heap_fit"`
}

// A ControlPoint is the cost of heartbeats without changes ("idle") and of one
// configuration change, at one number of instances.
type ControlPoint struct {
	Instances int `json:"instances"`
	// CPU is the share of one core that all voters and instances together use
	// when idle.
	CPU float64 `json:"cpu_share"`
	// BytesPerInstance is the number of bytes per second that one instance
	// sends and receives when idle.
	BytesPerInstance float64 `json:"bytes_per_instance_per_second"`
	// InForceMs is the median time from proposing a change until it is in effect
	// at every instance, InForceMaxMs the longest time.
	InForceMs    float64 `json:"in_force_ms"`
	InForceMaxMs float64 `json:"in_force_max_ms"`
	// ChangeBytes is the number of bytes that one instance sends and receives
	// during one change.
	ChangeBytes float64 `json:"change_bytes_per_instance"`
	// ChangeCPUMs is the CPU time that all voters and instances together use
	// during one change.
	ChangeCPUMs float64 `json:"change_cpu_ms"`
}

// A ClaimPoint is the throughput and latency of claims at one offered rate.
type ClaimPoint struct {
	Offered int     `json:"offered_per_second"`
	Done    float64 `json:"done_per_second"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
}

// A RestartPoint is the time in which a restarted voter reads its data folder.
type RestartPoint struct {
	Changes int     `json:"changes"`
	Ms      float64 `json:"ms"`
	LogMB   float64 `json:"log_mb"`
}

// A MemoryPoint is the cost of a configuration in an instance, at one size.
type MemoryPoint struct {
	Workspaces int     `json:"workspaces"`
	Targets    int     `json:"targets"`
	TextKB     float64 `json:"text_kb"`
	ParseMs    float64 `json:"parse_ms"`
	HeapMB     float64 `json:"heap_mb"`
	DeltaBytes float64 `json:"delta_bytes"`
}

// A Line is a least-squares fit y = Base + Slope*x. Distance is the largest
// absolute residual.
type Line struct {
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Distance float64 `json:"largest_distance"`
}

// fit returns the least-squares fit through the points.
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
			return nil, fmt.Errorf("measure heartbeats and changes at %d instances: %w", n, err)
		}
		fmt.Fprintf(progress, "heartbeats and changes at %d instances: %+v\n", n, *point)
		f.Control = append(f.Control, *point)
	}
	for _, n := range sizes.Claims {
		point, err := measureClaims(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("measure claims at %d/s: %w", n, err)
		}
		fmt.Fprintf(progress, "claims: %+v\n", *point)
		f.Claims = append(f.Claims, *point)
	}
	for _, n := range sizes.Changes {
		point, err := measureRestart(ctx, n)
		if err != nil {
			return nil, fmt.Errorf("measure restart after %d changes: %w", n, err)
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
	fmt.Fprintln(table, "instances\tidle CPU share, total\tbytes/s per instance\tchange in effect ms, median\tmax ms\tbytes per change and instance\tCPU ms per change, total")
	for _, p := range f.Control {
		fmt.Fprintf(table, "%d\t%.4f\t%.0f\t%.1f\t%.1f\t%.0f\t%.1f\n", p.Instances, p.CPU, p.BytesPerInstance, p.InForceMs, p.InForceMaxMs, p.ChangeBytes, p.ChangeCPUMs)
	}
	fmt.Fprintln(table, "\nclaims offered/s\tcompleted/s\tp50 ms\tp99 ms")
	for _, p := range f.Claims {
		fmt.Fprintf(table, "%d\t%.0f\t%.2f\t%.2f\n", p.Offered, p.Done, p.P50Ms, p.P99Ms)
	}
	fmt.Fprintln(table, "\nchanges before the restart\tms to read the data folder\tlog MB")
	for _, p := range f.Restart {
		fmt.Fprintf(table, "%d\t%.1f\t%.1f\n", p.Changes, p.Ms, p.LogMB)
	}
	fmt.Fprintln(table, "\nworkspaces\ttargets\ttext KB\tparse ms\theap MB\tdelta bytes")
	for _, p := range f.Memory {
		fmt.Fprintf(table, "%d\t%d\t%.0f\t%.1f\t%.2f\t%.0f\n", p.Workspaces, p.Targets, p.TextKB, p.ParseMs, p.HeapMB, p.DeltaBytes)
	}
	_ = table.Flush()
	fmt.Fprintf(out, "\nidle CPU share = %.4f + %.6f per instance (max residual %.4f)\n", f.ControlCPU.Base, f.ControlCPU.Slope, f.ControlCPU.Distance)
	fmt.Fprintf(out, "parse ms = %.1f + %.4f per workspace (max residual %.1f)\n", f.Parse.Base, f.Parse.Slope, f.Parse.Distance)
	fmt.Fprintf(out, "heap MB = %.2f + %.5f per workspace (max residual %.2f)\n", f.Heap.Base, f.Heap.Slope, f.Heap.Distance)
}

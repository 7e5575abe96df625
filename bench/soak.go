package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"auburnscale/soak"
)

var errViolations = errors.New("invariants were violated")

// A soakRun runs the soak test with consecutive seeds, several of them at a time.
type soakRun struct {
	config   soak.Config
	first    uint64
	count    uint64
	parallel int
	folder   string
	keep     bool
	out      io.Writer

	mutex    sync.Mutex
	next     uint64
	violated int
	failed   error
}

func soakCommand(out io.Writer) *cobra.Command {
	r := &soakRun{out: out}
	c := &cobra.Command{Use: "soak", Short: "run the real programs under random faults and check their invariants", Args: cobra.NoArgs}
	f := c.Flags()
	f.StringVar(&r.config.Program, "program", "bin/auburnscale", "path of the auburnscale program")
	f.Uint64Var(&r.first, "seed", uint64(time.Now().Unix()), "first seed; the default is the current Unix time")
	f.Uint64Var(&r.count, "count", 1, "number of seeds")
	f.IntVar(&r.parallel, "parallel", 1, "number of seeds run at a time, each with its own processes")
	f.IntVar(&r.config.Controls, "controls", 3, "control instances per seed")
	f.IntVar(&r.config.Entries, "entries", 4, "entry instances per seed")
	f.DurationVar(&r.config.Span, "span", 15*time.Second, "how long faults are injected")
	f.StringVar(&r.folder, "folder", "", "folder for logs and data; the default is a temporary folder")
	f.BoolVar(&r.keep, "keep", false, "keep the folders of runs without findings")
	c.RunE = func(*cobra.Command, []string) error { return r.run() }
	return c
}

func (r *soakRun) run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if r.folder == "" {
		folder, err := os.MkdirTemp("", "soak")
		if err != nil {
			return err
		}
		r.folder = folder
	}
	r.next = r.first
	var group sync.WaitGroup
	for range r.parallel {
		group.Go(func() { r.runSeeds(ctx) })
	}
	group.Wait()
	if r.failed != nil {
		return r.failed
	}
	if r.violated > 0 {
		return fmt.Errorf("%w in %d of %d seeds", errViolations, r.violated, r.count)
	}
	return nil
}

// runSeeds runs one seed after another until none is left or the context ends.
func (r *soakRun) runSeeds(ctx context.Context) {
	for ctx.Err() == nil {
		r.mutex.Lock()
		seed := r.next
		r.next++
		r.mutex.Unlock()
		if seed >= r.first+r.count {
			return
		}
		r.runSeed(ctx, seed)
	}
}

func (r *soakRun) runSeed(ctx context.Context, seed uint64) {
	c := r.config
	c.Seed, c.Folder = seed, filepath.Join(r.folder, fmt.Sprint("seed-", seed))
	report, err := soak.Run(ctx, c)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err != nil {
		r.failed = errors.Join(r.failed, fmt.Errorf("seed %d: %w", seed, err))
		return
	}
	fmt.Fprintln(r.out, report)
	if len(report.Findings) > 0 {
		r.violated++
		return
	}
	if !r.keep {
		if err := os.RemoveAll(c.Folder); err != nil {
			r.failed = errors.Join(r.failed, err)
		}
	}
}

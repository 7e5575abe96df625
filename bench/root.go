// Package bench is the command line of auburnbench: stand-ins as processes,
// load, experiments and reports.
//
// It owns flags and printing. It must not be imported by the product.
//
// # Usage
//
//	code := bench.Run(os.Args[1:], os.Stdout, os.Stderr)
package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"auburnscale/load"
	"auburnscale/standin"
)

const (
	exitFailed = 1
	// crashExit is the exit code of a stand-in that crashed on purpose.
	crashExit = 3
)

// Run executes the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	root := &cobra.Command{Use: "auburnbench", Short: "stand-ins and measurements for auburnscale", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(engineCommand(), serviceCommand(), platformCommand(), loadCommand(out, errOut), experimentCommand(out, errOut), slopeCommand(out, errOut), soakCommand(out))
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(errOut, "auburnbench:", err)
		return exitFailed
	}
	return 0
}

func waitForStop() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}

func engineCommand() *cobra.Command {
	var address string
	var announce []string
	config := standin.EngineConfig{Timing: standin.DefaultTiming}
	c := &cobra.Command{Use: "engine", Short: "run a stand-in engine", Args: cobra.NoArgs}
	f := c.Flags()
	f.StringVar(&address, "listen", "", "address to listen on")
	f.StringVar(&config.Name, "name", "", "name, as in the inventory")
	f.StringSliceVar(&announce, "announce", nil, "caller addresses of instances to announce to")
	f.IntVar(&config.Slots, "slots", 0, "streams at once")
	f.IntVar(&config.KVTokens, "kv-tokens", 0, "KV memory in tokens")
	f.IntVar(&config.CachePieces, "cache-pieces", 0, "prefix cache in pieces")
	f.Uint64Var(&config.Seed, "seed", 1, "seed of the random numbers")
	f.DurationVar(&config.Timing.Step, "step", config.Timing.Step, "fixed time of a step")
	f.DurationVar(&config.Timing.PrefillToken, "prefill-token", config.Timing.PrefillToken, "time per prompt token")
	f.DurationVar(&config.Timing.DecodeStream, "decode-stream", config.Timing.DecodeStream, "time per decoding stream and step")
	f.DurationVar(&config.Timing.RoleChange, "role-change", config.Timing.RoleChange, "time away at a change of role")
	f.IntVar(&config.Faults.CrashAt, "crash-at", 0, "crash at the n-th request")
	f.StringVar(&config.Faults.CrashMarker, "crash-marker", "", "crash on a prompt that holds this text")
	f.IntVar(&config.Faults.CutEvery, "cut-every", 0, "cut each n-th stream")
	f.IntVar(&config.Faults.CrossEvery, "cross-every", 0, "echo a wrong request id on each n-th request")
	f.Float64Var(&config.Faults.Slow, "slow", 1, "factor on every step's time")
	f.DurationVar(&config.Faults.LoadLag, "load-lag", 0, "age of load reports")
	f.DurationVar(&config.Faults.EventDelay, "event-delay", 0, "age of cache events")
	f.IntVar(&config.Faults.GapEvery, "gap-every", 0, "lose each n-th cache event")
	f.BoolVar(&config.Faults.IgnoreFencing, "ignore-fencing", false, "accept orders with an old number")
	f.BoolVar(&config.Faults.RefuseOrders, "refuse-orders", false, "answer orders with 503")
	_ = c.MarkFlagRequired("listen")
	c.RunE = func(*cobra.Command, []string) error {
		config.OnCrash = func() { os.Exit(crashExit) }
		e := standin.NewEngine(config)
		if err := e.Listen(address); err != nil {
			return err
		}
		for _, to := range announce {
			announceTo(to, config.Name, address)
		}
		waitForStop()
		e.Kill()
		return nil
	}
	return c
}

// announceTo tells an instance that the target has started. An instance that
// does not answer finds the target by its own probes.
func announceTo(instance, name, address string) {
	body, err := json.Marshal(struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	}{name, address})
	if err != nil {
		return
	}
	client := &http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+instance+"/targets/announce", "application/json", bytes.NewReader(body))
	if err == nil {
		response.Body.Close()
	}
}

func serviceCommand() *cobra.Command {
	var address string
	var config standin.ServiceConfig
	c := &cobra.Command{Use: "service", Short: "run a stand-in plain service", Args: cobra.NoArgs}
	f := c.Flags()
	f.StringVar(&address, "listen", "", "address to listen on")
	f.StringVar(&config.Name, "name", "service", "name in confirmations")
	f.IntVar(&config.Faults.CloseEvery, "close-every", 0, "run each n-th call and close without an answer")
	f.IntVar(&config.Faults.CutEvery, "cut-every", 0, "cut the body of each n-th answer")
	f.IntVar(&config.Faults.FailEvery, "fail-every", 0, "answer each n-th call with 500")
	f.DurationVar(&config.Faults.Delay, "delay", 0, "time added to every call")
	_ = c.MarkFlagRequired("listen")
	c.RunE = func(*cobra.Command, []string) error {
		s := standin.NewService(config)
		if err := s.Listen(address); err != nil {
			return err
		}
		waitForStop()
		s.Kill()
		return nil
	}
	return c
}

func platformCommand() *cobra.Command {
	var address string
	var config standin.PlatformConfig
	c := &cobra.Command{Use: "platform", Short: "run the stand-in platform", Args: cobra.NoArgs}
	f := c.Flags()
	f.StringVar(&address, "listen", "", "address to listen on")
	f.BoolVar(&config.IgnoreFencing, "ignore-fencing", false, "accept an old fencing number")
	f.IntVar(&config.FailEvery, "fail-every", 0, "lose the answer to each n-th report")
	f.Float64Var(&config.WeightsPerSecond, "weights-per-second", 1, "limit of the weight store")
	_ = c.MarkFlagRequired("listen")
	c.RunE = func(*cobra.Command, []string) error {
		p := standin.NewPlatform(config)
		if err := p.Listen(address); err != nil {
			return err
		}
		waitForStop()
		p.Kill()
		return nil
	}
	return c
}

func loadCommand(out, errOut io.Writer) *cobra.Command {
	var file, resultFile string
	c := &cobra.Command{Use: "load PLAN", Short: "send a load and measure it", Args: cobra.ExactArgs(1)}
	c.Flags().StringVar(&resultFile, "json", "", "file for the result as JSON")
	c.RunE = func(_ *cobra.Command, args []string) error {
		file = args[0]
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		plan, findings := load.ParsePlan(file, data)
		if err := findings.Err(); err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		result, err := load.Run(ctx, plan, &teller{out: errOut})
		if err != nil {
			return err
		}
		result.Print(out)
		return writeJSON(resultFile, result)
	}
	return c
}

func writeJSON(file string, v any) error {
	if file == "" {
		return nil
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// teller prints one progress line a second.
type teller struct{ out io.Writer }

// Tell prints the line.
func (t *teller) Tell(at time.Duration, sent, done, failed int64) {
	fmt.Fprintf(t.out, "%3.0f s: sent %d, done %d, failed %d\n", at.Seconds(), sent, done, failed)
}

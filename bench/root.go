// Package bench implements the command line of auburnbench, which runs stand-ins as
// processes, generates load and runs experiments, cost measurements and soak tests.
//
// The package only defines flags and prints results. The packages of auburnscale
// itself must not import it.
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
	failureExitCode = 1
	// crashExitCode is the exit code of a stand-in that crashed because of an
	// injected fault.
	crashExitCode = 3
)

// Run executes the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	root := &cobra.Command{Use: "auburnbench", Short: "run stand-ins and measurements for auburnscale", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(engineCommand(), serviceCommand(), platformCommand(), loadCommand(out, errOut), experimentCommand(out, errOut), slopeCommand(out, errOut), soakCommand(out))
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(errOut, "auburnbench:", err)
		return failureExitCode
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
	f.StringVar(&config.Name, "name", "", "target name, as in the inventory")
	f.StringSliceVar(&announce, "announce", nil, "caller addresses of the instances to which the engine announces its start")
	f.IntVar(&config.Slots, "slots", 0, "maximum number of concurrent streams (0: the default)")
	f.IntVar(&config.KVTokens, "kv-tokens", 0, "KV memory in tokens (0: the default)")
	f.IntVar(&config.CacheBlocks, "cache-pieces", 0, "capacity of the prefix cache in blocks (0: the default)")
	f.Uint64Var(&config.Seed, "seed", 1, "seed of the random numbers")
	f.DurationVar(&config.Timing.Step, "step", config.Timing.Step, "fixed duration of a step")
	f.DurationVar(&config.Timing.PrefillToken, "prefill-token", config.Timing.PrefillToken, "duration added to a step per prompt token prefilled in it")
	f.DurationVar(&config.Timing.DecodeStream, "decode-stream", config.Timing.DecodeStream, "duration added to a step per stream decoded in it")
	f.DurationVar(&config.Timing.RoleChange, "role-change", config.Timing.RoleChange, "how long the engine is unavailable while it switches roles")
	f.IntVar(&config.Faults.CrashAt, "crash-at", 0, "crash on the n-th request")
	f.StringVar(&config.Faults.CrashMarker, "crash-marker", "", "crash on a prompt that contains this text")
	f.IntVar(&config.Faults.TruncateEvery, "cut-every", 0, "truncate every n-th stream")
	f.IntVar(&config.Faults.MismatchIDEvery, "cross-every", 0, "return a wrong request ID on every n-th request")
	f.Float64Var(&config.Faults.Slow, "slow", 1, "factor on the duration of every step")
	f.DurationVar(&config.Faults.LoadLag, "load-lag", 0, "age of the load reports")
	f.DurationVar(&config.Faults.EventDelay, "event-delay", 0, "delay of cache events")
	f.IntVar(&config.Faults.GapEvery, "gap-every", 0, "drop every n-th cache event")
	f.BoolVar(&config.Faults.IgnoreFencing, "ignore-fencing", false, "accept orders with an old fencing token")
	f.BoolVar(&config.Faults.RefuseOrders, "refuse-orders", false, "reject orders with status 503")
	_ = c.MarkFlagRequired("listen")
	c.RunE = func(*cobra.Command, []string) error {
		config.OnCrash = func() { os.Exit(crashExitCode) }
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

// announceTo tells an instance that the target has started. It ignores errors,
// because an instance that misses the announcement finds the target by probing.
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
	f.StringVar(&config.Name, "name", "service", "service name in confirmations")
	f.IntVar(&config.Faults.CloseEvery, "close-every", 0, "execute every n-th call and close the connection without a response")
	f.IntVar(&config.Faults.TruncateEvery, "cut-every", 0, "truncate the response body of every n-th call")
	f.IntVar(&config.Faults.FailEvery, "fail-every", 0, "respond with 500 to every n-th call without executing it")
	f.DurationVar(&config.Faults.Delay, "delay", 0, "delay added to every call")
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
	f.BoolVar(&config.IgnoreFencing, "ignore-fencing", false, "accept calls with an old fencing token")
	f.IntVar(&config.FailEvery, "fail-every", 0, "record every n-th call but respond with 503")
	f.Float64Var(&config.WeightsPerSecond, "weights-per-second", 1, "rate limit of the weight store in reads per second")
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
	c := &cobra.Command{Use: "load PLAN", Short: "generate a load and measure the responses", Args: cobra.ExactArgs(1)}
	c.Flags().StringVar(&resultFile, "json", "", "file to which the result is written as JSON")
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
		result, err := load.Run(ctx, plan, &progressPrinter{out: errOut})
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

// progressPrinter prints the progress of a load.
type progressPrinter struct{ out io.Writer }

// Report implements load.Progress. It prints one line.
func (t *progressPrinter) Report(at time.Duration, sent, done, failed int64) {
	fmt.Fprintf(t.out, "%3.0f s: sent %d, done %d, failed %d\n", at.Seconds(), sent, done, failed)
}

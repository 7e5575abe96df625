package bench

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"auburnscale/experiment"
)

func experimentCommand(out, errOut io.Writer) *cobra.Command {
	var resultFile string
	c := &cobra.Command{Use: "experiment SCENARIO", Short: "compare policies under a load, as the scenario describes", Args: cobra.ExactArgs(1)}
	c.Flags().StringVar(&resultFile, "json", "", "file to which the results are written as JSON")
	c.RunE = func(_ *cobra.Command, args []string) error {
		data, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		scenario, findings := experiment.Parse(args[0], data)
		if err := findings.Err(); err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		report, err := experiment.Run(ctx, scenario, errOut)
		if err != nil {
			return err
		}
		report.Print(out)
		return writeJSON(resultFile, report)
	}
	return c
}

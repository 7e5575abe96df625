package bench

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"auburnscale/slope"
)

func slopeCommand(out, errOut io.Writer) *cobra.Command {
	var resultFile string
	sizes := slope.DefaultSizes
	c := &cobra.Command{Use: "slope", Short: "measure how the control group's costs grow with the number of instances", Args: cobra.NoArgs}
	c.Flags().StringVar(&resultFile, "json", "", "file to which the results are written as JSON")
	c.Flags().IntSliceVar(&sizes.Instances, "instances", sizes.Instances, "numbers of instances to measure")
	c.RunE = func(*cobra.Command, []string) error {
		figures, err := slope.Measure(context.Background(), sizes, errOut)
		if err != nil {
			return err
		}
		figures.Print(out)
		return writeJSON(resultFile, figures)
	}
	return c
}

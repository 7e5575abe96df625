package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"auburnscale/platform"
	"auburnscale/proposal"
)

// documentReadTimeout bounds the time in which a control instance returns the configuration in force.
const documentReadTimeout = 10 * time.Second

// A documentCheck holds the flags of a check of a configuration document before it is sent.
type documentCheck struct {
	file, inForceFile, control string
	asJSON                     bool
}

func (d *documentCheck) flags(c *cobra.Command) {
	c.Flags().StringVar(&d.file, "document", "", "configuration document (JSON) of a routed deployment, before it is sent")
	c.Flags().StringVar(&d.inForceFile, "in-force", "", "file with the document in force, to compare with")
	c.Flags().StringVar(&d.control, "control", "", "operator address of a control instance, from which the document in force is read")
	c.Flags().BoolVar(&d.asJSON, "json", false, "print the report on a document as JSON")
}

// run checks the document and prints the report. What keeps it from doing so is a usage error.
func (d *documentCheck) run(ctx context.Context, out io.Writer) error {
	document, err := os.ReadFile(d.file)
	if err != nil {
		return &usageError{fmt.Errorf("read the document: %w", err)}
	}
	inForce, err := d.inForce(ctx)
	if err != nil {
		return &usageError{err}
	}
	report := proposal.Check(document, inForce)
	if err := d.print(out, report); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return errReported
	}
	return nil
}

// inForce returns the document in force, or nil if the flags name no source.
func (d *documentCheck) inForce(ctx context.Context) ([]byte, error) {
	switch {
	case d.inForceFile != "" && d.control != "":
		return nil, fmt.Errorf("--in-force and --control exclude each other")
	case d.inForceFile != "":
		data, err := os.ReadFile(d.inForceFile)
		if err != nil {
			return nil, fmt.Errorf("read the document in force: %w", err)
		}
		return data, nil
	case d.control != "":
		if ctx == nil {
			ctx = context.Background()
		}
		ctx, cancel := context.WithTimeout(ctx, documentReadTimeout)
		defer cancel()
		return platform.ReadConfiguration(ctx, d.control)
	}
	return nil, nil
}

func (d *documentCheck) print(out io.Writer, report proposal.Report) error {
	if d.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	for _, difference := range report.Differences {
		fmt.Fprintln(out, difference)
	}
	for _, f := range report.Findings {
		fmt.Fprintln(out, f)
	}
	if len(report.Findings) == 0 {
		fmt.Fprintln(out, "no findings")
		return nil
	}
	fmt.Fprintf(out, "%d findings\n", len(report.Findings))
	return nil
}

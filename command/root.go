// Package command is the command line of auburnscale.
//
// It owns flags, the printing of answers and exit codes: 0 for done, 1 for
// findings or a refusal, 2 for a wrong use. It must not decide anything itself.
//
// # Usage
//
//	code := command.Run(os.Args[1:], os.Stdout, os.Stderr)
package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"

	"github.com/spf13/cobra"

	"auburnscale/operator"
)

// Version is the release this tree builds.
const Version = "0.1.0"

const (
	exitFailed = 1
	exitUsage  = 2
)

// errReported means that what went wrong has been printed already.
var errReported = errors.New("reported")

// Run executes the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	root := newRoot(out)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	var usage *usageError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errReported):
		return exitFailed
	case errors.As(err, &usage):
		fmt.Fprintln(errOut, "auburnscale:", err)
		return exitUsage
	}
	fmt.Fprintln(errOut, "auburnscale:", err)
	return exitFailed
}

// A usageError represents a command line that cannot be carried out.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func newRoot(out io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use: "auburnscale", Short: "serve callers from a limited fleet of targets, and operate that",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	root.AddCommand(serveCommand(), checkCommand(out), applyCommand(out), statusCommand(out), trailCommand(out),
		keyCommand(out), drainCommand(out), forgetCommand(out), releaseCommand(out), votersCommand(out),
		referenceCommand(out), explainCommand(out), versionCommand(out))
	return root
}

func versionCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "version", Short: "print the version", Args: cobra.NoArgs, Run: func(*cobra.Command, []string) {
		fmt.Fprintln(out, "auburnscale", Version)
	}}
}

// access is where operators' commands find an instance and how they
// authenticate.
type access struct {
	addresses []string
	keyFile   string
	actor     string
}

func (a *access) flags(c *cobra.Command) {
	c.Flags().StringSliceVar(&a.addresses, "operator", nil, "operator address of an instance; several are tried in turn")
	c.Flags().StringVar(&a.keyFile, "operator-key-file", "", "file with the operators' key")
	c.Flags().StringVar(&a.actor, "actor", defaultActor(), "who makes the change, for the audit trail")
	_ = c.MarkFlagRequired("operator")
	_ = c.MarkFlagRequired("operator-key-file")
}

// defaultActor names the user of the operating system, so that no entry of the
// audit trail is without one.
func defaultActor() string {
	if current, err := user.Current(); err == nil && current.Username != "" {
		return current.Username
	}
	return "unknown"
}

func (a *access) client() (*operator.Client, error) {
	data, err := os.ReadFile(a.keyFile)
	if err != nil {
		return nil, fmt.Errorf("read the operators' key: %w", err)
	}
	return operator.NewClient(a.addresses, strings.TrimSpace(string(data))), nil
}

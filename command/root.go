// Package command implements the command line of auburnscale.
//
// It owns the flags, the output and the exit codes: 0 for success, 1 for findings,
// a refusal or another failure, 2 for a usage error. It must not make decisions
// of its own.
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

// Version is the version of auburnscale.
const Version = "0.1.0"

const (
	exitFailed = 1
	exitUsage  = 2
)

// errReported means that the failure has already been printed.
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

// A usageError is an error in the command line itself.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func newRoot(out io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use: "auburnscale", Short: "serve callers from a limited fleet of targets, and operate the fleet",
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

// operatorAccess holds the operator addresses and the credentials that operators'
// commands use.
type operatorAccess struct {
	addresses []string
	keyFile   string
	actor     string
}

func (a *operatorAccess) flags(c *cobra.Command) {
	c.Flags().StringSliceVar(&a.addresses, "operator", nil, "operator address of an instance; several addresses are tried in order")
	c.Flags().StringVar(&a.keyFile, "operator-key-file", "", "file with the key that operators authenticate with")
	c.Flags().StringVar(&a.actor, "actor", defaultActor(), "name recorded as the author of the change in the audit trail")
	_ = c.MarkFlagRequired("operator")
	_ = c.MarkFlagRequired("operator-key-file")
}

// defaultActor returns the name of the operating system's user, so that every
// entry of the audit trail has an actor.
func defaultActor() string {
	if current, err := user.Current(); err == nil && current.Username != "" {
		return current.Username
	}
	return "unknown"
}

func (a *operatorAccess) client() (*operator.Client, error) {
	data, err := os.ReadFile(a.keyFile)
	if err != nil {
		return nil, fmt.Errorf("read the operator key: %w", err)
	}
	return operator.NewClient(a.addresses, strings.TrimSpace(string(data))), nil
}

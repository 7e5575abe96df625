package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"auburnscale/inventory"
	"auburnscale/operator"
)

func applyCommand(out io.Writer) *cobra.Command {
	var a operatorAccess
	var q operator.ApplyRequest
	var inventoryFile, rulesFile string
	c := &cobra.Command{
		Use: "apply --version N --inventory FILE --rules FILE", Short: "apply an inventory and rules as the new configuration", Args: cobra.NoArgs,
		Long: "Apply is a compare-and-set operation: N must be the current version plus one. Applying the same files\nunder the same number again returns the first result; other files under a used number are a conflict.",
	}
	a.flags(c)
	c.Flags().Uint64Var(&q.Version, "version", 0, "number of the new configuration")
	c.Flags().StringVar(&inventoryFile, "inventory", "", "inventory file")
	c.Flags().StringVar(&rulesFile, "rules", "", "rules file")
	for _, name := range []string{"version", "inventory", "rules"} {
		_ = c.MarkFlagRequired(name)
	}
	c.RunE = func(c *cobra.Command, _ []string) error {
		inventoryTOML, err := os.ReadFile(inventoryFile)
		if err != nil {
			return err
		}
		rulesTOML, err := os.ReadFile(rulesFile)
		if err != nil {
			return err
		}
		q.Inventory, q.Rules, q.Actor = string(inventoryTOML), string(rulesTOML), a.actor
		client, err := a.client()
		if err != nil {
			return err
		}
		response, err := client.Apply(c.Context(), q)
		return printChange(out, response, err)
	}
	return c
}

// printChange prints the result of a change and the instances on which it is in
// effect.
func printChange(out io.Writer, response *operator.ChangeResponse, err error) error {
	if err != nil {
		return err
	}
	for _, line := range response.Findings {
		fmt.Fprintln(out, line)
	}
	if !response.Accepted {
		fmt.Fprintln(out, "refused:", response.Detail)
		return errReported
	}
	fmt.Fprintln(out, response.Detail)
	printNames(out, "in force at", response.InEffect)
	printNames(out, "not yet in force at", response.Waiting)
	printNames(out, "no contact (cut off or down)", response.Unresponsive)
	return nil
}

func printNames(out io.Writer, label string, names []string) {
	if len(names) > 0 {
		fmt.Fprintf(out, "%s: %s\n", label, strings.Join(names, ", "))
	}
}

func statusCommand(out io.Writer) *cobra.Command {
	var a operatorAccess
	var asJSON bool
	c := &cobra.Command{Use: "status", Short: "show instances, voters, targets and open actions", Args: cobra.NoArgs}
	a.flags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		client, err := a.client()
		if err != nil {
			return err
		}
		status, err := client.Status(c.Context())
		if err != nil {
			return err
		}
		if asJSON {
			encoder := json.NewEncoder(out)
			encoder.SetIndent("", "  ")
			return encoder.Encode(status)
		}
		printStatus(out, status)
		return nil
	}
	return c
}

func printStatus(out io.Writer, s *operator.Status) {
	fmt.Fprintf(out, "configuration %d, revision %d, leader %d in term %d, voters %v, learners %v\n", s.Version, s.Revision, s.Leader, s.Term, s.Voters, s.Learners)
	if !s.Fresh {
		fmt.Fprintf(out, "instance %s has no contact with the control group; this is its local view\n", s.AnsweringInstance)
	}
	printNames(out, "drained", s.Drains)
	printNames(out, "withdrawn keys", s.Withdrawn)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "instance\tfailure domain\talive\tdraining\tversion\tsilent ms")
	for _, m := range s.Members {
		fmt.Fprintf(table, "%s\t%s\t%t\t%t\t%d\t%d\n", m.Instance, m.FailureDomain, m.Alive, m.Draining, m.Version, m.SinceContactMs)
	}
	fmt.Fprintln(table, "target\tservice\tup\trole\tin flight here\trequests")
	for _, t := range s.Targets {
		fmt.Fprintf(table, "%s\t%s\t%t\t%s\t%d\t%d\n", t.Name, t.Service, t.Up, t.Role, t.InFlight, t.Requests)
	}
	_ = table.Flush()
	for _, i := range s.Intents {
		fmt.Fprintf(out, "open action %s on %s, epoch %d, answered %t, issuers %s\n", i.ID, i.Target, i.Epoch, i.Done, strings.Join(i.Issuers, ", "))
	}
}

func trailCommand(out io.Writer) *cobra.Command {
	var a operatorAccess
	var after uint64
	var limit int
	c := &cobra.Command{Use: "trail", Short: "print the audit trail of changes", Args: cobra.NoArgs}
	a.flags(c)
	c.Flags().Uint64Var(&after, "after", 0, "print entries after this index")
	c.Flags().IntVar(&limit, "limit", 1000, "maximum number of entries to print")
	c.RunE = func(c *cobra.Command, _ []string) error {
		client, err := a.client()
		if err != nil {
			return err
		}
		entries, err := client.Trail(c.Context(), after, limit)
		if err != nil {
			return err
		}
		table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		for _, e := range entries {
			at := time.UnixMilli(e.AtMs).UTC().Format(time.RFC3339)
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", e.Index, at, e.Actor, e.Action, e.Subject, e.Result)
		}
		return table.Flush()
	}
	return c
}

func keyCommand(out io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "key", Short: "create and withdraw callers' keys"}
	c.AddCommand(keyNewCommand(out), keyWithdrawCommand(out))
	return c
}

func keyNewCommand(out io.Writer) *cobra.Command {
	var workspace, id string
	c := &cobra.Command{Use: "new", Short: "create a key and print it with its inventory entry", Args: cobra.NoArgs}
	c.Flags().StringVar(&workspace, "workspace", "", "workspace that the key belongs to")
	c.Flags().StringVar(&id, "id", "", "id of the key, without a dot")
	_ = c.MarkFlagRequired("workspace")
	_ = c.MarkFlagRequired("id")
	c.RunE = func(*cobra.Command, []string) error {
		if strings.Contains(id, ".") {
			return &usageError{fmt.Errorf("the id %q contains a dot, which separates the id from the secret", id)}
		}
		const secretBytes = 24
		var secret [secretBytes]byte
		if _, err := rand.Read(secret[:]); err != nil {
			return fmt.Errorf("generate a secret: %w", err)
		}
		key := id + "." + hex.EncodeToString(secret[:])
		fmt.Fprintf(out, "# for the caller, shown once:\n# %s\n\n[[keys]]\nid = %q\nworkspace = %q\nhash = %q\n", key, id, workspace, inventory.HashKey(key))
		return nil
	}
	return c
}

func keyWithdrawCommand(out io.Writer) *cobra.Command {
	var a operatorAccess
	var q operator.WithdrawRequest
	c := &cobra.Command{Use: "withdraw ID", Short: "withdraw a key, and print where it still works", Args: cobra.ExactArgs(1)}
	a.flags(c)
	c.Flags().BoolVar(&q.InstanceOnly, "instance-only", false, "record the withdrawal only on the addressed instance; for a cut-off failure domain")
	c.RunE = func(c *cobra.Command, args []string) error {
		client, err := a.client()
		if err != nil {
			return err
		}
		q.KeyID, q.Actor = args[0], a.actor
		response, err := client.Withdraw(c.Context(), q)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, response.Message)
		if !response.Complete && !q.InstanceOnly {
			return errReported
		}
		return nil
	}
	return c
}

func drainCommand(out io.Writer) *cobra.Command {
	var a operatorAccess
	var q operator.DrainRequest
	c := &cobra.Command{Use: "drain target|failure_domain NAME", Short: "stop sending new requests to a target or a failure domain", Args: cobra.ExactArgs(2)}
	a.flags(c)
	c.Flags().BoolVar(&q.Undo, "undo", false, "send new requests to it again")
	c.RunE = func(c *cobra.Command, args []string) error {
		q.Kind, q.Name, q.Actor = args[0], args[1], a.actor
		return a.change(c.Context(), out, func(ctx context.Context, client *operator.Client) (*operator.ChangeResponse, error) {
			return client.Drain(ctx, q)
		})
	}
	return c
}

func (a *operatorAccess) change(ctx context.Context, out io.Writer, do func(context.Context, *operator.Client) (*operator.ChangeResponse, error)) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	response, err := do(ctx, client)
	return printChange(out, response, err)
}

func forgetCommand(out io.Writer) *cobra.Command {
	var a operatorAccess
	c := &cobra.Command{Use: "forget INSTANCE", Short: "remove an instance that will not return", Args: cobra.ExactArgs(1)}
	a.flags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return a.change(c.Context(), out, func(ctx context.Context, client *operator.Client) (*operator.ChangeResponse, error) {
			return client.Forget(ctx, operator.NameRequest{Name: args[0], Actor: a.actor})
		})
	}
	return c
}

func releaseCommand(out io.Writer) *cobra.Command {
	var a operatorAccess
	var reason string
	c := &cobra.Command{Use: "release INCARNATION", Short: "confirm that a process that issued an open action has terminated", Args: cobra.ExactArgs(1)}
	a.flags(c)
	c.Flags().StringVar(&reason, "reason", "", "evidence that the process has terminated; recorded in the audit trail")
	_ = c.MarkFlagRequired("reason")
	c.RunE = func(c *cobra.Command, args []string) error {
		return a.change(c.Context(), out, func(ctx context.Context, client *operator.Client) (*operator.ChangeResponse, error) {
			return client.Release(ctx, operator.NameRequest{Name: args[0], Reason: reason, Actor: a.actor})
		})
	}
	return c
}

func votersCommand(out io.Writer) *cobra.Command {
	var a operatorAccess
	var q operator.VotersRequest
	var voters, learners []uint
	c := &cobra.Command{Use: "voters --voters 1,2,3 [--learners 4]", Short: "change the voter set, one member at a time", Args: cobra.NoArgs}
	a.flags(c)
	c.Flags().UintSliceVar(&voters, "voters", nil, "ids of the voters")
	c.Flags().UintSliceVar(&learners, "learners", nil, "ids of the learners, which receive the log but do not vote")
	_ = c.MarkFlagRequired("voters")
	c.RunE = func(c *cobra.Command, _ []string) error {
		q = operator.VotersRequest{Voters: toUint64s(voters), Learners: toUint64s(learners)}
		return a.change(c.Context(), out, func(ctx context.Context, client *operator.Client) (*operator.ChangeResponse, error) {
			return client.Voters(ctx, q)
		})
	}
	return c
}

func toUint64s(ids []uint) []uint64 {
	list := make([]uint64, 0, len(ids))
	for _, id := range ids {
		list = append(list, uint64(id))
	}
	return list
}

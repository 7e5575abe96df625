package command

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"auburnscale/event"
	"auburnscale/finding"
	"auburnscale/inventory"
	"auburnscale/settings"
)

func checkCommand(out io.Writer) *cobra.Command {
	var settingsFiles []string
	var inventoryFile, rulesFile string
	c := &cobra.Command{Use: "check", Short: "check settings, inventory and rules, and print every finding", Args: cobra.NoArgs}
	c.Flags().StringSliceVar(&settingsFiles, "settings", nil, "settings files")
	c.Flags().StringVar(&inventoryFile, "inventory", "", "inventory file")
	c.Flags().StringVar(&rulesFile, "rules", "", "rules file")
	c.RunE = func(*cobra.Command, []string) error {
		list := &finding.List{}
		for _, file := range settingsFiles {
			_, findings := settings.Read(file)
			list.Merge(findings)
		}
		if inventoryFile != "" || rulesFile != "" {
			checkConfiguration(inventoryFile, rulesFile, list)
		}
		if len(settingsFiles) == 0 && inventoryFile == "" && rulesFile == "" {
			return &usageError{fmt.Errorf("nothing to check; give --settings, or --inventory and --rules")}
		}
		return printFindings(out, list)
	}
	return c
}

func checkConfiguration(inventoryFile, rulesFile string, list *finding.List) {
	unread := &finding.List{}
	inventoryTOML := readInto(inventoryFile, "inventory", unread)
	rulesTOML := readInto(rulesFile, "rules", unread)
	list.Merge(unread)
	if unread.Len() > 0 {
		return
	}
	_, findings := inventory.Parse(1, inventoryTOML, rulesTOML)
	list.Merge(findings)
}

func readInto(file, flag string, list *finding.List) []byte {
	if file == "" {
		list.Add("--"+flag, "", "the file is missing; inventory and rules are checked together")
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		list.Add(file, "", "%v", err)
	}
	return data
}

func printFindings(out io.Writer, list *finding.List) error {
	for _, line := range list.Lines() {
		fmt.Fprintln(out, line)
	}
	if list.Len() > 0 {
		fmt.Fprintf(out, "%d findings\n", list.Len())
		return errReported
	}
	fmt.Fprintln(out, "no findings")
	return nil
}

// referenceCommand prints the pages that are generated from the code.
func referenceCommand(out io.Writer) *cobra.Command {
	pages := map[string]func() string{"settings": settings.Reference, "events": event.Catalogue}
	return &cobra.Command{
		Use: "reference settings|events", Short: "print a reference page made from the code", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			page := pages[args[0]]
			if page == nil {
				return &usageError{fmt.Errorf("there is no reference page %q", args[0])}
			}
			fmt.Fprint(out, page())
			return nil
		},
	}
}

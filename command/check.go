package command

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"auburnscale/diagnostic"
	"auburnscale/event"
	"auburnscale/inventory"
	"auburnscale/settings"
)

func checkCommand(out io.Writer) *cobra.Command {
	var settingsFiles []string
	var inventoryFile, rulesFile string
	var document documentCheck
	c := &cobra.Command{Use: "check", Short: "validate settings, inventory and rules, or a configuration document, and print all findings", Args: cobra.NoArgs}
	document.flags(c)
	c.Flags().StringSliceVar(&settingsFiles, "settings", nil, "settings files to validate")
	c.Flags().StringVar(&inventoryFile, "inventory", "", "inventory file")
	c.Flags().StringVar(&rulesFile, "rules", "", "rules file")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if document.file != "" {
			return document.run(c.Context(), out)
		}
		list := &diagnostic.List{}
		for _, file := range settingsFiles {
			_, findings := settings.Read(file)
			list.Merge(findings)
		}
		if inventoryFile != "" || rulesFile != "" {
			checkConfiguration(inventoryFile, rulesFile, list)
		}
		if len(settingsFiles) == 0 && inventoryFile == "" && rulesFile == "" {
			return &usageError{fmt.Errorf("nothing to check; give --settings, --inventory and --rules, or --document")}
		}
		return printFindings(out, list)
	}
	return c
}

func checkConfiguration(inventoryFile, rulesFile string, list *diagnostic.List) {
	readErrors := &diagnostic.List{}
	inventoryTOML := readFile(inventoryFile, "inventory", readErrors)
	rulesTOML := readFile(rulesFile, "rules", readErrors)
	list.Merge(readErrors)
	if readErrors.Len() > 0 {
		return
	}
	_, findings := inventory.Parse(1, inventoryTOML, rulesTOML)
	list.Merge(findings)
}

func readFile(file, flag string, list *diagnostic.List) []byte {
	if file == "" {
		list.Add("--"+flag, "", "no file is given; inventory and rules must be checked together")
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		list.Add(file, "", "%v", err)
	}
	return data
}

func printFindings(out io.Writer, list *diagnostic.List) error {
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

// referenceCommand prints the reference pages that are generated from the code.
func referenceCommand(out io.Writer) *cobra.Command {
	pages := map[string]func() string{"settings": settings.Reference, "events": event.Catalogue}
	return &cobra.Command{
		Use: "reference settings|events", Short: "print a reference page generated from the code", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			page := pages[args[0]]
			if page == nil {
				return &usageError{fmt.Errorf("unknown reference page %q", args[0])}
			}
			fmt.Fprint(out, page())
			return nil
		},
	}
}

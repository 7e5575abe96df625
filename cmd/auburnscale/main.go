// Command auburnscale is the serving system and its operators' tool.
package main

import (
	"os"

	"auburnscale/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}

// Command auburnscale runs an instance of the serving system and provides the
// operators' commands.
package main

import (
	"os"

	"auburnscale/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}

// Command auburnbench runs the stand-ins and the measurements of auburnscale.
package main

import (
	"os"

	"auburnscale/bench"
)

func main() {
	os.Exit(bench.Run(os.Args[1:], os.Stdout, os.Stderr))
}

// Command auburnbench runs simulated targets and platforms, and the benchmarks of
// auburnscale.
package main

import (
	"os"

	"auburnscale/bench"
)

func main() {
	os.Exit(bench.Run(os.Args[1:], os.Stdout, os.Stderr))
}

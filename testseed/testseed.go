// Package testseed runs a package's property-based tests with a fixed random seed, so
// that each run gives the same result.
//
// It owns the default seed. Only tests import it.
//
// # Usage
//
//	func TestMain(m *testing.M) { testseed.Main(m) }
//
// The flag -rapid.seed selects another seed, -rapid.checks the number of cases.
package testseed

import (
	"flag"
	"os"
	"testing"

	// Registers the flag rapid.seed, which Main looks up.
	_ "pgregory.net/rapid"
)

const defaultSeed = "1"

// Main sets the seed unless the command line does, runs the tests and exits.
func Main(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set(defaultSeed)
	}
	os.Exit(m.Run())
}

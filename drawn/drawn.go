// Package drawn runs the tests of a package with a fixed seed for what they draw,
// so that each run gives the same verdict.
//
// It owns the default seed. Only tests import it.
//
// # Usage
//
//	func TestMain(m *testing.M) { drawn.Main(m) }
//
// The flags -rapid.seed and -rapid.checks draw other cases and more.
package drawn

import (
	"flag"
	"os"
	"testing"

	// The flags of the package that draws are looked up below.
	_ "pgregory.net/rapid"
)

const defaultSeed = "1"

// Main sets the seed unless the command line does, and runs the tests.
func Main(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set(defaultSeed)
	}
	os.Exit(m.Run())
}

package drainer_test

import (
	"flag"
	"os"
	"testing"
	_ "time/tzdata" // the tests must not depend on the zone database of the machine
)

// TestMain fixes the seed of the property tests, so that every run gives the same verdict. A seed on the command line
// takes precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

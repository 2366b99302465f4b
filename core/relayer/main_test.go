package relayer_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that their results are reproducible. A seed on the command line
// takes precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

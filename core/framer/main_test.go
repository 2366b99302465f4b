package framer_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a constant seed for the property tests, so that every run gives the same result.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Command bench simulates the packages in core in virtual time and prints their measures, each next to the value of a
// naive baseline. It exits with status 1 if a measure is outside its bound.
//
// Usage:
//
//	go run ./bench            # all groups, about four minutes
//	go run ./bench ownership  # one or more of ownership, placement, load, relay, quotas
package main

import (
	"fmt"
	"os"
	"slices"

	"rhubarbtrack.example/bench/internal/load"
	"rhubarbtrack.example/bench/internal/ownership"
	"rhubarbtrack.example/bench/internal/placement"
	"rhubarbtrack.example/bench/internal/printer"
	"rhubarbtrack.example/bench/internal/quotas"
	"rhubarbtrack.example/bench/internal/relay"
)

// seed is fixed, so that the figures of two commits can be compared.
const seed = 1

// group is a set of measures that is selected by its name.
type group struct {
	name    string
	measure func(seed uint64) []printer.Line
}

var groups = []group{
	{"ownership", ownership.Measure},
	{"placement", placement.Measure},
	{"load", load.Measure},
	{"relay", relay.Measure},
	{"quotas", quotas.Measure},
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run prints the measures of the named groups, or of all groups if names is empty.
func run(names []string) error {
	failed := 0
	for _, g := range groups {
		if len(names) > 0 && !slices.Contains(names, g.name) {
			continue
		}
		for _, line := range g.measure(seed) {
			if err := printer.Print(os.Stdout, line); err != nil {
				return err
			}
			if !line.Passes() {
				failed++
			}
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d measures are outside their bounds", failed)
	}
	return nil
}

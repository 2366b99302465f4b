// Command bench prints the measures of the deciding packages, each against a naive baseline.
//
// Usage:
//
//	go run ./bench            # all groups, about four minutes
//	go run ./bench ownership  # some groups: ownership, placement, load, relay
package main

import (
	"fmt"
	"os"
	"slices"

	"rhubarbtrack.example/bench/internal/load"
	"rhubarbtrack.example/bench/internal/ownership"
	"rhubarbtrack.example/bench/internal/placement"
	"rhubarbtrack.example/bench/internal/printer"
	"rhubarbtrack.example/bench/internal/relay"
)

// Seed of all measures, so that every run gives the same figures.
const seed = 1

// group computes the figures of one area.
type group struct {
	name    string
	measure func(seed uint64) []printer.Line
}

var groups = []group{
	{"ownership", ownership.Measure},
	{"placement", placement.Measure},
	{"load", load.Measure},
	{"relay", relay.Measure},
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run measures the named groups, or all of them without names.
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
		return fmt.Errorf("%d measures exceed their bounds", failed)
	}
	return nil
}

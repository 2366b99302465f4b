// Command bench prints the measures of the deciding packages, each against a naive baseline.
package main

import (
	"fmt"
	"os"

	"rhubarbtrack.example/bench/internal/load"
	"rhubarbtrack.example/bench/internal/placement"
	"rhubarbtrack.example/bench/internal/printer"
	"rhubarbtrack.example/bench/internal/relay"
)

// Seed of all measures, so that every run gives the same figures.
const seed = 1

// group computes the figures of one area.
type group func(seed uint64) []printer.Line

func main() {
	if err := run([]group{placement.Measure, load.Measure, relay.Measure}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(groups []group) error {
	failed := 0
	for _, measure := range groups {
		for _, line := range measure(seed) {
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

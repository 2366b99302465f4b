// Package printer formats the figures of the benchmark.
//
// # Usage
//
//	printer.Print(os.Stdout, printer.Line{Measure: "churn", Naive: 0.9, Ours: 0.05, Bound: 0.1, Unit: "ratio", Seed: 1})
package printer

import (
	"fmt"
	"io"
	"strconv"
)

// Line is one figure. Bound is an upper limit unless AtLeast is set; without HasBound there is no verdict to fail.
type Line struct {
	Measure  string // kebab case
	Naive    float64
	Ours     float64
	Bound    float64
	HasBound bool
	AtLeast  bool
	Unit     string
	Seed     uint64
}

// Passes reports whether the figure is within its bound.
func (l Line) Passes() bool {
	if !l.HasBound {
		return true
	}
	if l.AtLeast {
		return l.Ours >= l.Bound
	}
	return l.Ours <= l.Bound
}

// Print writes one line and returns the error of w.
func Print(w io.Writer, l Line) error {
	bound := "none"
	if l.HasBound {
		bound = number(l.Bound)
	}
	verdict := "fail"
	if l.Passes() {
		verdict = "pass"
	}
	_, err := fmt.Fprintf(w, "measure=%s naive=%s ours=%s bound=%s unit=%s seed=%d verdict=%s\n",
		l.Measure, number(l.Naive), number(l.Ours), bound, l.Unit, l.Seed, verdict)
	return err
}

func number(value float64) string {
	return strconv.FormatFloat(value, 'g', 5, 64)
}

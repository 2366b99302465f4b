// Package printer writes the measures of the benchmarks as lines of key=value pairs, which scripts can parse.
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

// Line is one measure. Bound is an upper limit, or a lower limit if AtLeast is set. A line without HasBound always
// passes.
type Line struct {
	Measure  string  // kebab case
	Naive    float64 // value of the baseline
	Ours     float64 // value of this project
	Bound    float64
	HasBound bool
	AtLeast  bool
	Unit     string
	Seed     uint64
}

// Passes reports whether Ours is within the bound.
func (l Line) Passes() bool {
	if !l.HasBound {
		return true
	}
	if l.AtLeast {
		return l.Ours >= l.Bound
	}
	return l.Ours <= l.Bound
}

// Print writes one line with five significant digits per number and returns the error of w.
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

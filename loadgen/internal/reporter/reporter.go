// Package reporter prints the results of a run as text and writes them as JSON.
//
// Usage:
//
//	report := reporter.New(results, reporter.Run{Seed: 1}, end)
//	report.Print(os.Stdout)
//	err := report.Write("result.json")
package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/loadgen/internal/sender"
	"rhubarbtrack.example/loadgen/internal/tracker"
)

// Run names the run.
type Run struct {
	Service  string
	Seed     uint64
	Rate     float64
	Duration time.Duration
	Probes   int
}

// Report is the JSON form of the results. Times are in milliseconds.
type Report struct {
	Service    string  `json:"service"`
	Seed       uint64  `json:"seed"`
	Rate       float64 `json:"rate"`
	LengthMS   float64 `json:"length-ms"`
	Offered    int     `json:"offered"`
	Answered   int     `json:"answered"`
	NotRun     int     `json:"not-run"`
	Unknown    int     `json:"unknown"`
	Mismatched int     `json:"mismatched"`
	Overflow   int     `json:"overflow"`
	Retries    int     `json:"resends"`
	Probes     int     `json:"probes"`
	Latency    Latency `json:"latency-ms"`
	// Outages lists the keys that were unavailable, the longest outage first.
	Outages     []Outage       `json:"outages"`
	NeverRepeat []NeverRepeat  `json:"never-repeat"`
	Reasons     map[string]int `json:"reasons"`
}

// Latency holds quantiles of answered requests, counted from the intended send time.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99-9"`
	Max  float64 `json:"max"`
}

// Outage is the longest unavailability of a key.
type Outage struct {
	Key       string  `json:"key"`
	LongestMS float64 `json:"longest-ms"`
	Ongoing   bool    `json:"open"`
}

// NeverRepeat is the end of a never-repeat request.
type NeverRepeat struct {
	RequestID string `json:"request-id"`
	Key       string `json:"key"`
	Outcome   string `json:"outcome"`
}

// New returns the report of a run that ended at the given time since its start.
func New(results *tracker.Tracker, run Run, end time.Duration) Report {
	counts := results.Counts()
	quantiles := results.Quantiles()
	report := Report{
		Service: run.Service, Seed: run.Seed, Rate: run.Rate, LengthMS: milliseconds(run.Duration), Probes: run.Probes,
		Offered: counts.Offered, Answered: counts.Answered, NotRun: counts.NotRun, Unknown: counts.Unknown,
		Mismatched: counts.Mismatched, Overflow: counts.Overflow, Retries: counts.Retries,
		Latency: Latency{
			P50: milliseconds(quantiles.P50), P90: milliseconds(quantiles.P90), P99: milliseconds(quantiles.P99),
			P999: milliseconds(quantiles.P999), Max: milliseconds(quantiles.Max),
		},
		Outages:     []Outage{},
		NeverRepeat: []NeverRepeat{},
		Reasons:     results.Reasons(),
	}
	for _, outage := range results.Outages(end) {
		report.Outages = append(report.Outages, Outage{Key: outage.Key, LongestMS: milliseconds(outage.Longest), Ongoing: outage.Ongoing})
	}
	for _, finished := range results.NeverRepeat() {
		report.NeverRepeat = append(report.NeverRepeat, NeverRepeat{
			RequestID: finished.ID, Key: finished.Key, Outcome: nameOf(finished.Result.Outcome),
		})
	}
	return report
}

// Print writes a summary.
func (r Report) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "service=%s seed=%d rate=%g length-s=%g\n", r.Service, r.Seed, r.Rate, r.LengthMS/1000)
	_, _ = fmt.Fprintf(w, "offered=%d answered=%d not-run=%d unknown=%d mismatched=%d overflow=%d resends=%d probes=%d\n",
		r.Offered, r.Answered, r.NotRun, r.Unknown, r.Mismatched, r.Overflow, r.Retries, r.Probes)
	_, _ = fmt.Fprintf(w, "latency-ms p50=%.3f p90=%.3f p99=%.3f p99-9=%.3f max=%.3f\n",
		r.Latency.P50, r.Latency.P90, r.Latency.P99, r.Latency.P999, r.Latency.Max)
	if len(r.Outages) > 0 {
		_, _ = fmt.Fprintf(w, "unavailable-keys=%d longest-ms=%.1f key=%s open=%t\n",
			len(r.Outages), r.Outages[0].LongestMS, r.Outages[0].Key, r.Outages[0].Ongoing)
	}
	var reasons []string
	for reason := range r.Reasons {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		_, _ = fmt.Fprintf(w, "reason count=%d %s\n", r.Reasons[reason], reason)
	}
}

// Write writes the report to a file.
func (r Report) Write(path string) error {
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "reporter: encode")
	}
	return errors.Wrap(os.WriteFile(path, content, 0o644), "reporter: write")
}

func nameOf(outcome sender.Outcome) string {
	switch outcome {
	case sender.Answered:
		return "answered"
	case sender.NotRun:
		return "not-run"
	default:
		// A mismatched answer tells the caller nothing about its own request.
		return "unknown"
	}
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

package granter

import (
	"slices"
	"time"

	"rhubarbtrack.example/core/framer"
)

const (
	// loadAge is how long a load report counts. It spans four reports, so that three may be lost.
	loadAge = 10 * time.Second
	// minSamples is the number of responses from which the latency of an upstream is evidence.
	minSamples = 20
	// slowRatio is the ratio of the median of an upstream to that of its peers from which it straggles, recoveredRatio the
	// one below which it has recovered. The gap keeps noise from restarting the slow period.
	slowRatio      = 2.0
	recoveredRatio = 1.5
)

// loads holds what the admission hosts of a service report. Its state is bounded by the reports of the last loadAge.
type loads struct {
	reports map[string]timedReport // by upstream
	rates   map[uint32]timedRate   // by slice; kept while a slice moves, until its new admission host reports it
	slow    map[string]time.Duration
	usual   time.Duration // service time
}

type timedReport struct {
	framer.LoadReport
	at time.Duration
}

type timedRate struct {
	perSecond float64
	at        time.Duration
}

func newLoads() *loads {
	return &loads{reports: map[string]timedReport{}, rates: map[uint32]timedRate{}, slow: map[string]time.Duration{}}
}

func (l *loads) note(now time.Duration, report framer.LoadReport) {
	l.expire(now)
	l.reports[report.Upstream] = timedReport{LoadReport: report, at: now}
	for _, rate := range report.Slices {
		l.rates[rate.Slice] = timedRate{perSecond: float64(rate.MilliRPS) / 1000, at: now}
	}
	l.noteUsual()
	l.noteSlow(now, report)
}

func (l *loads) expire(now time.Duration) {
	for name, report := range l.reports {
		if now-report.at > loadAge {
			delete(l.reports, name)
			delete(l.slow, name)
		}
	}
	for id, rate := range l.rates {
		if now-rate.at > loadAge {
			delete(l.rates, id)
		}
	}
}

// noteUsual takes the median over the upstreams of their mean service times, which a few stragglers do not change.
func (l *loads) noteUsual() {
	means := l.evidence("", func(r framer.LoadReport) time.Duration { return r.Mean })
	if len(means) > 0 {
		l.usual = median(means)
	}
}

// noteSlow compares the median latency of an upstream with that of its peers.
func (l *loads) noteSlow(now time.Duration, report framer.LoadReport) {
	peers := l.evidence(report.Upstream, func(r framer.LoadReport) time.Duration { return r.Median })
	if report.Samples < minSamples || len(peers) < 2 {
		return
	}
	ratio := float64(report.Median) / float64(max(median(peers), 1))
	_, slow := l.slow[report.Upstream]
	switch {
	case !slow && ratio >= slowRatio:
		l.slow[report.Upstream] = now
	case slow && ratio < recoveredRatio:
		delete(l.slow, report.Upstream)
	}
}

// evidence returns one figure of each report with enough samples, besides that of the upstream except.
func (l *loads) evidence(except string, figure func(framer.LoadReport) time.Duration) []time.Duration {
	var figures []time.Duration
	for name, report := range l.reports {
		if name != except && report.Samples >= minSamples {
			figures = append(figures, figure(report.LoadReport))
		}
	}
	return figures
}

func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[len(values)/2]
}

// ofSlices returns the loads in slots in use and their sum.
func (l *loads) ofSlices() (map[uint32]float64, float64) {
	load, total := make(map[uint32]float64, len(l.rates)), 0.0
	for id, rate := range l.rates {
		load[id] = rate.perSecond * l.usual.Seconds()
		total += load[id]
	}
	return load, total
}

package granter

import (
	"cmp"
	"slices"
	"time"

	"rhubarbtrack.example/core/assigner"
	"rhubarbtrack.example/core/framer"
)

const (
	// maxLoadAge is how long a load report counts. It covers four reports, so that three may be lost.
	maxLoadAge = 10 * time.Second
	// minSamples is the minimum number of responses for the latency of an upstream to be used.
	minSamples = 20
	// An upstream is a straggler from the time at which its median latency reaches stragglingRatio times that of its
	// peers, until the ratio is below recoveredRatio. The gap prevents small variations from restarting that period.
	stragglingRatio = 2.0
	recoveredRatio  = 1.5
)

// loads holds the load reports of the admission hosts of a service. Its size is bounded by the reports of the last
// maxLoadAge.
type loads struct {
	reports         map[string]timedReport   // by upstream
	rates           map[uint32]timedRate     // by slice; kept while a slice moves, until its new admission host reports it
	stragglingSince map[string]time.Duration // by upstream
	serviceTime     time.Duration            // median over the upstreams, see updateServiceTime
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
	return &loads{reports: map[string]timedReport{}, rates: map[uint32]timedRate{}, stragglingSince: map[string]time.Duration{}}
}

func (l *loads) record(now time.Duration, report framer.LoadReport) {
	l.expire(now)
	l.reports[report.Upstream] = timedReport{LoadReport: report, at: now}
	for _, rate := range report.Slices {
		l.rates[rate.Slice] = timedRate{perSecond: float64(rate.MilliRPS) / 1000, at: now}
	}
	l.updateServiceTime()
	l.updateStraggling(now, report)
}

func (l *loads) expire(now time.Duration) {
	for name, report := range l.reports {
		if now-report.at > maxLoadAge {
			delete(l.reports, name)
			delete(l.stragglingSince, name)
		}
	}
	for id, rate := range l.rates {
		if now-rate.at > maxLoadAge {
			delete(l.rates, id)
		}
	}
}

// updateServiceTime sets the service time to the median over the upstreams of their mean service times. A few
// stragglers do not change the median.
func (l *loads) updateServiceTime() {
	means := l.figures("", func(r framer.LoadReport) time.Duration { return r.Mean })
	if len(means) > 0 {
		l.serviceTime = median(means)
	}
}

// updateStraggling starts or ends the straggling period of an upstream by comparing its median latency with the median
// over its peers.
func (l *loads) updateStraggling(now time.Duration, report framer.LoadReport) {
	peers := l.figures(report.Upstream, func(r framer.LoadReport) time.Duration { return r.Median })
	if report.Samples < minSamples || len(peers) < 2 {
		return
	}
	ratio := float64(report.Median) / float64(max(median(peers), 1))
	_, slow := l.stragglingSince[report.Upstream]
	switch {
	case !slow && ratio >= stragglingRatio:
		l.stragglingSince[report.Upstream] = now
	case slow && ratio < recoveredRatio:
		delete(l.stragglingSince, report.Upstream)
	}
}

// figures returns one figure of each report with at least minSamples samples. It skips the report of the upstream
// except.
func (l *loads) figures(except string, figure func(framer.LoadReport) time.Duration) []time.Duration {
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

// sliceLoads returns the load of each slice and their sum, in slots in use.
func (l *loads) sliceLoads() (map[uint32]float64, float64) {
	load, total := make(map[uint32]float64, len(l.rates)), 0.0
	for id, rate := range l.rates {
		load[id] = rate.perSecond * l.serviceTime.Seconds()
		total += load[id]
	}
	return load, total
}

// keyLoads returns the loads of the reported keys, in slots in use.
func (l *loads) keyLoads() []assigner.KeyLoad {
	var keys []assigner.KeyLoad
	for _, report := range l.reports {
		for _, key := range report.Keys {
			keys = append(keys, assigner.KeyLoad{Key: key.Key, Load: float64(key.MilliRPS) / 1000 * l.serviceTime.Seconds()})
		}
	}
	slices.SortFunc(keys, func(a, b assigner.KeyLoad) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Load, b.Load)) // sums of floats depend on the order
	})
	return keys
}

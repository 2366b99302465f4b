package dispatcher

import (
	"math"
	"slices"
	"time"

	"rhubarbtrack.example/core/admitter"
	"rhubarbtrack.example/core/assigner"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/slicer"
)

const (
	reportInterval = 2 * time.Second
	// loadHalfLife is the time in which the weight of a past request halves. The hottest keys change within minutes.
	loadHalfLife = 10 * time.Second
	// minMeasureTime is how long a slice is measured before it is reported. The controller keeps the previous rate of a
	// moved slice for 10 s, and a report is up to 2 s late.
	minMeasureTime = 3 * time.Second
	// sketchCounters bounds the counters of hot keys of one upstream. Every key above 1/256 of the upstream's load has
	// a counter. A key counts as hot from 1/20 of the mean load of an upstream.
	sketchCounters = 256
	// latencySamples and maxLatencyAge bound the responses from which the latency is computed.
	latencySamples = 128
	maxLatencyAge  = 5 * time.Second
)

// load measures the demand for one upstream. Its size is bounded by the slices of the upstream, the counters of the
// sketch and the latency samples.
type load struct {
	slices  map[uint32]*rate
	keys    *assigner.Sketch
	samples [latencySamples]sample // ring buffer; the entry at next is the oldest
	next    int
}

// sample is the latency of one response. A latency of 0 marks an unused entry.
type sample struct {
	at      time.Duration
	latency time.Duration
}

// rate counts requests with exponential decay.
type rate struct {
	since     time.Duration
	updatedAt time.Duration
	count     float64 // decayed, as of updatedAt
}

func newLoad(now time.Duration) *load {
	l := &load{slices: map[uint32]*rate{}, keys: assigner.NewSketch(sketchCounters, loadHalfLife)}
	l.keys.Top(now, 0) // sets the time base of the sketch, which would otherwise be the start of the process
	return l
}

// recordRequest counts a request to a slice that this host admits. Requests that are rejected later count as well,
// because demand may exceed what the upstream can run.
func (l *load) recordRequest(now time.Duration, slice uint32, key string) {
	l.keys.Observe(now, key, time.Second)
	if measured := l.slices[slice]; measured != nil {
		measured.decay(now)
		measured.count++
	}
}

// setSlices starts the measurement of new slices and stops that of removed slices.
func (l *load) setSlices(now time.Duration, fences map[uint32]slicer.Fence) {
	for id := range l.slices {
		if _, ok := fences[id]; !ok {
			delete(l.slices, id)
		}
	}
	for id := range fences {
		if l.slices[id] == nil {
			l.slices[id] = &rate{since: now, updatedAt: now}
		}
	}
}

func (l *load) recordLatency(now, latency time.Duration) {
	l.samples[l.next] = sample{at: now, latency: max(latency, 1)}
	l.next = (l.next + 1) % len(l.samples)
}

func (r *rate) decay(now time.Duration) {
	r.count *= math.Exp2(-float64(now-r.updatedAt) / float64(loadHalfLife))
	r.updatedAt = now
}

// perSecond returns the rate in requests per second. It corrects for the missing weight of the time before the
// measurement began.
func (r *rate) perSecond(now time.Duration) float64 {
	r.decay(now)
	covered := 1 - math.Exp2(-float64(now-r.since)/float64(loadHalfLife))
	return r.count * math.Ln2 / loadHalfLife.Seconds() / covered
}

func milli(perSecond float64) uint64 {
	return uint64(math.Round(max(perSecond, 0) * 1000))
}

// report returns the measured load. The caller adds the state of the admitter.
func (l *load) report(now time.Duration) framer.LoadReport {
	var report framer.LoadReport
	for id, measured := range l.slices {
		if now-measured.since >= minMeasureTime {
			report.Slices = append(report.Slices, framer.SliceRate{Slice: id, MilliRPS: milli(measured.perSecond(now))})
		}
	}
	slices.SortFunc(report.Slices, func(a, b framer.SliceRate) int { return int(a.Slice) - int(b.Slice) })
	for _, key := range l.keys.Top(now, framer.MaxLoadKeys) {
		if key.Load > 0 {
			report.Keys = append(report.Keys, framer.KeyRate{Key: key.Key, MilliRPS: milli(key.Load)})
		}
	}
	report.Samples, report.Mean, report.Median = l.latency(now)
	return report
}

// latency returns the number of responses within maxLatencyAge, and the mean and the median of their latencies.
func (l *load) latency(now time.Duration) (int, time.Duration, time.Duration) {
	var recent []time.Duration
	sum := time.Duration(0)
	for _, s := range l.samples {
		if s.latency > 0 && now-s.at <= maxLatencyAge {
			recent = append(recent, s.latency)
			sum += s.latency
		}
	}
	if len(recent) == 0 {
		return 0, 0, 0
	}
	slices.Sort(recent)
	return len(recent), sum / time.Duration(len(recent)), recent[len(recent)/2]
}

// recordOffer counts a request whose fence has the current epoch of its slice. A request with an outdated fence is
// rejected and sent again, and would count twice.
func (w *worker) recordOffer(e offerEvent) {
	fence, ok := w.fences[e.offered.Fence.Slice]
	if ok && fence.Epoch == e.offered.Fence.Epoch {
		w.load.recordRequest(w.dispatcher.options.Clock(), fence.Slice, e.key)
	}
}

func (w *worker) recordEnd(e admitter.Ended) {
	if e.Outcome == admitter.Succeeded {
		w.load.recordLatency(w.dispatcher.options.Clock(), e.Latency)
	}
}

// reportLoad sends a load report if one is due and this host holds the lease.
func (w *worker) reportLoad() {
	now := w.dispatcher.options.Clock()
	if now < w.nextReport || w.dispatcher.options.Report == nil {
		return
	}
	held := w.held.Load()
	if held == nil || now >= held.until {
		return
	}
	w.nextReport = now + reportInterval
	var report framer.LoadReport
	if w.dispatcher.options.Keyed(w.key.service) {
		report = w.load.report(now)
	}
	report.Upstream = w.key.upstream
	report.Limit = w.admitter.Limit()
	report.InFlight = w.admitter.InFlight()
	report.Cold = w.admitter.Cold()
	w.dispatcher.options.Report(w.key.service, report)
}

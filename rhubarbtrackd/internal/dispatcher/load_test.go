package dispatcher

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/admitter"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/slicer"
)

// Guards against wrong rates shortly after a slice was added, state that grows with the number of keys, and rates of
// slices that were removed.
func TestLoad(t *testing.T) {
	start := time.Hour // long after the start of the process
	l := newLoad(start)
	fences := map[uint32]slicer.Fence{1: {Slice: 1}, 2: {Slice: 2}}
	l.setSlices(start, fences)
	assert.Equal(t, len(l.report(start+time.Second).Slices), 0)
	now := start
	for i := range 60_000 { // 1,000/s, a tenth of them for one key
		now = start + time.Duration(i)*time.Millisecond
		key := fmt.Sprint("cold-", i)
		if i%10 == 0 {
			key = "hot"
		}
		l.recordRequest(now, 1, key)
		if i == 4000 {
			measured := l.report(now).Slices[0]
			assert.Assert(t, math.Abs(float64(measured.MilliRPS)/1000-1000) < 20, "%v after 4 s", measured)
		}
	}
	report := l.report(now)
	assert.Equal(t, len(report.Slices), 2)
	assert.Equal(t, report.Slices[1].MilliRPS, uint64(0))
	assert.Equal(t, report.Keys[0].Key, "hot")
	assert.Assert(t, math.Abs(float64(report.Keys[0].MilliRPS)/1000-100) < 5, "%v", report.Keys[0])
	delete(fences, 1)
	l.setSlices(now, fences)
	assert.Equal(t, len(l.report(now).Slices), 1)
}

// Guards against reported latencies from responses that are older than maxLatencyAge.
func TestLatencyEvidence(t *testing.T) {
	l := newLoad(0)
	for i := range 1000 {
		l.recordLatency(time.Second, time.Duration(1+i%3)*time.Millisecond)
	}
	samples, mean, median := l.latency(2 * time.Second)
	assert.Equal(t, samples, latencySamples)
	assert.Equal(t, median, 2*time.Millisecond)
	assert.Assert(t, mean > 1900*time.Microsecond && mean < 2100*time.Microsecond, "%v", mean)
	samples, _, _ = l.latency(time.Minute)
	assert.Equal(t, samples, 0)
}

// Guards against a capacity check that finds no demand for services that are not keyed, because no host reports
// their requests in flight.
func TestReportWithoutKeys(t *testing.T) {
	var reports []framer.LoadReport
	options := Options{
		Clock:  func() time.Duration { return time.Second },
		Keyed:  func(string) bool { return false },
		Report: func(_ string, report framer.LoadReport) { reports = append(reports, report) },
	}
	w := &worker{
		dispatcher: &Dispatcher{options: options},
		key:        workerKey{service: "label-templates", upstream: "label-templates.u1"},
		admitter:   admitter.New(admitter.Options{Slots: 6}),
	}
	w.held.Store(&heldLease{until: time.Hour})
	w.admitter.Step(0, admitter.LeaseRenewed{Epoch: 1, SentAt: time.Second})
	w.admitter.Step(0, admitter.Offered{ID: 1, Deadline: time.Hour})
	w.reportLoad()
	assert.DeepEqual(t, reports, []framer.LoadReport{{Upstream: "label-templates.u1", Limit: 1, Cold: true, InFlight: 1}})
}

package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/admitter"
	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// Guards against reports without the load that was measured, and against the key in a header of the upstream's request.
func TestReport(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for name, values := range r.Header {
			if strings.Contains(strings.Join(values, ""), "QA76") {
				t.Errorf("the upstream got %s: %v", name, values)
			}
		}
		echo(w, r)
	}))
	t.Cleanup(server.Close)
	var now atomic.Int64 // the test advances it by itself
	reports := make(chan framer.LoadReport, 16)
	d := dispatcher.New(dispatcher.Options{
		Self: "host-1", Incarnation: "a", Scheme: "http", Transport: &http.Transport{},
		Clock: func() time.Duration { return time.Duration(now.Load()) },
		Upstream: func(string, string) (configurator.Upstream, bool) {
			return configurator.Upstream{Address: server.Listener.Addr().String(), Slots: 6}, true
		},
		Keyed:           func(string) bool { return true },
		SignatureStatus: func(time.Duration, uint64) detector.Status { return detector.Clear },
		Observe:         func(time.Duration, admitter.Action) {},
		Report:          func(_ string, report framer.LoadReport) { reports <- report },
		Log:             eventlog.New(zap.NewNop()),
	})
	t.Cleanup(d.Close)
	fence := slicer.Fence{Slice: 1, Term: 1, Epoch: 1}
	seq := uint64(0)
	renew := func() {
		seq++
		d.ApplyLeases(controller.SendLeases{
			Host: "host-1", Incarnation: "a", Service: "marks", Term: 1, Seq: seq, HeartbeatSent: time.Duration(now.Load()),
			Leases: []controller.Lease{{Upstream: upstreamID, Epoch: 1, InFlight: -1, Serve: []slicer.Fence{fence}}},
		})
	}
	renew()
	first := <-reports
	assert.Equal(t, first.Upstream, upstreamID)
	assert.Assert(t, first.Cold)
	assert.Equal(t, first.Limit, 1)
	assert.Equal(t, len(first.Slices), 0)
	for i := range 40 {
		response, err := d.Dispatch(context.Background(), &dispatcher.Request{
			ID: fmt.Sprint("request-", i), Service: "marks", Upstream: upstreamID, Fence: fence, Method: "GET", Key: "QA76",
			URI: "/marks/x", Header: http.Header{}, Body: http.NoBody,
		})
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
	now.Add(int64(4 * time.Second))
	renew()
	second := <-reports
	assert.Equal(t, second.Samples, 40)
	assert.Assert(t, second.Limit > 1)
	assert.Equal(t, len(second.Slices), 1)
	assert.Assert(t, second.Slices[0].MilliRPS > 0)
	assert.Equal(t, len(second.Keys), 1)
	assert.Equal(t, second.Keys[0].Key, "QA76")
}

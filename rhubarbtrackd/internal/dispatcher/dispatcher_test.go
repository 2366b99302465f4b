package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"net"
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
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

const upstreamID = "marks.u1"

// host is a dispatcher with one upstream, which is a test server.
type host struct {
	dispatcher  *dispatcher.Dispatcher
	stopAnswers chan controller.StopAnswer
	returned    chan controller.LeaseReturned
	seq         uint64
	clock       func() time.Duration
}

func newHost(t *testing.T, address string, keyed bool) *host {
	start := time.Now()
	h := &host{
		stopAnswers: make(chan controller.StopAnswer, 16),
		returned:    make(chan controller.LeaseReturned, 16),
		clock:       func() time.Duration { return time.Since(start) },
	}
	h.dispatcher = dispatcher.New(dispatcher.Options{
		Self:        "host-1",
		Incarnation: "a",
		Clock:       h.clock,
		Transport:   &http.Transport{},
		Scheme:      "http",
		Upstream: func(string, string) (configurator.Upstream, bool) {
			return configurator.Upstream{Name: "u1", Service: "marks", Address: address, Slots: 6}, true
		},
		Keyed:           func(string) bool { return keyed },
		SignatureStatus: func(time.Duration, uint64) detector.Status { return detector.Clear },
		Observe:         func(time.Duration, admitter.Action) {},
		StopAnswer:      func(_ string, answer controller.StopAnswer) { h.stopAnswers <- answer },
		LeaseReturned:   func(_ string, returned controller.LeaseReturned) { h.returned <- returned },
		Log:             eventlog.New(zap.NewNop()),
	})
	t.Cleanup(h.dispatcher.Close)
	return h
}

func (h *host) apply(lease controller.Lease) {
	h.seq++
	lease.Upstream = upstreamID
	lease.Epoch = 1
	lease.InFlight = -1
	h.dispatcher.ApplyLeases(controller.SendLeases{
		Host: "host-1", Incarnation: "a", Service: "marks", Term: 1, Seq: h.seq, HeartbeatSent: h.clock(),
		Leases: []controller.Lease{lease},
	})
}

func (h *host) run(method string, fence slicer.Fence, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := h.dispatcher.Dispatch(ctx, &dispatcher.Request{
		ID: fmt.Sprintf("request-%d", h.clock()), Service: "marks", Upstream: upstreamID, Fence: fence, Method: method, URI: "/marks/x",
		Header: http.Header{}, Body: strings.NewReader("body"), ContentLength: 4,
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(dispatcher.HeaderRequestID, r.Header.Get(dispatcher.HeaderRequestID))
}

func hijack(w http.ResponseWriter) net.Conn {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	return connection
}

// Guards against returning the response to another request, a truncated response that looks complete, a wrong outcome
// "not run", and retries by the HTTP transport.
func TestResponses(t *testing.T) {
	tests := []struct {
		name      string
		handler   func(w http.ResponseWriter, r *http.Request)
		kind      dispatcher.Kind // 0 for a response
		reason    string
		truncated bool // the body is truncated
	}{
		{name: "complete", handler: func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			fmt.Fprint(w, "done")
		}},
		{name: "response to another request", kind: dispatcher.Unknown, reason: "crossed-answer", handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(dispatcher.HeaderRequestID, "another")
		}},
		{name: "rejection of another request", kind: dispatcher.Unknown, reason: "crossed-answer", handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(dispatcher.HeaderRequestID, "another")
			w.Header().Set(dispatcher.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{name: "shed", kind: dispatcher.NotRun, reason: "shed", handler: func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
			w.Header().Set(dispatcher.HeaderOutcome, "not-run")
			w.Header().Set(dispatcher.HeaderReason, "shed")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{name: "connection closed before the response", kind: dispatcher.Unknown, reason: "connection", handler: func(w http.ResponseWriter, _ *http.Request) {
			_ = hijack(w).Close()
		}},
		{name: "truncated body", truncated: true, handler: func(w http.ResponseWriter, r *http.Request) {
			connection := hijack(w)
			fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nhalf",
				dispatcher.HeaderRequestID, r.Header.Get(dispatcher.HeaderRequestID))
			_ = connection.Close()
		}},
		{name: "body without length or chunks", kind: dispatcher.Unknown, reason: "unframed-body", handler: func(w http.ResponseWriter, r *http.Request) {
			connection := hijack(w)
			fmt.Fprintf(connection, "HTTP/1.0 200 OK\r\n%s: %s\r\n\r\nhalf",
				dispatcher.HeaderRequestID, r.Header.Get(dispatcher.HeaderRequestID))
			_ = connection.Close()
		}},
	}
	for _, tt := range tests {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(tt.name+"/"+method, func(t *testing.T) {
				var calls atomic.Int64
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					_, _ = io.Copy(io.Discard, r.Body)
					tt.handler(w, r)
				}))
				defer server.Close()
				h := newHost(t, server.Listener.Addr().String(), false)
				h.apply(controller.Lease{})
				text, err := h.run(method, slicer.Fence{}, 5*time.Second)
				assert.Equal(t, calls.Load(), int64(1))
				switch {
				case tt.kind != 0:
					failure := dispatcher.AsError(err)
					assert.Equal(t, failure.Kind, tt.kind)
					assert.Equal(t, failure.Reason, tt.reason)
				case tt.truncated:
					assert.Assert(t, err != nil)
				default:
					assert.NilError(t, err)
					assert.Equal(t, text, "done")
				}
			})
		}
	}
}

// Guards against the outcome "unknown" for a request that could not be sent because the connection was refused.
func TestUnreachableUpstreamIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	h := newHost(t, address, false)
	h.apply(controller.Lease{})
	_, err = h.run(http.MethodPost, slicer.Fence{}, 5*time.Second)
	failure := dispatcher.AsError(err)
	assert.Equal(t, failure.Kind, dispatcher.NotRun)
	assert.Assert(t, failure.Reroutable)
}

// Guards against a stop that is acknowledged while a request of the slice is in flight, a request that is dispatched
// after the acknowledgement, and a lease that is returned while a request is in flight.
func TestStopWaitsForRequestsInFlight(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			close(started)
			<-finish
		}
		echo(w, r)
	}))
	defer server.Close()
	h := newHost(t, server.Listener.Addr().String(), true)
	fence := slicer.Fence{Slice: 1, Term: 1, Epoch: 1}
	h.apply(controller.Lease{Serve: []slicer.Fence{fence}})
	first := make(chan error, 1)
	go func() {
		_, err := h.run(http.MethodPost, fence, 10*time.Second)
		first <- err
	}()
	<-started
	h.apply(controller.Lease{Stop: []slicer.Fence{fence}})
	// A request that arrives now waits. It is rejected as not run when the slice is removed.
	second := make(chan error, 1)
	go func() {
		_, err := h.run(http.MethodPost, fence, 10*time.Second)
		second <- err
	}()
	select {
	case answer := <-h.stopAnswers:
		t.Fatalf("stop acknowledged with a request in flight: %v", answer)
	case <-time.After(100 * time.Millisecond):
	}
	close(finish)
	assert.NilError(t, <-first)
	assert.DeepEqual(t, (<-h.stopAnswers).Slices, []slicer.Fence{fence})
	h.apply(controller.Lease{Release: true})
	failure := dispatcher.AsError(<-second)
	assert.Equal(t, failure.Kind, dispatcher.NotRun)
	assert.Assert(t, failure.Reroutable)
	assert.Equal(t, (<-h.returned).Epoch, uint64(1))
	assert.Equal(t, calls.Load(), int64(1))
	_, err := h.run(http.MethodPost, fence, time.Second)
	assert.Equal(t, dispatcher.AsError(err).Kind, dispatcher.NotRun)
}

// Guards against leases from an outdated message, or from a message to an earlier incarnation of this host.
func TestOldLeasesAreIgnored(t *testing.T) {
	h := newHost(t, "127.0.0.1:1", false)
	h.dispatcher.ApplyLeases(controller.SendLeases{
		Host: "host-1", Incarnation: "earlier", Service: "marks", Term: 9, Seq: 9, HeartbeatSent: h.clock(),
		Leases: []controller.Lease{{Upstream: upstreamID, Epoch: 1}},
	})
	assert.Equal(t, len(h.dispatcher.HeldLeases(h.clock(), "marks")), 0)
	h.dispatcher.ApplyLeases(controller.SendLeases{Host: "host-1", Incarnation: "a", Service: "marks", Term: 2, Seq: 1})
	h.apply(controller.Lease{}) // term 1
	assert.Equal(t, len(h.dispatcher.HeldLeases(h.clock(), "marks")), 0)
}

// Guards against two concurrent requests on a cold upstream. They occur if the slot of a cancelled request is reused
// before the upstream has detected the cancellation.
func TestCancelledRequestKeepsItsSlotForAWhile(t *testing.T) {
	var running, peak atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		for previous := peak.Load(); now > previous && !peak.CompareAndSwap(previous, now); previous = peak.Load() {
		}
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		time.Sleep(3 * time.Millisecond) // delay until the upstream stops the request
	}))
	defer server.Close()
	h := newHost(t, server.Listener.Addr().String(), false)
	for range 20 {
		h.apply(controller.Lease{})
		_, err := h.run(http.MethodGet, slicer.Fence{}, 10*time.Millisecond)
		assert.Assert(t, err != nil)
	}
	assert.Equal(t, peak.Load(), int64(1))
}

// Guards against an upstream that gets no requests after its failure domain was taken out and returned. If its
// admission did not move to another host in between, the lease keeps its epoch, and the admitter ignores an ended
// epoch.
func TestLeaseBeginsAgainWithTheSameEpoch(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(echo))
	defer server.Close()
	h := newHost(t, server.Listener.Addr().String(), false)
	h.apply(controller.Lease{})
	_, err := h.run(http.MethodPost, slicer.Fence{}, 5*time.Second)
	assert.NilError(t, err)
	h.apply(controller.Lease{NoNewWork: true})
	_, err = h.run(http.MethodPost, slicer.Fence{}, 5*time.Second)
	assert.Equal(t, dispatcher.AsError(err).Kind, dispatcher.NotRun)
	h.apply(controller.Lease{})
	_, err = h.run(http.MethodPost, slicer.Fence{}, 5*time.Second)
	assert.NilError(t, err)
}

func BenchmarkDispatch(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(echo))
	defer server.Close()
	h := newHost(&testing.T{}, server.Listener.Addr().String(), false)
	h.apply(controller.Lease{})
	for range 300 { // the upstream is no longer cold after these
		_, _ = h.run(http.MethodGet, slicer.Fence{}, time.Second)
	}
	b.ReportAllocs()
	for b.Loop() {
		h.apply(controller.Lease{})
		if _, err := h.run(http.MethodGet, slicer.Fence{}, time.Second); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against requests that wait until their deadline after a takeover: the table has the term of the new
// controller, while the upstream still holds its slices under the term of the previous one.
func TestRequestAfterTakeoverRunsUnderHeldFence(t *testing.T) {
	fences := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fences <- r.Header.Get(dispatcher.HeaderFence)
		echo(w, r)
	}))
	defer server.Close()
	tests := []struct {
		name    string
		offered slicer.Fence
		runs    bool
	}{
		{name: "later term, same epoch", offered: slicer.Fence{Slice: 4, Term: 2, Epoch: 3}, runs: true},
		{name: "later epoch", offered: slicer.Fence{Slice: 4, Term: 2, Epoch: 4}},
		{name: "earlier epoch", offered: slicer.Fence{Slice: 4, Term: 2, Epoch: 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHost(t, server.Listener.Addr().String(), true)
			h.apply(controller.Lease{Serve: []slicer.Fence{{Slice: 4, Term: 1, Epoch: 3}}})
			_, err := h.run(http.MethodPost, test.offered, 200*time.Millisecond)
			if !test.runs {
				assert.Equal(t, dispatcher.AsError(err).Kind, dispatcher.NotRun)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, <-fences, "4.1.3")
		})
	}
}

// Guards against a query of a new controller that ends the leases of this host, and against a heartbeat that lacks the
// term of the query.
func TestQueryKeepsLeases(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(echo))
	t.Cleanup(server.Close)
	h := newHost(t, server.Listener.Addr().String(), true)
	fence := slicer.Fence{Slice: 1, Term: 1, Epoch: 1}
	h.apply(controller.Lease{Serve: []slicer.Fence{fence}})
	_, err := h.run("GET", fence, time.Second)
	assert.NilError(t, err)
	h.dispatcher.ApplyLeases(controller.SendLeases{
		Query: true, Host: "host-1", Incarnation: "a", Service: "marks", Term: 2, Seq: 1,
	})
	assert.Equal(t, h.dispatcher.Term("marks"), uint64(2))
	assert.Equal(t, len(h.dispatcher.HeldLeases(h.clock(), "marks")), 1)
	_, err = h.run("GET", fence, time.Second)
	assert.NilError(t, err)
}

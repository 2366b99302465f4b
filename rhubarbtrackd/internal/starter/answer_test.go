package starter_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

const (
	// answerTimeout is the timeout of routes in tests of long answers.
	answerTimeout = 5 * time.Second
	// bufferedAnswer is the size from which on hosts stream an answer.
	bufferedAnswer = 128 << 10
	// maxSignature and minSignature bound the bytes that upstreams send before the body that a call asks for.
	maxSignature = 34
	minSignature = 26
)

// newAnswerSystem returns a system whose routes have answerTimeout on all hosts.
func newAnswerSystem(t *testing.T) *system {
	t.Helper()
	s := newSystemWith(t, 2, 2, func(o *simulator.UpstreamOptions) { o.LateGrantShare, o.Slots, o.Queue = 0, 200, 400 })
	s.setRouteTimeout(t, answerTimeout)
	return s
}

func answerCall(prefix string, answer simulator.Body) simulator.Call {
	return simulator.Call{
		Prefix: prefix, Name: "answer", Attempt: fmt.Sprintf("%016x", rand.Uint64()), Key: rand.IntN(1 << 16), TimeLeft: answerTimeout,
		Answer: answer,
	}
}

// setRouteTimeout sets the timeout of all routes and waits until all hosts have applied it.
func (s *system) setRouteTimeout(t *testing.T, timeout time.Duration) {
	t.Helper()
	const version = 9
	s.applyConfiguration(t, version, simulator.ConfigurationWithTimeout(version, timeout))
}

// applyConfiguration writes a configuration and waits until all hosts have applied it.
func (s *system) applyConfiguration(t *testing.T, version int64, configuration map[string]any) {
	t.Helper()
	assert.NilError(t, s.store.Put(translator.ConfigurationKind, translator.ConfigurationName, configuration, nil))
	time.Sleep(2 * time.Second)
	deadline := time.Now().Add(readyWithin)
	for _, h := range s.hosts {
		for !h.hasConfiguration(version) {
			assert.Assert(t, time.Now().Before(deadline), "%s has not applied the configuration", h.settings.Host)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// hasConfiguration returns whether the host has applied a version of the configuration.
func (h *testHost) hasConfiguration(version int64) bool {
	return slices.ContainsFunc(h.logs.FilterMessage(eventlog.ConfigurationChanged.Name).All(), func(line observer.LoggedEntry) bool {
		return line.ContextMap()["version"] == version
	})
}

// beginsOf returns the times at which upstreams have begun to run a request.
func (s *system) beginsOf(attempt string) []time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.begins[attempt])
}

// waitAborted waits until the host has logged that the response to a request was cut, and returns the time since its receipt.
func (h *testHost) waitAborted(t *testing.T, attempt string) time.Duration {
	t.Helper()
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, line := range h.logs.FilterMessage(eventlog.ResponseAborted.Name).All() {
			if fields := line.ContextMap(); fields["request"] == attempt {
				return fields["taken"].(time.Duration)
			}
		}
	}
	t.Fatalf("the host has not logged the end of %s", attempt)
	return 0
}

// endedRequests returns the number of log lines about ended requests on all hosts.
func (s *system) endedRequests() int {
	count := 0
	for _, h := range s.hosts {
		count += h.logged(eventlog.RequestEnded) + h.logged(eventlog.RequestRejected) + h.logged(eventlog.ResponseAborted)
	}
	return count
}

// Guards against answers of 128 KiB or more that are cut when their last bytes come after the first ones.
func TestLongAnswersAreComplete(t *testing.T) {
	t.Parallel()
	lengths := []int{1 << 20}
	for n := bufferedAnswer - 1 - maxSignature; n <= bufferedAnswer+1-minSignature; n++ {
		lengths = append(lengths, n) // 131,071, 131,072 and 131,073 bytes with any signature are among them
	}
	s := newAnswerSystem(t)
	for _, framing := range []simulator.Framing{simulator.ByLength, simulator.ByChunks, simulator.ByClose} {
		for _, tail := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%s, last bytes after %v", framing, tail), func(t *testing.T) {
				before := s.endedRequests()
				replies, errs := make([]simulator.Reply, len(lengths)), make([]error, len(lengths))
				var group sync.WaitGroup
				for i, length := range lengths {
					group.Go(func() {
						call := answerCall(simulator.Prefixes[i%len(simulator.Prefixes)], simulator.Body{Bytes: length, Framing: framing, Tail: tail})
						replies[i], errs[i] = call.Send(clientFrom(i), s.hosts[i%len(s.hosts)].settings.CallerAddress)
					})
				}
				group.Wait()
				for i, length := range lengths {
					assert.NilError(t, errs[i], "%d bytes", length)
					assert.Equal(t, replies[i].Status, http.StatusOK, "%d bytes", length)
					assert.Assert(t, replies[i].Matches, "%d bytes", length)
				}
				time.Sleep(50 * time.Millisecond)
				assert.Equal(t, s.endedRequests()-before, len(lengths), "log lines of ended requests")
			})
		}
	}
}

// Guards against an answer that looks complete to the caller although the upstream died within it, or the time of its route ended.
func TestCutAnswersAreSeenAsCut(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		answer simulator.Body
	}{
		{"upstream dies, length", simulator.Body{Framing: simulator.ByLength, Tail: 100 * time.Millisecond, Broken: true}},
		{"upstream dies, chunks", simulator.Body{Framing: simulator.ByChunks, Tail: 100 * time.Millisecond, Broken: true}},
		{"route's time ends, length", simulator.Body{Framing: simulator.ByLength, Tail: 2 * answerTimeout}},
		{"route's time ends, chunks", simulator.Body{Framing: simulator.ByChunks, Tail: 2 * answerTimeout}},
		{"route's time ends, until the connection ends", simulator.Body{Framing: simulator.ByClose, Tail: 2 * answerTimeout}},
	}
	s := newAnswerSystem(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for _, length := range []int{bufferedAnswer + 1000, 1 << 20} {
				tt.answer.Bytes = length
				call := answerCall(simulator.OrderPrefix, tt.answer)
				reply, err := call.Send(clientFrom(0), s.hosts[0].settings.CallerAddress)
				ended := time.Now()
				assert.Assert(t, err != nil, "%d bytes: status %d", length, reply.Status)
				assert.Assert(t, !reply.Matches)
				// The route's time runs from the receipt by the host, which its log counts from. The run is the first sign of it elsewhere.
				begins := s.beginsOf(call.Attempt)
				assert.Equal(t, len(begins), 1)
				assert.Assert(t, ended.Sub(begins[0]) < answerTimeout+time.Second, "the answer was cut after %v", ended.Sub(begins[0]))
				taken := s.hosts[0].waitAborted(t, call.Attempt)
				assert.Assert(t, taken < answerTimeout+time.Second, "the answer was cut after %v", taken)
			}
		})
	}
}

// Guards against transfers that hold their request for ever, or end twice, because the caller stops reading or leaves.
func TestTransferEndsWithItsCaller(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		leaves bool
		within time.Duration
	}{
		{"stops reading", false, answerTimeout + time.Second},
		{"leaves", true, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newAnswerSystem(t)
			conn, err := net.Dial("tcp", s.hosts[0].settings.CallerAddress)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "GET %slong?bytes=%d&framing=length HTTP/1.1\r\nHost: %s\r\n%s: left\r\n\r\n", simulator.PlainPrefix, 32<<20,
				simulator.Hostname, translator.AttemptHeader)
			assert.NilError(t, err)
			_, err = http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			if tt.leaves {
				assert.NilError(t, conn.Close())
			}
			deadline := time.Now().Add(tt.within)
			for s.endedRequests() == 0 {
				assert.Assert(t, time.Now().Before(deadline), "the transfer still runs")
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(time.Second)
			assert.Equal(t, s.endedRequests(), 1)
		})
	}
}

// Guards against a planned stop that cuts the transfer of an answer, or that waits for one beyond its grace time.
func TestPlannedStopWaitsForTransfers(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		tail     time.Duration
		complete bool
	}{
		{"transfer ends within the grace time", 3500 * time.Millisecond, true},
		{"transfer does not end", 20 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			const timeout = 15 * time.Second
			s.setRouteTimeout(t, timeout)
			h := s.hosts[0]
			call := answerCall(simulator.PlainPrefix, simulator.Body{Bytes: bufferedAnswer + 1000, Framing: simulator.ByLength, Tail: tt.tail})
			call.TimeLeft = timeout
			var stopped time.Time
			go func() {
				// A host that receives the request after the stop has begun rejects it, so that there is no transfer.
				for deadline := time.Now().Add(readyWithin); len(s.beginsOf(call.Attempt)) == 0 && time.Now().Before(deadline); {
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(400 * time.Millisecond) // until the transfer has begun
				stopped = time.Now()
				h.stop()
			}()
			reply, err := call.Send(clientFrom(0), h.settings.CallerAddress)
			replied := time.Now()
			assert.Equal(t, reply.Status, http.StatusOK, "error %v", err)
			assert.Equal(t, err == nil && reply.Matches, tt.complete, "error %v", err)
			err = <-h.stopped
			h.stopped <- err
			assert.NilError(t, err)
			assert.Assert(t, time.Since(stopped) <= h.settings.Bounds.Grace, "the host stopped after %v", time.Since(stopped))
			// The platform's rules excuse a cut in the last sixth of the grace time.
			assert.Assert(t, tt.complete || replied.Sub(stopped) >= h.settings.Bounds.Grace*5/6, "the transfer was cut after %v", replied.Sub(stopped))
			line := h.logs.FilterMessage(eventlog.DaemonStopped.Name).All()
			assert.Equal(t, len(line), 1)
			assert.Equal(t, line[0].ContextMap()["requests"], int64(0))
		})
	}
}

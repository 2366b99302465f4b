package receiver_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/encoder"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/rhubarbtrackd/internal/chooser"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/locator"
	"rhubarbtrack.example/rhubarbtrackd/internal/receiver"
)

// responses lists what the fake admission host returns for successive attempts of a request: a string is the body of a
// response, a *dispatcher.Error is returned as such, and the types below describe other cases. The last one repeats.
type responses []any

// truncatedBody is a response body after which the connection fails.
type truncatedBody string

// slowResponse is a response that arrives after several checks of the admission host.
type slowResponse struct{}

// noResponse blocks until the attempt is cancelled.
type noResponse struct{}

// testReceiver is a receiver for one keyed service with a fake admission host.
type testReceiver struct {
	locator   *locator.Locator
	ready     func() bool
	receiver  *receiver.Receiver
	server    *httptest.Server
	attempts  []*dispatcher.Request
	bodies    []string
	responses responses
	started   chan struct{} // one value for each attempt
}

func newTestReceiver(t *testing.T, results responses) *testReceiver {
	r := &testReceiver{locator: locator.New(), responses: results, started: make(chan struct{}, 16)}
	r.put(t, configurator.Service{
		Name: "marks", Keyed: true, KeyHeader: "Rhubarbtrack-Key", SliceCount: 4,
		Rules: []configurator.Rule{{Method: "PUT", Path: "/**", Class: configurator.Idempotent}},
	}, 1)
	r.put(t, configurator.FailureDomain{Name: "a"}, 2)
	r.put(t, configurator.Upstream{
		Name: "u1", Service: "marks", FailureDomain: "a", Address: "127.0.0.1:1", Slots: 6, Connections: 130,
	}, 3)
	table := slicer.New("marks", 4)
	table.Version = slicer.Version{Term: 1, Seq: 1}
	for i := range table.Ranges {
		table.Ranges[i].Owner = "marks.u1"
	}
	table.Admission["marks.u1"] = slicer.Admission{Host: "host-1", Epoch: 1}
	r.locator.SetTable(&table)
	r.locator.SetMembers([]framer.Member{{Name: "host-1", Address: "127.0.0.1:2", State: framer.Live}})
	r.heartbeat(time.Millisecond)
	choices := chooser.New(1, r.locator)
	for range 100 {
		choices.CountRequest("marks") // fills the retry budget
	}
	r.receiver = receiver.New(receiver.Options{
		Clock:          func() time.Duration { return 2 * time.Millisecond },
		Locator:        r.locator,
		Forward:        r.forward,
		CountRequest:   choices.CountRequest,
		CountAttempt:   func(string, bool) {},
		Allow:          choices.Allow,
		Begin:          choices.Begin,
		End:            choices.End,
		HedgeAfter:     choices.HedgeAfter,
		Hedge:          choices.Hedge,
		RecordOutcome:  func(string, string, time.Duration) {},
		Ready:          func() bool { return r.ready == nil || r.ready() },
		RequestTimeout: 300 * time.Millisecond,
		MaxBody:        1 << 20,
		Log:            eventlog.New(zap.NewNop()),
	})
	r.server = httptest.NewServer(r.receiver)
	t.Cleanup(r.server.Close)
	return r
}

func (r *testReceiver) put(t *testing.T, value configurator.Value, version uint64) {
	body, err := encoder.Encode(value, configurator.Origin{Writer: "test", Operation: "1"})
	assert.NilError(t, err)
	assert.NilError(t, r.locator.MergeConfig(configurator.Object{Name: value.ObjectName(), Version: version, Body: body}))
}

func (r *testReceiver) heartbeat(at time.Duration) {
	r.locator.SetHeartbeat(at, framer.LeaderHeartbeat{Service: "marks", Term: 1, Table: slicer.Version{Term: 1, Seq: 1}, Revision: 3})
	r.locator.Refresh(at)
}

func (r *testReceiver) forward(ctx context.Context, _ framer.Member, request *dispatcher.Request) (*dispatcher.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	r.attempts = append(r.attempts, request)
	r.bodies = append(r.bodies, string(body))
	r.started <- struct{}{}
	next := r.responses[min(len(r.attempts), len(r.responses))-1]
	switch a := next.(type) {
	case *dispatcher.Error:
		failure := *a
		return nil, &failure
	case slowResponse:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(500 * time.Millisecond):
		}
		return &dispatcher.Response{Status: 200, Header: http.Header{}, Length: 4, Body: io.NopCloser(strings.NewReader("late"))}, nil
	case noResponse:
		<-ctx.Done()
		return nil, ctx.Err()
	case truncatedBody:
		return &dispatcher.Response{
			Status: 200, Header: http.Header{}, Length: 100,
			Body: io.NopCloser(io.MultiReader(strings.NewReader(string(a)), &failingReader{})),
		}, nil
	default:
		text := a.(string)
		return &dispatcher.Response{
			Status: 200, Header: http.Header{}, Length: int64(len(text)), Body: io.NopCloser(strings.NewReader(text)),
		}, nil
	}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func (r *testReceiver) send(t *testing.T, method, path, body string, header map[string]string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, r.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Rhubarbtrack-Key", "QA76")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

func notRun(reason string, reroutable bool) *dispatcher.Error {
	return &dispatcher.Error{Op: "test", Kind: dispatcher.NotRun, Reason: reason, Reroutable: reroutable}
}

func unknown(reason string) *dispatcher.Error {
	return &dispatcher.Error{Op: "test", Kind: dispatcher.Unknown, Reason: reason}
}

// Guards against sending a never-repeat request again after it may have run, giving up a request that may be repeated,
// and reporting a wrong outcome to the caller.
func TestRetries(t *testing.T) {
	tests := []struct {
		name      string
		method    string
		responses responses
		attempts  int
		status    int
		outcome   string
	}{
		{name: "success", method: "POST", responses: responses{"ok"}, attempts: 1, status: 200},
		{name: "never-repeat, unknown", method: "POST", responses: responses{unknown("connection"), "ok"}, attempts: 1, status: 502, outcome: "unknown"},
		{name: "never-repeat, shed by the upstream", method: "POST", responses: responses{notRun("shed", false), "ok"}, attempts: 2, status: 200},
		{name: "never-repeat, admission host moved", method: "POST", responses: responses{notRun("moved", true), notRun("moved", true), "ok"}, attempts: 3, status: 200},
		{name: "safe, unknown", method: "GET", responses: responses{unknown("connection"), "ok"}, attempts: 2, status: 200},
		{name: "idempotent by rule, unknown", method: "PUT", responses: responses{unknown("crossed-answer"), "ok"}, attempts: 2, status: 200},
		{name: "method without rule, unknown", method: "DELETE", responses: responses{unknown("connection"), "ok"}, attempts: 1, status: 502, outcome: "unknown"},
		{name: "attempts are bounded", method: "GET", responses: responses{unknown("connection")}, attempts: 3, status: 502, outcome: "unknown"},
		{name: "blocked signature is final", method: "GET", responses: responses{notRun("condemned", false), "ok"}, attempts: 1, status: 503, outcome: "not-run"},
		{name: "duplicate is final", method: "POST", responses: responses{notRun("duplicate", false), "ok"}, attempts: 1, status: 409, outcome: "not-run"},
		{name: "deadline after dispatch", method: "GET", responses: responses{unknown("deadline"), "ok"}, attempts: 1, status: 504, outcome: "unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestReceiver(t, tt.responses)
			response, _, err := r.send(t, tt.method, "/marks/x", "body", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, tt.status)
			assert.Equal(t, response.Header.Get("Rhubarbtrack-Outcome"), tt.outcome)
			assert.Equal(t, len(r.attempts), tt.attempts)
			for i, body := range r.bodies {
				assert.Equal(t, body, "body", "attempt %d", i)
			}
		})
	}
}

// Guards against a request that waits for a paused admission host until its deadline although another host has replaced
// it.
func TestRetriesWhenAdmissionHostDies(t *testing.T) {
	r := newTestReceiver(t, responses{noResponse{}, "ok"})
	go func() {
		<-r.started
		table := r.locator.Table("marks").Clone()
		table.Version.Seq = 2
		table.Admission["marks.u1"] = slicer.Admission{Host: "host-2", Epoch: 2}
		r.locator.SetMembers([]framer.Member{{Name: "host-1", State: framer.Dead}, {Name: "host-2", State: framer.Live}})
		r.locator.SetTable(&table)
	}()
	response, _, err := r.send(t, "GET", "/marks/x", "", map[string]string{"Rhubarbtrack-Deadline-Ms": "60000"})
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, len(r.attempts), 2)
}

// Guards against cancelling a request whose admission host shuts down gracefully: that host still completes it.
func TestWaitsForLeavingAdmissionHost(t *testing.T) {
	r := newTestReceiver(t, responses{slowResponse{}})
	go func() {
		<-r.started
		table := r.locator.Table("marks").Clone()
		table.Version.Seq = 2
		table.Admission["marks.u1"] = slicer.Admission{Host: "host-2", Epoch: 2}
		r.locator.SetMembers([]framer.Member{{Name: "host-1", State: framer.Leaving}, {Name: "host-2", State: framer.Live}})
		r.locator.SetTable(&table)
	}()
	response, body, err := r.send(t, "GET", "/marks/x", "", map[string]string{"Rhubarbtrack-Deadline-Ms": "60000"})
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, body, "late")
	assert.Equal(t, len(r.attempts), 1)
}

// Guards against a request that never ends, or reports an unknown outcome, when no admission host accepts it before its
// deadline.
func TestUnroutableRequestReportsNotRun(t *testing.T) {
	r := newTestReceiver(t, responses{notRun("no-lease", true)})
	response, _, err := r.send(t, "POST", "/marks/x", "", map[string]string{"Rhubarbtrack-Deadline-Ms": "150"})
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 503)
	assert.Equal(t, response.Header.Get("Rhubarbtrack-Outcome"), "not-run")
}

// Guards against a truncated response that the caller cannot distinguish from a complete one.
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	r := newTestReceiver(t, responses{truncatedBody("half")})
	_, _, err := r.send(t, "GET", "/marks/x", "", nil)
	assert.Assert(t, err != nil)
}

// Guards against callers that set headers reserved for hosts, and against routing a request with invalid input.
func TestRequestValidationAndHeaderFiltering(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		body   string
		header map[string]string
		status int
	}{
		{name: "unknown service", path: "/nothing/x", status: 404},
		{name: "no key", path: "/marks/x", header: map[string]string{"Rhubarbtrack-Key": ""}, status: 400},
		{name: "long key", path: "/marks/x", header: map[string]string{"Rhubarbtrack-Key": strings.Repeat("k", 2000)}, status: 400},
		{name: "malformed deadline", path: "/marks/x", header: map[string]string{"Rhubarbtrack-Deadline-Ms": "soon"}, status: 400},
		{name: "large body", path: "/marks/x", body: strings.Repeat("b", 2<<20), status: 413},
		{
			name: "internal headers", path: "/marks//x/../y", status: 200,
			header: map[string]string{
				"Rhubarbtrack-Fence": "1.2.3", "Rhubarbtrack-Class": "2", "Rhubarbtrack-Request-Id": "mine", "Connection": "X-Hop",
				"X-Hop": "1",
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestReceiver(t, responses{"ok"})
			response, _, err := r.send(t, "GET", tt.path, tt.body, tt.header)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, tt.status)
			if tt.status != 200 {
				assert.Equal(t, len(r.attempts), 0)
				return
			}
			sent := r.attempts[0]
			assert.Equal(t, sent.URI, tt.path)
			assert.Equal(t, sent.Class, configurator.NeverRepeat) // ambiguous paths match no rule
			assert.Assert(t, sent.ID != "mine")
			for _, name := range []string{"Rhubarbtrack-Fence", "Rhubarbtrack-Class", "X-Hop"} {
				assert.Equal(t, sent.Header.Get(name), "")
			}
		})
	}
}

// Guards against a host that continues to route with an old table after it has lost the connection to the controllers.
func TestStaleTableRejectsRequests(t *testing.T) {
	l := newTestReceiver(t, responses{"ok"}).locator
	assert.Assert(t, l.Fresh(time.Second, "marks"))
	_, err := l.Locate(3*time.Second+2*time.Millisecond, "marks", "k")
	assert.Equal(t, locator.KindOf(err), locator.Stale)
	// A heartbeat that names a newer table does not make the old table usable again.
	l.SetHeartbeat(4*time.Second, framer.LeaderHeartbeat{Service: "marks", Term: 1, Table: slicer.Version{Term: 1, Seq: 2}, Revision: 3})
	l.Refresh(4 * time.Second)
	assert.Assert(t, !l.Fresh(4*time.Second, "marks"))
}

// Guards against a caller that keeps a request active by not reading the response.
func TestSlowReaderTimesOut(t *testing.T) {
	r := newTestReceiver(t, responses{strings.Repeat("x", 64<<20)})
	connection, err := net.Dial("tcp", r.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, "GET /marks/x HTTP/1.1\r\nHost: h\r\nRhubarbtrack-Key: k\r\n\r\n")
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(r.started) > 0 && r.receiver.Active() == 0 {
			return poll.Success()
		}
		return poll.Continue("request still active")
	}, poll.WithTimeout(time.Minute))
}

func BenchmarkLocate(b *testing.B) {
	t := &testing.T{}
	r := newTestReceiver(t, responses{"ok"})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.locator.Locate(2*time.Millisecond, "marks", "QA76.73"); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a host that responds with "not found" before it has received the configuration of the service, instead
// of reporting that the request was not run.
func TestUnknownService(t *testing.T) {
	tests := []struct {
		name    string
		ready   bool
		arrives bool // the configuration arrives while the request is parsed
		status  int
		outcome string
	}{
		{name: "ready", ready: true, status: http.StatusNotFound},
		{name: "not ready", status: http.StatusServiceUnavailable, outcome: dispatcher.OutcomeNotRun},
		{name: "configuration arrives", ready: true, arrives: true, status: http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestReceiver(t, responses{"done"})
			r.ready = func() bool {
				if test.arrives {
					r.put(t, configurator.Service{Name: "another"}, 4)
					r.put(t, configurator.Upstream{
						Name: "u1", Service: "another", FailureDomain: "a", Address: "127.0.0.1:1", Slots: 6, Connections: 130,
					}, 5)
					r.locator.SetTable(&slicer.Table{
						Service: "another", Version: slicer.Version{Term: 1, Seq: 1},
						Admission: map[string]slicer.Admission{"another.u1": {Host: "host-1", Epoch: 1}},
					})
					r.locator.SetHeartbeat(time.Millisecond, framer.LeaderHeartbeat{Service: "another", Term: 1, Table: slicer.Version{Term: 1, Seq: 1}, Revision: 5})
					r.locator.Refresh(time.Millisecond)
				}
				return test.ready
			}
			response, err := http.Post(r.server.URL+"/another/x", "", nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, test.status)
			assert.Equal(t, response.Header.Get(dispatcher.HeaderOutcome), test.outcome)
		})
	}
}

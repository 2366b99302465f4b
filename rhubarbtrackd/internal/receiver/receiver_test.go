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

// answers is the sequence of ends that the fake admission host gives to the attempts of a request.
type answers []any // string: body of an answer; *dispatcher.Error: failure; truncated: body that breaks off

type truncated string

// slow is an admission host that answers after several looks at the table.
type slow struct{}

// hang is an admission host that never answers.
type hang struct{}

// entry is a receiver with a locator that knows one keyed service, and a fake in place of the admission host.
type entry struct {
	locator  *locator.Locator
	ready    func() bool
	receiver *receiver.Receiver
	server   *httptest.Server
	attempts []*dispatcher.Request
	bodies   []string
	answers  answers
	started  chan struct{} // one entry for each attempt
}

func newEntry(t *testing.T, ends answers) *entry {
	e := &entry{locator: locator.New(), answers: ends, started: make(chan struct{}, 16)}
	e.put(t, configurator.Service{
		Name: "marks", Keyed: true, KeyHeader: "Rhubarbtrack-Key", SliceCount: 4,
		Rules: []configurator.Rule{{Method: "PUT", Path: "/**", Class: configurator.Idempotent}},
	}, 1)
	e.put(t, configurator.FailureDomain{Name: "a"}, 2)
	e.put(t, configurator.Upstream{
		Name: "u1", Service: "marks", FailureDomain: "a", Address: "127.0.0.1:1", Slots: 6, Connections: 130,
	}, 3)
	table := slicer.New("marks", 4)
	table.Version = slicer.Version{Term: 1, Seq: 1}
	for i := range table.Ranges {
		table.Ranges[i].Owner = "marks.u1"
	}
	table.Admission["marks.u1"] = slicer.Admission{Host: "host-1", Epoch: 1}
	e.locator.SetTable(&table)
	e.locator.SetMembers([]framer.Member{{Name: "host-1", Address: "127.0.0.1:2", State: framer.Live}})
	e.beacon(time.Millisecond)
	choices := chooser.New(1, e.locator)
	for range 100 {
		choices.CountRequest("marks") // fills the retry budget
	}
	e.receiver = receiver.New(receiver.Options{
		Clock:          func() time.Duration { return 2 * time.Millisecond },
		Locator:        e.locator,
		Forward:        e.forward,
		CountRequest:   choices.CountRequest,
		CountAttempt:   func(string, bool) {},
		Allow:          choices.Allow,
		Begin:          choices.Begin,
		End:            choices.End,
		HedgeAfter:     choices.HedgeAfter,
		Hedge:          choices.Hedge,
		RecordOutcome:  func(string, string, time.Duration) {},
		Ready:          func() bool { return e.ready == nil || e.ready() },
		RequestTimeout: 300 * time.Millisecond,
		MaxBody:        1 << 20,
		Log:            eventlog.New(zap.NewNop()),
	})
	e.server = httptest.NewServer(e.receiver)
	t.Cleanup(e.server.Close)
	return e
}

func (e *entry) put(t *testing.T, value configurator.Value, version uint64) {
	body, err := encoder.Encode(value, configurator.Origin{Writer: "test", Operation: "1"})
	assert.NilError(t, err)
	assert.NilError(t, e.locator.MergeConfig(configurator.Object{Name: value.ObjectName(), Version: version, Body: body}))
}

func (e *entry) beacon(at time.Duration) {
	e.locator.SetHeartbeat(at, framer.LeaderHeartbeat{Service: "marks", Term: 1, Table: slicer.Version{Term: 1, Seq: 1}, Revision: 3})
	e.locator.Refresh(at)
}

func (e *entry) forward(ctx context.Context, _ framer.Member, request *dispatcher.Request) (*dispatcher.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	e.attempts = append(e.attempts, request)
	e.bodies = append(e.bodies, string(body))
	e.started <- struct{}{}
	end := e.answers[min(len(e.attempts), len(e.answers))-1]
	switch a := end.(type) {
	case *dispatcher.Error:
		failure := *a
		return nil, &failure
	case slow:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(500 * time.Millisecond):
		}
		return &dispatcher.Response{Status: 200, Header: http.Header{}, Length: 4, Body: io.NopCloser(strings.NewReader("late"))}, nil
	case hang:
		<-ctx.Done()
		return nil, ctx.Err()
	case truncated:
		return &dispatcher.Response{
			Status: 200, Header: http.Header{}, Length: 100,
			Body: io.NopCloser(io.MultiReader(strings.NewReader(string(a)), &broken{})),
		}, nil
	default:
		text := a.(string)
		return &dispatcher.Response{
			Status: 200, Header: http.Header{}, Length: int64(len(text)), Body: io.NopCloser(strings.NewReader(text)),
		}, nil
	}
}

type broken struct{}

func (*broken) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func (e *entry) call(t *testing.T, method, path, body string, header map[string]string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, e.server.URL+path, strings.NewReader(body))
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

// Guards against a never-repeat request that is sent again after it may have run, against requests that are given up
// although they may be repeated, and against refusals that say something else than what happened.
func TestRetries(t *testing.T) {
	tests := []struct {
		name     string
		method   string
		ends     answers
		attempts int
		status   int
		outcome  string
	}{
		{name: "answered", method: "POST", ends: answers{"ok"}, attempts: 1, status: 200},
		{name: "never-repeat, unknown", method: "POST", ends: answers{unknown("connection"), "ok"}, attempts: 1, status: 502, outcome: "unknown"},
		{name: "never-repeat, shed by the upstream", method: "POST", ends: answers{notRun("shed", false), "ok"}, attempts: 2, status: 200},
		{name: "never-repeat, moved", method: "POST", ends: answers{notRun("moved", true), notRun("moved", true), "ok"}, attempts: 3, status: 200},
		{name: "safe, unknown", method: "GET", ends: answers{unknown("connection"), "ok"}, attempts: 2, status: 200},
		{name: "idempotent by rule, unknown", method: "PUT", ends: answers{unknown("crossed-answer"), "ok"}, attempts: 2, status: 200},
		{name: "method without rule, unknown", method: "DELETE", ends: answers{unknown("connection"), "ok"}, attempts: 1, status: 502, outcome: "unknown"},
		{name: "attempts are bounded", method: "GET", ends: answers{unknown("connection")}, attempts: 3, status: 502, outcome: "unknown"},
		{name: "condemned is final", method: "GET", ends: answers{notRun("condemned", false), "ok"}, attempts: 1, status: 503, outcome: "not-run"},
		{name: "duplicate is final", method: "POST", ends: answers{notRun("duplicate", false), "ok"}, attempts: 1, status: 409, outcome: "not-run"},
		{name: "deadline after dispatch", method: "GET", ends: answers{unknown("deadline"), "ok"}, attempts: 1, status: 504, outcome: "unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry(t, tt.ends)
			response, _, err := e.call(t, tt.method, "/marks/x", "body", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, tt.status)
			assert.Equal(t, response.Header.Get("Rhubarbtrack-Outcome"), tt.outcome)
			assert.Equal(t, len(e.attempts), tt.attempts)
			for i, body := range e.bodies {
				assert.Equal(t, body, "body", "attempt %d", i)
			}
		})
	}
}

// Guards against a request that hangs at a paused admission host until its deadline, although another host took over.
func TestRetriesWhenAdmissionHostDies(t *testing.T) {
	e := newEntry(t, answers{hang{}, "ok"})
	go func() {
		<-e.started
		table := e.locator.Table("marks").Clone()
		table.Version.Seq = 2
		table.Admission["marks.u1"] = slicer.Admission{Host: "host-2", Epoch: 2}
		e.locator.SetMembers([]framer.Member{{Name: "host-1", State: framer.Dead}, {Name: "host-2", State: framer.Live}})
		e.locator.SetTable(&table)
	}()
	response, _, err := e.call(t, "GET", "/marks/x", "", map[string]string{"Rhubarbtrack-Deadline-Ms": "60000"})
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, len(e.attempts), 2)
}

// Guards against a request that is given up although its admission host only hands its role on and still answers it.
func TestWaitsForLeavingAdmissionHost(t *testing.T) {
	e := newEntry(t, answers{slow{}})
	go func() {
		<-e.started
		table := e.locator.Table("marks").Clone()
		table.Version.Seq = 2
		table.Admission["marks.u1"] = slicer.Admission{Host: "host-2", Epoch: 2}
		e.locator.SetMembers([]framer.Member{{Name: "host-1", State: framer.Leaving}, {Name: "host-2", State: framer.Live}})
		e.locator.SetTable(&table)
	}()
	response, body, err := e.call(t, "GET", "/marks/x", "", map[string]string{"Rhubarbtrack-Deadline-Ms": "60000"})
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, body, "late")
	assert.Equal(t, len(e.attempts), 1)
}

// Guards against a request that waits for ever, or is called unknown, when no admission host takes it in time.
func TestUnroutableRequestReportsNotRun(t *testing.T) {
	e := newEntry(t, answers{notRun("no-lease", true)})
	response, _, err := e.call(t, "POST", "/marks/x", "", map[string]string{"Rhubarbtrack-Deadline-Ms": "150"})
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 503)
	assert.Equal(t, response.Header.Get("Rhubarbtrack-Outcome"), "not-run")
}

// Guards against a cut-off body that the caller takes for a whole one.
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	e := newEntry(t, answers{truncated("half")})
	_, _, err := e.call(t, "GET", "/marks/x", "", nil)
	assert.Assert(t, err != nil)
}

// Guards against callers that set headers which only hosts may set, and against requests without a usable key.
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
			e := newEntry(t, answers{"ok"})
			response, _, err := e.call(t, "GET", tt.path, tt.body, tt.header)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, tt.status)
			if tt.status != 200 {
				assert.Equal(t, len(e.attempts), 0)
				return
			}
			sent := e.attempts[0]
			assert.Equal(t, sent.URI, tt.path)
			assert.Equal(t, sent.Class, configurator.NeverRepeat) // the path is ambiguous
			assert.Assert(t, sent.ID != "mine")
			for _, name := range []string{"Rhubarbtrack-Fence", "Rhubarbtrack-Class", "X-Hop"} {
				assert.Equal(t, sent.Header.Get(name), "")
			}
		})
	}
}

// Guards against a host that goes on routing with an old table after it lost contact with the controllers.
func TestStaleTableRejectsRequests(t *testing.T) {
	l := newEntry(t, answers{"ok"}).locator
	assert.Assert(t, l.Fresh(time.Second, "marks"))
	_, err := l.Locate(3*time.Second+2*time.Millisecond, "marks", "k")
	assert.Equal(t, locator.KindOf(err), locator.Stale)
	// A beacon that names a table which has not arrived does not make the old one usable.
	l.SetHeartbeat(4*time.Second, framer.LeaderHeartbeat{Service: "marks", Term: 1, Table: slicer.Version{Term: 1, Seq: 2}, Revision: 3})
	l.Refresh(4 * time.Second)
	assert.Assert(t, !l.Fresh(4*time.Second, "marks"))
}

// Guards against a caller that holds a request open by not reading its answer.
func TestSlowReaderTimesOut(t *testing.T) {
	e := newEntry(t, answers{strings.Repeat("x", 64<<20)})
	connection, err := net.Dial("tcp", e.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, "GET /marks/x HTTP/1.1\r\nHost: h\r\nRhubarbtrack-Key: k\r\n\r\n")
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(e.started) > 0 && e.receiver.Active() == 0 {
			return poll.Success()
		}
		return poll.Continue("request still active")
	}, poll.WithTimeout(time.Minute))
}

func BenchmarkLocate(b *testing.B) {
	t := &testing.T{}
	e := newEntry(t, answers{"ok"})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := e.locator.Locate(2*time.Millisecond, "marks", "QA76.73"); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a daemon without its configuration that answers as if the service did not exist, instead of saying that
// the request was not run.
func TestUnknownService(t *testing.T) {
	tests := []struct {
		name    string
		ready   bool
		arrives bool // the configuration of the service, while the request is examined
		status  int
		outcome string
	}{
		{name: "ready", ready: true, status: http.StatusNotFound},
		{name: "not ready", status: http.StatusServiceUnavailable, outcome: dispatcher.OutcomeNotRun},
		{name: "has become ready", ready: true, arrives: true, status: http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEntry(t, answers{"done"})
			e.ready = func() bool {
				if test.arrives {
					e.put(t, configurator.Service{Name: "another"}, 4)
					e.put(t, configurator.Upstream{
						Name: "u1", Service: "another", FailureDomain: "a", Address: "127.0.0.1:1", Slots: 6, Connections: 130,
					}, 5)
					e.locator.SetTable(&slicer.Table{
						Service: "another", Version: slicer.Version{Term: 1, Seq: 1},
						Admission: map[string]slicer.Admission{"another.u1": {Host: "host-1", Epoch: 1}},
					})
					e.locator.SetHeartbeat(time.Millisecond, framer.LeaderHeartbeat{Service: "another", Term: 1, Table: slicer.Version{Term: 1, Seq: 1}, Revision: 5})
					e.locator.Refresh(time.Millisecond)
				}
				return test.ready
			}
			response, err := http.Post(e.server.URL+"/another/x", "", nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, test.status)
			assert.Equal(t, response.Header.Get(dispatcher.HeaderOutcome), test.outcome)
		})
	}
}

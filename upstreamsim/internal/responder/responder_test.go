package responder_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/upstreamsim/internal/responder"
)

type upstream struct {
	url   string
	now   atomic.Int64
	exits chan int
}

func start(t *testing.T, options responder.Options) *upstream {
	t.Helper()
	u := &upstream{exits: make(chan int, 8)}
	options.Incarnation = "i"
	options.Now = func() time.Duration { return time.Duration(u.now.Load()) }
	options.WallNS = u.now.Load
	options.Exit = func(status int) { u.exits <- status }
	if options.Slots == 0 {
		options.Slots = 2
		options.Warm = true
	}
	server := httptest.NewServer(responder.New(options))
	t.Cleanup(server.Close)
	u.url = server.URL
	return u
}

func (u *upstream) call(t *testing.T, method, path, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	request, err := http.NewRequest(method, u.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err
}

// grant assigns slice 12 with term 7 and epoch 3 to the upstream, for 1800 ms.
func (u *upstream) grant(t *testing.T) {
	t.Helper()
	_, text, _ := u.call(t, "POST", "/-/lease", `{"term":7}`)
	var reply struct{ Nonce string }
	assert.NilError(t, json.Unmarshal([]byte(text), &reply))
	response, _, _ := u.call(t, "POST", "/-/lease", `{"term":7,"nonce":"`+reply.Nonce+`","lifetime-ms":1800,"add":[{"slice":12,"epoch":3}]}`)
	assert.Equal(t, response.StatusCode, 200)
}

func (u *upstream) runs(t *testing.T) map[string]int {
	t.Helper()
	_, text, _ := u.call(t, "GET", "/-/runs", "")
	var body struct {
		Runs []struct {
			RequestID string `json:"request-id"`
			Count     int    `json:"count"`
		} `json:"runs"`
	}
	assert.NilError(t, json.Unmarshal([]byte(text), &body))
	counts := map[string]int{}
	for _, run := range body.Runs {
		counts[run.RequestID] = run.Count
	}
	return counts
}

// Guards against running a request that is then rejected as not run, and against running a request without a record.
func TestRequestIsRejectedOrRecorded(t *testing.T) {
	tests := []struct {
		name    string
		options responder.Options
		drain   bool
		elapsed time.Duration
		headers []string
		reason  string
	}{
		{name: "owner", options: responder.Options{CheckFences: true, Keyed: true}, headers: []string{"Rhubarbtrack-Fence", "12.7.3"}},
		{name: "stale epoch", options: responder.Options{CheckFences: true, Keyed: true}, headers: []string{"Rhubarbtrack-Fence", "12.7.2"}, reason: "not-owner"},
		{name: "lease expired", options: responder.Options{CheckFences: true, Keyed: true}, elapsed: 2 * time.Second, headers: []string{"Rhubarbtrack-Fence", "12.7.3"}, reason: "not-owner"},
		{name: "no fence", options: responder.Options{CheckFences: true, Keyed: true}, reason: "not-owner"},
		{name: "malformed fence", options: responder.Options{CheckFences: true, Keyed: true}, headers: []string{"Rhubarbtrack-Fence", "12.7"}, reason: "not-owner"},
		{name: "service without keys", options: responder.Options{CheckFences: true}},
		{name: "fences not checked", options: responder.Options{Keyed: true}, headers: []string{"Rhubarbtrack-Fence", "1.1.1"}},
		{name: "draining", drain: true, reason: "draining"},
		{name: "past deadline", headers: []string{"Rhubarbtrack-Deadline-Ms", "0"}, reason: "deadline"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := start(t, test.options)
			u.grant(t)
			u.now.Add(int64(test.elapsed))
			if test.drain {
				u.call(t, "POST", "/-/drain", `{"drain":true}`)
			}
			response, _, _ := u.call(t, "POST", "/print", "body", append(test.headers, "Rhubarbtrack-Request-Id", "r1")...)
			if test.reason != "" {
				assert.Equal(t, response.StatusCode, 503)
				assert.Equal(t, response.Header.Get("Rhubarbtrack-Outcome"), "not-run")
				assert.Equal(t, response.Header.Get("Rhubarbtrack-Reason"), test.reason)
				assert.DeepEqual(t, u.runs(t), map[string]int{})
				return
			}
			assert.Equal(t, response.StatusCode, 200)
			assert.Equal(t, response.Header.Get("Rhubarbtrack-Request-Id"), "r1")
			assert.DeepEqual(t, u.runs(t), map[string]int{"r1": 1})
		})
	}
}

// Guards against a truncated response that the client takes for complete, with or without a Content-Length.
func TestTruncateAbortsBody(t *testing.T) {
	u := start(t, responder.Options{})
	u.call(t, "PUT", "/-/faults", `{"truncate":true}`)
	for range 2 {
		response, _, err := u.call(t, "POST", "/print", "body")
		assert.Equal(t, response.StatusCode, 200)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

// Guards against a swap fault without effect: each request would get its own response.
func TestSwapSendsPreviousResponse(t *testing.T) {
	u := start(t, responder.Options{})
	u.call(t, "PUT", "/-/faults", `{"cross":true}`)
	u.call(t, "POST", "/print", "1", "Rhubarbtrack-Request-Id", "r1")
	response, body, _ := u.call(t, "POST", "/print", "2", "Rhubarbtrack-Request-Id", "r2")
	assert.Equal(t, response.Header.Get("Rhubarbtrack-Request-Id"), "r1")
	assert.Assert(t, strings.Contains(body, `"request-id":"r1"`))
}

// Guards against recording a run only under the ID of the router. The test harness finds runs by the ID of the caller.
func TestRunIsRecordedUnderCallersID(t *testing.T) {
	u := start(t, responder.Options{})
	response, body, _ := u.call(t, "POST", "/print", "", "Rhubarbtrack-Request-Id", "r1", "Demo-Request-Id", "c1")
	assert.Equal(t, response.Header.Get("Rhubarbtrack-Request-Id"), "r1")
	assert.Assert(t, strings.Contains(body, `"request-id":"c1","router-id":"r1"`), body)
	assert.DeepEqual(t, u.runs(t), map[string]int{"c1": 1})
}

// Guards against a crash before the request that causes it has been recorded.
func TestCrashOnMarkIsRecorded(t *testing.T) {
	var runsFile strings.Builder
	u := start(t, responder.Options{RunsFile: &runsFile})
	u.call(t, "PUT", "/-/faults", `{"crash-on":"poison"}`)
	u.call(t, "POST", "/print", "", "Rhubarbtrack-Request-Id", "r1")
	assert.Equal(t, len(u.exits), 0)
	u.call(t, "POST", "/print", "", "Rhubarbtrack-Request-Id", "r2", "Demo-Mark", "poison")
	assert.Equal(t, len(u.exits), 1)
	assert.Assert(t, strings.Contains(runsFile.String(), `"request-id":"r2"`))
}

// Guards against a slot that stays occupied after its request was cancelled or its deadline passed.
func TestStoppedRequestFreesItsSlot(t *testing.T) {
	tests := []struct {
		name     string
		deadline string
	}{
		{name: "cancelled"},
		{name: "deadline", deadline: "20"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			u := start(t, responder.Options{Slots: 1, ServiceTime: time.Hour})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, "POST", u.url+"/print", nil)
			assert.NilError(t, err)
			request.Header.Set("Rhubarbtrack-Request-Id", "r1")
			request.Header.Set("Rhubarbtrack-Deadline-Ms", test.deadline)
			done := make(chan int, 1)
			go func() {
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					done <- 0
					return
				}
				response.Body.Close()
				done <- response.StatusCode
			}()
			if test.deadline == "" {
				for len(u.runs(t)) == 0 {
					time.Sleep(time.Millisecond)
				}
				cancel()
				assert.Equal(t, <-done, 0)
			} else {
				assert.Equal(t, <-done, 504)
			}
			for u.inFlight(t) != 0 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// Guards against running a request that arrived during a freeze when the lease expired before the process resumed. This
// happens if ownership is checked before the freeze ends.
func TestFrozenProcessRejectsAfterLeaseExpired(t *testing.T) {
	u := start(t, responder.Options{CheckFences: true, Keyed: true})
	u.grant(t)
	u.call(t, "PUT", "/-/faults", `{"freeze-ms":1000}`)
	reason := make(chan string)
	go func() {
		response, _, _ := u.call(t, "POST", "/print", "", "Rhubarbtrack-Fence", "12.7.3", "Rhubarbtrack-Request-Id", "r1")
		reason <- response.Header.Get("Rhubarbtrack-Reason")
	}()
	// The lease is still valid here. Without the freeze the request would run within these 50 ms.
	time.Sleep(50 * time.Millisecond)
	u.now.Add(int64(2 * time.Second))
	assert.Equal(t, <-reason, "not-owner")
	assert.DeepEqual(t, u.runs(t), map[string]int{})
}

// Guards against health faults without effect: an inverted status, and a status reported with a lag.
func TestHealthFaults(t *testing.T) {
	u := start(t, responder.Options{})
	u.call(t, "PUT", "/-/faults", `{"lie-health":true}`)
	response, _, _ := u.call(t, "GET", "/-/health", "")
	assert.Equal(t, response.StatusCode, 503)
	u.call(t, "PUT", "/-/faults", `{"lag-ms":1000}`)
	u.now.Add(int64(5 * time.Second))
	u.call(t, "POST", "/-/drain", `{"drain":true}`)
	response, _, _ = u.call(t, "GET", "/-/health", "")
	assert.Equal(t, response.StatusCode, 200)
	u.now.Add(int64(time.Second))
	response, _, _ = u.call(t, "GET", "/-/health", "")
	assert.Equal(t, response.StatusCode, 503)
}

func (u *upstream) inFlight(t *testing.T) int {
	t.Helper()
	_, text, _ := u.call(t, "GET", "/-/load", "")
	var load struct {
		InFlight int `json:"in-flight"`
	}
	assert.NilError(t, json.Unmarshal([]byte(text), &load))
	return load.InFlight
}

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
	answer, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return answer, string(content), err
}

// grant gives slice 12 with term 7 and epoch 3 to the upstream.
func (u *upstream) grant(t *testing.T) {
	t.Helper()
	_, text, _ := u.call(t, "POST", "/-/lease", `{"term":7}`)
	var reply struct{ Nonce string }
	assert.NilError(t, json.Unmarshal([]byte(text), &reply))
	answer, _, _ := u.call(t, "POST", "/-/lease", `{"term":7,"nonce":"`+reply.Nonce+`","lifetime-ms":1800,"add":[{"slice":12,"epoch":3}]}`)
	assert.Equal(t, answer.StatusCode, 200)
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

// Guards against a refused request that ran, and against a request that ran without being recorded.
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
		{name: "lease ended", options: responder.Options{CheckFences: true, Keyed: true}, elapsed: 2 * time.Second, headers: []string{"Rhubarbtrack-Fence", "12.7.3"}, reason: "not-owner"},
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
			answer, _, _ := u.call(t, "POST", "/print", "body", append(test.headers, "Rhubarbtrack-Request-Id", "r1")...)
			if test.reason != "" {
				assert.Equal(t, answer.StatusCode, 503)
				assert.Equal(t, answer.Header.Get("Rhubarbtrack-Outcome"), "not-run")
				assert.Equal(t, answer.Header.Get("Rhubarbtrack-Reason"), test.reason)
				assert.DeepEqual(t, u.runs(t), map[string]int{})
				return
			}
			assert.Equal(t, answer.StatusCode, 200)
			assert.Equal(t, answer.Header.Get("Rhubarbtrack-Request-Id"), "r1")
			assert.DeepEqual(t, u.runs(t), map[string]int{"r1": 1})
		})
	}
}

// Guards against a truncated answer that ends cleanly, with or without a Content-Length.
func TestTruncateAbortsBody(t *testing.T) {
	u := start(t, responder.Options{})
	u.call(t, "PUT", "/-/faults", `{"truncate":true}`)
	for range 2 {
		answer, _, err := u.call(t, "POST", "/print", "body")
		assert.Equal(t, answer.StatusCode, 200)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

// Guards against a cross fault that sends a request its own answer.
func TestSwapSendsPreviousResponse(t *testing.T) {
	u := start(t, responder.Options{})
	u.call(t, "PUT", "/-/faults", `{"cross":true}`)
	u.call(t, "POST", "/print", "1", "Rhubarbtrack-Request-Id", "r1")
	answer, body, _ := u.call(t, "POST", "/print", "2", "Rhubarbtrack-Request-Id", "r2")
	assert.Equal(t, answer.Header.Get("Rhubarbtrack-Request-Id"), "r1")
	assert.Assert(t, strings.Contains(body, `"request-id":"r1"`))
}

// Guards against evidence under the router's id, which the caller does not know.
func TestRunIsRecordedUnderCallersID(t *testing.T) {
	u := start(t, responder.Options{})
	answer, body, _ := u.call(t, "POST", "/print", "", "Rhubarbtrack-Request-Id", "r1", "Demo-Request-Id", "c1")
	assert.Equal(t, answer.Header.Get("Rhubarbtrack-Request-Id"), "r1")
	assert.Assert(t, strings.Contains(body, `"request-id":"c1","router-id":"r1"`), body)
	assert.DeepEqual(t, u.runs(t), map[string]int{"c1": 1})
}

// Guards against a crash that leaves no evidence of the request that caused it.
func TestCrashOnMarkIsRecorded(t *testing.T) {
	var evidence strings.Builder
	u := start(t, responder.Options{RunsFile: &evidence})
	u.call(t, "PUT", "/-/faults", `{"crash-on":"poison"}`)
	u.call(t, "POST", "/print", "", "Rhubarbtrack-Request-Id", "r1")
	assert.Equal(t, len(u.exits), 0)
	u.call(t, "POST", "/print", "", "Rhubarbtrack-Request-Id", "r2", "Demo-Mark", "poison")
	assert.Equal(t, len(u.exits), 1)
	assert.Assert(t, strings.Contains(evidence.String(), `"request-id":"r2"`))
}

// Guards against a cancelled or overdue request that keeps its slot.
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
				answer, err := http.DefaultClient.Do(request)
				if err != nil {
					done <- 0
					return
				}
				answer.Body.Close()
				done <- answer.StatusCode
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

// Guards against a frozen process that runs requests which arrived while it was frozen under a lease that ended meanwhile.
func TestFrozenProcessRejectsAfterLeaseExpired(t *testing.T) {
	u := start(t, responder.Options{CheckFences: true, Keyed: true})
	u.grant(t)
	u.call(t, "PUT", "/-/faults", `{"freeze-ms":1000}`)
	reason := make(chan string)
	go func() {
		answer, _, _ := u.call(t, "POST", "/print", "", "Rhubarbtrack-Fence", "12.7.3", "Rhubarbtrack-Request-Id", "r1")
		reason <- answer.Header.Get("Rhubarbtrack-Reason")
	}()
	// Without the freeze the request would run during this pause, under the lease that is still valid.
	time.Sleep(50 * time.Millisecond)
	u.now.Add(int64(2 * time.Second))
	assert.Equal(t, <-reason, "not-owner")
	assert.DeepEqual(t, u.runs(t), map[string]int{})
}

// Guards against load and health switches that have no effect.
func TestHealthFaults(t *testing.T) {
	u := start(t, responder.Options{})
	u.call(t, "PUT", "/-/faults", `{"lie-health":true}`)
	answer, _, _ := u.call(t, "GET", "/-/health", "")
	assert.Equal(t, answer.StatusCode, 503)
	u.call(t, "PUT", "/-/faults", `{"lag-ms":1000}`)
	u.now.Add(int64(5 * time.Second))
	u.call(t, "POST", "/-/drain", `{"drain":true}`)
	answer, _, _ = u.call(t, "GET", "/-/health", "")
	assert.Equal(t, answer.StatusCode, 200)
	u.now.Add(int64(time.Second))
	answer, _, _ = u.call(t, "GET", "/-/health", "")
	assert.Equal(t, answer.StatusCode, 503)
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

package responder_test

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platformsim/internal/responder"
)

type platform struct {
	url string
	now atomic.Int64
}

func start(t *testing.T, writesPerSecond float64) *platform {
	t.Helper()
	p := &platform{}
	handler := responder.New(responder.Options{
		Now:             func() time.Duration { return time.Duration(p.now.Load()) },
		WritesPerSecond: writesPerSecond,
	})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	p.url = server.URL
	return p
}

// call returns status 0 when the connection was closed without an answer.
func (p *platform) call(t *testing.T, method, path, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, p.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	return answer.StatusCode, string(content)
}

// Guards against fault switches that change more or less than what the protocol says.
func TestFaults(t *testing.T) {
	tests := []struct {
		name       string
		faults     string
		method     string
		path       string
		status     int
		wantStored string
	}{
		{name: "none", faults: `{}`, method: "PUT", path: "/v1/objects/a", status: 200, wantStored: "new"},
		{name: "down write", faults: `{"down":true}`, method: "PUT", path: "/v1/objects/a", wantStored: "old"},
		{name: "down read", faults: `{"down":true}`, method: "GET", path: "/v1/objects/a", wantStored: "old"},
		{name: "down host list", faults: `{"down":true}`, method: "GET", path: "/v1/hosts", wantStored: "old"},
		{name: "lost answer", faults: `{"lose-answers":true}`, method: "PUT", path: "/v1/objects/a", wantStored: "new"},
		{name: "lost answer read", faults: `{"lose-answers":true}`, method: "GET", path: "/v1/objects/a", status: 200, wantStored: "old"},
		{name: "cut watch", faults: `{"cut-watches":true}`, method: "GET", path: "/v1/watch?from=0", wantStored: "old"},
		{name: "compacted", faults: `{"compact-before":2}`, method: "GET", path: "/v1/watch?from=0", status: 410, wantStored: "old"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := start(t, 0)
			p.call(t, "PUT", "/v1/objects/a", "old")
			p.call(t, "PUT", "/v1/faults", test.faults)
			if strings.HasPrefix(test.path, "/v1/watch") && test.status == 0 {
				assertWatchCut(t, p.url+test.path)
			} else {
				status, _ := p.call(t, test.method, test.path, "new")
				assert.Equal(t, status, test.status)
			}
			p.call(t, "PUT", "/v1/faults", `{}`)
			_, stored := p.call(t, "GET", "/v1/objects/a", "")
			want := map[string]string{"old": "b2xk", "new": "bmV3"}[test.wantStored]
			assert.Assert(t, strings.Contains(stored, want), stored)
		})
	}
}

func assertWatchCut(t *testing.T, url string) {
	t.Helper()
	answer, err := http.Get(url)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	assert.Assert(t, err != nil, "the watch ended cleanly")
}

// Guards against a watch that does not deliver later writes, or that a fault leaves open.
func TestWatchDeliversLaterWritesUntilClosed(t *testing.T) {
	p := start(t, 0)
	answer, err := http.Get(p.url + "/v1/watch?prefix=a&from=0")
	assert.NilError(t, err)
	defer answer.Body.Close()
	p.call(t, "PUT", "/v1/objects/b", "other")
	p.call(t, "PUT", "/v1/objects/a", "x")
	lines := bufio.NewScanner(answer.Body)
	var puts []string
	for len(puts) == 0 && lines.Scan() {
		if !strings.Contains(lines.Text(), "progress") {
			puts = append(puts, lines.Text())
		}
	}
	assert.DeepEqual(t, puts, []string{`{"type":"put","name":"a","version":2,"value":"eA=="}`})
	p.call(t, "PUT", "/v1/faults", `{"cut-watches":true}`)
	for lines.Scan() {
		continue
	}
	assert.Assert(t, lines.Err() != nil)
}

// Guards against writes above the rate limit that are accepted, and against a limit that never recovers.
func TestRateLimitRejectsAndRecovers(t *testing.T) {
	p := start(t, 2)
	for _, want := range []int{200, 200, 429} {
		status, _ := p.call(t, "PUT", "/v1/objects/a", "x")
		assert.Equal(t, status, want)
	}
	p.now.Add(int64(time.Second))
	status, _ := p.call(t, "PUT", "/v1/objects/a", "x")
	assert.Equal(t, status, 200)
}

// Guards against a host list that shows a change before its lag has passed.
func TestHostListLags(t *testing.T) {
	p := start(t, 0)
	p.now.Store(int64(10 * time.Second))
	p.call(t, "PUT", "/v1/faults", `{"host-list-lag-ms":2000}`)
	p.call(t, "PUT", "/v1/hosts/h1", `{"address":"127.0.0.1:1","failure-domain":"a","state":"live"}`)
	_, list := p.call(t, "GET", "/v1/hosts", "")
	assert.Equal(t, list, "{\"hosts\":[]}\n")
	p.now.Add(int64(2 * time.Second))
	_, list = p.call(t, "GET", "/v1/hosts", "")
	assert.Equal(t, list, `{"hosts":[{"name":"h1","address":"127.0.0.1:1","failure-domain":"a","state":"live"}]}`+"\n")
}

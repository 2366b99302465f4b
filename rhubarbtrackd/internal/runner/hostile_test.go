package runner

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rhubarbtrack.example/rhubarbtrackd/internal/settings"
)

// memoryBound, in bytes, covers both ends of up to 10,000 connections, because the test opens them in the same process.
const memoryBound = 400 << 20

func emptyPlatform(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/hosts":
		_, _ = io.WriteString(w, `{"hosts":[]}`)
	case "/v1/objects":
		_, _ = io.WriteString(w, `{"revision":1,"objects":[]}`)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// startDaemon runs a complete daemon on loopback and returns its addresses for callers and peers.
func startDaemon(t *testing.T) (callers, peers string) {
	t.Helper()
	callers, peers, _ = startDaemonOn(t, emptyPlatform, time.Second)
	return callers, peers
}

// startDaemonOn runs a daemon on the given platform handler and request timeout. stop begins the shutdown.
func startDaemonOn(t *testing.T, serve http.HandlerFunc, timeout time.Duration) (callers, peers string, stop func()) {
	t.Helper()
	// The metrics of a daemon are registered once per process; each daemon of the tests gets a registry of its own.
	prometheus.DefaultRegisterer = prometheus.NewRegistry()
	platform := httptest.NewServer(serve)
	core, logs := observer.New(zapcore.InfoLevel)
	ctx, cancel := context.WithCancel(context.Background())
	runResult := make(chan error, 1)
	go func() {
		runResult <- Run(ctx, settings.Settings{
			Name: "host-1", FailureDomain: "a", CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
			PeerAdvertise: "127.0.0.1:1", OperatorListen: "127.0.0.1:0", Platform: platform.URL, PeerSecret: "secret",
			ShutdownGrace: time.Minute, RequestTimeout: timeout, MaxBody: 1 << 20,
		}, zap.New(core))
	}()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-runResult)
		platform.CloseClientConnections()
		platform.Close()
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, entry := range logs.All() {
			if address, ok := entry.ContextMap()["caller-listen"].(string); ok {
				callers, peers = address, entry.ContextMap()["peer-listen"].(string)
				return poll.Success()
			}
		}
		return poll.Continue("the daemon has not logged its addresses")
	}, poll.WithTimeout(time.Minute))
	return callers, peers, cancel
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	// Limits the test if the daemon never closes the connection.
	assert.NilError(t, connection.SetDeadline(time.Now().Add(time.Minute)))
	return connection
}

// assertHealthy checks that the daemon responds and that the process uses less than memoryBound.
func assertHealthy(t *testing.T, callers string) {
	t.Helper()
	response, err := http.Get("http://" + callers + "/healthz")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	used := memory.HeapInuse + memory.StackInuse
	t.Logf("%d MiB in use", used>>20)
	assert.Assert(t, used < memoryBound, "%d bytes in use", used)
}

// Guards against callers and unauthenticated clients that exhaust the memory or the connections of a daemon. The daemon
// responds to each of them or closes its connection, and stays responsive.
func TestHostileConnections(t *testing.T) {
	callers, peers := startDaemon(t)
	t.Run("idle connections", func(t *testing.T) {
		var limit syscall.Rlimit
		assert.NilError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
		// Both ends are open files of this process.
		count := int(min(10000, (limit.Cur-min(limit.Cur, 500))/2))
		t.Logf("%d connections", count)
		idle := make([]net.Conn, count)
		for i := range idle {
			idle[i] = dial(t, callers)
		}
		assertHealthy(t, callers)
		for _, connection := range idle {
			_, err := connection.Read(make([]byte, 1))
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "an idle connection was not closed")
			assert.NilError(t, connection.Close())
		}
	})
	t.Run("oversized headers", func(t *testing.T) {
		connection := dial(t, callers)
		go func() {
			_, _ = fmt.Fprintf(connection, "GET /healthz HTTP/1.1\r\nHost: x\r\nX: %s\r\n\r\n", strings.Repeat("x", 1<<20))
		}()
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err == nil { // the response may be lost when the daemon closes a connection with unread input
			assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
			assert.NilError(t, response.Body.Close())
		}
	})
	t.Run("slow header and slow body", func(t *testing.T) {
		header, body := dial(t, callers), dial(t, callers)
		_, err := io.WriteString(header, "GET /healthz HTTP/1.1\r\nHost:")
		assert.NilError(t, err)
		_, err = io.WriteString(body, "POST /marks/x HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nx")
		assert.NilError(t, err)
		for _, connection := range []net.Conn{header, body} {
			_, err := io.Copy(io.Discard, connection)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "a slow connection was not closed")
		}
	})
	t.Run("huge chunked body", func(t *testing.T) {
		endless := io.LimitReader(zeros{}, 1<<30)
		request, err := http.NewRequest(http.MethodPost, "http://"+callers+"/marks/x", io.NopCloser(endless))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			assert.Assert(t, response.StatusCode >= 400)
			assert.NilError(t, response.Body.Close())
		}
	})
	t.Run("unauthenticated requests to the peer listener", func(t *testing.T) {
		for _, path := range []string{"/peer/relay", "/peer/control", "/forward/marks/x"} {
			request, err := http.NewRequest(http.MethodGet, "http://"+peers+path, nil)
			assert.NilError(t, err)
			request.Header.Set("Rhubarbtrack-Peer", "host-2")
			request.Header.Set("Authorization", "Bearer wrong")
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusForbidden, path)
		}
	})
	assertHealthy(t, callers)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

package connector

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// bigConfiguration returns a configuration with many routes, of about 1 MB.
func bigConfiguration(version int) []byte {
	var text bytes.Buffer
	_, _ = fmt.Fprintf(&text, `{"version":%d,"routes":[`, version)
	for i := range 6000 {
		_, _ = fmt.Fprintf(&text, `{"name":"r-%d","path_prefix":"/p%d/","kind":"idempotent","timeout_s":2.5,"target_latency_s":0.8,"priority":2,"service":"huvo11a"},`, i*7919, i*104729)
	}
	text.WriteString("{}]}")
	return text.Bytes()
}

// Guards against a controller whose link is filled for seconds by configurations when the store rejects many hosts.
func TestConfigurationsForManyHostsDoNotFillTheLink(t *testing.T) {
	const hosts = 95
	current := atomic.Pointer[[]byte]{}
	first := bigConfiguration(7)
	current.Store(&first)
	var sent atomic.Int64
	handler := ConfigurationHandler(timer.Now, 0, func() []byte { return *current.Load() })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		sent.Add(int64(recorder.Body.Len()))
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var group sync.WaitGroup
	for range hosts {
		group.Go(func() {
			for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
				data, err := FetchConfiguration(context.Background(), address, nil)
				if err == nil {
					assert.Check(t, bytes.Equal(data, first))
					return
				}
				if time.Now().After(deadline) {
					t.Error("not received: ", err)
					return
				}
			}
		})
	}
	group.Wait()
	const link = 10_000_000 / 8 // bytes per second
	assert.Assert(t, sent.Load() < 10*link, "%d bytes for %d hosts of a configuration of %d bytes", sent.Load(), hosts, len(first))
	t.Logf("%d bytes for %d hosts of a configuration of %d bytes", sent.Load(), hosts, len(first))

	second := bigConfiguration(8)
	current.Store(&second)
	data, err := FetchConfiguration(context.Background(), address, nil)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, second), "an earlier configuration was returned")
}

// Guards against a host that sends more configurations at the same time than maxTransfers.
func TestTransfersOfConfigurationsAreBounded(t *testing.T) {
	release := make(chan struct{})
	handler := ConfigurationHandler(timer.Now, 0, func() []byte { <-release; return []byte("{}") })
	var group sync.WaitGroup
	var rejected atomic.Int64
	for range 3 * maxTransfers {
		group.Go(func() {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, ConfigurationPath, nil))
			if recorder.Code == http.StatusServiceUnavailable {
				rejected.Add(1)
			}
		})
	}
	for deadline := time.Now().Add(5 * time.Second); rejected.Load() < 2*maxTransfers; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d rejected", rejected.Load())
	}
	close(release)
	group.Wait()
	assert.Equal(t, rejected.Load(), int64(2*maxTransfers))
}

// Guards against a compressed response that exhausts the memory of a host.
func TestCompressedConfigurationIsBounded(t *testing.T) {
	// Compressed before the call, which has a timeout.
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	zeros := make([]byte, 1<<20)
	for range 64 {
		_, err := writer.Write(zeros)
		assert.NilError(t, err)
	}
	assert.NilError(t, writer.Close())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write(compressed.Bytes())
	}))
	defer server.Close()
	_, err := FetchConfiguration(context.Background(), strings.TrimPrefix(server.URL, "http://"), nil)
	assert.ErrorContains(t, err, "exceeds")
}

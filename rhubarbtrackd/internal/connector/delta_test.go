package connector

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// configurationHost is a host that serves a configuration, and counts what it sends.
type configurationHost struct {
	address string
	current atomic.Pointer[[]byte]
	sent    atomic.Int64
}

func newConfigurationHost(t *testing.T, linkRate float64, now func() time.Duration) *configurationHost {
	t.Helper()
	h := &configurationHost{}
	handler := ConfigurationHandler(now, linkRate, func() []byte { return *h.current.Load() })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		h.sent.Add(int64(recorder.Body.Len()))
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	h.address = strings.TrimPrefix(server.URL, "http://")
	h.set(nil)
	return h
}

func (h *configurationHost) set(configuration []byte) { h.current.Store(&configuration) }

// Guards against a new version that takes the links of controller and hosts as a whole configuration does.
func TestHostsGetWhatHasChanged(t *testing.T) {
	h := newConfigurationHost(t, 0, timer.Now)
	former := bigConfiguration(7)
	h.set(former)
	whole, err := FetchConfiguration(context.Background(), h.address, nil)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(whole, former))
	wholeBytes := h.sent.Swap(0)
	for _, tt := range []struct {
		name    string
		known   func(next []byte) []byte
		maximum int64
	}{
		{"the former version", func([]byte) []byte { return former }, 1000},
		{"the version itself", func(next []byte) []byte { return next }, 1000},
		{"a version that the controller has not had", func([]byte) []byte { return bigConfiguration(1 << 30) }, wholeBytes + 1000},
		{"none", func([]byte) []byte { return nil }, wholeBytes + 1000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			next := bigConfiguration(8)
			h.set(next)
			got, err := FetchConfiguration(context.Background(), h.address, tt.known(next))
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, next))
			sent := h.sent.Swap(0)
			assert.Assert(t, sent <= tt.maximum, "%d bytes of %d", sent, len(next))
		})
	}
}

// Guards against former configurations that a controller keeps for ever, and against a host that is a few versions behind and gets the whole.
func TestFormerConfigurationsAreBounded(t *testing.T) {
	h := newConfigurationHost(t, 0, timer.Now)
	var versions [][]byte
	for i := range 2 * maxBases {
		versions = append(versions, bigConfiguration(i))
		h.set(versions[i])
		_, err := FetchConfiguration(context.Background(), h.address, versions[max(0, i-1)])
		assert.NilError(t, err)
	}
	newest := versions[len(versions)-1]
	for behind := range len(versions) {
		h.sent.Store(0)
		got, err := FetchConfiguration(context.Background(), h.address, versions[len(versions)-1-behind])
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, newest))
		assert.Equal(t, h.sent.Load() < 1000, behind <= maxBases, "%d bytes for a host that is %d versions behind", h.sent.Load(), behind)
	}
}

// Guards against configurations for many hosts that fill the link of a controller, whose lease would expire.
func TestConfigurationsTakeTheirShareOfTheLink(t *testing.T) {
	const (
		link    = 10_000_000 / 8 // bytes per second
		hosts   = 91
		seconds = 10
	)
	now := atomic.Int64{}
	h := newConfigurationHost(t, link, func() time.Duration { return time.Duration(now.Load()) })
	h.set(bigConfiguration(7))
	served := 0
	for second := range seconds {
		now.Store(int64(time.Duration(second) * time.Second))
		for range hosts {
			if _, err := FetchConfiguration(context.Background(), h.address, nil); err == nil {
				served++
			}
		}
	}
	bound := int64(configurationShare*link*(seconds+configurationBurst.Seconds())) + 100_000 // and one response beyond the budget
	assert.Assert(t, h.sent.Load() <= bound, "%d bytes in %d s", h.sent.Load(), seconds)
	assert.Assert(t, served > 0)
	t.Logf("%d of %d whole configurations in %d s, %d bytes", served, hosts*seconds, seconds, h.sent.Load())

	h.sent.Store(0)
	now.Store(int64(time.Minute))
	former, next := bigConfiguration(7), bigConfiguration(8)
	h.set(next)
	for range hosts {
		_, err := FetchConfiguration(context.Background(), h.address, former)
		assert.NilError(t, err, "changes fit at once")
	}
}

// Guards against hosts of earlier versions that cannot read the configuration of a new controller, and the other way round.
func TestConfigurationsBetweenVersionsOfTheProgram(t *testing.T) {
	h := newConfigurationHost(t, 0, timer.Now)
	text := bigConfiguration(7)
	h.set(text)
	// A host of an earlier version names no base and has its response decompressed by the transport.
	response, err := http.Get("http://" + h.address + ConfigurationPath)
	assert.NilError(t, err)
	defer response.Body.Close()
	var got bytes.Buffer
	_, err = got.ReadFrom(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got.Bytes(), text))
	// A controller of an earlier version ignores the base.
	earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.RawQuery = ""
		ConfigurationHandler(timer.Now, 0, func() []byte { return text }).ServeHTTP(w, r)
	}))
	defer earlier.Close()
	fetched, err := FetchConfiguration(context.Background(), strings.TrimPrefix(earlier.URL, "http://"), bigConfiguration(6))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(fetched, text))
}

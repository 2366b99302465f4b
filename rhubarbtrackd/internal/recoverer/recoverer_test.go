package recoverer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
	"rhubarbtrack.example/rhubarbtrackd/internal/recoverer"
)

// TestDo checks that a panic is contained, logged once with a bounded value and its stack, and counted.
func TestDo(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	m := meter.New()
	r := recoverer.New(eventlog.New(zap.New(core)), m)
	assert.Assert(t, r.Do("quiet", func() {}))
	assert.Assert(t, !r.Do("loud", func() { panic(strings.Repeat("x", 10000)) }))
	entries := logs.All()
	assert.Equal(t, len(entries), 1)
	fields := entries[0].ContextMap()
	assert.Equal(t, fields["task"], "loud")
	assert.Assert(t, len(fields["value"].(string)) < 300)
	assert.Assert(t, strings.Contains(fields["stack"].(string), "TestDo"))

	server := httptest.NewServer(m.Handler())
	defer server.Close()
	assert.NilError(t, m.Close())
	var text string
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get(server.URL)
		assert.NilError(t, err)
		data, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		if text = string(data); strings.Contains(text, `panics_total{task="loud"} 1`) {
			return
		}
	}
	t.Fatalf("the panic is not counted:\n%s", text)
}

// TestHandler checks that a handler that panics ends only its own connection.
func TestHandler(t *testing.T) {
	var r *recoverer.Recoverer
	server := httptest.NewServer(r.Handler("serve", http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/panic" {
			panic("broken")
		}
	})))
	defer server.Close()
	_, err := http.Get(server.URL + "/panic")
	assert.Assert(t, err != nil)
	response, err := http.Get(server.URL + "/ok")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, response.Body.Close())
}

package runner

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/encoder"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
)

func statusOf(address, path string) int {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against a shutdown that cuts a request in progress, or that closes the listeners before the balancer can see
// that the host is not ready. The request waits for a route until its deadline, beyond the delay of the shutdown.
func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	service := configurator.Service{Name: "marks"}
	body, err := encoder.Encode(service, configurator.Origin{Writer: "test", Operation: "1"})
	assert.NilError(t, err)
	callers, _, stop := startDaemonOn(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/objects" && r.URL.Query().Get("prefix") == "config/" {
			_, _ = fmt.Fprintf(w, `{"revision":2,"objects":[{"name":%q,"version":2,"value":%q}]}`,
				service.ObjectName(), base64.StdEncoding.EncodeToString(body))
			return
		}
		emptyPlatform(w, r)
	}, leaveDelay+5*time.Second)
	// Without a table the service is unknown at first, which is answered at once; the request that waits is found by its
	// absence from the answered ones.
	type result struct {
		response *http.Response
		err      error
	}
	waiting := make(chan result, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		answered := make(chan result, 1)
		go func() {
			response, err := http.Get("http://" + callers + "/marks/x")
			answered <- result{response, err}
		}()
		select {
		case end := <-answered:
			if end.err == nil {
				_ = end.response.Body.Close()
			}
			return poll.Continue("the configuration arrives")
		case <-time.After(time.Second):
			go func() { waiting <- <-answered }()
			return poll.Success()
		}
	}, poll.WithTimeout(time.Minute))
	stop()
	assert.Equal(t, statusOf(callers, "/readyz"), http.StatusServiceUnavailable)
	assert.Equal(t, statusOf(callers, "/healthz"), http.StatusOK)
	end := <-waiting
	assert.NilError(t, end.err)
	assert.NilError(t, end.response.Body.Close())
	assert.Equal(t, end.response.Header.Get(dispatcher.HeaderOutcome), dispatcher.OutcomeNotRun)
}

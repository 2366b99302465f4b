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

// Guards against a shutdown that aborts a request in flight, or that closes the listeners before the balancer can
// detect that the host is not ready. The request waits for a route until its deadline, which is after drainDelay.
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
	}, drainDelay+5*time.Second)
	// Until the configuration is applied, the service is unknown and requests get an immediate response. Afterwards
	// they wait for a table. A request without a response after one second is therefore waiting.
	type result struct {
		response *http.Response
		err      error
	}
	waiting := make(chan result, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		results := make(chan result, 1)
		go func() {
			response, err := http.Get("http://" + callers + "/marks/x")
			results <- result{response, err}
		}()
		select {
		case completed := <-results:
			if completed.err == nil {
				_ = completed.response.Body.Close()
			}
			return poll.Continue("the configuration has not been applied")
		case <-time.After(time.Second):
			go func() { waiting <- <-results }()
			return poll.Success()
		}
	}, poll.WithTimeout(time.Minute))
	stop()
	assert.Equal(t, statusOf(callers, "/readyz"), http.StatusServiceUnavailable)
	assert.Equal(t, statusOf(callers, "/healthz"), http.StatusOK)
	completed := <-waiting
	assert.NilError(t, completed.err)
	assert.NilError(t, completed.response.Body.Close())
	assert.Equal(t, completed.response.Header.Get(dispatcher.HeaderOutcome), dispatcher.OutcomeNotRun)
}

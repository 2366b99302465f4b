package rejecter

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against control calls that are counted as requests, which makes the number of attempts for each request wrong.
func TestCountsRequestsOnly(t *testing.T) {
	r := &Rejecter{}
	control := httptest.NewRecorder()
	r.serve(control, httptest.NewRequest(http.MethodPost, "/-/lease", nil))
	assert.Equal(t, control.Code, http.StatusOK)
	assert.Equal(t, r.Received(), 0)
	rejected := httptest.NewRecorder()
	r.serve(rejected, httptest.NewRequest(http.MethodGet, "/label-templates/1", nil))
	assert.Equal(t, rejected.Header().Get("Rhubarbtrack-Outcome"), "not-run")
	assert.Equal(t, r.Received(), 1)
}

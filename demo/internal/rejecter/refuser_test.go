package rejecter

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against control calls that count as requests, which would hide or invent repeated requests.
func TestCountsRequestsOnly(t *testing.T) {
	r := &Rejecter{}
	control := httptest.NewRecorder()
	r.serve(control, httptest.NewRequest(http.MethodPost, "/-/lease", nil))
	assert.Equal(t, control.Code, http.StatusOK)
	assert.Equal(t, r.Received(), 0)
	refused := httptest.NewRecorder()
	r.serve(refused, httptest.NewRequest(http.MethodGet, "/label-templates/1", nil))
	assert.Equal(t, refused.Header().Get("Rhubarbtrack-Outcome"), "not-run")
	assert.Equal(t, r.Received(), 1)
}

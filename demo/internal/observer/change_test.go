package observer

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a failure of another kind that passes for a conflict or a lack of capacity.
func TestOutcomeOf(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   Outcome
		fails  bool
	}{
		{status: http.StatusOK, body: `{}`, want: Accepted},
		{status: http.StatusConflict, body: `{"code":"aborted"}`, want: Conflict},
		{status: http.StatusBadRequest, body: `{"code":"failed_precondition"}`, want: InsufficientCapacity},
		{status: http.StatusServiceUnavailable, body: `{"code":"unavailable"}`, want: Other, fails: true},
		{status: http.StatusBadGateway, body: `gone`, want: Other, fails: true},
	}
	for _, c := range cases {
		got, err := outcomeOf(c.status, []byte(c.body))
		assert.Equal(t, got, c.want)
		assert.Equal(t, err != nil, c.fails)
	}
}

package router

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

// Guards against callers that wait for a full queue although the upstream rejects requests for another reason, and against more
// attempts at an owner whose queue is full.
func TestRejectionWithRoomIsSentAgain(t *testing.T) {
	tests := []struct {
		name  string
		load  string
		again bool
	}{
		{"free slot", "1,0,2,100", true},
		{"short queue", "2,1,2,100", true},
		{"full queue", "2,8,2,100", false},
		{"unknown", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRouter()
			j := newClassJob(r, matcher.Route{Name: "status", Objective: 500 * time.Millisecond, MaxAttempts: 2}, matcher.Service{Name: "lots", Keyed: true})
			j.attempts = 1
			header := http.Header{translator.NotRunHeader: {"1"}}
			if tt.load != "" {
				header.Set(translator.LoadHeader, tt.load)
			}
			response := r.conclude(j, registrar.Upstream{Incarnation: upstream}, &exchanger.Response{Status: 503, Header: header}, nil)
			assert.Equal(t, response == nil, tt.again)
			if !tt.again {
				assert.Assert(t, response.Header.Get("Retry-After") != "")
			}
		})
	}
}

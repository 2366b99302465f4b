package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/forwarder"
)

// FuzzForwardedHeaders guards against headers of a peer that make the admission host panic, that reach the upstream, or
// that give a dispatch without a deadline in the future.
func FuzzForwardedHeaders(f *testing.F) {
	var dispatched func(ctx context.Context, request *dispatcher.Request)
	handler := forwarder.New(forwarder.Options{
		Authorized: func(*http.Request) bool { return true },
		Dispatch: func(ctx context.Context, request *dispatcher.Request) (*dispatcher.Response, error) {
			dispatched(ctx, request)
			return nil, &dispatcher.Error{Kind: dispatcher.NotRun, Reason: "test"}
		},
	}).Handler()
	f.Add("1", "ff", "1000", "1.2.3", "a%20b")
	f.Add("1", "0", "9223372036854775807", "", "")
	f.Add("0", "", "1", "1.2", "%")
	f.Fuzz(func(t *testing.T, class, signature, deadline, fence, key string) {
		dispatched = func(ctx context.Context, request *dispatcher.Request) {
			if milliseconds, err := strconv.ParseInt(deadline, 10, 64); err == nil && milliseconds > time.Minute.Milliseconds() {
				assert.NilError(t, ctx.Err(), "deadline %q", deadline)
			}
			assert.Equal(t, len(request.Header), 0)
		}
		r := httptest.NewRequest(http.MethodGet, "/forward/marks/x", nil)
		r.Header = http.Header{
			"Rhubarbtrack-Class": {class}, "Rhubarbtrack-Signature": {signature}, "Rhubarbtrack-Deadline-Ms": {deadline},
			"Rhubarbtrack-Fence": {fence}, "Rhubarbtrack-Routed-Key": {key},
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Equal(t, w.Header().Get(dispatcher.HeaderOutcome), dispatcher.OutcomeNotRun)
	})
}

type roundTrip func(*http.Request) (*http.Response, error)

func (r roundTrip) RoundTrip(request *http.Request) (*http.Response, error) { return r(request) }

// FuzzErrorResponse guards against a refusal of a peer that becomes a negative or endless pause.
func FuzzErrorResponse(f *testing.F) {
	f.Add(503, "not-run", "shed", "1.5")
	f.Add(502, "unknown", "", "NaN")
	f.Add(503, "not-run", "", "1e300")
	f.Fuzz(func(t *testing.T, status int, outcome, reason, retry string) {
		forward := forwarder.New(forwarder.Options{
			Self: "host-1", Scheme: "http", Authorize: func(http.Header) {},
			Transport: roundTrip(func(*http.Request) (*http.Response, error) {
				header := http.Header{
					"Rhubarbtrack-Outcome": {outcome}, "Rhubarbtrack-Reason": {reason}, "Retry-After": {retry},
				}
				return &http.Response{StatusCode: status, Header: header, Body: http.NoBody}, nil
			}),
		})
		host := framer.Member{Name: "host-2", Address: "127.0.0.1:1"}
		_, err := forward.Forward(context.Background(), host, sample(http.Header{}))
		failure := dispatcher.AsError(err)
		assert.Equal(t, failure.Kind == dispatcher.NotRun, outcome == dispatcher.OutcomeNotRun)
		assert.Assert(t, failure.RetryAfter >= 0 && failure.RetryAfter <= 24*time.Hour, "%v", failure.RetryAfter)
	})
}

package runner

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/drainer"
	"rhubarbtrack.example/rhubarbtrackd/internal/operator"
	"rhubarbtrack.example/rhubarbtrackd/internal/storer"
)

// Guards against operators' calls that block forever on a store that accepts connections but does not respond, and
// against a change that takes effect long after it was reported as failed. A failed read has no effect. The outcome of
// a failed write is unknown.
func TestUnresponsiveStore(t *testing.T) {
	release := make(chan struct{})
	unresponsive := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer unresponsive.Close()
	defer close(release)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	o := newOperators(&daemon{store: storer.New(unresponsive.URL, transport)})
	o.storeTimeout = time.Millisecond
	calls := []struct {
		name  string
		call  func(ctx context.Context) error
		write bool
	}{
		{"list", func(ctx context.Context) error { _, _, err := o.server.Store.List(ctx, "config/"); return err }, false},
		{"get", func(ctx context.Context) error { _, err := o.server.Store.Get(ctx, "config/x"); return err }, false},
		{"put", func(ctx context.Context) error { _, err := o.server.Store.Put(ctx, "config/x", nil, 1); return err }, true},
		{"delete", func(ctx context.Context) error { _, err := o.server.Store.Delete(ctx, "config/x", 1); return err }, true},
	}
	for _, test := range calls {
		t.Run(test.name, func(t *testing.T) {
			err := test.call(context.WithoutCancel(t.Context()))
			var typed *operator.Error
			assert.Equal(t, errors.As(err, &typed) && typed.Kind == operator.NotAccepted, !test.write, "%v", err)
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against a rejected take-out whose text does not name the service that would lack slots. Several services may
// lack slots at once.
func TestShortfallNamesService(t *testing.T) {
	shortfall := shortfallOf(drainer.Shortfall{Service: "shelf-marks", Needed: 17, Available: 12})
	assert.Equal(t, shortfall.Text, "service shelf-marks needs 17 slots and keeps 12")
	assert.Equal(t, shortfall.Service, "shelf-marks")
}

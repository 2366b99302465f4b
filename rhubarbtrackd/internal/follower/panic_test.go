package follower

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// TestPanicInAResponseOfTheStoreIsContained guards against an entry that ends the process of every host that reads it.
// The call counts as failed and is repeated.
func TestPanicInAResponseOfTheStoreIsContained(t *testing.T) {
	server := httptest.NewServer(simulator.NewStore())
	t.Cleanup(server.CloseClientConnections)
	f := New(Options{
		Store: storer.New(strings.TrimPrefix(server.URL, "http://")), Log: eventlog.New(zap.NewNop()), Now: timer.Now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var calls atomic.Int64
	done := make(chan struct{})
	go f.follow(ctx, kindWatcher{kind: "servers", wait: time.Second, replace: func(time.Duration, []storer.Object) {
		if calls.Add(1) == 1 {
			panic("broken entry")
		}
		close(done)
	}})
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the list was not repeated after the panic")
	}
	assert.Assert(t, f.Connected(), "the mutex is held or the call counts as failed")
}

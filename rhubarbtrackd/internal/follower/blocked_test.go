package follower_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/serializer"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

func TestHostWithoutControllerReadsBlockedRequestsFromTheStore(t *testing.T) {
	store := simulator.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	var mutex sync.Mutex
	var blocked, unblocked []uint64
	contains := func(list *[]uint64, signature uint64) func() bool {
		return func() bool {
			mutex.Lock()
			defer mutex.Unlock()
			return slices.Contains(*list, signature)
		}
	}
	put := func(name string, signature uint64) {
		data, err := serializer.EncodeBlocked(time.Now(), detector.Report{Signature: signature, Version: 1, Crashes: 3})
		assert.NilError(t, err)
		assert.NilError(t, store.Put(serializer.BlockedKind, name, json.RawMessage(data), nil))
	}
	put(serializer.BlockedName(17), 17)
	put("of another writer", 18)
	f := follower.New(follower.Options{
		Store: storer.New(strings.TrimPrefix(server.URL, "http://")), Log: eventlog.New(zap.NewNop()), Now: timer.Now,
		OnBlocked: func(reports []detector.Report) {
			mutex.Lock()
			defer mutex.Unlock()
			for _, r := range reports {
				blocked = append(blocked, r.Signature)
			}
		},
		OnUnblocked: func(signature uint64) {
			mutex.Lock()
			defer mutex.Unlock()
			unblocked = append(unblocked, signature)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	eventually(t, "the stored block was not read", contains(&blocked, 17))
	put(serializer.BlockedName(19), 19)
	eventually(t, "the new block was not read", contains(&blocked, 19))
	store.Delete(serializer.BlockedKind, serializer.BlockedName(17))
	eventually(t, "the removal was not read", contains(&unblocked, 17))
	assert.Assert(t, !contains(&blocked, 18)())
}

func TestFailedReadsOfBlockedRequestsDoNotCountAsAnOutage(t *testing.T) {
	store := simulator.NewStore()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, serializer.BlockedKind) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	t.Cleanup(server.CloseClientConnections)
	f := follower.New(follower.Options{
		Store: storer.New(strings.TrimPrefix(server.URL, "http://")), Log: eventlog.New(zap.NewNop()), Now: timer.Now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	putConfiguration(t, store, 3)
	go f.Run(ctx)
	eventually(t, "the copy is not current", f.Direct)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, f.Direct() && f.Connected())
	}
}

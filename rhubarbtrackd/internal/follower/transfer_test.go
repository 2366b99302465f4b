package follower_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// slowStore serves a store, responses with a configuration over a slow link.
type slowStore struct {
	store   *simulator.Store
	taken   time.Duration // by each of these responses
	slow    atomic.Bool
	rejects atomic.Bool  // calls for upstreams
	begun   atomic.Int64 // slow responses
	ended   atomic.Int64 // slow responses that are complete
}

// ServeHTTP implements http.Handler.
func (s *slowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.rejects.Load() && strings.HasSuffix(r.URL.Path, translator.UpstreamKind) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	recorder := httptest.NewRecorder()
	s.store.ServeHTTP(recorder, r)
	body := recorder.Body.Bytes()
	w.WriteHeader(recorder.Code)
	if !s.slow.Load() || !strings.Contains(string(body), translator.ConfigurationName) {
		_, _ = w.Write(body)
		return
	}
	s.begun.Add(1)
	const pieces = 20
	for i := range pieces {
		_, _ = w.Write(body[i*len(body)/pieces : (i+1)*len(body)/pieces])
		w.(http.Flusher).Flush()
		time.Sleep(s.taken / pieces)
	}
	if r.Context().Err() == nil {
		s.ended.Add(1)
	}
}

// Guards against a transfer of a configuration that is ended, and begun anew, because a controller is found or another call fails.
func TestTransferOfAConfigurationIsNotInterrupted(t *testing.T) {
	sendHeartbeats := func(t *testing.T, f *follower.Follower, version int64) {
		change := follower.Change{Full: true, Revision: 1 << 40, Configuration: version}
		assert.Assert(t, f.ApplyChange(change))
		change.Full = false
		go func() {
			for t.Context().Err() == nil {
				f.ApplyChange(change)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	tests := []struct {
		name      string
		transfers int64 // at most; hosts without a controller look for another version after a long one
		disturb   func(t *testing.T, s *slowStore, f *follower.Follower)
	}{
		{"the relay begins", 1, func(t *testing.T, _ *slowStore, f *follower.Follower) { sendHeartbeats(t, f, 3) }},
		{"the relay begins and announces the version", 1, func(t *testing.T, _ *slowStore, f *follower.Follower) { sendHeartbeats(t, f, 9) }},
		{"a call for upstreams fails", 2, func(t *testing.T, s *slowStore, _ *follower.Follower) {
			s.rejects.Store(true)
			putUpstream(t, s.store, "b")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := &slowStore{store: simulator.NewStore(), taken: 1500 * time.Millisecond}
			f := follow(t, s)
			putConfiguration(t, s.store, 3)
			putUpstream(t, s.store, "a")
			eventually(t, "the initial state was not read", func() bool { return version(f) == 3 && len(f.Snapshot().Upstreams) == 1 })
			s.slow.Store(true)
			putConfiguration(t, s.store, 9)
			began := time.Now()
			eventually(t, "no transfer has begun", func() bool { return s.begun.Load() == 1 })
			time.Sleep(300 * time.Millisecond)
			tt.disturb(t, s, f)
			eventually(t, "the configuration was not read", func() bool { return version(f) == 9 })
			assert.Assert(t, time.Since(began) < s.taken+time.Second, "read after %v", time.Since(began))
			assert.Assert(t, s.begun.Load() <= tt.transfers, "%d transfers", s.begun.Load())
			eventually(t, "a transfer was ended, or has not ended", func() bool { return s.ended.Load() == s.begun.Load() })
		})
	}
}

// Guards against a valid version that is skipped because a newer one in the same response cannot be decoded.
func TestNewestValidVersionOfAResponseIsApplied(t *testing.T) {
	s := &slowStore{store: simulator.NewStore(), taken: time.Second}
	f := follow(t, s)
	putConfiguration(t, s.store, 3)
	eventually(t, "the configuration was not read", func() bool { return version(f) == 3 })
	s.slow.Store(true)
	putConfiguration(t, s.store, 5)
	eventually(t, "no transfer has begun", func() bool { return s.begun.Load() == 1 })
	putConfiguration(t, s.store, 7)
	putConfiguration(t, s.store, 9)
	invalid := simulator.Configuration(11)
	invalid["virtual_hosts"] = "none"
	assert.NilError(t, s.store.Put(translator.ConfigurationKind, translator.ConfigurationName, invalid, nil))
	eventually(t, "the newest valid version was not applied", func() bool { return version(f) == 9 })
}

// Guards against hosts that read what the controller has from the store, and against hosts that wait for a controller that does not send it.
func TestConfigurationIsReadFromTheControllerFirst(t *testing.T) {
	hangs := func(ctx context.Context) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	tests := []struct {
		name       string
		fetch      func(ctx context.Context) ([]byte, error)
		within     time.Duration
		readsStore bool
	}{
		{"the controller sends it", func(context.Context) ([]byte, error) { return configurationText(t, 9), nil }, 200 * time.Millisecond, false},
		{"the controller fails", func(context.Context) ([]byte, error) { return nil, context.Canceled }, 400 * time.Millisecond, true},
		{"the controller sends the former version", func(context.Context) ([]byte, error) { return configurationText(t, 3), nil }, 400 * time.Millisecond, true},
		{"the controller does not respond", hangs, 600 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			store := simulator.NewStore()
			f := followWith(t, store, follower.Options{
				Log: eventlog.New(zap.NewNop()),
				FetchConfiguration: func(ctx context.Context, known []byte) ([]byte, error) {
					assert.Check(t, len(known) > 0, "the configuration of this host is not named")
					return tt.fetch(ctx)
				},
			})
			putConfiguration(t, store, 3)
			putUpstream(t, store, "a")
			eventually(t, "the initial state was not read", func() bool { return version(f) == 3 && len(f.Snapshot().Upstreams) == 1 })
			change := follower.Change{Full: true, Revision: 1 << 40, Configuration: 3}
			assert.Assert(t, f.ApplyChange(change))
			putConfiguration(t, store, 9)
			time.Sleep(100 * time.Millisecond) // calls in progress end
			calls := store.Calls()
			change.Full, change.Configuration = false, 9
			assert.Assert(t, f.ApplyChange(change))
			announced := time.Now()
			eventually(t, "the configuration was not read", func() bool { f.ApplyChange(change); return version(f) == 9 })
			assert.Assert(t, time.Since(announced) < tt.within+time.Second, "read after %v", time.Since(announced))
			assert.Equal(t, store.Calls() > calls, tt.readsStore)
		})
	}
}

// Guards against a host that neither fetches nor counts a version of its controller because it has no current copy of the upstreams.
func TestVersionOfTheControllerCountsWithoutItsCopy(t *testing.T) {
	tests := []struct {
		name   string
		change follower.Change
		delay  time.Duration // of heartbeats on their way
	}{
		{"heartbeats late", follower.Change{Full: true, Revision: 1 << 40}, time.Second},
		{"full copy not received", follower.Change{}, 0},
		{"full copy older than that of the host", follower.Change{Full: true, Revision: 1}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			store := simulator.NewStore()
			var serves atomic.Bool
			f := followWith(t, store, follower.Options{
				Log: eventlog.New(zap.NewNop()),
				FetchConfiguration: func(context.Context, []byte) ([]byte, error) {
					if !serves.Load() {
						return nil, context.Canceled
					}
					return configurationText(t, 9), nil
				},
			})
			putConfiguration(t, store, 3)
			putUpstream(t, store, "a")
			eventually(t, "the initial state was not read", func() bool { return version(f) == 3 && len(f.Snapshot().Upstreams) == 1 })
			store.SetFault(simulator.Fault{Kind: simulator.Busy})
			heartbeat := func() {
				change := tt.change
				change.Configuration, change.MadeAt = 9, timer.Now()-tt.delay
				f.ApplyChange(change)
			}
			heartbeat()
			assert.Assert(t, f.IsBehindController())
			serves.Store(true)
			eventually(t, "the configuration was not fetched, or does not count", func() bool {
				heartbeat()
				return version(f) == 9 && !f.IsBehindController()
			})
		})
	}
}

// Guards against a host that counts the version of a controller that it has lost.
func TestVersionOfALostControllerDoesNotCount(t *testing.T) {
	store, f := newFollower(t)
	putConfiguration(t, store, 3)
	eventually(t, "the configuration was not read", func() bool { return version(f) == 3 })
	f.ApplyChange(follower.Change{Configuration: 9})
	assert.Assert(t, f.IsBehindController())
	eventually(t, "the version of a lost controller counts", func() bool { return !f.IsBehindController() })
}

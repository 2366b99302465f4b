package router

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/apportioner"
	"rhubarbtrack.example/core/authenticator"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
	"rhubarbtrack.example/rhubarbtrackd/internal/suspector"
	"rhubarbtrack.example/rhubarbtrackd/internal/timer"
)

// Guards against an attempt with a key that was taken away since the request has arrived, and against a response which says that a
// request has not run although its first attempt may have.
func TestKeyTakenAwayBetweenAttempts(t *testing.T) {
	for _, tt := range []struct {
		name   string
		first  func(w http.ResponseWriter) // response to the first attempt
		remove bool                        // the key is taken away before that
		status int
		runs   int64
	}{
		{"key stays, first attempt failed", func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }, false, 200, 2},
		{"first attempt failed", func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }, true, 502, 1},
		{"first attempt was rejected", func(w http.ResponseWriter) {
			w.Header().Set(translator.NotRunHeader, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, true, 401, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			store := simulator.NewStore()
			put := func(version int, keys ...string) {
				configuration := simulator.ConfigurationWithAccounts(version, simulator.Account{Name: "a", Keys: keys})
				assert.NilError(t, store.Put(translator.ConfigurationKind, translator.ConfigurationName, configuration, nil))
			}
			put(3, "k")
			f := followStore(t, store)
			var runs atomic.Int64
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(translator.AttemptHeader, r.Header.Get(translator.AttemptHeader))
				if runs.Add(1) > 1 {
					return
				}
				if tt.remove {
					put(4, "other")
					await(t, func() bool { return f.Snapshot().Config.Version == 4 })
				}
				tt.first(w)
			}))
			t.Cleanup(upstream.Close)
			for i := range 2 {
				u := simulator.NewUpstream(simulator.UpstreamOptions{
					ID: fmt.Sprint("u", i), Service: simulator.PlainService, Address: upstream.Listener.Addr().String(), Domain: "d", Slots: 6,
				})
				specification, status := u.Entry()
				assert.NilError(t, store.Put(translator.UpstreamKind, fmt.Sprint("u", i), specification, status))
			}
			await(t, func() bool { return f.Snapshot().Config != nil && len(f.Snapshot().Upstreams) == 2 })
			log := eventlog.New(zap.NewNop())
			r := New(Options{
				Log: log, Meter: meter.New(), Now: timer.Now, Pool: exchanger.New(exchanger.Options{IDHeader: translator.AttemptHeader}),
				Suspector: suspector.New(func(detector.Report) {}, log), Follower: f, Shutdown: context.Background(),
				Limits: Limits{RetryRatio: 1, RetrySlack: 100, Revocation: 5 * time.Second},
			})
			response := r.Handle(context.Background(), &acceptor.Request{
				Method: http.MethodGet, Target: simulator.PlainPrefix + "x", Path: simulator.PlainPrefix + "x",
				Host: simulator.Hostname, Arrived: time.Now(),
				Header: http.Header{"Authorization": {"Bearer k"}, translator.AttemptHeader: {"1"}},
			})
			assert.Equal(t, response.Status, tt.status)
			assert.Equal(t, runs.Load(), tt.runs)
		})
	}
}

func await(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Error("the state was not read in time")
			return
		}
	}
}

func followStore(t *testing.T, store *simulator.Store) *follower.Follower {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	f := follower.New(follower.Options{
		Store: storer.New(strings.TrimPrefix(server.URL, "http://")), Log: eventlog.New(zap.NewNop()), Now: timer.Now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	return f
}

// Guards against signatures from which a key could be read, and against hosts of earlier versions that do not recognize a request
// where no keys are used.
func TestSignatureWithAccounts(t *testing.T) {
	request := &acceptor.Request{Method: "GET", Host: "h", Path: "/a", Target: "/a", Header: http.Header{"Authorization": {"Bearer k"}}}
	other := &acceptor.Request{Method: "GET", Host: "h", Path: "/a", Target: "/a", Header: http.Header{"Authorization": {"Bearer l"}}}
	without, with, withOther := job{request: request}, job{request: request, hasAccounts: true}, job{request: other, hasAccounts: true}
	assert.Equal(t, without.sign(), signRequest(request))
	assert.Assert(t, with.sign().withQuery != signRequest(request).withQuery && with.sign().withoutQuery != signRequest(request).withoutQuery)
	assert.Assert(t, with.sign() != withOther.sign())
	absent := job{request: &acceptor.Request{Method: "GET", Host: "h", Path: "/a", Target: "/a"}, hasAccounts: true}
	assert.Equal(t, absent.sign(), signRequest(absent.request))
}

// Guards against deployments without accounts in which each attempt reads the clock by a system call because others have them.
func TestRequestsWithoutAccountsReadNoClock(t *testing.T) {
	log := eventlog.New(zap.NewNop())
	f := follower.New(follower.Options{Store: storer.New("127.0.0.1:1"), Log: log, Now: timer.Now})
	reads := 0
	r := New(Options{Log: log, Meter: meter.New(), Follower: f, Now: func() time.Duration { reads++; return timer.Now() }})
	before := reads
	assert.Equal(t, r.decideAccount(&job{}).Decision, authenticator.NotNeeded)
	assert.Equal(t, reads, before)
}

// Guards against a request that is sent although its key was taken away while it waited for a token, and against a token that is lost
// with it.
func TestKeyTakenAwayDuringTheWaitForAToken(t *testing.T) {
	for _, tt := range []struct {
		name   string
		remove bool
		status int // 0: may be sent
	}{{"key stays", false, 0}, {"key is taken away", true, http.StatusUnauthorized}} {
		t.Run(tt.name, func(t *testing.T) {
			store := simulator.NewStore()
			put := func(version int, key string) {
				account := simulator.Account{Name: "a", Keys: []string{key}, Rate: 9, Burst: 9}
				configuration := simulator.ConfigurationWithAccounts(version, account)
				assert.NilError(t, store.Put(translator.ConfigurationKind, translator.ConfigurationName, configuration, nil))
			}
			put(3, "k")
			f := followStore(t, store)
			await(t, func() bool { return f.Snapshot().Config != nil })
			log := eventlog.New(zap.NewNop())
			var r *Router
			waits := 0
			r = New(Options{
				Log: log, Meter: meter.New(), Now: timer.Now, Follower: f, Shutdown: context.Background(),
				Limits: Limits{Revocation: 5 * time.Second},
				ReportSoon: func() {
					waits++
					if tt.remove {
						put(4, "other")
						await(t, func() bool { return f.Snapshot().Config.Version == 4 })
					}
					rows := []apportioner.GrantRow{{Account: apportioner.TagOf("a"), Granted: 1, Keep: 1}}
					r.ApplyGrants(timer.Now(), 2, apportioner.Grants{Ledger: 1, Confirms: true, Rows: rows})
				},
			})
			// The token of the last controller expires while the request waits for an upstream.
			const left = 200 * time.Millisecond
			r.locked(func() {
				r.quotas.host.Apply(timer.Now(), timer.Now()+left-apportioner.Lifetime, 1, apportioner.Grants{
					Ledger: 1, Confirms: true, Rows: []apportioner.GrantRow{{Account: apportioner.TagOf("a"), Granted: 1, Keep: 1}},
				})
			})
			j := quotaJob(nil)
			j.request.Header = http.Header{"Authorization": {"Bearer k"}}
			j.deadline = time.Now().Add(5 * time.Second)
			assert.Assert(t, r.authenticate(j) == nil && r.takeToken(t.Context(), j) == nil && waits == 0)
			time.Sleep(left)
			r.ApplyGrants(timer.Now(), 2, apportioner.Grants{Ledger: 1, Confirms: true})
			response := r.permit(t.Context(), j)
			assert.Equal(t, waits, 1)
			if tt.status == 0 {
				assert.Assert(t, response == nil && j.token != nil)
				return
			}
			assert.Assert(t, response != nil && response.Status == tt.status)
			r.returnToken(j)
			assert.Equal(t, r.quotas.host.Report().Rows[0].Refunded, uint64(1))
		})
	}
}

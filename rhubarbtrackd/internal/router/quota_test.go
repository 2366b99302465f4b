package router

import (
	"context"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/apportioner"
	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
)

var limitedAccount = &matcher.Account{Name: "a", Rate: 10, Burst: 10}

// newQuotaRouter returns a router at the time *now, and the number of its requests for an early report.
func newQuotaRouter(t *testing.T, now *time.Duration) (r *Router, reports *int) {
	t.Helper()
	m := meter.New()
	t.Cleanup(func() { _ = m.Close() })
	reports = new(int)
	return New(Options{
		Now: func() time.Duration { return *now }, Log: eventlog.New(zap.NewNop()), Meter: m, ReportSoon: func() { *reports++ },
		Limits: Limits{Quota: apportioner.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}}, Shutdown: context.Background(),
	}), reports
}

func quotaJob(account *matcher.Account) *job {
	return &job{
		request: &acceptor.Request{Arrived: time.Now()}, route: &matcher.Route{Objective: 100 * time.Millisecond}, account: account,
		deadline: time.Now().Add(time.Second),
	}
}

func (r *Router) giveTokens(now time.Duration, row apportioner.GrantRow) {
	row.Account = apportioner.TagOf("a")
	r.quotas.host.Apply(now, now, 1, apportioner.Grants{Ledger: 1, Confirms: true, Rows: []apportioner.GrantRow{row}})
}

func (r *Router) usableTokens(now time.Duration) int {
	return r.quotas.host.Usable(now, apportioner.TagOf("a"))
}

// Guards against deployments without limits that take other decisions or send other messages because others have them.
func TestRequestsWithoutALimitNeedNoToken(t *testing.T) {
	now := time.Minute
	for _, account := range []*matcher.Account{nil, {Name: "a"}, {Name: "a", Burst: 3}} {
		r, reports := newQuotaRouter(t, &now)
		j := quotaJob(account)
		assert.Assert(t, r.takeToken(t.Context(), j) == nil && r.spendToken(t.Context(), j) == nil && j.token == nil)
		assert.Equal(t, len(r.quotas.host.Report().Rows)+*reports, 0)
	}
}

// Guards against requests beyond the limit that run or get no time, and against a limit that cannot be checked and looks like one that
// is reached.
func TestResponsesWithoutAToken(t *testing.T) {
	const wait = 700 * time.Millisecond
	give := func(row apportioner.GrantRow) func(*Router, time.Duration) {
		return func(r *Router, now time.Duration) { r.giveTokens(now, row) }
	}
	tests := []struct {
		name    string
		prepare func(r *Router, now time.Duration)
		after   time.Duration
		status  int // 0: admitted
		asks    bool
	}{
		{"tokens", give(apportioner.GrantRow{Granted: 1, Keep: 1}), 0, 0, false},
		{"limit reached", give(apportioner.GrantRow{Wait: wait}), 0, http.StatusTooManyRequests, false},
		{"no tokens here", give(apportioner.GrantRow{}), 0, http.StatusServiceUnavailable, true},
		{
			"tokens have expired", give(apportioner.GrantRow{Granted: 1, Keep: 1}), apportioner.Lifetime, http.StatusServiceUnavailable,
			false,
		},
		{"no grants yet", func(*Router, time.Duration) {}, 0, http.StatusServiceUnavailable, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Minute
			r, reports := newQuotaRouter(t, &now)
			tt.prepare(r, now)
			now += tt.after
			response := r.takeToken(t.Context(), quotaJob(limitedAccount))
			assert.Equal(t, *reports > 0, tt.asks)
			if tt.status == 0 {
				assert.Assert(t, response == nil)
				return
			}
			assert.Equal(t, response.Status, tt.status)
			if tt.status == http.StatusTooManyRequests {
				assert.Equal(t, response.Header.Get("Retry-After"), "0.700")
			}
		})
	}
}

// Guards against attempts that are repeated inside the system and count several times, and against requests that were rejected and
// count.
func TestOneTokenForEachRequestThatRuns(t *testing.T) {
	now := time.Minute
	r, _ := newQuotaRouter(t, &now)
	r.giveTokens(now, apportioner.GrantRow{Granted: 3, Keep: 3})
	j := quotaJob(limitedAccount)
	for range 3 {
		assert.Assert(t, r.takeToken(t.Context(), j) == nil && r.spendToken(t.Context(), j) == nil)
	}
	assert.Equal(t, r.usableTokens(now), 2)

	rejected := quotaJob(limitedAccount)
	assert.Assert(t, r.takeToken(t.Context(), rejected) == nil)
	assert.Equal(t, r.usableTokens(now), 1)
	r.returnToken(rejected)
	r.returnToken(rejected)
	assert.Equal(t, r.usableTokens(now), 2)
}

// Guards against a request that is sent with a token that expired while it waited, for example because the process stood still.
func TestExpiredTokensAreReplacedBeforeTheRequestIsSent(t *testing.T) {
	now := time.Minute
	r, _ := newQuotaRouter(t, &now)
	r.giveTokens(now, apportioner.GrantRow{Granted: 1, Keep: 1})
	j, other := quotaJob(limitedAccount), quotaJob(limitedAccount)
	assert.Assert(t, r.takeToken(t.Context(), j) == nil)
	now += apportioner.Lifetime
	assert.Equal(t, r.spendToken(t.Context(), j).Status, http.StatusServiceUnavailable)

	r.giveTokens(now, apportioner.GrantRow{Granted: 2, Keep: 2})
	assert.Assert(t, r.takeToken(t.Context(), other) == nil && r.spendToken(t.Context(), other) == nil)
}

// Guards against a controller that has not read its configuration yet, or has one without accounts, and is taken for one of an
// earlier version: the equal part of a host is less than one request for a usual account, and all requests are refused.
func TestOnlyControllersWithTheSameConfigurationLeadToEqualParts(t *testing.T) {
	copyOf := func(version int64) connector.Heartbeat {
		return connector.Heartbeat{Valid: true, HasCopy: true, Copy: follower.Change{Configuration: version}}
	}
	tests := []struct {
		name      string
		heartbeat connector.Heartbeat
		want      apportioner.Verdict
	}{
		{"lease not valid", connector.Heartbeat{HasCopy: true, Copy: follower.Change{Configuration: 5}}, apportioner.Starting},
		{"no copy", connector.Heartbeat{Valid: true}, apportioner.Starting},
		{"no configuration", copyOf(0), apportioner.Starting},
		{"older configuration", copyOf(4), apportioner.Starting},
		{"newer configuration", copyOf(6), apportioner.Starting},
		{"earlier version", copyOf(5), apportioner.Exhausted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Minute
			r, _ := newQuotaRouter(t, &now)
			snapshot := &follower.Snapshot{Config: &matcher.Config{
				Version: 5, HasAccounts: true, Accounts: []matcher.Account{*limitedAccount},
			}}
			tt.heartbeat.Hosts = 200
			r.applyQuotas(now, snapshot, tt.heartbeat)
			limit, _ := quotaOf(limitedAccount)
			_, verdict, _ := r.quotas.host.Take(now, limit)
			assert.Equal(t, verdict, tt.want)
		})
	}
}

// Guards against a response that says that a request has not run, and against the return of its token, after an attempt that may have
// run: the key has moved to an account that has no tokens, or whose limit is not known.
func TestNoTokenForAFurtherAttempt(t *testing.T) {
	tests := []struct {
		name       string
		mayHaveRun bool
		rows       []apportioner.GrantRow
		status     int
		refunded   uint64
	}{
		{"limit reached, not run", false, []apportioner.GrantRow{{Wait: time.Second}}, http.StatusTooManyRequests, 1},
		{"limit reached, may have run", true, []apportioner.GrantRow{{Wait: time.Second}}, http.StatusBadGateway, 0},
		{"not known, not run", false, nil, http.StatusServiceUnavailable, 1},
		{"not known, may have run", true, nil, http.StatusBadGateway, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Minute
			r, _ := newQuotaRouter(t, &now)
			r.giveTokens(now, apportioner.GrantRow{Granted: 2, Keep: 2})
			for i := range tt.rows {
				tt.rows[i].Account = apportioner.TagOf("b")
			}
			r.quotas.host.Apply(now, now, 1, apportioner.Grants{Ledger: 1, Confirms: true, Rows: tt.rows})
			j := quotaJob(limitedAccount)
			assert.Assert(t, r.takeToken(t.Context(), j) == nil && r.spendToken(t.Context(), j) == nil)
			j.mayHaveRun = tt.mayHaveRun
			j.account = &matcher.Account{Name: "b", Rate: 10, Burst: 10}
			response := r.spendToken(t.Context(), j)
			assert.Equal(t, response.Status, tt.status)
			for _, row := range r.quotas.host.Report().Rows {
				if row.Account == apportioner.TagOf("a") {
					assert.Equal(t, row.Refunded, tt.refunded)
				}
			}
		})
	}
}

// Guards against tokens that this host uses for longer than its own controller counts them, because it stood still between the two.
func TestOwnGrantsExpireByTheTimeOfTheController(t *testing.T) {
	now := time.Minute
	r, _ := newQuotaRouter(t, &now)
	store := simulator.NewStore()
	configuration := simulator.ConfigurationWithAccounts(3, simulator.Account{Name: "a", Keys: []string{"k"}})
	assert.NilError(t, store.Put(translator.ConfigurationKind, translator.ConfigurationName, configuration, nil))
	r.options.Follower = followStore(t, store)
	await(t, func() bool { return r.options.Follower.Snapshot().Config != nil })
	rows := []apportioner.GrantRow{{Account: apportioner.TagOf("a"), Granted: 1, Keep: 1}}
	r.ApplyGrants(now-time.Second, 1, apportioner.Grants{Ledger: 1, Confirms: true, Rows: rows})
	assert.Equal(t, r.usableTokens(now+apportioner.Lifetime-time.Second-1), 1)
	assert.Equal(t, r.usableTokens(now+apportioner.Lifetime-time.Second), 0)
}

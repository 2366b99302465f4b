package router

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/apportioner"
	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

const (
	// maxTokenWait bounds the time that a request waits for a token of its account: a report to the controller, a heartbeat to a
	// host that holds tokens, its report, and a heartbeat back.
	maxTokenWait = 300 * time.Millisecond
	// maxConnectWait bounds the same time on a host that has started and is about to connect to the controller.
	maxConnectWait = 600 * time.Millisecond
	// maxTokenWaitShare bounds both times as a share of the latency objective of the route.
	maxTokenWaitShare = 0.5
	// tokenAskInterval is the time after which a request that waits asks the controller again.
	tokenAskInterval = 50 * time.Millisecond
	// limitLogInterval is the minimum time between two log lines about the limit of one account.
	limitLogInterval = 10 * time.Second
	// maxLimitLogs bounds the accounts of which the time of the last log line is stored.
	maxLimitLogs = 4096
	// labeledAccounts is the number of accounts with metrics of their own: those with the highest limits.
	labeledAccounts = 20
)

// quotas holds the tokens of client accounts on this host. The mutex of the router protects it.
type quotas struct {
	host    *apportioner.Host
	changed chan struct{} // closed when tokens may have arrived
	logged  map[string]time.Duration
	labels  map[string]bool // accounts with metrics of their own
	config  *matcher.Config // from which labels and the listed accounts were made
}

func newQuotas(bounds apportioner.Bounds) quotas {
	return quotas{host: apportioner.NewHost(bounds), changed: make(chan struct{}), logged: map[string]time.Duration{}}
}

// QuotaBounds returns the bounds of the requests of client accounts.
func (r *Router) QuotaBounds() apportioner.Bounds { return r.limits.Load().Quota }

// quotaOf returns the limit of an account, and false if it has none.
func quotaOf(account *matcher.Account) (apportioner.Account, bool) {
	if account == nil || account.Rate <= 0 {
		return apportioner.Account{}, false
	}
	return apportioner.Account{Tag: apportioner.TagOf(account.Name), Rate: account.Rate, Burst: account.Burst}, true
}

// takeToken takes a token for the request if its account has a limit. It returns the response if there is none.
func (r *Router) takeToken(ctx context.Context, j *job) *acceptor.Response {
	limit, ok := quotaOf(j.account)
	if !ok {
		return nil
	}
	if j.token != nil && j.tokenAccount == limit.Tag {
		return nil
	}
	if j.token == nil {
		r.locked(func() { r.quotas.host.Ask(limit) })
	}
	if j.mayHaveRun {
		j.token = nil // spent from another account, which the key belonged to
	} else {
		r.returnToken(j)
	}
	verdict, wait, changed := r.tryToken(j, limit)
	if verdict == apportioner.Wanting || verdict == apportioner.Starting {
		verdict, wait = r.awaitToken(ctx, j, limit, changed)
	}
	r.countQuota(j.account.Name, verdict)
	switch verdict {
	case apportioner.Admitted:
		return nil
	case apportioner.Exhausted:
		r.logLimit(j.account.Name, wait)
		if j.mayHaveRun {
			return r.fail(j, "the account has reached its limit", wait)
		}
		response := r.finish(j, http.StatusTooManyRequests, "the account has reached its limit")
		response.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		return response
	}
	return r.fail(j, "the limit of the account cannot be checked", wait)
}

func (r *Router) tryToken(j *job, limit apportioner.Account) (apportioner.Verdict, time.Duration, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	token, verdict, wait := r.quotas.host.Take(r.options.Now(), limit)
	j.token, j.tokenAccount = token, limit.Tag
	return verdict, wait, r.quotas.changed
}

// awaitToken asks the controller for a token and waits for it.
func (r *Router) awaitToken(
	ctx context.Context, j *job, limit apportioner.Account, changed <-chan struct{},
) (verdict apportioner.Verdict, wait time.Duration) {
	r.locked(func() { r.quotas.host.Wait(limit, 1) })
	defer r.locked(func() { r.quotas.host.Wait(limit, -1) })
	began := time.Now()
	longest := min(time.Duration(maxTokenWaitShare*float64(j.route.Objective)), time.Until(j.deadline))
	verdict, wait = apportioner.Wanting, retryWait
	for verdict == apportioner.Wanting || verdict == apportioner.Starting {
		most := min(longest, maxTokenWait)
		if verdict == apportioner.Starting {
			most = min(longest, maxConnectWait)
		}
		deadline := began.Add(most)
		left := time.Until(deadline)
		if left <= 0 || ctx.Err() != nil {
			return verdict, wait
		}
		r.options.ReportSoon()
		timer := time.NewTimer(min(left, tokenAskInterval))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		verdict, wait, changed = r.tryToken(j, limit)
	}
	return verdict, wait
}

// spendToken records that the request is sent to an upstream now. It takes another token if the first one has expired, for example
// because the process stood still.
func (r *Router) spendToken(ctx context.Context, j *job) *acceptor.Response {
	if response := r.takeToken(ctx, j); response != nil || j.token == nil {
		return response
	}
	spent := false
	r.locked(func() { spent = r.quotas.host.Spend(r.options.Now(), j.token) })
	if spent {
		return nil
	}
	r.returnToken(j)
	if response := r.takeToken(ctx, j); response != nil {
		return response
	}
	r.locked(func() { spent = r.quotas.host.Spend(r.options.Now(), j.token) })
	if !spent {
		return r.fail(j, "the limit of the account cannot be checked", retryWait)
	}
	return nil
}

// returnToken gives back the token of a request that has not run.
func (r *Router) returnToken(j *job) {
	if j.token == nil {
		return
	}
	r.locked(func() { r.quotas.host.Return(j.token) })
	j.token = nil
}

// applyQuotas applies what a heartbeat says of the tokens of client accounts. It reports whether tokens must return soon. The caller
// holds the mutex.
func (r *Router) applyQuotas(now time.Duration, snapshot *follower.Snapshot, heartbeat connector.Heartbeat) (returns bool) {
	if snapshot.Config == nil || !snapshot.Config.HasAccounts {
		return false
	}
	if heartbeat.Quotas == nil {
		// A controller without a configuration, or with another one, may give tokens once it has that of this host.
		if heartbeat.Valid && heartbeat.HasCopy && heartbeat.Copy.Configuration == snapshot.Config.Version {
			r.quotas.host.ApplyNone(heartbeat.Hosts)
		}
		return false
	}
	r.quotas.host.SetBounds(r.limits.Load().Quota)
	returns = r.quotas.host.Apply(now, heartbeat.MadeAt, heartbeat.Term, *heartbeat.Quotas)
	if len(heartbeat.Quotas.Rows) > 0 {
		close(r.quotas.changed)
		r.quotas.changed = make(chan struct{})
	}
	return returns
}

// ApplyGrants applies grants of this host's own controller that are not part of a heartbeat, and were made at madeAt or later.
func (r *Router) ApplyGrants(madeAt time.Duration, term uint64, grants apportioner.Grants) {
	now := r.options.Now()
	snapshot := r.options.Follower.Snapshot()
	r.locked(func() {
		r.applyQuotas(now, snapshot, connector.Heartbeat{Term: term, Valid: true, MadeAt: madeAt, Quotas: &grants})
	})
}

// sweepQuotas removes the state of accounts that are no longer configured. The caller holds the mutex.
func (r *Router) sweepQuotas(now time.Duration, config *matcher.Config) {
	if config == nil || config == r.quotas.config {
		return
	}
	r.quotas.config = config
	r.quotas.labels = map[string]bool{}
	for _, account := range config.LargestAccounts(labeledAccounts) {
		r.quotas.labels[account.Name] = true
	}
	listed := make(map[apportioner.Tag]bool, len(config.Accounts))
	for i := range config.Accounts {
		if limit, ok := quotaOf(&config.Accounts[i]); ok {
			listed[limit.Tag] = true
		}
	}
	r.quotas.host.Forget(now, func(tag apportioner.Tag) bool { return listed[tag] })
}

var verdictNames = map[apportioner.Verdict]string{
	apportioner.Admitted: "admitted", apportioner.Exhausted: "limited", apportioner.Wanting: "unavailable",
	apportioner.Unconfirmed: "unavailable", apportioner.Starting: "unavailable",
}

func (r *Router) countQuota(account string, verdict apportioner.Verdict) {
	labeled := false
	r.locked(func() { labeled = r.quotas.labels[account] })
	if !labeled {
		account = "other"
	}
	r.options.Meter.Quota(account, verdictNames[verdict])
}

// logLimit logs that an account has reached its limit, at most once in limitLogInterval.
func (r *Router) logLimit(account string, wait time.Duration) {
	now, due := r.options.Now(), false
	r.locked(func() {
		last, known := r.quotas.logged[account]
		if due = !known || now >= last+limitLogInterval; due {
			if len(r.quotas.logged) >= maxLimitLogs {
				clear(r.quotas.logged)
			}
			r.quotas.logged[account] = now
		}
	})
	if due {
		r.options.Log.Log(eventlog.AccountLimited, zap.String("account", account), zap.Duration("wait", wait))
	}
}

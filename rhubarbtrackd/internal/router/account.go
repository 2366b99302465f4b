package router

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/authenticator"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// authenticate decides whether a request may run for the client account of its key, and sets the account. It returns the response
// if it may not.
func (r *Router) authenticate(j *job) *acceptor.Response {
	verdict := r.decideAccount(j)
	if !j.hasAccounts {
		return nil
	}
	r.options.Meter.Authentication(verdict.Decision.String())
	return r.denyAccount(j, verdict)
}

// permit decides whether the request may be sent to an upstream now. If it had to get another token, for which it may have waited,
// its key is checked again.
func (r *Router) permit(ctx context.Context, j *job) *acceptor.Response {
	for {
		if response := r.authenticateAgain(j); response != nil {
			return response
		}
		token := j.token
		if response := r.spendToken(ctx, j); response != nil || j.token == token {
			return response
		}
	}
}

// authenticateAgain is called before each attempt, because the key may have been taken away since the request has arrived.
func (r *Router) authenticateAgain(j *job) *acceptor.Response {
	return r.denyAccount(j, r.decideAccount(j))
}

// decideAccount sets what the job says of accounts, from the newest configuration.
func (r *Router) decideAccount(j *job) authenticator.Verdict {
	if r.options.Follower.Snapshot().Authenticator == nil { // without accounts, the clock is not read
		j.hasAccounts, j.account = false, nil
		return authenticator.Verdict{Decision: authenticator.NotNeeded}
	}
	// The order matters, see Follower.ConfirmedAt. The clock is read last, so that an age is never too low.
	confirmedAt := r.options.Follower.ConfirmedAt(r.options.Now())
	superseded := r.options.Follower.LacksConfiguration()
	accounts := r.options.Follower.Snapshot().Authenticator
	if accounts == nil {
		j.hasAccounts, j.account = false, nil
		return authenticator.Verdict{Decision: authenticator.NotNeeded}
	}
	if !j.hasAccounts {
		j.hasAccounts = true
		j.credentials = authenticator.ReadCredentials(j.request.Header[credentialsHeader])
	}
	limits := authenticator.Limits{MaxAge: authenticator.MaxAge(r.limits.Load().Revocation), MaxDenyAge: maxDenyAge}
	age := r.options.Now() - confirmedAt
	verdict := accounts.Decide(limits, authenticator.Request{
		Credentials: j.credentials, Public: j.route.Public, Age: age, Superseded: superseded,
	})
	j.account = verdict.Account
	r.logOutdated(verdict, age)
	return verdict
}

// denyAccount returns the response to a request that may not run, or nil.
func (r *Router) denyAccount(j *job, verdict authenticator.Verdict) *acceptor.Response {
	switch verdict.Decision {
	case authenticator.Outdated:
		return r.fail(j, "the configuration is too old to accept a key", verdict.Wait)
	case authenticator.Undecided:
		return r.fail(j, "the key is unknown, and the configuration may be outdated", verdict.Wait)
	case authenticator.Unknown:
		if j.mayHaveRun {
			return r.finish(j, http.StatusBadGateway, "the key was taken away")
		}
		response := r.finish(j, http.StatusUnauthorized, "the request has no valid key")
		response.Header.Set("WWW-Authenticate", "Bearer")
		return response
	}
	return nil
}

// logOutdated logs when this host begins to reject all keys because of the age of its configuration, and when it accepts them again.
func (r *Router) logOutdated(verdict authenticator.Verdict, age time.Duration) {
	if verdict.Decision == authenticator.NotNeeded {
		return
	}
	outdated := verdict.Decision == authenticator.Outdated
	if r.outdated.Load() == outdated || r.outdated.Swap(outdated) == outdated {
		return
	}
	event := eventlog.KeysAccepted
	if outdated {
		event = eventlog.KeysSuspended
	}
	r.options.Log.Log(event, zap.Duration("age", age))
}

// removeCredentials removes what a caller says of its account from what the upstream gets: its key, which is none of the
// upstream's concern, and any account name.
func (j *job) removeCredentials() {
	if j.hasAccounts {
		delete(j.header, credentialsHeader)
		delete(j.header, translator.AccountHeader)
	}
}

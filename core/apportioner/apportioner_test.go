package apportioner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/apportioner"
)

const second = time.Second

// limit has a capacity of 16 + 0.85 x (0.1 x 96 + 20) = 41.16 tokens.
var limit = apportioner.Account{Tag: 1, Rate: 16, Burst: 16}

// grant returns a host that has got tokens at 0.
func grant(tokens uint64) *apportioner.Host {
	h := apportioner.NewHost(bounds)
	h.Apply(0, 0, 1, apportioner.Grants{Ledger: 1, Confirms: true, Rows: []apportioner.GrantRow{{Account: 1, Granted: tokens, Keep: tokens}}})
	return h
}

// Guards against a host that is cut off, or resumes after it was frozen, and uses tokens that the controller has given to others.
func TestTokensExpire(t *testing.T) {
	h := grant(2)
	token, verdict, _ := h.Take(apportioner.Lifetime-1, limit)
	assert.Equal(t, verdict, apportioner.Admitted)
	assert.Assert(t, !h.Spend(apportioner.Lifetime, token))
	_, verdict, _ = h.Take(apportioner.Lifetime, limit)
	assert.Equal(t, verdict, apportioner.Unconfirmed)

	// A heartbeat that was made long before it arrived confirms the tokens only for the rest of the time.
	h.Apply(10*second, 8*second, 1, apportioner.Grants{Ledger: 1, Confirms: true})
	_, verdict, _ = h.Take(11*second-1, limit)
	assert.Equal(t, verdict, apportioner.Admitted)
	_, verdict, _ = h.Take(11*second, limit)
	assert.Equal(t, verdict, apportioner.Unconfirmed)
}

// Guards against tokens of an old connection or controller that arrive late, and against counts of one ledger that are applied to
// another.
func TestLateGrantsAreIgnored(t *testing.T) {
	h := grant(2)
	rows := []apportioner.GrantRow{{Account: 1, Granted: 1, Keep: 9}}
	h.Apply(0, 0, 2, apportioner.Grants{Ledger: 3, Confirms: true, Rows: rows})
	assert.Equal(t, h.Usable(0, 1), 1)
	h.Apply(0, 0, 1, apportioner.Grants{Ledger: 9, Confirms: true, Rows: []apportioner.GrantRow{{Account: 1, Granted: 50, Keep: 50}}})
	h.Apply(0, 0, 2, apportioner.Grants{Ledger: 2, Confirms: true, Rows: []apportioner.GrantRow{{Account: 1, Granted: 50, Keep: 50}}})
	assert.Equal(t, h.Usable(0, 1), 1)
}

// Guards against a successor that gives out what hosts may still use from its predecessors.
func TestStartOfAController(t *testing.T) {
	tests := []struct {
		name   string
		first  bool
		recent int
		after  time.Duration
		want   float64 // of the capacity
	}{
		{"no predecessor", true, 0, 0, 0.7},
		{"one predecessor", false, 0, 0, 0.15},
		{"a predecessor with a short term", false, 1, 0, 0.15},
		{"two predecessors with short terms", false, 2, 0, 0},
		{"two predecessors with short terms, before their tokens end", false, 2, apportioner.Lifetime - 1, 0},
		{"one predecessor, before its tokens end", false, 0, apportioner.Lifetime - 1, 0.15},
		{"one predecessor, when its tokens end", false, 0, apportioner.Lifetime, 0.15},
		{"two predecessors with short terms, when their tokens end", false, 2, apportioner.Lifetime, 0},
		{"one predecessor, after its tokens have ended", false, 0, apportioner.Lifetime + 2*second, 0.7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := apportioner.NewController[string](bounds)
			c.Begin(100*second, tt.first, tt.recent)
			c.SetAccounts(100*second, []apportioner.Account{limit})
			bucket, held := c.Tokens(100*second+tt.after, 1)
			assert.Assert(t, held == 0 && bucket > tt.want*bounds.Capacity(limit)-1e-6 && bucket < tt.want*bounds.Capacity(limit)+1e-6, "%v", bucket)
		})
	}
}

func row(spent, returned, refunded, asked uint64) apportioner.Report {
	return apportioner.Report{Term: 1, Ledger: 1, Rows: []apportioner.ReportRow{
		{Account: 1, Spent: spent, Returned: returned, Refunded: refunded, Asked: asked},
	}}
}

// Guards against reports that create tokens: of a host that returns what it did not get, and of one that returns more tokens after
// their requests were sent than the allowance contains.
func TestReturnedTokens(t *testing.T) {
	tests := []struct {
		name   string
		report apportioner.Report
		want   float64 // change of the tokens in the bucket and on the host
	}{
		{"sent", row(2, 0, 0, 0), -2},
		{"returned", row(0, 2, 0, 0), 0},
		{"returned more than granted", row(0, 99, 0, 0), 0},
		{"sent more than granted", row(99, 0, 0, 0), 0},
		{"returned after it was sent", row(1, 0, 1, 0), 0},
		{"many returned after they were sent", row(8, 0, 8, 0), -8 + 0.05*29.6},
		{"more returned than sent", row(0, 0, 2, 0), 0},
		{"another ledger", apportioner.Report{Term: 1, Ledger: 7, Rows: row(2, 0, 0, 0).Rows}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := apportioner.NewController[string](bounds)
			c.Begin(0, true, 0)
			c.SetAccounts(0, []apportioner.Account{limit})
			c.Tokens(10*second, 1)
			c.Report(10*second, "h", row(0, 0, 0, 100))
			c.Apportion(10 * second)
			grants := c.Grants(10*second, "h")
			assert.Assert(t, len(grants.Rows) == 1 && grants.Rows[0].Granted >= 8)
			bucket, held := c.Tokens(10*second, 1)
			c.Report(10*second, "h", tt.report)
			after, stillHeld := c.Tokens(10*second, 1)
			got := after + stillHeld - bucket - held
			assert.Assert(t, got > tt.want-1e-6 && got < tt.want+1e-6, "%v", got)
		})
	}
}

// Guards against a fleet with a controller of an earlier version, which gives no tokens: the hosts keep the limit by equal parts.
func TestEqualPartsWithoutTokens(t *testing.T) {
	const hosts = 4
	admitted := 0
	for range hosts {
		h := apportioner.NewHost(bounds)
		h.ApplyNone(hosts)
		for now := time.Duration(0); now < bounds.Window; now += 10 * time.Millisecond {
			if _, verdict, _ := h.Take(now, limit); verdict == apportioner.Admitted {
				admitted++
			}
		}
	}
	assert.Assert(t, admitted > 90 && float64(admitted) <= bounds.Bound(limit), "%d", admitted)
}

// Guards against a request of an account beyond its limit whose Retry-After is zero, or ends after the limit has room again.
func TestExhaustedAccountsGetATime(t *testing.T) {
	h := apportioner.NewHost(bounds)
	h.Apply(0, 0, 1, apportioner.Grants{Ledger: 1, Confirms: true, Rows: []apportioner.GrantRow{{Account: 1, Wait: 700 * time.Millisecond}}})
	_, verdict, wait := h.Take(200*time.Millisecond, limit)
	assert.Equal(t, verdict, apportioner.Exhausted)
	assert.Equal(t, wait, 500*time.Millisecond)
	_, verdict, _ = h.Take(700*time.Millisecond, limit)
	assert.Equal(t, verdict, apportioner.Wanting)
}

// Guards against an account that is not limited because it is listed later than others, or whose tokens stay after it was removed.
func TestRemovedAccountsKeepTheirTokensForAWindow(t *testing.T) {
	c := apportioner.NewController[string](bounds)
	c.Begin(0, true, 0)
	c.SetAccounts(0, []apportioner.Account{limit})
	c.Report(0, "h", row(0, 0, 0, 100))
	c.Apportion(0)
	_, held := c.Tokens(0, 1)
	assert.Assert(t, held > 0)
	c.SetAccounts(second, nil)
	c.SetAccounts(2*second, []apportioner.Account{limit})
	bucket, still := c.Tokens(2*second, 1)
	assert.Assert(t, still == held && bucket+still <= 0.7*bounds.Capacity(limit)+1e-6)
}

// Guards against an account that is dead until the hosts reconnect, because the controller has dropped the counts of a connection
// that hosts continue.
func TestRestoredAccountsAreServed(t *testing.T) {
	c := apportioner.NewController[string](bounds)
	c.Begin(0, true, 0)
	c.SetAccounts(0, []apportioner.Account{limit})
	h, now := apportioner.NewHost(bounds), time.Duration(0)
	serve := func(seconds int) (admitted int) {
		for range 10 * seconds {
			now += second / 10
			for range 2 {
				h.Ask(limit)
				if token, verdict, _ := h.Take(now, limit); verdict == apportioner.Admitted && h.Spend(now, token) {
					admitted++
				}
			}
			c.Report(now, "h", h.Report())
			c.Apportion(now)
			h.Apply(now, now, 1, c.Grants(now, "h"))
		}
		return admitted
	}
	assert.Assert(t, serve(10) > 150)
	for range 30 { // without requests
		now += second
		c.SetAccounts(now, nil)
		h.Forget(now, func(apportioner.Tag) bool { return false })
		c.Apportion(now)
		h.Apply(now, now, 1, c.Grants(now, "h"))
	}
	c.SetAccounts(now, []apportioner.Account{limit})
	assert.Assert(t, serve(10) > 150)
}

// Guards against a full bucket for a restored account within a window after a host, which was then cut off, could use the old tokens.
func TestRemovedAccountsStayForAWindowAfterTheirTokens(t *testing.T) {
	c := apportioner.NewController[string](bounds)
	c.Begin(0, true, 0)
	c.SetAccounts(0, []apportioner.Account{limit})
	asks := row(0, 0, 0, 100)
	asks.Rows[0].Waiting = 100
	c.Report(0, "h", asks)
	c.ApportionWaiting(0, "h")
	c.SetAccounts(20*second, nil)
	c.Grants(22*second-1, "h") // confirms
	c.Remove("h")
	c.SetAccounts(29*second, nil) // 4 s after the tokens have expired
	bucket, held := c.Tokens(24*second, 1)
	assert.Assert(t, bucket+held > 0)
	c.SetAccounts(34*second, nil)
	bucket, held = c.Tokens(34*second, 1)
	assert.Assert(t, bucket+held == 0)
}

// Guards against tokens that are usable a second time: the host drops the count of those that it has used while the lease of the
// controller has expired, and the next grants contain the total of the connection.
func TestForgottenAccountsDoNotGetUsedTokensAgain(t *testing.T) {
	h := grant(2)
	for range 2 {
		token, _, _ := h.Take(0, limit)
		assert.Assert(t, h.Spend(0, token))
	}
	none := func(apportioner.Tag) bool { return false }
	h.Forget(apportioner.Lifetime, none)
	rows := []apportioner.GrantRow{{Account: 1, Granted: 3, Keep: 3}}
	h.Apply(4*second, 4*second, 1, apportioner.Grants{Ledger: 1, Confirms: true, Rows: rows})
	assert.Equal(t, h.Usable(4*second, 1), 1)

	// The counts of an earlier ledger end with its tokens.
	h.Apply(5*second, 5*second, 1, apportioner.Grants{Ledger: 2, Confirms: true})
	h.Forget(7*second, none)
	assert.Equal(t, h.Usable(7*second-1, 1), 0)
}

// Guards against a controller whose lease has expired and which adds tokens, or lengthens the life of those on hosts, while a
// successor gives out its own.
func TestAnExpiredControllerGivesOnlyWhatIsLeft(t *testing.T) {
	c := apportioner.NewController[string](bounds)
	c.Begin(0, true, 0)
	c.SetAccounts(0, []apportioner.Account{limit})
	c.Report(0, "h", row(0, 0, 0, 10))
	c.Apportion(0)
	first := c.Grants(0, "h")
	assert.Assert(t, first.Confirms && len(first.Rows) == 1)
	c.SetValid(0, false)
	c.Report(second, "h", row(first.Rows[0].Granted, 0, 0, 100))
	bucket, held := c.Tokens(second, 1)
	assert.Assert(t, held == 0 && bucket > 1 && bucket < 0.7*bounds.Capacity(limit))
	c.Apportion(second)
	later := c.Grants(second, "h")
	assert.Assert(t, !later.Confirms && later.Rows[0].Granted > first.Rows[0].Granted)

	h := apportioner.NewHost(bounds)
	h.Apply(0, 0, 1, first)
	h.Apply(second, second, 1, later)
	assert.Assert(t, h.Usable(apportioner.Lifetime-1, 1) > 0)
	assert.Equal(t, h.Usable(apportioner.Lifetime, 1), 0)

	// Valid again in the same term, without another controller in between: the refill does not catch up with the time in which
	// hosts used the tokens from before, but goes on.
	c.SetValid(2*second, true)
	renewed, held := c.Tokens(2*second, 1)
	assert.Assert(t, renewed+held > bucket-1e-6 && renewed+held < bucket+1e-6, "%v of %v", renewed+held, bucket)
	after, _ := c.Tokens(2*second+second/2, 1)
	assert.Assert(t, after > renewed+8-1e-6 && after < renewed+8+1e-6, "%v", after)
}

// Guards against a refill that begins too early or too late after a lapse of the lease that is longer than the life of the tokens.
func TestRefillAfterALapseOfTheLease(t *testing.T) {
	tests := []struct {
		renewed time.Duration // after the lease expired
		want    float64       // tokens in the bucket, which was empty
	}{
		{second, 0},
		{apportioner.Lifetime, 0},
		{apportioner.Lifetime + second/2, 8},
		{apportioner.Lifetime + second, 16},
		{apportioner.Lifetime + 60*second, 0.7 * 41.16},
	}
	for _, tt := range tests {
		t.Run(tt.renewed.String(), func(t *testing.T) {
			c := apportioner.NewController[string](bounds)
			c.Begin(0, true, 0)
			c.SetAccounts(0, []apportioner.Account{limit})
			asks := row(0, 0, 0, 100)
			asks.Rows[0].Waiting = 100
			c.Report(0, "h", asks)
			c.ApportionWaiting(0, "h")
			grants := c.Grants(0, "h")
			bucket, _ := c.Tokens(0, 1)
			assert.Assert(t, bucket < 1 && len(grants.Rows) == 1)
			c.SetValid(0, false)
			c.Report(0, "h", row(grants.Rows[0].Granted, 0, 0, 0))
			c.SetValid(tt.renewed, true)
			got, held := c.Tokens(tt.renewed, 1)
			want := min(bucket+tt.want, 0.7*bounds.Capacity(limit))
			assert.Assert(t, held == 0 && got > want-1e-6 && got < want+1e-6, "%v", got)
		})
	}
}

// Guards against a lease that lapses and is renewed in the same term, and a surge just before: the tokens from before the lapse and
// the refill of the same time exceed the bound together.
func TestALapseOfTheLeaseKeepsTheBound(t *testing.T) {
	for _, limit := range []apportioner.Account{{Tag: 1, Rate: 16, Burst: 16}, {Tag: 1, Rate: 16, Burst: 50}} {
		for surge := 5 * second; surge < 9*second; surge += second / 10 {
			for _, renewed := range []time.Duration{6 * second, 8 * second, 10 * second} {
				most := mostInWindow(limit, surge, 5*second, renewed)
				assert.Assert(t, float64(most) <= bounds.Bound(limit), "burst %v, surge at %v, renewed at %v: %d",
					limit.Burst, surge, renewed, most)
			}
		}
	}
}

// mostInWindow returns the most requests in a window at a host whose callers send more than the limit from surge on, while the lease
// of the controller is not valid from lapsed to renewed.
func mostInWindow(limit apportioner.Account, surge, lapsed, renewed time.Duration) (most int) {
	c, h := apportioner.NewController[string](bounds), apportioner.NewHost(bounds)
	c.Begin(0, true, 0)
	c.SetAccounts(0, []apportioner.Account{limit})
	var ran []time.Duration
	for now := time.Duration(0); now < 20*second; now += second / 50 {
		c.SetValid(now, now < lapsed || now >= renewed)
		requests := 0
		switch {
		case now >= surge:
			requests = 10
		case now%(second/2) == 0:
			requests = 1 // the host has tokens when the lease expires
		}
		waiting := 0
		for range requests {
			h.Ask(limit)
			token, verdict, _ := h.Take(now, limit)
			if verdict == apportioner.Admitted && h.Spend(now, token) {
				ran = append(ran, now)
			} else {
				waiting++
			}
		}
		h.Wait(limit, waiting)
		if c.Report(now, "h", h.Report()) {
			c.ApportionWaiting(now, "h")
		}
		h.Wait(limit, -waiting)
		c.Apportion(now)
		h.Apply(now, now, 1, c.Grants(now, "h"))
	}
	first := 0
	for i, at := range ran {
		for ran[first] <= at-bounds.Window {
			first++
		}
		most = max(most, i+1-first)
	}
	return most
}

// Guards against a refill of the time in which a host that was cut off could use all tokens. Added at once when they have expired, it
// exceeds the bound together with them.
func TestExpiredTokensAreNotReplacedAtOnce(t *testing.T) {
	c := apportioner.NewController[string](bounds)
	c.Begin(0, true, 0)
	c.SetAccounts(0, []apportioner.Account{limit})
	asks := row(0, 0, 0, 100)
	asks.Rows[0].Waiting = 100
	c.Report(0, "h", asks)
	c.ApportionWaiting(0, "h")
	c.Grants(0, "h")
	c.Remove("h")
	c.Apportion(apportioner.Lifetime - 1)
	bucket, held := c.Tokens(0, 1)
	assert.Assert(t, bucket < 1 && held > 25)
	c.Apportion(apportioner.Lifetime)
	bucket, held = c.Tokens(apportioner.Lifetime, 1)
	assert.Assert(t, held == 0 && bucket < 1, "%v", bucket)
	bucket, _ = c.Tokens(apportioner.Lifetime+second, 1)
	assert.Assert(t, bucket >= 16 && bucket < 17, "%v", bucket)
}

// Guards against an account with a small limit, without an allowance beyond it, that is never served.
func TestSmallLimitsAreServed(t *testing.T) {
	for _, limit := range []apportioner.Account{{Tag: 1, Rate: 1}, {Tag: 1, Rate: 1, Burst: 1}, {Tag: 1, Rate: 0.5, Burst: 0.5}} {
		exact := apportioner.Bounds{Window: 5 * second}
		c := apportioner.NewController[string](exact)
		c.Begin(0, true, 0)
		c.SetAccounts(0, []apportioner.Account{limit})
		bucket, _ := c.Tokens(10*second, 1)
		assert.Assert(t, bucket >= 1 && bucket <= exact.Bound(limit), "%v", bucket)
	}
}

// Guards against requests that are refused below the limit because the tokens are on a host that does not need them.
func TestIdleTokensReturnForRequestsThatWait(t *testing.T) {
	small := apportioner.Account{Tag: 1, Rate: 1, Burst: 3}
	c := apportioner.NewController[string](apportioner.Bounds{Window: 5 * second})
	c.Begin(0, true, 0)
	c.SetAccounts(0, []apportioner.Account{small})
	idle := apportioner.NewHost(bounds)
	idle.Ask(small)
	idle.Wait(small, 2)
	c.Report(0, "idle", idle.Report())
	c.Tokens(second, 1)
	c.ApportionWaiting(second, "idle")
	idle.Apply(second, second, 1, c.Grants(second, "idle"))
	idle.Wait(small, -2)
	held := idle.Usable(second, 1)
	assert.Assert(t, held > 0)
	bucket, _ := c.Tokens(second, 1)
	assert.Assert(t, bucket < 1)

	c.Report(second, "idle", idle.Report())
	waiting := apportioner.NewHost(bounds)
	waiting.Ask(small)
	waiting.Wait(small, 1)
	assert.Assert(t, c.Report(second, "waiting", waiting.Report()))
	hosts := c.ApportionWaiting(second, "waiting")
	assert.DeepEqual(t, hosts, []string{"waiting", "idle"})
	grants := c.Grants(second, "waiting")
	assert.Assert(t, len(grants.Rows) == 0 || grants.Rows[0].Wait == 0) // not beyond the limit
	assert.Assert(t, idle.Apply(second, second, 1, c.Grants(second, "idle")))
	c.Report(second, "idle", idle.Report())
	c.ApportionWaiting(second, "waiting")
	waiting.Apply(second, second, 1, c.Grants(second, "waiting"))
	assert.Assert(t, waiting.Usable(second, 1) > 0)
}

package coordinator

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/apportioner"
	"rhubarbtrack.example/core/contender"
	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/platform/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
)

// Guards against a controller that gives tokens after several short terms of others, whose tokens hosts may still use.
func TestShortTermsOfOthersAreCounted(t *testing.T) {
	type seen struct {
		after time.Duration
		term  uint64
	}
	tests := []struct {
		name  string
		seen  []seen
		after time.Duration
		term  uint64
		want  int
	}{
		{"the first term", nil, 0, 1, 0},
		{"a long term before", []seen{{0, 1}, {time.Second, 2}}, 10 * time.Second, 3, 0},
		{"a short term before", []seen{{0, 1}, {10 * time.Second, 2}}, 11 * time.Second, 3, 1},
		{"two short terms before", []seen{{0, 1}, {10 * time.Second, 2}, {11 * time.Second, 3}}, 12 * time.Second, 4, 2},
		{"terms that were missed", []seen{{0, 1}, {10 * time.Second, 4}}, 11 * time.Second, 5, 3},
		{"a host that has just started", []seen{{10 * time.Second, 8}}, 11 * time.Second, 9, 1},
		{"the same term again", []seen{{0, 1}, {10 * time.Second, 2}, {11 * time.Second, 2}}, 12 * time.Second, 3, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQuotas()
			bounds := apportioner.Bounds{Window: 5 * time.Second}
			for _, s := range tt.seen {
				q.observeTerm(time.Minute+s.after, bounds.Window, s.term)
			}
			assert.Equal(t, q.begin(time.Minute+tt.after, bounds, tt.term, false), tt.want)
		})
	}
}

// Guards against messages that change without client accounts, and against a controller that confirms tokens without a valid lease.
func TestTokensAreConfirmedOnlyWithAValidLease(t *testing.T) {
	now := time.Minute
	log := eventlog.New(zap.NewNop())
	c := New(Options{
		Host: "h", Now: func() time.Duration { return now }, Log: log,
		Follower: follower.New(follower.Options{Store: storer.New("127.0.0.1:1"), Log: log, Now: func() time.Duration { return now }}),
	})
	renew := func() {
		c.contender.Step(now, contender.WriteResult{SentAt: now, Record: contender.Record{Revision: 1, Holder: "h", Term: 1}})
	}
	c.snapshot = &follower.Snapshot{Config: &matcher.Config{}}
	renew()
	assert.Assert(t, c.grantsFor(nil) == nil, "no accounts")
	c.snapshot = &follower.Snapshot{Config: &matcher.Config{HasAccounts: true, Accounts: []matcher.Account{{Name: "a", Rate: 1}}}}
	assert.Assert(t, c.grantsFor(nil).Confirms)
	now += contender.LeaseDuration
	assert.Assert(t, !c.grantsFor(nil).Confirms)
	renew()
	assert.Assert(t, c.grantsFor(nil).Confirms)
}

// Guards against counts of a ledger of the last controller that are applied to the ledger of this one with the same number.
func TestReportsOfAnotherTermDoNotCount(t *testing.T) {
	for _, tt := range []struct {
		name  string
		term  uint64
		spent float64
	}{{"this term", 2, 1}, {"the term before", 1, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Minute
			log := eventlog.New(zap.NewNop())
			c := New(Options{
				Host: "h", Now: func() time.Duration { return now }, Log: log,
				Follower: follower.New(follower.Options{Store: storer.New("127.0.0.1:1"), Log: log, Now: func() time.Duration { return now }}),
			})
			c.snapshot = &follower.Snapshot{Config: &matcher.Config{
				HasAccounts: true, Accounts: []matcher.Account{{Name: "a", Rate: 10, Burst: 10}},
			}}
			c.contender.Step(now, contender.WriteResult{SentAt: now, Record: contender.Record{Revision: 1, Holder: "h", Term: 2}})
			c.quotas.begin(now, apportioner.Bounds{Window: 5 * time.Second}, 2, true)
			tag := apportioner.TagOf("a")
			c.handleQuotas(nil, apportioner.Report{Rows: []apportioner.ReportRow{{Account: tag, Asked: 10}}})
			c.apportion(now)
			ledger := c.grantsFor(nil).Ledger
			_, held := c.quotas.controller.Tokens(now, tag)
			assert.Assert(t, held > 1)
			rows := []apportioner.ReportRow{{Account: tag, Spent: 1}}
			c.handleQuotas(nil, apportioner.Report{Term: tt.term, Ledger: ledger, Rows: rows})
			_, after := c.quotas.controller.Tokens(now, tag)
			assert.Equal(t, held-after, tt.spent)
		})
	}
}

package leaser_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/upstreamsim/internal/leaser"
)

const lifetime = 1800 * time.Millisecond

// Guards against an order that a stale controller, a replayed nonce or a delayed message could get accepted.
func TestApplyRejectsUnsafeOrders(t *testing.T) {
	tests := []struct {
		name    string
		term    uint64
		nonce   func(issued []string) string
		at      time.Duration
		unsafe  bool
		refusal string
		term2   uint64
	}{
		{name: "current nonce", term: 7, nonce: last, at: time.Second, term2: 7},
		{name: "lower term", term: 6, nonce: last, refusal: leaser.StaleTerm, term2: 7},
		{name: "lower term, no fences", term: 6, nonce: last, unsafe: true, term2: 7},
		{name: "older nonce", term: 7, nonce: first, refusal: leaser.StaleNonce, term2: 7},
		{name: "unknown nonce", term: 8, nonce: none, refusal: leaser.StaleNonce, term2: 8},
		{name: "delayed beyond the lifetime", term: 7, nonce: last, at: lifetime, refusal: leaser.ExpiredNonce, term2: 7},
		{name: "query", term: 9, nonce: empty, term2: 9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lease := leaser.New("i", !test.unsafe)
			issued := []string{lease.Apply(0, leaser.Order{Term: 7}).Nonce, lease.Apply(0, leaser.Order{Term: 7}).Nonce}
			reply := lease.Apply(test.at, leaser.Order{
				Term: test.term, Nonce: test.nonce(issued), Lifetime: lifetime, Add: []leaser.SliceEpoch{{Slice: 1, Epoch: 1}},
			})
			assert.Equal(t, reply.Error, test.refusal)
			assert.Equal(t, reply.Term, test.term2)
			accepted := test.refusal == "" && test.nonce(issued) != ""
			assert.Equal(t, len(reply.Held) == 1, accepted)
		})
	}
}

// Guards against a fence that is accepted for another term, another epoch, or after the lease ended.
func TestHoldsComparesSliceTermAndEpoch(t *testing.T) {
	tests := []struct {
		name  string
		at    time.Duration
		grant leaser.Grant
		want  bool
	}{
		{name: "equal", grant: leaser.Grant{Slice: 1, Term: 7, Epoch: 3}, want: true},
		{name: "other slice", grant: leaser.Grant{Slice: 2, Term: 7, Epoch: 3}},
		{name: "other term", grant: leaser.Grant{Slice: 1, Term: 8, Epoch: 3}},
		{name: "other epoch", grant: leaser.Grant{Slice: 1, Term: 7, Epoch: 2}},
		{name: "just before the end", at: lifetime - 1, grant: leaser.Grant{Slice: 1, Term: 7, Epoch: 3}, want: true},
		{name: "at the end", at: lifetime, grant: leaser.Grant{Slice: 1, Term: 7, Epoch: 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lease := leaser.New("i", true)
			nonce := lease.Apply(0, leaser.Order{Term: 7}).Nonce
			// The order arrives late; the lease still ends one lifetime after the nonce was issued.
			lease.Apply(time.Second, leaser.Order{Term: 7, Nonce: nonce, Lifetime: lifetime, Add: []leaser.SliceEpoch{{Slice: 1, Epoch: 3}}})
			assert.Equal(t, lease.Holds(max(test.at, time.Second), test.grant), test.want)
		})
	}
}

// Guards against slices that come back by a mere renewal after the lease ended.
func TestExpiredSlicesMustBeAddedAgain(t *testing.T) {
	lease := leaser.New("i", true)
	nonce := lease.Apply(0, leaser.Order{Term: 7}).Nonce
	lease.Apply(0, leaser.Order{Term: 7, Nonce: nonce, Lifetime: lifetime, Add: []leaser.SliceEpoch{{Slice: 1, Epoch: 3}}})
	nonce = lease.Apply(lifetime, leaser.Order{Term: 7}).Nonce
	reply := lease.Apply(lifetime, leaser.Order{Term: 7, Nonce: nonce, Lifetime: lifetime})
	assert.Equal(t, reply.Error, "")
	assert.Equal(t, len(reply.Held), 0)
	assert.DeepEqual(t, reply.LastHeld, []leaser.Grant{{Slice: 1, Term: 7, Epoch: 3}})
}

func first(issued []string) string { return issued[0] }
func last(issued []string) string  { return issued[1] }
func none([]string) string         { return "x" }
func empty([]string) string        { return "" }

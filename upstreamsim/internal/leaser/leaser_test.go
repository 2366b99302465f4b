package leaser_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/upstreamsim/internal/leaser"
)

const lifetime = 1800 * time.Millisecond

// Guards against accepting an order from a superseded controller, with a replayed nonce, or delayed beyond its
// lifetime.
func TestApplyRejectsUnsafeOrders(t *testing.T) {
	tests := []struct {
		name      string
		term      uint64
		nonce     func(issued []string) string
		elapsed   time.Duration
		noFences  bool
		wantError string
		wantTerm  uint64
	}{
		{name: "current nonce", term: 7, nonce: lastNonce, elapsed: time.Second, wantTerm: 7},
		{name: "lower term", term: 6, nonce: lastNonce, wantError: leaser.StaleTerm, wantTerm: 7},
		{name: "lower term, no fences", term: 6, nonce: lastNonce, noFences: true, wantTerm: 7},
		{name: "older nonce", term: 7, nonce: firstNonce, wantError: leaser.StaleNonce, wantTerm: 7},
		{name: "unknown nonce", term: 8, nonce: unknownNonce, wantError: leaser.StaleNonce, wantTerm: 8},
		{name: "delayed beyond the lifetime", term: 7, nonce: lastNonce, elapsed: lifetime, wantError: leaser.ExpiredNonce, wantTerm: 7},
		{name: "query", term: 9, nonce: emptyNonce, wantTerm: 9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lease := leaser.New("i", !test.noFences)
			issued := []string{lease.Apply(0, leaser.Order{Term: 7}).Nonce, lease.Apply(0, leaser.Order{Term: 7}).Nonce}
			reply := lease.Apply(test.elapsed, leaser.Order{
				Term: test.term, Nonce: test.nonce(issued), Lifetime: lifetime, Add: []leaser.SliceEpoch{{Slice: 1, Epoch: 1}},
			})
			assert.Equal(t, reply.Error, test.wantError)
			assert.Equal(t, reply.Term, test.wantTerm)
			accepted := test.wantError == "" && test.nonce(issued) != ""
			assert.Equal(t, len(reply.Held) == 1, accepted)
		})
	}
}

// Guards against accepting a fence of another slice, term or epoch, or one that arrives after the lease has expired.
func TestHoldsComparesSliceTermAndEpoch(t *testing.T) {
	tests := []struct {
		name    string
		elapsed time.Duration
		grant   leaser.Grant
		want    bool
	}{
		{name: "equal", grant: leaser.Grant{Slice: 1, Term: 7, Epoch: 3}, want: true},
		{name: "other slice", grant: leaser.Grant{Slice: 2, Term: 7, Epoch: 3}},
		{name: "other term", grant: leaser.Grant{Slice: 1, Term: 8, Epoch: 3}},
		{name: "other epoch", grant: leaser.Grant{Slice: 1, Term: 7, Epoch: 2}},
		{name: "just before expiry", elapsed: lifetime - 1, grant: leaser.Grant{Slice: 1, Term: 7, Epoch: 3}, want: true},
		{name: "at expiry", elapsed: lifetime, grant: leaser.Grant{Slice: 1, Term: 7, Epoch: 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			lease := leaser.New("i", true)
			nonce := lease.Apply(0, leaser.Order{Term: 7}).Nonce
			// The order arrives 1 s late; the lease still expires one lifetime after the nonce was issued.
			lease.Apply(time.Second, leaser.Order{Term: 7, Nonce: nonce, Lifetime: lifetime, Add: []leaser.SliceEpoch{{Slice: 1, Epoch: 3}}})
			assert.Equal(t, lease.Holds(max(test.elapsed, time.Second), test.grant), test.want)
		})
	}
}

// Guards against a renewal that restores slices after the lease has expired. Another upstream may hold them by then.
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

func firstNonce(issued []string) string { return issued[0] }
func lastNonce(issued []string) string  { return issued[1] }
func unknownNonce([]string) string      { return "x" }
func emptyNonce([]string) string        { return "" }

package matcher

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against the priority of an account that has no effect, that makes requests urgent which none precede, or that ends the order
// of routes between equal accounts.
func TestThePriorityOfAnAccountGoesBeforeThatOfTheRoute(t *testing.T) {
	with := func(priority int) Account { return Account{Name: "a", Priority: priority, HasPriority: true} }
	without := Account{Name: "b"}
	tests := []struct {
		name       string
		accounts   []Account
		account    *Account // of the request
		public     bool
		wantFirst  bool // requests of the route with priority 1 are urgent
		wantSecond bool // those of the route with priority 2
	}{
		{"no accounts", nil, nil, false, true, false},
		{"account without priority", []Account{without}, &without, false, true, false},
		{"one priority for all accounts", []Account{with(1)}, &Account{Priority: 1, HasPriority: true}, false, true, false},
		{"higher than other accounts", []Account{with(0), with(1)}, &Account{Priority: 0, HasPriority: true}, false, true, true},
		{"lowest account", []Account{with(0), with(3)}, &Account{Priority: 3, HasPriority: true}, false, true, false},
		{"no priority beside a lower one", []Account{without, with(3)}, &without, false, true, true},
		{"public routes keep theirs", []Account{with(0)}, nil, true, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			split := []Share{{Service: "s", Weight: 1}}
			config := Config{HasAccounts: tt.accounts != nil, Accounts: tt.accounts, Hosts: map[string][]Route{"h": {
				{Prefix: "/first/", Priority: 1, Split: split, Public: tt.public}, {Prefix: "/second/", Priority: 2, Split: split, Public: tt.public},
			}}}
			config.Sort()
			first, _ := config.Match("h", "/first/x")
			second, _ := config.Match("h", "/second/x")
			assert.Equal(t, first.UrgentFor(tt.account), tt.wantFirst)
			assert.Equal(t, second.UrgentFor(tt.account), tt.wantSecond)
			assert.Assert(t, first.PriorityFor(tt.account) < second.PriorityFor(tt.account))
			if tt.accounts == nil {
				assert.Equal(t, first.PriorityFor(nil), 1)
				assert.Equal(t, first.Urgent, tt.wantFirst)
			}
		})
	}
}

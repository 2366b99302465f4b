// Package authenticator decides whether a request may run for a client account, by the key that its caller sent and by the age of
// the configuration that lists the keys.
//
// A key that was taken away must stop to work within a bounded time, also at a host that cannot read the configuration any more.
// The age of the configuration is the time since it was last known to be the newest. Beyond Limits.MaxAge, no key is accepted,
// because it may have been taken away. Beyond Limits.MaxDenyAge, or if a newer version is known to exist, an unknown key is not
// denied, because it may have been added. Both requests have not run, and another host may serve them.
//
// Keys are compared as digests. They are found by a hash with a random seed, and then compared in constant time, so that the time
// of a decision does not tell how much of a digest is right.
//
// # Usage
//
//	a := authenticator.New(config)
//	credentials := authenticator.ReadCredentials(request.Header["Authorization"])
//	switch v := a.Decide(limits, authenticator.Request{Credentials: credentials, Age: age}); v.Decision {
//	case authenticator.Allowed: // for v.Account
//	case authenticator.NotNeeded:
//	case authenticator.Unknown: // 401
//	case authenticator.Outdated, authenticator.Undecided: // 503, not run; the caller may retry after v.Wait
//	}
//
// An Authenticator is immutable and safe for concurrent use.
package authenticator

import (
	"crypto/subtle"
	"hash/maphash"
	"slices"
	"strings"
	"time"

	"rhubarbtrack.example/core/matcher"
)

const (
	// scheme is the authentication scheme of keys. Its letter case does not matter (RFC 9110, section 11.1).
	scheme = "Bearer"
	// margin is the part of the time after which a key must not work any more that is reserved for what the age does not cover. After
	// a decision, a connection to the upstream is opened within 0.3 s, and the request is in transit. Before a store drops its
	// history, watches may return without a change for a second, and so confirm a configuration that is not the newest.
	margin = 1500 * time.Millisecond
	// wait is the time after which a caller may retry a request that cannot be decided. Another host, or this one with its next
	// reading of the configuration, is likely to decide it then.
	wait = 300 * time.Millisecond
)

// Limits bound the age of a configuration by which requests are decided.
type Limits struct {
	MaxAge     time.Duration // up to which keys are accepted; 0: no limit
	MaxDenyAge time.Duration // up to which unknown keys are denied
}

// MaxAge returns Limits.MaxAge for the time after which a key that was taken away must not work any more; 0 stands for no limit.
func MaxAge(revocation time.Duration) time.Duration {
	return revocation - min(margin, revocation/2)
}

// Credentials are what a caller has sent to authenticate a request.
type Credentials struct {
	// HasKey is set if there is exactly one key. It is not set for several fields, another scheme or an empty key.
	HasKey bool
	Key    matcher.KeyDigest
}

// ReadCredentials reads the values of the header field Authorization.
func ReadCredentials(values []string) Credentials {
	if len(values) != 1 {
		return Credentials{}
	}
	name, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimLeft(key, " ")
	if !strings.EqualFold(name, scheme) || key == "" {
		return Credentials{}
	}
	return Credentials{HasKey: true, Key: matcher.DigestKey(key)}
}

// Request is what a decision depends on, besides the accounts.
type Request struct {
	Credentials Credentials
	Public      bool          // the route needs no key
	Age         time.Duration // of the configuration
	Superseded  bool          // a newer version of the configuration is known to exist
}

// Decision is whether a request may run.
type Decision int

const (
	// NotNeeded means that the request needs no key.
	NotNeeded Decision = iota + 1
	// Allowed means that the key belongs to an account.
	Allowed
	// Unknown means that the request needs a key and has none, or one that belongs to no account.
	Unknown
	// Outdated means that the configuration is too old to accept any key.
	Outdated
	// Undecided means that the key is unknown, and a newer version of the configuration may have it.
	Undecided
)

// String implements fmt.Stringer.
func (d Decision) String() string {
	return [...]string{"", "not-needed", "allowed", "unknown", "outdated", "undecided"}[d]
}

// Verdict is a decision. Account is set with Allowed, Wait with Outdated and Undecided.
type Verdict struct {
	Decision Decision
	Account  *matcher.Account
	Wait     time.Duration
}

// entry refers to a key of an account. The indexes keep it short, because a configuration may have ten thousands of keys.
type entry struct {
	hash         uint64
	account, key int32
}

// Authenticator holds the accounts of one version of the configuration. One that is nil needs no keys.
type Authenticator struct {
	accounts []matcher.Account
	seed     maphash.Seed
	entries  []entry // sorted by hash, then in the order of the configuration
}

// New returns an authenticator for the accounts of a configuration, or nil if requests need no keys. The configuration must not be
// changed later. If several accounts list a key, it belongs to the first one.
func New(config *matcher.Config) *Authenticator {
	if !config.HasAccounts {
		return nil
	}
	a := &Authenticator{accounts: config.Accounts, seed: maphash.MakeSeed()}
	count := 0
	for i := range a.accounts {
		count += len(a.accounts[i].Keys)
	}
	a.entries = make([]entry, 0, count)
	for i := range a.accounts {
		for k := range a.accounts[i].Keys {
			a.entries = append(a.entries, entry{a.hash(a.accounts[i].Keys[k]), int32(i), int32(k)})
		}
	}
	slices.SortStableFunc(a.entries, compareHash)
	return a
}

func compareHash(x, y entry) int {
	switch {
	case x.hash < y.hash:
		return -1
	case x.hash > y.hash:
		return 1
	}
	return 0
}

func (a *Authenticator) hash(key matcher.KeyDigest) uint64 { return maphash.Bytes(a.seed, key[:]) }

// find returns the account of a key, or nil.
func (a *Authenticator) find(key matcher.KeyDigest) *matcher.Account {
	hash := a.hash(key)
	i, _ := slices.BinarySearchFunc(a.entries, entry{hash: hash}, compareHash)
	for ; i < len(a.entries) && a.entries[i].hash == hash; i++ {
		account := &a.accounts[a.entries[i].account]
		if subtle.ConstantTimeCompare(account.Keys[a.entries[i].key][:], key[:]) == 1 {
			return account
		}
	}
	return nil
}

// Decide decides whether a request may run now.
func (a *Authenticator) Decide(limits Limits, r Request) Verdict {
	if a == nil || r.Public {
		return Verdict{Decision: NotNeeded}
	}
	if limits.MaxAge > 0 && r.Age > limits.MaxAge {
		return Verdict{Decision: Outdated, Wait: wait}
	}
	if r.Credentials.HasKey {
		if account := a.find(r.Credentials.Key); account != nil {
			return Verdict{Decision: Allowed, Account: account}
		}
	}
	if r.Superseded || r.Age > limits.MaxDenyAge {
		return Verdict{Decision: Undecided, Wait: wait}
	}
	return Verdict{Decision: Unknown}
}

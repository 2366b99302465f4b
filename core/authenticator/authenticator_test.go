package authenticator

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/matcher"
)

const ms = time.Millisecond

var limits = Limits{MaxAge: 4500 * ms, MaxDenyAge: 2000 * ms}

func digests(keys ...string) []matcher.KeyDigest {
	var list []matcher.KeyDigest
	for _, key := range keys {
		list = append(list, matcher.DigestKey(key))
	}
	return list
}

// longKey is longer than a block of the digest and than any buffer of a host's own.
var longKey = strings.Repeat("k", 12<<10)

// anyBytes holds all bytes that may occur in the value of a header field, except a space at its begin or end.
var anyBytes = func() string {
	var b strings.Builder
	for c := 0x21; c <= 0xff; c++ {
		if c != 0x7f {
			b.WriteByte(byte(c))
		}
	}
	return b.String()
}()

var config = &matcher.Config{HasAccounts: true, Accounts: []matcher.Account{
	{Name: "a", Keys: digests("a-1", "a-2", "shared", "x")},
	{Name: "b", Keys: digests("b-1", longKey, anyBytes, "two words", "shared", "Bearer")},
	{Name: "c"},
}}

// Guards against credentials that are read in another way than callers write them, and against a caller that gets an account without
// one of its keys.
func TestCredentials(t *testing.T) {
	for _, tt := range []struct {
		name    string
		values  []string
		account string // empty: unknown
	}{
		{"first key", []string{"Bearer a-1"}, "a"},
		{"second key", []string{"Bearer a-2"}, "a"},
		{"another account", []string{"Bearer b-1"}, "b"},
		{"key of one byte", []string{"Bearer x"}, "a"},
		{"long key", []string{"Bearer " + longKey}, "b"},
		{"long key with another end", []string{"Bearer " + longKey + "k"}, ""},
		{"any bytes", []string{"Bearer " + anyBytes}, "b"},
		{"key with a space", []string{"Bearer two words"}, "b"},
		{"key that looks like the scheme", []string{"Bearer Bearer"}, "b"},
		{"key of two accounts", []string{"Bearer shared"}, "a"},
		{"lower-case scheme", []string{"bearer a-1"}, "a"},
		{"upper-case scheme", []string{"BEARER a-1"}, "a"},
		{"several spaces", []string{"Bearer   a-1"}, "a"},
		{"unknown key", []string{"Bearer a-3"}, ""},
		{"prefix of a key", []string{"Bearer a-"}, ""},
		{"key in another letter case", []string{"Bearer A-1"}, ""},
		{"key with more behind it", []string{"Bearer a-1,a-2"}, ""},
		{"digest of a key", []string{"Bearer " + fmt.Sprintf("%x", matcher.DigestKey("a-1"))}, ""},
		{"no field", nil, ""},
		{"empty field", []string{""}, ""},
		{"only a space", []string{" "}, ""},
		{"scheme only", []string{"Bearer"}, ""},
		{"scheme and space", []string{"Bearer "}, ""},
		{"key without a scheme", []string{"a-1"}, ""},
		{"no space", []string{"Bearera-1"}, ""},
		{"tab", []string{"Bearer\ta-1"}, ""},
		{"other scheme", []string{"Basic a-1"}, ""},
		{"longer scheme", []string{"BearerToken a-1"}, ""},
		{"scheme with a folded letter", []string{"Bearer\u017f a-1"}, ""},
		{"the same key twice", []string{"Bearer a-1", "Bearer a-1"}, ""},
		{"two keys", []string{"Bearer a-1", "Bearer b-1"}, ""},
		{"empty and a key", []string{"", "Bearer a-1"}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			verdict := New(config).Decide(limits, Request{Credentials: ReadCredentials(tt.values)})
			if tt.account == "" {
				assert.DeepEqual(t, verdict, Verdict{Decision: Unknown})
				return
			}
			assert.Equal(t, verdict.Decision, Allowed)
			assert.Equal(t, verdict.Account.Name, tt.account)
		})
	}
}

// Guards against a key that works longer than it may, and against a denial by a host that may lack the configuration with the key.
func TestAgeOfTheConfiguration(t *testing.T) {
	for _, tt := range []struct {
		name       string
		key        string
		age        time.Duration
		public     bool
		superseded bool
		want       Decision
	}{
		{"known", "a-1", 0, false, false, Allowed},
		{"unknown", "z", 0, false, false, Unknown},
		{"known, newer version announced", "a-1", 0, false, true, Allowed},
		{"unknown, newer version announced", "z", 0, false, true, Undecided},
		{"unknown, at the limit for denials", "z", 2000 * ms, false, false, Unknown},
		{"unknown, beyond it", "z", 2001 * ms, false, false, Undecided},
		{"known, beyond it", "a-1", 2001 * ms, false, false, Allowed},
		{"known, at the limit for keys", "a-1", 4500 * ms, false, false, Allowed},
		{"known, beyond it", "a-1", 4501 * ms, false, false, Outdated},
		{"unknown, beyond both", "z", 4501 * ms, false, false, Outdated},
		{"known, long ago", "a-1", 1 << 62, false, false, Outdated},
		{"public", "", 0, true, false, NotNeeded},
		{"public, unknown key", "z", 0, true, false, NotNeeded},
		{"public, long ago", "", 1 << 62, true, true, NotNeeded},
		{"clock behind the confirmation", "a-1", -1 * ms, false, false, Allowed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			verdict := New(config).Decide(limits, Request{
				Credentials: ReadCredentials([]string{"Bearer " + tt.key}), Public: tt.public, Age: tt.age, Superseded: tt.superseded,
			})
			assert.Equal(t, verdict.Decision, tt.want)
			assert.Equal(t, verdict.Account != nil, tt.want == Allowed)
			assert.Equal(t, verdict.Wait > 0, tt.want == Outdated || tt.want == Undecided)
		})
	}
	t.Run("no limit for keys", func(t *testing.T) {
		r := Request{Credentials: ReadCredentials([]string{"Bearer a-1"}), Age: 1 << 62}
		assert.Equal(t, New(config).Decide(Limits{MaxAge: MaxAge(0), MaxDenyAge: 2000 * ms}, r).Decision, Allowed)
	})
}

// Guards against a deployment without accounts that rejects requests.
func TestConfigurationWithoutAccountsNeedsNoKeys(t *testing.T) {
	for _, age := range []time.Duration{0, 1 << 62} {
		r := Request{Age: age, Superseded: true}
		assert.DeepEqual(t, New(&matcher.Config{}).Decide(limits, r), Verdict{Decision: NotNeeded})
	}
	// An empty list of accounts is not the same: no key is valid.
	empty := New(&matcher.Config{HasAccounts: true})
	assert.Equal(t, empty.Decide(limits, Request{Credentials: ReadCredentials([]string{"Bearer a-1"})}).Decision, Unknown)
}

// Guards against a margin that is longer than a short time.
func TestMaxAge(t *testing.T) {
	for _, tt := range []struct{ revocation, want time.Duration }{
		{5000 * ms, 3500 * ms}, {3000 * ms, 1500 * ms}, {1000 * ms, 500 * ms}, {0, 0},
	} {
		assert.Equal(t, MaxAge(tt.revocation), tt.want)
	}
}

// manyAccounts returns a configuration with 10,000 accounts of 3 keys.
func manyAccounts() *matcher.Config {
	const accounts, keys = 10_000, 3
	config := &matcher.Config{HasAccounts: true}
	for i := range accounts {
		account := matcher.Account{Name: fmt.Sprintf("account-%d", i), Keys: make([]matcher.KeyDigest, 0, keys)}
		for k := range keys {
			account.Keys = append(account.Keys, matcher.DigestKey(fmt.Sprintf("key-%d-%d", i, k)))
		}
		config.Accounts = append(config.Accounts, account)
	}
	return config
}

// Guards against an authenticator that takes a large part of the memory of the smallest host, which has 144 MB. While a version
// replaces another one, a host holds both.
func TestMemoryOfManyAccounts(t *testing.T) {
	const most = 8 << 20
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	config := manyAccounts()
	a := New(config)
	used := int64(heap()) - int64(before)
	t.Logf("%d KB", used>>10)
	assert.Assert(t, used < most, "%d bytes", used)
	for _, i := range []int{0, 4711, 9999} {
		for k := range 3 {
			r := Request{Credentials: ReadCredentials([]string{fmt.Sprintf("Bearer key-%d-%d", i, k)})}
			assert.Equal(t, a.Decide(limits, r).Account, &config.Accounts[i])
		}
	}
	runtime.KeepAlive(config)
}

func BenchmarkNew(b *testing.B) {
	config := manyAccounts()
	for b.Loop() {
		New(config)
	}
}

func BenchmarkDecide(b *testing.B) {
	a := New(manyAccounts())
	values := []string{"Bearer key-4711-1"}
	for b.Loop() {
		a.Decide(limits, Request{Credentials: ReadCredentials(values)})
	}
}

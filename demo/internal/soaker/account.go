package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"rhubarbtrack.example/platform/simulator"
)

const (
	// accountSeedInterval: the configuration has client accounts in runs whose seeds are divisible by it.
	accountSeedInterval = 2
	// lastingKey is the key of lastingAccount, which is never taken away.
	lastingKey     = "lasting-key"
	lastingAccount = "lasting"
	// changingAccount has one key, which is taken away after keyChangeInterval on average.
	changingAccount   = "changing"
	keyChangeInterval = 1200 * time.Millisecond
	// formerKeyPause is the pause between two requests with keys of changingAccount.
	formerKeyPause   = 20 * time.Millisecond
	formerKeyAttempt = "former-key-" // prefix of the attempts of these requests
	// rejectionTime leaves time for requests with keys that were taken away at its begin.
	rejectionTime = simulator.RevocationTime + 3*time.Second
	// formerKeys is the number of keys that are used after they were taken away, for about twice the time after which they must not work.
	formerKeys = 9
)

func credentials(key string) string { return "Bearer " + key }

// keyUse is a request with a key of changingAccount.
type keyUse struct {
	attempt string
	key     int
	begin   time.Time
	host    string
}

// accounts holds the keys of the client accounts of a run.
type accounts struct {
	mutex     sync.Mutex
	key       int               // number of the key of changingAccount
	takenAway map[int]time.Time // when the store had acknowledged that
	uses      []keyUse
}

func newAccounts() *accounts { return &accounts{takenAway: map[int]time.Time{}} }

func changingKey(n int) string { return fmt.Sprintf("changing-key-%d", n) }

func (a *accounts) configuration(version int) map[string]any {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return simulator.ConfigurationWithAccounts(version, simulator.Account{Name: lastingAccount, Keys: []string{lastingKey}},
		simulator.Account{Name: changingAccount, Keys: []string{changingKey(a.key)}})
}

// changeKeys replaces the key of changingAccount again and again until ctx is done.
func (c *cluster) changeKeys(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.options.Seed, 4))
	for {
		sleep(ctx, keyChangeInterval/2+time.Duration(random.Int64N(int64(keyChangeInterval))))
		if ctx.Err() != nil {
			return
		}
		c.accounts.mutex.Lock()
		former := c.accounts.key
		c.accounts.key++
		c.accounts.mutex.Unlock()
		if err := c.putConfiguration(1); err != nil {
			c.logf("configuration: %v", err)
			return
		}
		c.accounts.mutex.Lock()
		c.accounts.takenAway[former] = time.Now()
		c.accounts.mutex.Unlock()
	}
}

// rejectHosts makes the store reject all hosts, in the middle of the run, for longer than a key may work that was taken away. The
// other faults are shorter.
func (c *cluster) rejectHosts(ctx context.Context) {
	sleep(ctx, c.options.Length/4)
	c.logf("store rejects all hosts")
	c.isRejecting.Store(true)
	sleep(ctx, rejectionTime)
	c.isRejecting.Store(false)
	c.logf("store serves hosts again")
}

func (c *cluster) serveHosts(w http.ResponseWriter, r *http.Request) {
	if c.isRejecting.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.store.ServeHTTP(w, r)
}

// useFormerKeys sends requests with the present and former keys of changingAccount to random hosts until ctx is done. Half of them
// name another account.
func (c *cluster) useFormerKeys(ctx context.Context) {
	random := rand.New(rand.NewPCG(c.options.Seed, 5))
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	addresses := c.callerAddresses()
	for n := 0; ctx.Err() == nil; n++ {
		c.accounts.mutex.Lock()
		use := keyUse{
			attempt: fmt.Sprintf("%s%d", formerKeyAttempt, n), key: max(0, c.accounts.key-random.IntN(formerKeys)), begin: time.Now(),
			host: addresses[random.IntN(len(addresses))],
		}
		c.accounts.uses = append(c.accounts.uses, use)
		c.accounts.mutex.Unlock()
		call := simulator.Call{
			Prefix: simulator.PlainPrefix, Name: use.attempt, Attempt: use.attempt, TimeLeft: timeLeft, Caller: credentials(changingKey(use.key)),
		}
		if n%2 == 0 {
			call.Account = lastingAccount
		}
		go func() { _, _ = call.Send(client, use.host) }() // upstreams show whether it has run
		sleep(ctx, formerKeyPause)
	}
}

// check finds requests that ran with a key of a caller, or under the name of another account, and requests with a key that was taken
// away that were sent later than simulator.RevocationTime after that and ran.
func (a *accounts) check(report *Report, lines []simulator.Line) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	ran := map[string]bool{}
	for _, line := range lines {
		if line.Attempt == "" {
			continue
		}
		ran[line.Attempt] = true
		want := lastingAccount
		if strings.HasPrefix(line.Attempt, formerKeyAttempt) {
			want = changingAccount
		}
		if line.HasCredentials || !slices.Equal(line.Accounts, []string{want}) {
			report.addViolation("account: %s ran at %s for %q, with credentials: %v", line.Attempt, line.Upstream, line.Accounts, line.HasCredentials)
		}
	}
	for _, use := range a.uses {
		at, known := a.takenAway[use.key]
		if known && ran[use.attempt] && use.begin.After(at.Add(simulator.RevocationTime)) {
			report.addViolation("key: %s ran at %s %v after its key was taken away", use.attempt, use.host, use.begin.Sub(at))
		}
	}
}

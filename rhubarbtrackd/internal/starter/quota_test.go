package starter_test

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/apportioner"
	"rhubarbtrack.example/platform/simulator"
)

const (
	quotaWindow = 5 * time.Second
	// quotaApplyTime is the time within which all hosts apply a lower limit.
	quotaApplyTime = 2500 * time.Millisecond
)

var limited = simulator.Account{Name: "limited", Keys: []string{"key-of-limited-17a0"}, Rate: 20, Burst: 20}

func quotaBound(a simulator.Account) int {
	return int((a.Rate*quotaWindow.Seconds()+a.Burst)*1.1 + 20)
}

// accountCall is a request of the account in the tests of limits.
type accountCall struct {
	attempt    string
	sentAt     time.Time
	status     int
	retryAfter float64 // seconds
}

// callAccount sends requests at a rate to the hosts in turn, and returns them when all have ended.
func callAccount(hosts []*testHost, perSecond float64, length time.Duration) []accountCall {
	var mutex sync.Mutex
	var calls []accountCall
	var group sync.WaitGroup
	interval := time.Duration(float64(time.Second) / perSecond)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := range int(length / interval) {
		<-ticker.C
		group.Go(func() {
			call := accountCall{sentAt: time.Now()}
			attempt, response := requestWith(hosts[n%len(hosts)], simulator.PlainPrefix+"x", bearer(limited.Keys[0]))
			call.attempt = attempt
			if response != nil {
				call.status = response.StatusCode
				call.retryAfter, _ = strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			}
			mutex.Lock()
			defer mutex.Unlock()
			calls = append(calls, call)
		})
	}
	group.Wait()
	return calls
}

const (
	// maxPause is how long the process may stand still in a test whose calls must all be served. Tokens of hosts that stand still
	// for longer expire, as they must.
	maxPause    = 400 * time.Millisecond
	steadyTries = 6
)

// pause returns the longest time for which the process stood still until stop was called.
func pause() (stop func() time.Duration) {
	done, longest := make(chan struct{}), make(chan time.Duration)
	go func() {
		most, last := time.Duration(0), time.Now()
		for {
			select {
			case <-done:
				longest <- most
				return
			case <-time.After(10 * time.Millisecond):
				most, last = max(most, time.Since(last)), time.Now()
			}
		}
	}()
	return func() time.Duration {
		close(done)
		return <-longest
	}
}

// callServed sends calls as callAccount does, all of which must be served. It repeats them if the process stood still meanwhile.
func callServed(t *testing.T, hosts []*testHost, perSecond float64, length time.Duration) []accountCall {
	t.Helper()
	for range steadyTries {
		stop := pause()
		calls := callAccount(hosts, perSecond, length)
		if longest := stop(); longest > maxPause {
			t.Logf("the process stood still for %v", longest)
			time.Sleep(2 * time.Second)
			continue
		}
		for _, call := range calls {
			assert.Equal(t, call.status, http.StatusOK, "attempt %s", call.attempt)
		}
		return calls
	}
	t.Fatal("the process stood still in all tries")
	return nil
}

func countStatus(calls []accountCall, status int) int {
	n := 0
	for _, call := range calls {
		if call.status == status {
			n++
		}
	}
	return n
}

// mostInWindow returns the largest number of calls that ran in a window that begins at from or later.
func (s *system) mostInWindow(calls []accountCall, from time.Time) int {
	var begins []time.Time
	for _, call := range calls {
		begins = append(begins, s.beginsOf(call.attempt)...)
	}
	slices.SortFunc(begins, time.Time.Compare)
	most, first := 0, 0
	for last, at := range begins {
		for at.Sub(begins[first]) >= quotaWindow {
			first++
		}
		if !begins[first].Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// checkRefused checks that calls beyond the limit did not run, and got a time after which to retry.
func (s *system) checkRefused(t *testing.T, calls []accountCall) {
	t.Helper()
	for _, call := range calls {
		if call.status == http.StatusTooManyRequests {
			assert.Equal(t, len(s.beginsOf(call.attempt)), 0)
			assert.Assert(t, call.retryAfter > 0 && call.retryAfter <= 2, "%v", call.retryAfter)
		}
	}
}

func newSystemWithLimit(t *testing.T) *system {
	t.Helper()
	s := newSystemWith(t, 1, 6)
	s.startHost(t, hostCount)
	waitReady(t, s.hosts[hostCount])
	s.putAccounts(t, 10, limited)
	for _, h := range s.hosts {
		s.awaitKey(t, h, limited.Keys[0], http.StatusOK, configurationDelay)
		s.awaitKey(t, h, "unknown", http.StatusUnauthorized, configurationDelay)
	}
	time.Sleep(quotaWindow) // the bucket of an account that is new to the controller is filled
	return s
}

// Guards against refusals below the limit, at all hosts and at one, and against more requests than the limit allows over all hosts.
func TestTheLimitOfAnAccountHoldsOverAllHosts(t *testing.T) {
	t.Parallel()
	s := newSystemWithLimit(t)
	for _, hosts := range [][]*testHost{s.hosts, s.hosts[:1], s.hosts[2:3]} {
		callServed(t, hosts, 0.7*limited.Rate, 4*time.Second)
	}
	calls := callAccount(s.hosts, 6*limited.Rate, 8*time.Second)
	most := s.mostInWindow(calls, time.Time{})
	t.Logf("%d of %d served, %d in a window, %d allowed", countStatus(calls, http.StatusOK), len(calls), most, quotaBound(limited))
	assert.Assert(t, most <= quotaBound(limited))
	assert.Assert(t, float64(countStatus(calls, http.StatusOK)) >= 0.9*limited.Rate*8)
	assert.Assert(t, countStatus(calls, http.StatusTooManyRequests) > len(calls)/2)
	s.checkRefused(t, calls)
}

// Guards against hosts that are cut off from the controller and use tokens that have been given to others: their sum stays within the
// limit, and they serve nothing when their tokens have expired.
func TestHostsThatAreCutOffStayWithinTheLimit(t *testing.T) {
	t.Parallel()
	s := newSystemWithLimit(t)
	controller := s.controller()
	before := callServed(t, s.hosts, 0.7*limited.Rate, 2*time.Second)
	cutAt := time.Now()
	controller.peers.cut(t, silent)
	calls := callAccount(s.hosts, 6*limited.Rate, 7*time.Second)
	most := s.mostInWindow(append(before, calls...), time.Time{})
	t.Logf("%d of %d served, %d in a window, %d allowed", countStatus(calls, http.StatusOK), len(calls), most, quotaBound(limited))
	assert.Assert(t, most <= quotaBound(limited))
	s.checkRefused(t, calls)
	others := slices.DeleteFunc(slices.Clone(s.hosts), func(h *testHost) bool { return h == controller })
	if s.controller() == controller && time.Since(cutAt) > apportioner.Lifetime {
		late := callAccount(others, limited.Rate, time.Second)
		if s.controller() == controller { // no other host took over
			assert.Equal(t, countStatus(late, http.StatusOK), 0)
		}
	}
	controller.peers.heal(t)
	time.Sleep(2 * time.Second)
	callServed(t, s.hosts, 0.5*limited.Rate, 3*time.Second)
}

// Guards against a lower limit that does not bind, because hosts keep what they got before.
func TestALowerLimitBinds(t *testing.T) {
	t.Parallel()
	s := newSystemWithLimit(t)
	lower := limited
	lower.Rate, lower.Burst = 4, 4
	var group sync.WaitGroup
	var calls []accountCall
	group.Go(func() { calls = callAccount(s.hosts, 6*limited.Rate, 14*time.Second) })
	time.Sleep(time.Second)
	s.putAccounts(t, 11, lower)
	loweredAt := time.Now()
	group.Wait()
	most := s.mostInWindow(calls, loweredAt.Add(quotaApplyTime))
	t.Logf("%d in a window, %d allowed", most, quotaBound(lower))
	assert.Assert(t, most > 0 && most <= quotaBound(lower))
	s.checkRefused(t, calls)
}

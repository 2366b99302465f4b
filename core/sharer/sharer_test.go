package sharer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/core/sharer"
	"rhubarbtrack.example/core/shedder"
)

const (
	accounts  = 72
	slots     = 40
	runTime   = 200 * time.Millisecond
	objective = 500 * time.Millisecond
	step      = time.Millisecond
	warmUp    = 20 * time.Second // with the usual demand
	hotEnd    = 40 * time.Second
)

// usual returns the usual demand of an account in requests per second. A few accounts are large. All together use 77 % of the slots.
func usual(account int) float64 {
	if account < 4 {
		return 15
	}
	return 94.0 / (accounts - 4)
}

// load plays one service at which an account sends hot times its usual from warmUp on, and returns the share of the requests of each
// account that are served after that.
func load(seed uint64, hotAccount int, hot float64, weights, fair bool) []float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	s, shed := sharer.New(seed), shedder.New(seed)
	var running []time.Duration // ends, by slot
	waiting := 0
	asked, served := make([]float64, accounts), make([]float64, accounts)
	for now := time.Duration(0); now < hotEnd; now += step {
		running = slices.DeleteFunc(running, func(end time.Duration) bool { return end <= now })
		for ; waiting > 0 && len(running) < slots; waiting-- {
			running = append(running, now+time.Duration(random.ExpFloat64()*float64(runTime)))
		}
		for account := range accounts {
			rate := usual(account)
			if account == hotAccount && now >= warmUp {
				rate *= hot
			}
			if random.Float64() >= rate*step.Seconds() {
				continue
			}
			weight := 0.0
			if weights {
				weight = 1.6 * usual(account)
			}
			beyond := s.Ask(now, "s", fmt.Sprint(account), weight) && fair
			wait := time.Duration(waiting) * runTime / slots
			if len(running) < slots {
				wait = 0
			}
			decision := shed.Decide(now, shedder.Request{Service: "s", Objective: objective, Remaining: 3 * time.Second}, beyond,
				selector.Estimate{Wait: wait, Run: runTime})
			if decision.Admit {
				s.RecordAccepted(now, "s")
				waiting++
			}
			if now >= warmUp+2*time.Second {
				asked[account]++
				if decision.Admit {
					served[account]++
				}
			}
		}
	}
	for account := range served {
		served[account] /= max(1, asked[account])
	}
	return served
}

// tenths returns the mean share that is served for each tenth of the accounts, the worst first.
func tenths(served []float64) []float64 {
	sorted := slices.Sorted(slices.Values(served))
	means := make([]float64, 10)
	for n := range means {
		part := sorted[n*len(sorted)/10 : (n+1)*len(sorted)/10]
		for _, share := range part {
			means[n] += share / float64(len(part))
		}
	}
	return means
}

// Guards against one account that sends many times its usual and pushes the others out, against an account that is refused for being
// large, and against one that gets less than a quarter of what all get.
func TestOneAccountDoesNotPushOthersOut(t *testing.T) {
	tests := []struct {
		name    string
		account int // that sends more than its usual
		hot     float64
		weights bool
		want    float64 // share that is served of the worst tenth of the others
		gain    float64 // of that over the same load without fairness
	}{
		{"large account, limits", 0, 8, true, 0.75, 0.15},
		{"large account, usual demand", 0, 8, false, 0.65, 0.1},
		{"small account, limits", 50, 60, true, 0.75, 0.1},
		{"no overload", 0, 1, true, 0.97, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const seeds = 8
			fair, unfair := make([]float64, accounts), make([]float64, accounts)
			for seed := range uint64(seeds) {
				with, without := load(seed, tt.account, tt.hot, tt.weights, true), load(seed, tt.account, tt.hot, tt.weights, false)
				for account := range accounts {
					fair[account] += with[account] / seeds
					unfair[account] += without[account] / seeds
				}
			}
			t.Logf("hot %.2f (without fairness %.2f)", fair[tt.account], unfair[tt.account])
			others := slices.Delete(slices.Clone(fair), tt.account, tt.account+1)
			othersUnfair := slices.Delete(slices.Clone(unfair), tt.account, tt.account+1)
			t.Logf("tenths with    %.2f", tenths(others))
			t.Logf("tenths without %.2f", tenths(othersUnfair))
			assert.Assert(t, tenths(others)[0] >= tt.want)
			assert.Assert(t, tenths(others)[0] >= tenths(othersUnfair)[0]+tt.gain)
			all := 0.0
			for _, share := range fair {
				all += share / accounts
			}
			assert.Assert(t, fair[tt.account] >= all/4, "%.2f of all, %.2f of the hot account", all, fair[tt.account])
		})
	}
}

// Guards against requests that are beyond the part of their account although the service accepts all.
func TestNothingIsBeyondWithoutOverload(t *testing.T) {
	s := sharer.New(1)
	for n := range 1000 {
		now := time.Duration(n) * 10 * time.Millisecond
		assert.Assert(t, !s.Ask(now, "s", "only one", 1))
		s.RecordAccepted(now, "s")
	}
}

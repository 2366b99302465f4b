// Package quotas measures the limits of client accounts on fleets of different sizes, against equal parts for all hosts.
package quotas

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rhubarbtrack.example/bench/internal/printer"
	"rhubarbtrack.example/core/apportioner"
	"rhubarbtrack.example/core/apportioner/simulator"
)

const (
	runTime    = 30 * time.Second
	settleTime = 5 * time.Second
	// moveTime is the time after which callers use other hosts, if they are at few.
	moveTime = 3 * time.Second
	// usualLoad and excessLoad are demands as shares of the rate of the account.
	usualLoad  = 0.7
	excessLoad = 4.0
	// maxRefusedShare and maxError are the bounds of the measures. The error is that of the sum of all requests in a window.
	maxRefusedShare = 0.01
	minUsedShare    = 0.9
)

var (
	bounds = apportioner.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	limit  = apportioner.Account{Tag: 1, Rate: 50, Burst: 50}
)

// traffic measures the messages of a site with 60 hosts and 705 requests per second of all accounts, in bytes per second.
func traffic(seed uint64, accounts int) float64 {
	const (
		hosts, demand = 60, 705.0
		// rowBytes is the size of a row in messages, which a test of package connector bounds.
		rowBytes = 20
		length   = 120 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, uint64(accounts)))
	rate := demand / float64(accounts)
	account := apportioner.Account{Tag: 1, Rate: 1.6 * rate, Burst: 1.6 * rate}
	f := simulator.New(simulator.Options{Hosts: hosts, Bounds: bounds, Account: account, Seed: seed})
	for f.Now < length {
		for range poisson(random, rate*simulator.Tick.Seconds()) {
			f.Request(random.IntN(hosts))
		}
		f.Step()
	}
	return float64(f.Rows) / length.Seconds() * float64(accounts) * rowBytes
}

// result is what one fleet did.
type result struct {
	refusedShare float64 // of the requests, that the limit alone would admit
	usedShare    float64 // of the rate of the account, with a demand beyond it
	excess       float64 // the largest number in a window, as a share of the bound
	messages     float64 // with rows, per second
	rows         float64 // per second
}

// play plays a fleet. Callers reach few hosts, or all if few is 0.
func play(seed uint64, hosts, few int, load float64, static bool) result {
	random := rand.New(rand.NewPCG(seed, uint64(hosts)))
	f := simulator.New(simulator.Options{Hosts: hosts, Bounds: bounds, Account: limit, Seed: seed, Static: static})
	reached := func() int {
		if few == 0 {
			return random.IntN(hosts)
		}
		return (int(f.Now/moveTime)*7 + random.IntN(few)) % hosts
	}
	tokens, asked, admissible := limit.Burst, 0, 0 // of one bucket for all hosts
	ran, refused, messages, rows := 0, 0, 0, 0
	for f.Now < runTime {
		if f.Now == settleTime {
			asked, admissible = 0, 0
			ran, refused, messages, rows = len(f.Ran), f.Refused+f.Unserved, f.Messages, f.Rows
		}
		tokens = min(limit.Burst, tokens+limit.Rate*simulator.Tick.Seconds())
		for range poisson(random, load*limit.Rate*simulator.Tick.Seconds()) {
			asked++
			if tokens >= 1 {
				tokens--
				admissible++
			}
			f.Request(reached())
		}
		f.Step()
	}
	measured := (runTime - settleTime).Seconds()
	served := len(f.Ran) - ran
	// Requests that the single bucket would refuse as well do not count.
	lost := max(0, f.Refused+f.Unserved-refused-(asked-admissible))
	return result{
		refusedShare: float64(lost) / float64(max(1, admissible)),
		usedShare:    float64(served) / (limit.Rate * measured),
		excess:       float64(f.MaxInWindow(0, f.Now)) / f.Bound(),
		messages:     float64(f.Messages-messages) / measured,
		rows:         float64(f.Rows-rows) / measured,
	}
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for left := random.ExpFloat64(); left < mean; left += random.ExpFloat64() {
		n++
	}
	return n
}

// Measure returns the refusals of a demand below the limit, the use of the limit with a demand beyond it, and the largest number of
// requests in a window, for 10, 60 and 300 hosts. The baseline gives each host an equal part.
func Measure(seed uint64) []printer.Line {
	var lines []printer.Line
	for _, hosts := range []int{10, 60, 300} {
		for _, few := range []int{0, 4} {
			where := "all-hosts"
			if few > 0 {
				where = fmt.Sprintf("%d-hosts-that-change", few)
			}
			name := func(measure string) string { return fmt.Sprintf("quota-%s-%d-%s", measure, hosts, where) }
			naive, ours := play(seed, hosts, few, usualLoad, true), play(seed, hosts, few, usualLoad, false)
			lines = append(lines,
				printer.Line{Measure: name("refused-below-limit"), Naive: naive.refusedShare, Ours: ours.refusedShare, Bound: maxRefusedShare, HasBound: true, Unit: "ratio", Seed: seed},
				printer.Line{Measure: name("messages"), Ours: ours.messages, Unit: "per-second", Seed: seed},
				printer.Line{Measure: name("rows"), Ours: ours.rows, Unit: "per-second", Seed: seed},
			)
			naive, ours = play(seed, hosts, few, excessLoad, true), play(seed, hosts, few, excessLoad, false)
			lines = append(lines,
				printer.Line{Measure: name("used-beyond-limit"), Naive: naive.usedShare, Ours: ours.usedShare, Bound: minUsedShare, HasBound: true, AtLeast: true, Unit: "ratio", Seed: seed},
				printer.Line{Measure: name("most-in-window"), Naive: naive.excess, Ours: ours.excess, Bound: 1, HasBound: true, Unit: "of-bound", Seed: seed},
			)
		}
	}
	for _, accounts := range []int{72, 10_000} {
		lines = append(lines, printer.Line{
			Measure: fmt.Sprintf("quota-traffic-%d-accounts", accounts), Ours: traffic(seed, accounts), Unit: "bytes-per-second", Seed: seed,
		})
	}
	return lines
}

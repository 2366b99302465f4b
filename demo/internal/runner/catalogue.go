package runner

import (
	"context"
	"time"
)

// part is a run with its own processes. A part without a name is the default scenario.
type part struct {
	name string
	// length is the time during which requests are sent.
	length time.Duration
	// rateFactor multiplies the rates of the load; 0 means 1.
	rateFactor float64
	// fragile runs upstreams that crash from too much load, and bounds the peak over their capacity by 0.
	fragile bool
	noFence bool
	// unkeyedQuiet leaves all requests to the service without keys to the disturbance, which has to count them.
	unkeyedQuiet bool
	// noFailures bounds requests that failed in the end and attempts that were refused by 0.
	noFailures bool
	// noRefusals bounds requests that were refused until their deadline by 0.
	noRefusals bool
	// interruption bounds how long a probed key or service is not served; 0 means no bound.
	interruption time.Duration
	disturb      func(context.Context, *scenario) error
}

// namedScenario is a scenario of the command line.
type namedScenario struct {
	name   string
	proves string
	parts  []part
}

// catalogue lists the fault scenarios in the order in which they run.
func catalogue() []namedScenario {
	return []namedScenario{
		{name: "store-outage", proves: "an outage of the platform costs nothing; losses during it are repaired within 3 s", parts: []part{
			{name: "store-outage", length: 40 * time.Second, noFailures: true, interruption: servedAgain, disturb: storeOutage(nil)},
			{
				name: "store-outage/upstream-killed", length: 40 * time.Second, noRefusals: true, interruption: servedAgain,
				disturb: storeOutage(killLastKeyed),
			},
			{
				name: "store-outage/domain-killed", length: 40 * time.Second, noRefusals: true, interruption: servedAgain,
				disturb: storeOutage(killDomain),
			},
		}},
		{name: "controller-pause", proves: "a paused controller is replaced and does not act when it resumes", parts: []part{
			{name: "controller-pause", length: 20 * time.Second, interruption: servedAgain, disturb: pauseController},
		}},
		{name: "upstream-freeze", proves: "keys of a frozen upstream are served by others, and it serves none of them when it resumes", parts: []part{
			{name: "upstream-freeze", length: 20 * time.Second, interruption: servedAgain, disturb: freezeUpstream},
		}},
		{name: "cold-restart", proves: "an upstream that has just started receives no more load than it can handle", parts: []part{
			{
				name: "cold-restart", length: 24 * time.Second, rateFactor: 3, fragile: true, interruption: servedAgain,
				disturb: restartUpstreams,
			},
		}},
		{name: "restart-all", proves: "a restart of all daemons interrupts service for at most 5 s and moves no slice", parts: []part{
			{name: "restart-all", length: 22 * time.Second, interruption: servedAfterRestart, disturb: restartAll},
		}},
		{name: "platform-faults", proves: "lost answers and stale reads of the platform harm no planned move", parts: []part{
			{name: "platform-faults", length: 26 * time.Second, noFailures: true, interruption: servedAgain, disturb: faultyPlatform},
		}},
		{name: "graceful", proves: "a rolling upgrade of the daemons fails no request", parts: []part{
			{name: "graceful", length: 45 * time.Second, noFailures: true, interruption: servedAgain, disturb: replaceDaemons},
		}},
		{name: "bad-answers", proves: "crossed, late and truncated answers of an upstream are never passed off as whole", parts: []part{
			{name: "bad-answers", length: 22 * time.Second, disturb: spoilAnswers},
		}},
		{name: "no-fence", proves: "upstreams that do not check fences have one owner per key as well", parts: []part{
			{
				name: "no-fence", length: 30 * time.Second, noFence: true, noRefusals: true, interruption: servedAgain,
				disturb: moveAndKillWithoutFences,
			},
		}},
		{name: "poison", proves: "a request that crashes the upstreams that run it costs at most two of them", parts: []part{
			{name: "poison", length: 24 * time.Second, noRefusals: true, interruption: servedAfterTwoLosses, disturb: poison},
		}},
		{name: "slow", proves: "slowed upstreams cost at most 5% more requests; prints the latencies", parts: []part{
			{name: "slow", length: 30 * time.Second, disturb: slowUpstreams},
		}},
		{name: "all-fail", proves: "upstreams that all fail get at most 1.1 requests for each one offered", parts: []part{
			{name: "all-fail", length: 26 * time.Second, unkeyedQuiet: true, disturb: failAll},
		}},
		{name: "race", proves: "one of two racing operators wins, and a change is in force everywhere within 4 s", parts: []part{
			{name: "race", length: 26 * time.Second, disturb: raceOperators},
		}},
	}
}

// partsOf returns the parts of a scenario, of all scenarios for "all", or the default scenario for an empty name.
func partsOf(name string) ([]part, bool) {
	if name == "" {
		disturb := func(ctx context.Context, s *scenario) error { return s.disturb(ctx) }
		return []part{{length: defaultLength, disturb: disturb}}, true
	}
	var parts []part
	for _, named := range catalogue() {
		if name == "all" || name == named.name {
			parts = append(parts, named.parts...)
		}
	}
	return parts, len(parts) > 0
}

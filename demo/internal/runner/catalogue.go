package runner

import (
	"context"
	"time"
)

// variant describes one run of a scenario: its load, its faults and the limits that it must keep. The variant without a
// name is the default scenario.
type variant struct {
	name string
	// length is the time for which the load generators send requests.
	length time.Duration
	// rateFactor multiplies the rates of the load; 0 means 1.
	rateFactor float64
	// fragile runs upstreams that crash when they are overloaded, and requires that none receives more requests than
	// its current capacity.
	fragile bool
	// noFence runs upstreams that do not check fences.
	noFence bool
	// skipUnkeyedLoad starts no load generator and no probe for the service without keys, because injectFaults counts
	// each request to it.
	skipUnkeyedLoad bool
	// noFailures requires that no request fails after its retries and that no attempt is rejected.
	noFailures bool
	// noRejections requires that no request is rejected until its deadline.
	noRejections bool
	// maxInterruption bounds the interruption of a probed key or service; 0 means no bound.
	maxInterruption time.Duration
	// injectFaults runs while the load is sent and has to return before the load ends.
	injectFaults func(context.Context, *scenario) error
}

// namedScenario is a value of the flag --scenario.
type namedScenario struct {
	name        string
	description string
	variants    []variant
}

// catalogue lists the fault scenarios in the order in which they run.
func catalogue() []namedScenario {
	return []namedScenario{
		{
			name:        "store-outage",
			description: "an outage of the platform fails no request; losses during it are repaired within 3 s",
			variants: []variant{
				{
					name: "store-outage", length: 40 * time.Second, noFailures: true,
					maxInterruption: recoveryBound, injectFaults: storeOutage(nil),
				},
				{
					name: "store-outage/upstream-killed", length: 40 * time.Second, noRejections: true,
					maxInterruption: recoveryBound, injectFaults: storeOutage(killLastKeyed),
				},
				{
					name: "store-outage/domain-killed", length: 40 * time.Second, noRejections: true,
					maxInterruption: recoveryBound, injectFaults: storeOutage(killDomain),
				},
			},
		},
		{
			name:        "controller-pause",
			description: "a paused controller is replaced and does not act when it resumes",
			variants: []variant{
				{
					name: "controller-pause", length: 20 * time.Second,
					maxInterruption: recoveryBound, injectFaults: pauseController,
				},
			},
		},
		{
			name:        "upstream-freeze",
			description: "keys of a frozen upstream are served by others, and it serves none of them when it resumes",
			variants: []variant{
				{
					name: "upstream-freeze", length: 20 * time.Second,
					maxInterruption: recoveryBound, injectFaults: freezeUpstream,
				},
			},
		},
		{
			name:        "cold-restart",
			description: "an upstream that has just started receives no more load than it can handle",
			variants: []variant{
				{
					name: "cold-restart", length: 24 * time.Second, rateFactor: 3, fragile: true,
					maxInterruption: recoveryBound, injectFaults: restartUpstreams,
				},
			},
		},
		{
			name:        "restart-all",
			description: "a restart of all daemons interrupts service for at most 5 s and moves no slice",
			variants: []variant{
				{name: "restart-all", length: 22 * time.Second, maxInterruption: restartBound, injectFaults: restartAll},
			},
		},
		{
			name:        "platform-faults",
			description: "lost responses and stale reads of the platform do not disturb a planned move",
			variants: []variant{
				{
					name: "platform-faults", length: 26 * time.Second, noFailures: true,
					maxInterruption: recoveryBound, injectFaults: faultyPlatform,
				},
			},
		},
		{
			name:        "graceful",
			description: "a rolling upgrade of the daemons fails no request",
			variants: []variant{
				{
					name: "graceful", length: 45 * time.Second, noFailures: true,
					maxInterruption: recoveryBound, injectFaults: replaceDaemons,
				},
			},
		},
		{
			name:        "bad-answers",
			description: "crossed, late and truncated responses of an upstream are never passed on as valid",
			variants: []variant{
				{name: "bad-answers", length: 22 * time.Second, injectFaults: corruptResponses},
			},
		},
		{
			name:        "no-fence",
			description: "upstreams that do not check fences have one owner per key as well",
			variants: []variant{
				{
					name: "no-fence", length: 30 * time.Second, noFence: true, noRejections: true,
					maxInterruption: recoveryBound, injectFaults: moveAndKillWithoutFences,
				},
			},
		},
		{
			name:        "poison",
			description: "a request that crashes each upstream that runs it crashes at most two of them",
			variants: []variant{
				{
					name: "poison", length: 24 * time.Second, noRejections: true,
					maxInterruption: doubleRecoveryBound, injectFaults: poison,
				},
			},
		},
		{
			name:        "slow",
			description: "slowed upstreams cause at most 5% more requests; prints the latencies",
			variants: []variant{
				{name: "slow", length: 30 * time.Second, injectFaults: slowUpstreams},
			},
		},
		{
			name:        "all-fail",
			description: "upstreams that all fail receive at most 1.1 requests for each one offered",
			variants: []variant{
				{name: "all-fail", length: 26 * time.Second, skipUnkeyedLoad: true, injectFaults: failAll},
			},
		},
		{
			name:        "race",
			description: "one of two racing operators wins, and a change is applied on all hosts within 4 s",
			variants: []variant{
				{name: "race", length: 26 * time.Second, injectFaults: raceOperators},
			},
		},
	}
}

// variantsOf returns the variants of a scenario, those of all scenarios for "all", or the default scenario for an empty
// name. It returns false for an unknown name.
func variantsOf(name string) ([]variant, bool) {
	if name == "" {
		injectFaults := func(ctx context.Context, s *scenario) error { return s.runDefaultFaults(ctx) }
		return []variant{{length: defaultLength, injectFaults: injectFaults}}, true
	}
	var variants []variant
	for _, named := range catalogue() {
		if name == "all" || name == named.name {
			variants = append(variants, named.variants...)
		}
	}
	return variants, len(variants) > 0
}

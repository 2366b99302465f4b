package controller_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/controller"
)

// fault is a failure or an operator action that a simulation injects. Disconnections, outages and drains last for
// length.
type fault struct {
	kind   string
	target int
	length time.Duration
}

var faultKinds = []string{
	"pause-host", "restart-host", "kill-host", "restart-all-hosts", "disconnect-hosts", "disconnect-store",
	"disconnect-upstream", "isolate-host", "freeze-upstream", "restart-upstream", "kill-upstream", "store-down",
	"lose-answers", "delay-messages", "drain-upstream", "take-out-domain", "kill-controller", "pause-controller",
	"stall-controller", "isolate-controller", "isolate-upstream", "isolate-all-upstreams", "pause-all-hosts",
	"disconnect-admission", "remove-upstream", "disconnect-witnesses", "disconnect-upstreams",
}

func (sim *simulation) hostByIndex(target int) *node {
	return sim.hosts[fmt.Sprintf("host-%d", target%5)]
}

func (sim *simulation) upstreamByIndex(target int) *fakeUpstream {
	names := sorted(sim.upstreams)
	return sim.upstreams[names[target%len(names)]]
}

// activeHost returns the host with a valid leader lease, or the given one when there is none.
func (sim *simulation) activeHost(other *node) *node {
	for _, name := range sorted(sim.hosts) {
		if sim.hosts[name].isActive(sim.now) {
			return sim.hosts[name]
		}
	}
	return other
}

// admissionHost returns the host that admits requests to an upstream, or the given one when there is none.
func (sim *simulation) admissionHost(upstream string, other *node) *node {
	for _, name := range sorted(sim.hosts) {
		n := sim.hosts[name]
		if lease := n.leases[upstream]; !n.dead && !lease.closed && n.clock(sim.now) < lease.end {
			return n
		}
	}
	return other
}

// inject starts a fault and schedules its end.
func (sim *simulation) inject(f fault) {
	n, u := sim.hostByIndex(f.target), sim.upstreamByIndex(f.target)
	if kind, ok := strings.CutSuffix(f.kind, "-controller"); ok {
		n = sim.activeHost(n)
		f.kind = kind + "-host"
	}
	end := func(run func()) { sim.schedule(f.length, run) }
	disconnect := func(a, b string) {
		sim.disconnected[[2]string{a, b}] = true
		end(func() { delete(sim.disconnected, [2]string{a, b}) })
	}
	switch f.kind {
	case "pause-host":
		n.pausedUntil = max(n.pausedUntil, sim.now+f.length)
	case "pause-all-hosts":
		for target := range 5 {
			sim.hostByIndex(target).pausedUntil = sim.now + f.length
		}
	case "stall-host":
		n.pauseInOrder = f.length
	case "restart-host":
		sim.start(n)
	case "kill-host":
		n.dead = true
		end(func() {
			if n.dead {
				sim.start(n)
			}
		})
	case "restart-all-hosts":
		for target := range 5 {
			sim.start(sim.hostByIndex(target))
		}
	case "disconnect-hosts":
		disconnect(n.name, sim.hostByIndex(f.target/5+1).name)
	case "disconnect-store", "disconnect-store-host":
		disconnect(n.name, "store")
	case "disconnect-upstream":
		disconnect(n.name, sim.upstreamByIndex(f.target/5).config.Name)
	case "isolate-host":
		for target := range 5 {
			disconnect(n.name, sim.hostByIndex(target).name)
		}
		disconnect(n.name, "store")
	case "disconnect-witnesses":
		for target := range 5 {
			disconnect(sim.activeHost(n).name, sim.hostByIndex(target).name)
		}
	case "disconnect-upstreams":
		for name := range sim.upstreams {
			disconnect(sim.activeHost(n).name, name)
		}
	case "remove-upstream":
		sim.configure(func(next *configurator.Snapshot) { delete(next.Upstreams, u.config.Name) })
		end(func() {
			sim.configure(func(next *configurator.Snapshot) { next.Upstreams[u.config.Name] = u.config })
		})
	case "isolate-all-upstreams":
		for name := range sim.upstreams {
			for target := range 5 {
				disconnect(name, sim.hostByIndex(target).name)
			}
		}
	case "isolate-upstream":
		for target := range 5 {
			disconnect(u.config.Name, sim.hostByIndex(target).name)
		}
	case "disconnect-admission":
		disconnect(sim.admissionHost(u.config.Name, n).name, sim.activeHost(n).name)
	case "freeze-upstream":
		u.frozenUntil = max(u.frozenUntil, sim.now+f.length)
	case "restart-upstream":
		u.restart(sim)
	case "kill-upstream":
		u.dead = true
		end(func() {
			if u.dead {
				u.restart(sim)
			}
		})
	case "store-down":
		sim.storeDown = true
		end(func() { sim.storeDown = false })
	case "lose-answers":
		sim.dropStoreReplies = true
		end(func() { sim.dropStoreReplies = false })
	case "delay-messages":
		sim.delayPercent = 20
		end(func() { sim.delayPercent = 0 })
	case "drain-upstream":
		sim.drain(u.config.Name, true)
		end(func() { sim.drain(u.config.Name, false) })
	case "take-out-domain":
		domain := fmt.Sprintf("domain-%d", f.target%3)
		sim.takeOut(domain, true)
		end(func() { sim.takeOut(domain, false) })
	}
}

// progressBound is the time without faults after which all slices must be served again.
const progressBound = 3 * time.Second

// TestMain sets the default seed and a small number of checks for the property tests. Flags override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestFaults guards against two owners of a slice, a decreasing term or table version and a lost committed assignment,
// each checked after every event under random faults, and against a slice that is not served 3 s after the last
// fault.
func TestFaults(t *testing.T) {
	var steps atomic.Int64
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 12, "a", "b", "c", "x", "y")
		sim.run(4 * time.Second)
		sim.churn = rapid.Bool().Draw(t, "churn")
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			return fault{
				kind:   rapid.SampledFrom(faultKinds).Draw(t, "kind"),
				target: rapid.IntRange(0, 24).Draw(t, "target"),
				length: time.Duration(rapid.IntRange(1, 5000).Draw(t, "length")) * ms,
			}
		}), 1, 10).Draw(t, "faults")
		last := sim.now
		for _, f := range faults {
			sim.inject(f)
			last = max(last, sim.now+f.length)
			if f.kind == "delay-messages" {
				// The last delayed message arrives up to 2 s later.
				last = max(last, sim.now+f.length+2*time.Second)
			}
			if f.kind == "stall-controller" {
				// The pause begins with the next order, up to one renewal interval later.
				last = max(last, sim.now+f.length+controller.RenewalInterval)
			}
			sim.run(time.Duration(rapid.OneOf(rapid.IntRange(0, 50), rapid.IntRange(0, 2500)).Draw(t, "gap")) * ms)
		}
		sim.run(last - sim.now)
		sim.churn = false
		sim.run(progressBound)
		steps.Add(int64(sim.steps))
		if sim.violation != "" {
			t.Fatalf("%s", sim.violation)
		}
		if missing := sim.unservedSlices(); missing != 0 {
			t.Fatalf("%d slices are not served %v after the faults", missing, progressBound)
		}
	})
	t.Logf("%d events", steps.Load())
}

func (sim *simulation) drain(name string, drained bool) {
	sim.configure(func(next *configurator.Snapshot) {
		if upstream, ok := next.Upstreams[name]; ok {
			upstream.Drained = drained
			next.Upstreams[name] = upstream
		}
	})
}

func (sim *simulation) takeOut(domain string, out bool) {
	sim.configure(func(next *configurator.Snapshot) {
		next.FailureDomains[domain] = configurator.FailureDomain{Name: domain, TakenOut: out}
	})
}

// configure applies a changed copy of the configuration on all hosts.
func (sim *simulation) configure(change func(next *configurator.Snapshot)) {
	next := *sim.snapshot
	next.Revision++
	next.Upstreams = maps.Clone(next.Upstreams)
	next.FailureDomains = maps.Clone(next.FailureDomains)
	change(&next)
	sim.snapshot = &next
	for _, name := range sorted(sim.hosts) {
		n := sim.hosts[name]
		sim.runOnHost(n, n.incarnation, func(now time.Duration) {
			sim.stepController(n, now, controller.Configured{Snapshot: &next})
		})
	}
}

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

// fault is a disturbance of a world. Cuts, outages and drains last for its length.
type fault struct {
	kind   string
	target int
	length time.Duration
}

var faultKinds = []string{
	"pause-host", "restart-host", "kill-host", "restart-all-hosts", "cut-hosts", "cut-store", "cut-upstream",
	"isolate-host", "freeze-upstream", "restart-upstream", "kill-upstream", "store-down", "lose-answers",
	"delay-messages", "drain-upstream", "take-out-domain", "kill-controller", "pause-controller", "stall-controller", "isolate-controller",
	"isolate-upstream", "isolate-all-upstreams", "pause-all-hosts", "cut-admission", "remove-upstream", "cut-witnesses", "cut-upstreams",
}

func (w *world) host5(target int) *node { return w.hosts[fmt.Sprintf("host-%d", target%5)] }

func (w *world) anyUpstream(target int) *fakeUpstream {
	names := sorted(w.upstreams)
	return w.upstreams[names[target%len(names)]]
}

// acting returns the host with the right to act, or another one when there is none.
func (w *world) acting(other *node) *node {
	for _, name := range sorted(w.hosts) {
		if w.hosts[name].acts(w.now) {
			return w.hosts[name]
		}
	}
	return other
}

// admitting returns the host that admits to an upstream, or another one when there is none.
func (w *world) admitting(upstream string, other *node) *node {
	for _, name := range sorted(w.hosts) {
		n := w.hosts[name]
		if lease := n.leases[upstream]; !n.dead && !lease.closed && n.clock(w.now) < lease.end {
			return n
		}
	}
	return other
}

// inject starts a fault and schedules its end.
func (w *world) inject(f fault) {
	n, u := w.host5(f.target), w.anyUpstream(f.target)
	if kind, ok := strings.CutSuffix(f.kind, "-controller"); ok {
		n = w.acting(n)
		f.kind = kind + "-host"
	}
	end := func(run func()) { w.at(f.length, run) }
	cut := func(a, b string) {
		w.cut[[2]string{a, b}] = true
		end(func() { delete(w.cut, [2]string{a, b}) })
	}
	switch f.kind {
	case "pause-host":
		n.paused = max(n.paused, w.now+f.length)
	case "pause-all-hosts":
		for target := range 5 {
			w.host5(target).paused = w.now + f.length
		}
	case "stall-host":
		n.stall = f.length
	case "restart-host":
		w.start(n)
	case "kill-host":
		n.dead = true
		end(func() {
			if n.dead {
				w.start(n)
			}
		})
	case "restart-all-hosts":
		for target := range 5 {
			w.start(w.host5(target))
		}
	case "cut-hosts":
		cut(n.name, w.host5(f.target/5+1).name)
	case "cut-store", "cut-store-host":
		cut(n.name, "store")
	case "cut-upstream":
		cut(n.name, w.anyUpstream(f.target/5).config.Name)
	case "isolate-host":
		for target := range 5 {
			cut(n.name, w.host5(target).name)
		}
		cut(n.name, "store")
	case "cut-witnesses":
		for target := range 5 {
			cut(w.acting(n).name, w.host5(target).name)
		}
	case "cut-upstreams":
		for name := range w.upstreams {
			cut(w.acting(n).name, name)
		}
	case "remove-upstream":
		w.configure(func(next *configurator.Snapshot) { delete(next.Upstreams, u.config.Name) })
		end(func() {
			w.configure(func(next *configurator.Snapshot) { next.Upstreams[u.config.Name] = u.config })
		})
	case "isolate-all-upstreams":
		for name := range w.upstreams {
			for target := range 5 {
				cut(name, w.host5(target).name)
			}
		}
	case "isolate-upstream":
		for target := range 5 {
			cut(u.config.Name, w.host5(target).name)
		}
	case "cut-admission":
		cut(w.admitting(u.config.Name, n).name, w.acting(n).name)
	case "freeze-upstream":
		u.frozen = max(u.frozen, w.now+f.length)
	case "restart-upstream":
		u.restart(w)
	case "kill-upstream":
		u.dead = true
		end(func() {
			if u.dead {
				u.restart(w)
			}
		})
	case "store-down":
		w.down = true
		end(func() { w.down = false })
	case "lose-answers":
		w.lose = true
		end(func() { w.lose = false })
	case "delay-messages":
		w.late = 20
		end(func() { w.late = 0 })
	case "drain-upstream":
		w.drain(u.config.Name, true)
		end(func() { w.drain(u.config.Name, false) })
	case "take-out-domain":
		domain := fmt.Sprintf("domain-%d", f.target%3)
		w.takeOut(domain, true)
		end(func() { w.takeOut(domain, false) })
	}
}

// progressBound is the time without faults after which everything must be served again.
const progressBound = 3 * time.Second

// TestMain fixes the seed of the property test and keeps it short unless flags say otherwise.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// TestFaults guards single ownership, monotonic terms and committed assignments after every event under random faults,
// and service of every slice within 3 s after the last fault.
func TestFaults(t *testing.T) {
	var steps atomic.Int64
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 12, "a", "b", "c", "x", "y")
		w.run(4 * time.Second)
		w.churn = rapid.Bool().Draw(t, "churn")
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
			return fault{
				kind:   rapid.SampledFrom(faultKinds).Draw(t, "kind"),
				target: rapid.IntRange(0, 24).Draw(t, "target"),
				length: time.Duration(rapid.IntRange(1, 5000).Draw(t, "length")) * ms,
			}
		}), 1, 10).Draw(t, "faults")
		last := w.now
		for _, f := range faults {
			w.inject(f)
			last = max(last, w.now+f.length)
			if f.kind == "delay-messages" {
				// The fault ends when the last delayed message has arrived.
				last = max(last, w.now+f.length+2*time.Second)
			}
			if f.kind == "stall-controller" {
				// The pause begins with the next order, at the latest after the renewal interval.
				last = max(last, w.now+f.length+controller.RenewalInterval)
			}
			w.run(time.Duration(rapid.OneOf(rapid.IntRange(0, 50), rapid.IntRange(0, 2500)).Draw(t, "gap")) * ms)
		}
		w.run(last - w.now)
		w.churn = false
		w.run(progressBound)
		steps.Add(int64(w.steps))
		if w.wrong != "" {
			t.Fatalf("%s", w.wrong)
		}
		if missing := w.unserved(); missing != 0 {
			t.Fatalf("%d slices are not served %v after the faults", missing, progressBound)
		}
	})
	t.Logf("%d events", steps.Load())
}

func (w *world) drain(name string, drained bool) {
	w.configure(func(next *configurator.Snapshot) {
		if upstream, ok := next.Upstreams[name]; ok {
			upstream.Drained = drained
			next.Upstreams[name] = upstream
		}
	})
}

func (w *world) takeOut(domain string, out bool) {
	w.configure(func(next *configurator.Snapshot) {
		next.FailureDomains[domain] = configurator.FailureDomain{Name: domain, TakenOut: out}
	})
}

// configure distributes a changed copy of the configuration.
func (w *world) configure(change func(next *configurator.Snapshot)) {
	next := *w.snapshot
	next.Revision++
	next.Upstreams = maps.Clone(next.Upstreams)
	next.FailureDomains = maps.Clone(next.FailureDomains)
	change(&next)
	w.snapshot = &next
	for _, name := range sorted(w.hosts) {
		n := w.hosts[name]
		w.host(n, n.incarnation, func(now time.Duration) {
			w.control(n, now, controller.Configured{Snapshot: &next})
		})
	}
}

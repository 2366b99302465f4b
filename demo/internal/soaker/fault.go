package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"time"

	"rhubarbtrack.example/demo/internal/proxier"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
)

const (
	minGap           = 150 * time.Millisecond
	gapRange         = 400 * time.Millisecond
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
)

func (c *cluster) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.options.Out, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}

// injectFaults injects faults for options.Length. Faults that are undone later overlap with the next ones.
func (c *cluster) injectFaults(ctx context.Context) {
	for end := time.Now().Add(c.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		if c.planned {
			c.runPlannedOperation(ctx)
		} else {
			c.injectFault(ctx)
			c.startExited(ctx)
		}
		sleep(ctx, minGap+time.Duration(c.random.Int64N(int64(gapRange))))
	}
}

func (c *cluster) faultDuration() time.Duration {
	return minFaultDuration + time.Duration(c.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

// undoLater calls undo after a random time, or when ctx is done. It returns at once, so that other faults overlap with
// this one.
func (c *cluster) undoLater(ctx context.Context, undo func()) {
	d := c.faultDuration()
	go func() {
		sleep(ctx, d)
		undo()
	}()
}

// runPlannedOperation runs one random planned operation. Hosts are restarted one at a time, as in a rolling restart.
func (c *cluster) runPlannedOperation(ctx context.Context) {
	switch c.random.IntN(7) {
	default:
		c.restart(ctx, c.hosts[c.random.IntN(len(c.hosts))])
	case 1:
		c.logf("configuration")
		if err := c.configure(); err != nil {
			c.logf("configuration: %v", err)
		}
	case 2:
		c.takeOut(ctx)
	case 3:
		h := c.hosts[c.random.IntN(len(c.hosts))]
		c.logf("hang up %s", h.settings.Name)
		_ = h.process.Signal(syscall.SIGHUP) // a process that has exited needs no signal
	case 4:
		c.logf("history dropped")
		c.store.Compact()
	}
}

// restart stops a host by SIGTERM and starts it again. A host that does not exit within stopTimeout is killed.
func (c *cluster) restart(ctx context.Context, h *host) {
	c.logf("terminate %s", h.settings.Name)
	stop, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := h.process.Terminate(stop); err != nil {
		c.logf("terminate %s: %v", h.settings.Name, err)
		h.process.Kill()
	}
	c.startAgain(ctx, h)
}

func (c *cluster) startAgain(ctx context.Context, h *host) {
	if err := c.startHost(h); err != nil {
		c.logf("start %s: %v", h.settings.Name, err)
		return
	}
	if err := waitReady(ctx, h); err != nil && c.planned {
		c.logf("%v", err)
	}
}

func (c *cluster) takeOut(ctx context.Context) {
	name := domain(c.random.IntN(2))
	c.logf("take out %s", name)
	if err := c.store.Put(translator.TakeOutKind, name, map[string]any{}, nil); err != nil {
		c.logf("take out: %v", err)
	}
	sleep(ctx, c.faultDuration())
	c.store.Delete(translator.TakeOutKind, name)
}

// injectFault injects one random fault. Kills of upstreams and planned operations are three times as likely as each of
// the other faults.
func (c *cluster) injectFault(ctx context.Context) {
	h := c.hosts[c.random.IntN(len(c.hosts))]
	u := c.upstreams[c.random.IntN(len(c.upstreams))]
	switch c.random.IntN(12) {
	case 0:
		c.logf("kill %s", h.settings.Name)
		h.process.Kill()
		sleep(ctx, minFaultDuration)
		if err := c.startHost(h); err != nil {
			c.logf("start: %v", err)
		}
	case 1:
		c.faults.add(h.settings.Callers)
		c.pause(ctx, h.settings.Name, h.process.Signal)
	case 2, 7, 8:
		c.logf("kill %s", u.id)
		u.process.Kill()
		c.killTimes[u.id] = time.Now()
		sleep(ctx, minFaultDuration)
		if err := c.startUpstream(ctx, u); err != nil {
			c.logf("start: %v", err)
		}
	case 3:
		c.pause(ctx, u.id, u.process.Signal)
	case 4:
		c.faultLink(ctx, "link to "+u.id, u.link)
	case 5:
		c.faultLink(ctx, "store of "+h.settings.Name, h.store)
	case 6:
		kind := simulator.FaultKind(1 + c.random.IntN(5))
		c.logf("store fault %d", kind)
		c.store.SetFault(simulator.Fault{Kind: kind, Share: 0.4})
		c.undoLater(ctx, func() { c.store.SetFault(simulator.Fault{}) })
	default:
		c.runPlannedOperation(ctx)
	}
}

func (c *cluster) pause(ctx context.Context, name string, signal func(s os.Signal) error) {
	c.logf("pause %s", name)
	_ = signal(syscall.SIGSTOP) // fails if the process has exited; its successor is not paused
	c.undoLater(ctx, func() { _ = signal(syscall.SIGCONT) })
}

func (c *cluster) faultLink(ctx context.Context, name string, link *proxier.Link) {
	kind := proxier.Fault(1 + c.random.IntN(4))
	c.logf("%s: fault %d", name, kind)
	link.SetFault(kind)
	c.undoLater(ctx, func() { link.SetFault(proxier.None) })
}

// clearFaults ends all faults and starts the hosts that have exited.
func (c *cluster) clearFaults(ctx context.Context) {
	c.logf("heal")
	c.store.SetFault(simulator.Fault{})
	for i := range 2 {
		c.store.Delete(translator.TakeOutKind, domain(i))
	}
	for _, u := range c.upstreams {
		u.link.SetFault(proxier.None)
		_ = u.process.Signal(syscall.SIGCONT) // has no effect on a running process
	}
	for _, h := range c.hosts {
		h.store.SetFault(proxier.None)
		_ = h.process.Signal(syscall.SIGCONT)
		if h.process.HasExited() {
			c.startAgain(ctx, h)
		}
	}
}

const (
	crashInterval = 150 * time.Millisecond
	crashAttempt  = "crash-" // prefix of the attempts of requests that crash upstreams
)

// sendCrashes sends a request that crashes upstreams to random hosts, again and again until ctx is done.
func (c *cluster) sendCrashes(ctx context.Context) {
	prefix := simulator.Prefixes[c.options.Seed/plannedSeedInterval%uint64(len(simulator.Prefixes))]
	c.logf("requests that crash upstreams: %s", prefix)
	random := rand.New(rand.NewPCG(c.options.Seed, 2))
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	addresses := c.callerAddresses()
	for n := 0; ctx.Err() == nil; n++ {
		call := simulator.Call{
			Prefix: prefix, Name: simulator.CrashName, Attempt: fmt.Sprintf("%s%s%d", crashAttempt, prefix, n), Key: crashKey, TimeLeft: timeLeft,
		}
		if c.accounts != nil {
			call.Caller = credentials(lastingKey)
		}
		address := addresses[random.IntN(len(addresses))]
		go func() { _, _ = call.Send(client, address) }() // the response does not matter
		sleep(ctx, crashInterval)
	}
}

// startExited starts the upstreams that a request has crashed.
func (c *cluster) startExited(ctx context.Context) {
	for _, u := range c.upstreams {
		if !u.process.HasExited() {
			continue
		}
		c.logf("crashed %s", u.id)
		c.killTimes[u.id] = time.Now()
		if err := c.startUpstream(ctx, u); err != nil {
			c.logf("start: %v", err)
		}
	}
}

// settle waits for settleTime.
func (c *cluster) settle(ctx context.Context) {
	for end := time.Now().Add(settleTime); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, readyPollInterval) {
		c.startExited(ctx)
	}
}

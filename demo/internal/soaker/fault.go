package soaker

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"rhubarbtrack.example/demo/internal/proxier"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
)

const (
	minGap   = 150 * time.Millisecond
	gapRange = 400 * time.Millisecond
	minHold  = 300 * time.Millisecond
	maxHold  = 4 * time.Second
)

func (w *world) say(format string, args ...any) {
	_, _ = fmt.Fprintf(w.options.Out, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...)
}

// disturb injects faults until the length of the run is over. They come in series and overlap.
func (w *world) disturb(ctx context.Context) {
	for end := time.Now().Add(w.options.Length); time.Now().Before(end) && ctx.Err() == nil; {
		if w.planned {
			w.plan(ctx)
		} else {
			w.fault(ctx)
		}
		sleep(ctx, minGap+time.Duration(w.random.Int64N(int64(gapRange))))
	}
}

func (w *world) duration() time.Duration {
	return minHold + time.Duration(w.random.Int64N(int64(maxHold-minHold)))
}

// later runs undo after a random time, at the latest before the run heals.
func (w *world) later(ctx context.Context, undo func()) {
	d := w.duration()
	go func() {
		sleep(ctx, d)
		undo()
	}()
}

// plan does a piece of planned work. Hosts are stopped one at a time, as a rolling restart does.
func (w *world) plan(ctx context.Context) {
	switch w.random.IntN(7) {
	default:
		w.restart(ctx, w.hosts[w.random.IntN(len(w.hosts))])
	case 1:
		w.say("configuration")
		if err := w.configure(); err != nil {
			w.say("configuration: %v", err)
		}
	case 2:
		w.takeOut(ctx)
	case 3:
		h := w.hosts[w.random.IntN(len(w.hosts))]
		w.say("hang up %s", h.settings.Name)
		_ = h.process.Signal(syscall.SIGHUP) // one that has just ended needs none
	case 4:
		w.say("history dropped")
		w.store.Compact()
	}
}

// restart stops a host by SIGTERM and starts it again after its end.
func (w *world) restart(ctx context.Context, h *host) {
	w.say("terminate %s", h.settings.Name)
	stop, cancel := context.WithTimeout(ctx, stopDeadline)
	defer cancel()
	if err := h.process.Terminate(stop); err != nil {
		w.say("terminate %s: %v", h.settings.Name, err)
		h.process.Kill()
	}
	w.revive(ctx, h)
}

func (w *world) revive(ctx context.Context, h *host) {
	if err := w.startHost(h); err != nil {
		w.say("start %s: %v", h.settings.Name, err)
		return
	}
	if err := waitReady(ctx, h); err != nil && w.planned {
		w.say("%v", err)
	}
}

func (w *world) takeOut(ctx context.Context) {
	name := domain(w.random.IntN(2))
	w.say("take out %s", name)
	if err := w.store.Put(translator.TakeOutKind, name, map[string]any{}, nil); err != nil {
		w.say("take out: %v", err)
	}
	sleep(ctx, w.duration())
	w.store.Delete(translator.TakeOutKind, name)
}

// fault injects one random fault.
func (w *world) fault(ctx context.Context) {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	u := w.upstreams[w.random.IntN(len(w.upstreams))]
	switch w.random.IntN(12) {
	case 0:
		w.say("kill %s", h.settings.Name)
		h.process.Kill()
		sleep(ctx, minHold)
		if err := w.startHost(h); err != nil {
			w.say("start: %v", err)
		}
	case 1:
		w.pause(ctx, h.settings.Name, h.process.Signal)
	case 2, 7, 8:
		w.say("kill %s", u.id)
		u.process.Kill()
		w.ends[u.id] = time.Now()
		sleep(ctx, minHold)
		if err := w.startUpstream(ctx, u); err != nil {
			w.say("start: %v", err)
		}
	case 3:
		w.pause(ctx, u.id, u.process.Signal)
	case 4:
		w.cut(ctx, "link to "+u.id, u.link)
	case 5:
		w.cut(ctx, "store of "+h.settings.Name, h.store)
	case 6:
		kind := simulator.FaultKind(1 + w.random.IntN(5))
		w.say("store fault %d", kind)
		w.store.SetFault(simulator.Fault{Kind: kind, Share: 0.4})
		w.later(ctx, func() { w.store.SetFault(simulator.Fault{}) })
	default:
		w.plan(ctx)
	}
}

func (w *world) pause(ctx context.Context, name string, signal func(s os.Signal) error) {
	w.say("pause %s", name)
	_ = signal(syscall.SIGSTOP) // a process that has just been replaced is left alone
	w.later(ctx, func() { _ = signal(syscall.SIGCONT) })
}

func (w *world) cut(ctx context.Context, name string, link *proxier.Link) {
	kind := proxier.Fault(1 + w.random.IntN(4))
	w.say("%s: fault %d", name, kind)
	link.SetFault(kind)
	w.later(ctx, func() { link.SetFault(proxier.None) })
}

// heal ends all faults.
func (w *world) heal(ctx context.Context) {
	w.say("heal")
	w.store.SetFault(simulator.Fault{})
	for i := range 2 {
		w.store.Delete(translator.TakeOutKind, domain(i))
	}
	for _, u := range w.upstreams {
		u.link.SetFault(proxier.None)
		_ = u.process.Signal(syscall.SIGCONT) // has no effect on one that runs
	}
	for _, h := range w.hosts {
		h.store.SetFault(proxier.None)
		_ = h.process.Signal(syscall.SIGCONT)
		if h.process.HasExited() {
			w.revive(ctx, h)
		}
	}
}

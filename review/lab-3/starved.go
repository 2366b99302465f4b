package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"rhubarbtrack.example/platform/simulator"
)

const (
	// keyedShare is the share of the requests that go to the keyed service, and plainRate the rate of all requests.
	keyedShare = 0.1
	plainRate  = 100
	// copyAge is the age of the copy from which the store comes back.
	copyAge = 3 * time.Second
	// starvedTime is how long requests are sent after the return of the store.
	starvedTime = 85 * time.Second
	// starvedFactor is that of the rule: a kind is served less than a quarter as often as all requests.
	starvedFactor = 0.25
	// recoveryTime is recovery_s of the site file.
	recoveryTime = 15 * time.Second
)

// kindCount counts the requests of one kind.
type kindCount struct{ sent, served int }

func (c kindCount) share() float64 {
	if c.sent == 0 {
		return 0
	}
	return float64(c.served) / float64(c.sent)
}

// playStarved lets the store go away for a moment and come back from a copy. No other disruption follows. The keyed service must be
// served on.
func playStarved(ctx context.Context, w *World, trouble bool) int {
	w.Store.Put("config", "main", simulator.Configuration(1), nil)
	for i := range 4 {
		for service, keyed := range map[string]bool{simulator.KeyedService: true, simulator.PlainService: false} {
			err := w.AddUpstream(ctx, simulator.UpstreamOptions{
				ID: fmt.Sprintf("i-%s%d", service[:1], i+1), Service: service, Domain: string(rune('a' + i%3)), Keyed: keyed, Slots: 6, Queue: 24,
				WorkTime: 60 * time.Millisecond,
			})
			if err != nil {
				w.Record.Print("%v", err)
				return exitNotRun
			}
		}
	}
	if err := w.StartHosts(); err != nil {
		w.Record.Print("%v", err)
		return exitNotRun
	}
	if !w.AwaitReady(ctx, 20*time.Second) {
		w.Record.Print("the hosts are not ready")
		return exitNotRun
	}
	w.Record.Print("all hosts are ready")
	callers := &Callers{World: w, Rate: plainRate, Next: func(n int) (*Host, string, int) {
		host := w.Hosts[n%len(w.Hosts)]
		if rand.Float64() < keyedShare {
			return host, simulator.ReadPrefix, rand.IntN(1 << 16)
		}
		return host, simulator.PlainPrefix, 0
	}}
	callCtx, endCalls := context.WithCancel(ctx)
	defer endCalls()
	var group sync.WaitGroup
	group.Go(func() { callers.Run(callCtx) })
	sleep(ctx, time.Second)
	copied, copiedAt := w.Store.Copy(), time.Now()
	sleep(ctx, copyAge-awayTime)
	w.Record.Print("the store has %s", leaseRecord(w.Store.Copy()))
	if trouble {
		w.Store.Leave()
		w.Record.Print("the store is away")
	}
	sleep(ctx, awayTime)
	if trouble {
		w.Store.Return(copied)
		w.Record.Print("the store is back from the copy of %.1f s before, with %s", time.Since(copiedAt).Seconds(), leaseRecord(w.Store.Copy()))
	}
	returned := time.Now()
	sleep(ctx, starvedTime)
	endCalls()
	group.Wait()
	w.Record.Print("the store has %s", leaseRecord(w.Store.Copy()))

	all, keyed := callers.Kinds(time.Time{})
	w.Record.Print("whole run: all %d of %d served, keyed %d of %d", all.served, all.sent, keyed.served, keyed.sent)
	lateAll, lateKeyed := callers.Kinds(returned.Add(recoveryTime))
	w.Record.Print("sent later than %v after the return: all %d of %d served, keyed %d of %d", recoveryTime, lateAll.served, lateAll.sent, lateKeyed.served, lateKeyed.sent)
	if keyed.share() < starvedFactor*all.share() {
		w.Record.Print("the keyed kind was served %.3f of the time, all requests %.3f: starved", keyed.share(), all.share())
		return exitBroken
	}
	return exitHeld
}

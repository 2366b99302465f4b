package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rhubarbtrack.example/platform/simulator"
)

const (
	// requestRate and workTime keep the owner of one busy key at 0.6 of its six slots, and that of two above all of them.
	requestRate = 120
	workTime    = 150 * time.Millisecond
	// settleTime is how long no key may have moved before the store goes away.
	settleTime = 1200 * time.Millisecond
	// maxCopyAge bounds the age of the copy from which the store comes back.
	maxCopyAge = 6 * time.Second
	// awayTime is how long the store is away in the drill.
	awayTime = time.Second
	// observeTime is how long the holders are watched after the return of the store.
	observeTime = 25 * time.Second
	// maxOverlap is the time for which the rule OWNER lets two servers hold a key.
	maxOverlap = 500 * time.Millisecond
)

// playDrill restarts one host as planned while the store goes away for a moment. The store comes back from a copy that is some seconds
// old, in which keys have other owners. Two upstreams must not hold the same key.
func playDrill(ctx context.Context, w *World, trouble bool) int {
	w.Store.Put("config", "main", simulator.Configuration(1), nil)
	for i := range 5 {
		err := w.AddUpstream(ctx, simulator.UpstreamOptions{
			ID: fmt.Sprintf("i-k%d", i+1), Service: simulator.KeyedService, Domain: string(rune('a' + i%3)), Keyed: true, Slots: 6, Queue: 24, WorkTime: workTime,
			IsSteady: true,
		})
		if err != nil {
			w.Record.Print("%v", err)
			return exitNotRun
		}
	}
	if err := w.AddUpstream(ctx, simulator.UpstreamOptions{ID: "i-p1", Service: simulator.PlainService, Domain: "a", Slots: 6, Queue: 24, WorkTime: workTime}); err != nil {
		w.Record.Print("%v", err)
		return exitNotRun
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

	var busy atomic.Pointer[[]int]
	busy.Store(&[]int{3_000, 16_000, 29_000, 42_000, 55_000})
	var stopped atomic.Pointer[Host]
	callers := &Callers{World: w, Rate: requestRate, Next: func(n int) (*Host, string, int) {
		keys := *busy.Load()
		host := w.Hosts[(n/len(keys))%len(w.Hosts)]
		if host == stopped.Load() {
			host = w.Hosts[(n/len(keys)+1)%len(w.Hosts)]
		}
		return host, simulator.ReadPrefix, keys[n%len(keys)]
	}}
	callCtx, endCalls := context.WithCancel(ctx)
	defer endCalls()
	var group sync.WaitGroup
	group.Go(func() { callers.Run(callCtx) })
	sleep(ctx, 7*time.Second)

	keys := watchedKeys()
	before := holdersOf(w, keys)
	copied, copiedAt := w.Store.Copy(), time.Now()
	w.Record.Print("a copy of the store is made, at revision %d; %s", copied.revision, leaseRecord(copied))
	w.Record.Print("other keys become busy")
	busy.Store(&[]int{3_000, 6_000, 16_000, 29_000, 42_000})

	moved := 0
	last, lastChange := before, time.Now()
	settled := func() bool {
		now := holdersOf(w, keys)
		moved = 0
		for key, holder := range now {
			if holder != "" && before[key] != "" && holder != before[key] {
				moved++
			}
		}
		if !maps.Equal(now, last) {
			last, lastChange = now, time.Now()
		}
		return moved > 0 && time.Since(lastChange) >= settleTime
	}
	if !await(ctx, maxCopyAge-awayTime, settled) {
		w.Record.Print("no key has moved, or keys still move")
		return exitNotRun
	}
	w.Record.Print("%d of %d watched keys have another holder than in the copy", moved, len(keys))

	watchCtx, endWatch := context.WithCancel(ctx)
	defer endWatch()
	var overlaps []Overlap
	var watching sync.WaitGroup
	watching.Go(func() { overlaps = WatchHolders(watchCtx, w, keys) })

	restarted := w.Hosts[restartedHost(w)]
	w.Record.Print("planned restart of host %s; the store has %s", restarted.Name, leaseRecord(w.Store.Copy()))
	stopped.Store(restarted)
	restarted.Signal(syscall.SIGTERM)
	var restart sync.WaitGroup
	restart.Go(func() {
		select {
		case <-restarted.Ended():
		case <-ctx.Done():
			return
		}
		sleep(ctx, 500*time.Millisecond)
		if err := restarted.Start(w.address, false); err != nil {
			w.Record.Print("%v", err)
		}
		if await(ctx, 20*time.Second, restarted.Ready) {
			w.Record.Print("host %s is ready again", restarted.Name)
		}
		stopped.Store(nil)
	})
	sleep(ctx, 500*time.Millisecond)
	if trouble {
		w.Store.Leave()
		w.Record.Print("the store is away")
		sleep(ctx, awayTime)
		age := time.Since(copiedAt)
		if age > maxCopyAge+awayTime {
			w.Record.Print("the copy is too old: %v", age)
			return exitNotRun
		}
		w.Store.Return(copied)
		w.Record.Print("the store is back from the copy of %.1f s before, with %s", age.Seconds(), leaseRecord(w.Store.Copy()))
		// The operator writes again what it wrote since the copy, which is nothing. The upstreams do so with their next heartbeats.
	}
	sleep(ctx, observeTime)
	endCalls()
	group.Wait()
	restart.Wait()
	endWatch()
	watching.Wait()
	w.Record.Print("the store has %s", leaseRecord(w.Store.Copy()))
	w.Record.Print("requests: %s", callers.Counts())
	return judgeOverlaps(w, overlaps)
}

// judgeOverlaps applies the rule OWNER: two servers that are up hold the same keys for over half a second.
func judgeOverlaps(w *World, overlaps []Overlap) int {
	runs := w.Runs()
	broken, both := 0, 0
	var longest Overlap
	for _, o := range overlaps {
		length := o.End.Sub(o.Begin)
		w.Record.Line("key %d is held by %s from %.3f to %.3f, requests begun: %v", o.Key, o, w.Record.Since(o.Begin), w.Record.Since(o.End), o.RunsIn(runs))
		if length <= maxOverlap {
			continue
		}
		broken++
		if len(o.RunsIn(runs)) > 1 {
			both++
		}
		if length > longest.End.Sub(longest.Begin) {
			longest = o
		}
	}
	if broken == 0 {
		w.Record.Print("no key was held by two upstreams for over %v", maxOverlap)
		return exitHeld
	}
	w.Record.Print("%d watched keys were held by two upstreams for over %v; on %d of them both began requests in that time", broken, maxOverlap, both)
	w.Record.Print("the longest: key %d, by %s, for %.1f s", longest.Key, longest, longest.End.Sub(longest.Begin).Seconds())
	return exitBroken
}

// watchedKeys returns keys in all ranges, with the busy ones.
func watchedKeys() []int {
	var keys []int
	for key := 0; key < 1<<16; key += 250 {
		keys = append(keys, key)
	}
	return keys
}

// holdersOf returns the holder of each key, or an empty string if it has none.
func holdersOf(w *World, keys []int) map[int]string {
	upstreams := w.Upstreams()
	holders := map[int]string{}
	for _, key := range keys {
		if ids := simulator.Holders(upstreams, key); len(ids) == 1 {
			holders[key] = ids[0]
		}
	}
	return holders
}

// restartedHost returns the index of a host that is not the holder of the lease record.
func restartedHost(w *World) int {
	o, _ := w.Store.Get("rhubarbtrack-controllers", "main")
	var record struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(o.Specification, &record)
	for i, h := range w.Hosts {
		if len(record.Holder) < len(h.Name) || record.Holder[:len(h.Name)] != h.Name {
			return i
		}
	}
	return 0
}

// leaseRecord describes the lease record in a copy of the store.
func leaseRecord(s *state) string {
	o, ok := s.objects["rhubarbtrack-controllers"]["main"]
	if !ok {
		return "no lease record"
	}
	return fmt.Sprintf("the lease record of revision %d: %s", o.Metadata.Revision, o.Specification)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

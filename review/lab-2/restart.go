package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["restart"] = playRestart }

const (
	cutCount    = 5
	cutTime     = 10 * time.Second
	restartTime = 300 * time.Millisecond
	pauseTime   = 4 * time.Second
)

// playRestart cuts one upstream after the other off from the store. Behind the cut, it crashes and starts again under its ID. The new
// life must take keys with a higher fencing token than those of the lives before.
func playRestart(w *world, trouble bool) ([]string, error) {
	if err := startDeployment(w, 3, 6, 20*time.Millisecond); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.balance(ctx)
	var group sync.WaitGroup
	var mutex sync.Mutex
	var answers []answer
	for range 4 {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for ctx.Err() == nil {
				a := send(client, w.pick(), http.MethodGet, fmt.Sprintf("/read/%d", rand.IntN(1000)), rand.IntN(keyCount), 2*time.Second, nil)
				mutex.Lock()
				answers = append(answers, a)
				mutex.Unlock()
				time.Sleep(80 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	for i := range cutCount {
		if !trouble {
			time.Sleep(cutTime + pauseTime)
			continue
		}
		s := w.upstreams[i%len(w.upstreams)]
		cutEnd := time.Now().Add(cutTime)
		w.note("server %s is cut off from the store", s.ID)
		s.CutUntil = cutEnd.UnixNano()
		w.killServer(s)
		time.Sleep(restartTime)
		if err := w.startServer(s); err != nil {
			return nil, err
		}
		w.note("server %s has started again behind the cut", s.ID)
		time.Sleep(time.Until(cutEnd))
		w.healed[s.ID] = append(w.healed[s.ID], cutEnd)
		w.note("server %s reaches the store again", s.ID)
		time.Sleep(pauseTime)
	}
	cancel()
	group.Wait()
	w.dump(answers)
	return checkFences(w), nil
}

// startDeployment starts hosts and the upstreams of a service with keys.
func startDeployment(w *world, hosts, upstreams int, work time.Duration) error {
	w.configure([]service{{"shop", true, 8}}, []route{
		{"/read/", "idempotent", "shop", 2, 0.5, 2}, {"/order/", "non_idempotent", "shop", 2, 0.5, 2},
	})
	return startProcesses(w, hosts, upstreamOptions{Service: "shop", Keyed: true, Slots: 6, Queue: 24, Work: work}, upstreams)
}

// startProcesses starts hosts and upstreams in three failure domains, and waits until the hosts are ready.
func startProcesses(w *world, hosts int, options upstreamOptions, upstreams int) error {
	zones := []string{"lab-a", "lab-b", "lab-c"}
	for i := range upstreams {
		options.ID, options.Zone = fmt.Sprintf("i-%08x", 0x5a10+i*0x1111), zones[i%3]
		if _, err := w.addServer(options); err != nil {
			return err
		}
	}
	for i := range hosts {
		h, err := w.addHost(fmt.Sprintf("front-%s-%d", zones[i%3], i), zones[i%3])
		if err != nil {
			return err
		}
		if err := w.startHost(h); err != nil {
			return err
		}
	}
	return w.awaitReady(20 * time.Second)
}

// Command restarts crashes one upstream after the other, each of which is back within a fifth of a second under its ID and
// address, and checks that no two upstreams hold the same key.
//
// # Usage
//
//	restarts ROOT FOLDER
//
// With TROUBLE=0 in the environment, no upstream crashes.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbtrack.example/review/lab"
)

const (
	upstreams  = 7 // one of them is down at a time: 14%, at most 15% may
	hosts      = 5
	callers    = 10
	rounds     = 45
	roundTime  = 1500 * time.Millisecond
	downTime   = 200 * time.Millisecond
	workTime   = 30 * time.Millisecond
	timeLeft   = 1500 * time.Millisecond
	thinkTime  = 100 * time.Millisecond
	readyLimit = 20 * time.Second
	// holdLimit is the time for which two upstreams may hold the same keys.
	holdLimit = 500 * time.Millisecond
)

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return lab.ExitFailed
}

// load sends orders for keys of all parts to all hosts until stop is set.
func load(l *lab.Lab, entries []*lab.Host, stop *atomic.Bool) *sync.WaitGroup {
	var group sync.WaitGroup
	var sent atomic.Int64
	for range callers {
		group.Go(func() {
			for !stop.Load() {
				n := int(sent.Add(1))
				r := lab.Request{
					Method: http.MethodPost, Target: "/order/kit", Host: lab.Hostname, Attempt: fmt.Sprintf("order-%d", n),
					Key: rand.IntN(1 << 16), Left: timeLeft,
				}
				a := lab.Send(entries[n%len(entries)].Callers, r)
				l.Printf("caller: %s, key %d: %d", r.Attempt, r.Key, a.Status)
				time.Sleep(thinkTime)
			}
		})
	}
	return &group
}

func run(root, folder string, trouble bool) int {
	l, err := lab.New(root, folder)
	if err != nil {
		return fail(err)
	}
	defer l.Close()
	err = l.StartStore(lab.Configuration(7, []lab.ServiceOptions{{Name: "huvo11a", Keyed: true}}, []lab.RouteOptions{
		{Name: "r-order", Prefix: "/order/", Service: "huvo11a", TimeoutSeconds: 1.5},
	}))
	if err != nil {
		return fail(err)
	}
	var lives, up []*lab.Upstream
	for i := range upstreams {
		u, err := l.StartUpstream(lab.UpstreamOptions{
			ID: fmt.Sprintf("i-%d", i+1), Service: "huvo11a", Zone: "zone-a", Keyed: true,
			Work: func(*http.Request) time.Duration { return workTime }, Terse: true,
		})
		if err != nil {
			return fail(err)
		}
		lives, up = append(lives, u), append(up, u)
	}
	var entries []*lab.Host
	for i := range hosts {
		h, err := l.StartHost(fmt.Sprintf("host-%d", i+1), "zone-a")
		if err != nil {
			return fail(err)
		}
		entries = append(entries, h)
	}
	for _, h := range entries {
		if err := h.AwaitReady(readyLimit); err != nil {
			return fail(err)
		}
	}
	var stop atomic.Bool
	group := load(l, entries, &stop)
	for round := range rounds {
		time.Sleep(roundTime)
		if !trouble {
			continue
		}
		i := round % upstreams
		up[i].Crash()
		time.Sleep(downTime)
		if up[i], err = up[i].Restart(); err != nil {
			return fail(err)
		}
		lives = append(lives, up[i])
	}
	stop.Store(true)
	group.Wait()
	overlaps := lab.Overlaps(lives, holdLimit)
	pairs := map[string]int{}
	for _, o := range overlaps {
		if pair := o.First + " " + o.Second; pairs[pair] == 0 {
			l.Printf("OWNER: %v, from %.4f s of this record on", o, l.At(o.From))
		}
		pairs[o.First+" "+o.Second]++
	}
	l.Printf("verdict: %d pairs of upstreams that were up held the same keys for more than %v", len(pairs), holdLimit)
	fmt.Printf("%d pairs of upstreams that were up held the same keys for more than %v\n", len(pairs), holdLimit)
	if len(pairs) > 0 {
		return lab.ExitBroken
	}
	return lab.ExitHeld
}

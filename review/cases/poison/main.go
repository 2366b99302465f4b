// Command poison sends, again and again, a lookup that crashes each backend that runs it, among other lookups of the same
// path, and checks that it no longer reaches backends after it has crashed three.
//
// # Usage
//
//	poison ROOT FOLDER
//
// With TROUBLE=0 in the environment, no lookup crashes a backend. With SPREAD=0, the lookup that does has a path of its own.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbtrack.example/review/lab"
)

const (
	upstreams    = 12
	hosts        = 5
	lookups      = 10 // callers
	buyers       = 10
	thinkTime    = 200 * time.Millisecond
	poisonTime   = 2 * time.Second // between two sendings
	downTime     = 3 * time.Second
	runTime      = 60 * time.Second
	workTime     = 100 * time.Millisecond
	timeLeft     = 1500 * time.Millisecond
	stableWindow = 3 * time.Second // stable_window_s
	maxRetries   = 3
	maxCrashes   = 3
	readyLimit   = 20 * time.Second
	badQuery     = "kit=13"
)

func main() {
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0", os.Getenv("SPREAD") != "0"))
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return lab.ExitFailed
}

type fleet struct {
	*lab.Lab
	mutex   sync.Mutex
	lives   []*lab.Upstream
	crashes []time.Time
	lost    map[string]bool // orders without an answer of a backend
	starts  int
	trouble bool
}

// start starts a backend under a new ID.
func (f *fleet) start() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.starts++
	var self *lab.Upstream
	ready := make(chan struct{})
	u, err := f.StartUpstream(lab.UpstreamOptions{
		ID: fmt.Sprintf("i-%d", f.starts), Service: "wuno96b", Zone: "zone-a", Terse: true,
		Work: func(*http.Request) time.Duration { return workTime },
		Respond: func(_ net.Conn, r *http.Request, _ []byte) (handled, keep bool) {
			if !f.trouble || r.URL.RawQuery != badQuery {
				return false, true
			}
			<-ready
			f.crash(self, r.Header.Get("Attempt-Id"))
			return true, false
		},
	})
	self = u
	close(ready)
	if err == nil {
		f.lives = append(f.lives, u)
	}
	return err
}

func (f *fleet) crash(u *lab.Upstream, attempt string) {
	f.mutex.Lock()
	f.crashes = append(f.crashes, time.Now())
	n := len(f.crashes)
	f.mutex.Unlock()
	f.Printf("%s is crashed by %s, as number %d", u.Options.ID, attempt, n)
	u.Crash()
	time.AfterFunc(downTime, func() {
		if err := f.start(); err != nil {
			f.Printf("no backend could be started: %v", err)
		}
	})
}

// call sends requests until stop is set. Each of them is sent to another host.
func (f *fleet) call(entries []*lab.Host, stop *atomic.Bool, name string, pause time.Duration, make func(n int) lab.Request) {
	for n := 0; !stop.Load(); n++ {
		r := make(n)
		a := lab.Send(entries[rand.IntN(len(entries))].Callers, r)
		f.Printf("%s: %s %s: %d %v", name, r.Attempt, r.Target, a.Status, a.Err)
		if a.Status != http.StatusOK && r.Method == http.MethodPost {
			f.mutex.Lock()
			f.lost[r.Attempt] = true
			f.mutex.Unlock()
		}
		time.Sleep(pause)
	}
}

func run(root, folder string, trouble, spread bool) int {
	l, err := lab.New(root, folder)
	if err != nil {
		return fail(err)
	}
	defer l.Close()
	err = l.StartStore(lab.Configuration(7, []lab.ServiceOptions{{Name: "wuno96b"}}, []lab.RouteOptions{
		{Name: "r-lookup", Prefix: "/lohu930/", Service: "wuno96b", Idempotent: true, TimeoutSeconds: 1.2},
		{Name: "r-order", Prefix: "/pufi791/", Service: "wuno96b", TimeoutSeconds: 1.5},
	}))
	if err != nil {
		return fail(err)
	}
	f := &fleet{Lab: l, lost: map[string]bool{}, trouble: trouble}
	for range upstreams {
		if err := f.start(); err != nil {
			return fail(err)
		}
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
	var group sync.WaitGroup
	lookup := func(id, path, query string) lab.Request {
		return lab.Request{Method: http.MethodGet, Target: path + "?" + query, Host: lab.Hostname, Attempt: id, Key: -1, Left: timeLeft}
	}
	for i := range lookups {
		group.Go(func() {
			f.call(entries, &stop, "caller", thinkTime, func(n int) lab.Request {
				return lookup(fmt.Sprintf("lookup-%d-%d", i, n), "/lohu930/stock", fmt.Sprintf("kit=%d", 100+rand.IntN(900)))
			})
		})
	}
	for i := range buyers {
		group.Go(func() {
			f.call(entries, &stop, "buyer", thinkTime, func(n int) lab.Request {
				id := fmt.Sprintf("order-%d-%d", i, n)
				return lab.Request{
					Method: http.MethodPost, Target: "/pufi791/kit", Host: lab.Hostname, Attempt: id, Key: -1, Left: timeLeft, Body: []byte(id),
				}
			})
		})
	}
	path := "/lohu930/stock"
	if !spread {
		path = "/lohu930/other"
	}
	time.Sleep(2 * time.Second)
	group.Go(func() {
		f.call(entries, &stop, "caller of the bad lookup", poisonTime, func(n int) lab.Request {
			return lookup(fmt.Sprintf("bad-%d", n), path, badQuery)
		})
	})
	time.Sleep(runTime)
	stop.Store(true)
	group.Wait()
	return f.verdict()
}

func (f *fleet) verdict() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	late, lost := map[string]bool{}, 0
	if len(f.crashes) >= maxCrashes {
		bound := f.crashes[maxCrashes-1].Add(stableWindow)
		for _, u := range f.lives {
			for _, r := range u.Runs() {
				if strings.HasPrefix(r.Attempt, "bad-") && r.Begin.After(bound) {
					late[r.Attempt] = true
				}
				if f.lost[r.Attempt] && r.Begin.After(bound) {
					lost++
					f.Printf("lost: %s was run by %s and has no answer", r.Attempt, r.Upstream)
				}
			}
		}
	}
	verdict := fmt.Sprintf("%d backends crashed; %d retries reached backends more than %v after the third crash, %d may; %d orders that ran after that have no answer",
		len(f.crashes), len(late), stableWindow, maxRetries, lost)
	f.Printf("verdict: %s", verdict)
	fmt.Println(verdict)
	if len(late) > maxRetries {
		return lab.ExitBroken
	}
	return lab.ExitHeld
}

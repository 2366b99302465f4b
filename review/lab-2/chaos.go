package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["chaos"] = playChaos }

// playChaos plays random disruptions, for exploration.
func playChaos(w *world, _ bool) ([]string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 7))
	if err := startDeployment(w, 5, 8, 60*time.Millisecond); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.balance(ctx)
	var group sync.WaitGroup
	var mutex sync.Mutex
	var answers []answer
	for i := range 24 {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for ctx.Err() == nil {
				var a answer
				key := rand.IntN(keyCount)
				if rand.IntN(3) == 0 {
					key = 1000 + rand.IntN(20)
				}
				if i%2 == 0 {
					a = send(client, w.pick(""), http.MethodGet, fmt.Sprintf("/read/%d", rand.IntN(1000)), key, 1500*time.Millisecond, nil)
				} else {
					a = send(client, w.pick(""), http.MethodPost, fmt.Sprintf("/order/%d", rand.IntN(1000)), key, 1500*time.Millisecond, strings.NewReader(fmt.Sprint("order ", rand.Uint64())))
				}
				mutex.Lock()
				answers = append(answers, a)
				mutex.Unlock()
				time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	leader := func() *host {
		o, ok := w.store.get("rhubarbtrack-controllers", "main")
		for _, h := range w.hosts {
			if ok && strings.Contains(string(o.Specification), `"`+h.name+"/") {
				return h
			}
		}
		return w.hosts[0]
	}
	anyHost := func() *host {
		if random.IntN(3) > 0 {
			return leader()
		}
		return w.hosts[random.IntN(len(w.hosts))]
	}
	var faults sync.WaitGroup
	busy := map[any]bool{}
	claim := func(thing any) bool {
		mutex.Lock()
		defer mutex.Unlock()
		if busy[thing] {
			return false
		}
		busy[thing] = true
		return true
	}
	free := func(thing any) {
		mutex.Lock()
		defer mutex.Unlock()
		delete(busy, thing)
	}
	for end := time.Now().Add(100 * time.Second); time.Now().Before(end); {
		kind, length, delay := random.IntN(7), 1+random.Float64()*4, 0.1+random.Float64()*2
		h, s := anyHost(), w.upstreams[random.IntN(len(w.upstreams))]
		seconds := func(x float64) { time.Sleep(time.Duration(x * float64(time.Second))) }
		faults.Go(func() {
			switch kind {
			case 0:
				if claim(h) {
					defer free(h)
					w.killHost(h)
					seconds(delay)
					_ = w.startHost(h)
					seconds(2)
				}
			case 1:
				if claim(h) {
					defer free(h)
					w.note("host %s is frozen for %.2f s", h.name, length)
					_ = h.process.Process.Signal(syscall.SIGSTOP)
					seconds(length)
					_ = h.process.Process.Signal(syscall.SIGCONT)
				}
			case 2:
				if claim(h) {
					defer free(h)
					w.note("host %s gets SIGTERM", h.name)
					_ = h.process.Process.Signal(syscall.SIGTERM)
					_ = h.process.Wait()
					seconds(0.3)
					_ = w.startHost(h)
					seconds(2)
				}
			case 3, 4:
				if claim(w.store) {
					defer free(w.store)
					v := []verdict{refuse, drop, lose}[random.IntN(3)]
					only := h.ip
					all := kind == 4
					w.note("store fault %d for %s, all %v, %.2f s", v, h.name, all, length)
					w.store.setFilter(func(host string, _ *http.Request) verdict {
						if (all || host == only) && (v != lose || rand.IntN(3) == 0) {
							return v
						}
						return serve
					})
					seconds(length)
					w.store.setFilter(nil)
				}
			case 5, 6:
				if claim(s) {
					defer free(s)
					w.killServer(s)
					seconds(delay / 2)
					s.CutUntil = 0
					if kind == 6 {
						s.CutUntil = time.Now().Add(time.Duration(length * float64(time.Second))).UnixNano()
					}
					_ = w.startServer(s)
					seconds(length)
				}
			}
		})
		time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
	}
	faults.Wait()
	time.Sleep(3 * time.Second)
	cancel()
	group.Wait()
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
	}
	w.note("answers: %v", counts)
	w.dump(answers)
	breaks := checkHolders(w)
	breaks = append(breaks, checkRuns(w, answers)...)
	return append(breaks, checkFences(w, func(taker, had life) bool { return taker.server != had.server })...), nil
}

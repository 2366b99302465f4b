package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"rhubarbtrack.example/platform/simulator"
)

const (
	// goneWork is how long a request would run, and leaveAfter the time after which the client leaves.
	goneWork   = 4 * time.Second
	leaveAfter = time.Second
	// goneBound is the time after which a server may not work any more.
	goneBound = 500 * time.Millisecond
)

// playGone lets clients leave while a server works on their request, for bodies of several lengths. It is no case: the rule GONE loses no
// work. Without the disruption, the clients wait.
func playGone(ctx context.Context, w *World, trouble bool) int {
	w.Store.Put("config", "main", configuration(pipelineRoute, 8*time.Second), nil)
	var mutex sync.Mutex
	ended := map[string]time.Time{}
	w.OnEnd = func(attempt string) {
		mutex.Lock()
		defer mutex.Unlock()
		ended[attempt] = time.Now()
	}
	for service, keyed := range map[string]bool{simulator.KeyedService: true, simulator.PlainService: false} {
		err := w.AddUpstream(ctx, simulator.UpstreamOptions{
			ID: "i-" + service, Service: service, Domain: "a", Keyed: keyed, Slots: 8, Queue: 24, WorkTime: goneWork, IsSteady: true,
		})
		if err != nil {
			w.Record.Print("%v", err)
			return exitNotRun
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
	late := 0
	sizes := []int{1000, 100_000, 131_072, 131_073, 200_000, 300_000}
	for _, size := range sizes {
		id := fmt.Sprintf("g%d", size)
		conn, err := net.DialTimeout("tcp", w.Hosts[0].Callers(), time.Second)
		if err != nil {
			return exitNotRun
		}
		w.Record.Line("send %s", id)
		_, _ = fmt.Fprintf(conn, "PUT %sdocument HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 9000\r\nContent-Length: %d\r\n\r\n",
			simulator.PlainPrefix, simulator.Hostname, id, size)
		_, _ = conn.Write(simulator.Content(id, size))
		if !trouble {
			_ = conn.SetReadDeadline(time.Now().Add(goneWork + time.Second))
			_, _ = io.CopyN(io.Discard, conn, 1)
		} else {
			sleep(ctx, leaveAfter)
		}
		_ = conn.Close()
		left := time.Now()
		sleep(ctx, goneWork)
		mutex.Lock()
		worked := ended[id].Sub(left)
		mutex.Unlock()
		w.Record.Print("body of %d bytes: the server worked until %.2f s after the client had left", size, worked.Seconds())
		if worked > goneBound {
			late++
		}
	}
	w.Record.Print("%d of %d servers still worked %v after their client had left", late, len(sizes), goneBound)
	if 4*late > len(sizes) {
		return exitBroken
	}
	return exitHeld
}

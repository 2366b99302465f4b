package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"rhubarbtrack.example/platform/simulator"
)

const (
	// stoppingAnswer is the length of the first answer in bytes. A client takes 2 s to read it.
	stoppingAnswer = 8 << 20
	stoppingWork   = time.Second
	// stoppingDeadline is how long the clients wait. It ends before the host would cancel requests.
	stoppingDeadline = 3800 * time.Millisecond
	stoppingClients  = 9
	// firstAt, headAt and restAt are the times after the signal at which a client sends its first request, the beginning of the head of the
	// second one, and the rest of that. The head takes less than header_timeout_s.
	firstAt = 1400 * time.Millisecond
	headAt  = 1900 * time.Millisecond
	restAt  = 3200 * time.Millisecond
)

// playStopping stops a host as planned. Clients on kept connections still send an idempotent request, and slowly a second one behind it.
// The first one must be answered completely.
func playStopping(ctx context.Context, w *World, trouble bool) int {
	w.Store.Put("config", "main", configuration(pipelineRoute, 3*time.Second), nil)
	for i := range 3 {
		for service, keyed := range map[string]bool{simulator.KeyedService: true, simulator.PlainService: false} {
			err := w.AddUpstream(ctx, simulator.UpstreamOptions{
				ID: fmt.Sprintf("i-%s%d", service[:1], i+1), Service: service, Domain: string(rune('a' + i%3)), Keyed: keyed, Slots: 8, Queue: 24,
				WorkTime: stoppingWork, IsSteady: true,
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
	host := w.Hosts[0]
	var connecting, group sync.WaitGroup
	results := make([]pipelineResult, stoppingClients)
	began := make(chan time.Time)
	for i := range results {
		connecting.Add(1)
		group.Go(func() { results[i] = sendWhileStopping(w.Record, host, i, began, connecting.Done) })
	}
	connecting.Wait()
	if trouble {
		w.Record.Print("planned stop of host %s", host.Name)
		host.Signal(syscall.SIGTERM)
	}
	at := time.Now()
	for range results {
		began <- at
	}
	group.Wait()
	lost, failed := 0, 0
	for i, r := range results {
		w.Record.Print("client %d: first answer %s; second answer %s", i, r.first, r.second)
		switch {
		case strings.HasPrefix(r.first, "cut"):
			lost++
		case r.first != "whole":
			failed++
		}
	}
	w.Record.Print("%d of %d first requests were passed on to a server and cut without a complete answer, %d failed otherwise", lost, len(results), failed)
	switch {
	case lost > 0:
		return exitBroken
	case failed > 0:
		return exitNotRun
	}
	return exitHeld
}

// sendWhileStopping uses a kept connection, on which a request has been answered, after the time that it gets from began.
func sendWhileStopping(record *Record, host *Host, n int, began <-chan time.Time, connected func()) pipelineResult {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, failed)
	}}
	conn, err := dialer.Dial("tcp", host.Callers())
	if err != nil {
		connected()
		<-began
		return pipelineResult{"no connection", "no connection"}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(pipelineRoute))
	head := func(id, target string) string {
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", target, simulator.Hostname, id, stoppingDeadline.Milliseconds())
	}
	slow := &slowReader{Conn: conn}
	reader := bufio.NewReader(slow)
	id, target := fmt.Sprintf("s%02d-kept", n), simulator.PlainPrefix+"short"
	_, _ = io.WriteString(conn, head(id, target))
	if got := readAnswer(reader, http.MethodGet, id, target, 0, nil); got != "whole" {
		record.Line("answer %s: %s", id, got)
	}
	connected()
	at := <-began

	slow.slow = true
	first, second := fmt.Sprintf("s%02d-first", n), fmt.Sprintf("s%02d-second", n)
	firstTarget := fmt.Sprintf("%slist?bytes=%d&framing=length", simulator.PlainPrefix, stoppingAnswer)
	time.Sleep(time.Until(at.Add(firstAt)))
	record.Line("send %s %s to %s", first, firstTarget, host.Name)
	_, _ = io.WriteString(conn, head(first, firstTarget))
	go func() {
		next := head(second, target)
		time.Sleep(time.Until(at.Add(headAt)))
		record.Line("send the beginning of %s %s to %s", second, target, host.Name)
		_, _ = io.WriteString(conn, next[:len(next)/2])
		time.Sleep(time.Until(at.Add(restAt)))
		record.Line("send the rest of %s", second)
		_, _ = io.WriteString(conn, next[len(next)/2:])
	}()
	var result pipelineResult
	result.first = readAnswer(reader, http.MethodGet, first, firstTarget, stoppingAnswer, nil)
	record.Line("answer %s: %s", first, result.first)
	result.second = readAnswer(reader, http.MethodGet, second, target, 0, nil)
	record.Line("answer %s: %s", second, result.second)
	return result
}

// configuration returns a configuration whose routes have a latency objective.
func configuration(timeout, objective time.Duration) map[string]any {
	config := simulator.ConfigurationWithTimeout(1, timeout)
	for _, host := range config["virtual_hosts"].([]any) {
		for _, route := range host.(map[string]any)["route_paths"].([]any) {
			route.(map[string]any)["target_latency_s"] = objective.Seconds()
		}
	}
	return config
}

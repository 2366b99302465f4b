package main

import (
	"bufio"
	"bytes"
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
	// longAnswer is the length of the first answer in bytes, and documentBytes that of the body of the second request.
	longAnswer    = 16 << 20
	documentBytes = 3000
	// readStep is what a slow client reads at once, and readPause the time after it: 4 MB a second.
	readStep  = 200 << 10
	readPause = 50 * time.Millisecond
	// receiveBuffer is that of a client's socket: the links of the platform have small windows.
	receiveBuffer = 64 << 10
	// secondDelay is the time between the two requests of a client.
	secondDelay = 500 * time.Millisecond
	// continueTimeout is how long a client waits for the interim answer before it sends the body all the same.
	continueTimeout = time.Second
	pipelineClients = 12
	pipelineRoute   = 20 * time.Second // timeout of the routes and deadline of the requests
)

// pipelineResult is what one client has seen of its two requests.
type pipelineResult struct{ first, second string }

// playPipelined lets clients send an idempotent request with a body before the answer to the first request is complete, and asks for an
// interim answer before the body. Slow clients still read the first answer at that time. Each client must get the whole answers.
func playPipelined(ctx context.Context, w *World, trouble bool) int {
	w.Store.Put("config", "main", simulator.ConfigurationWithTimeout(1, pipelineRoute), nil)
	for i := range 3 {
		for service, keyed := range map[string]bool{simulator.KeyedService: true, simulator.PlainService: false} {
			err := w.AddUpstream(ctx, simulator.UpstreamOptions{
				ID: fmt.Sprintf("i-%s%d", service[:1], i+1), Service: service, Domain: string(rune('a' + i%3)), Keyed: keyed, Slots: 8, Queue: 24,
				WorkTime: 20 * time.Millisecond,
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
	var group sync.WaitGroup
	results := make([]pipelineResult, pipelineClients)
	for i := range results {
		group.Go(func() {
			sleep(ctx, time.Duration(i)*100*time.Millisecond)
			results[i] = pipeline(w.Record, w.Hosts[i%len(w.Hosts)], i, trouble)
		})
	}
	group.Wait()
	mixed, failed := 0, 0
	for i, r := range results {
		w.Record.Print("client %d: first answer %s; second answer %s", i, r.first, r.second)
		if strings.HasPrefix(r.first, "mixed") || strings.HasPrefix(r.second, "mixed") {
			mixed++
		} else if r.first != "whole" || r.second != "whole" {
			failed++
		}
	}
	w.Record.Print("%d of %d clients got bytes that are not the answer of the server, %d failed otherwise", mixed, len(results), failed)
	switch {
	case mixed > 0:
		return exitBroken
	case failed > 0:
		return exitNotRun
	}
	return exitHeld
}

// slowReader reads a little at a time while it is slow.
type slowReader struct {
	net.Conn
	slow bool
	left int
}

func (r *slowReader) Read(p []byte) (int, error) {
	if !r.slow {
		return r.Conn.Read(p)
	}
	if r.left <= 0 {
		time.Sleep(readPause)
		r.left = readStep
	}
	n, err := r.Conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// pipeline sends the two requests of a client on one connection and reads the answers.
func pipeline(record *Record, host *Host, n int, slow bool) pipelineResult {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, failed)
	}}
	conn, err := dialer.Dial("tcp", host.Callers())
	if err != nil {
		return pipelineResult{"no connection", "no connection"}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(pipelineRoute))

	ids := [2]string{fmt.Sprintf("p%02d-first", n), fmt.Sprintf("p%02d-second", n)}
	targets := [2]string{fmt.Sprintf("%slist?bytes=%d&framing=length", simulator.PlainPrefix, longAnswer), simulator.PlainPrefix + "document"}
	head := func(method string, i int, more string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n",
			method, targets[i], simulator.Hostname, ids[i], pipelineRoute.Milliseconds(), more)
	}
	record.Line("send %s %s to %s", ids[0], targets[0], host.Name)
	_, _ = io.WriteString(conn, head(http.MethodGet, 0, ""))
	mayContinue := make(chan struct{}, 1)
	go func() {
		time.Sleep(secondDelay)
		record.Line("send %s %s to %s, which asks for an interim answer before its body", ids[1], targets[1], host.Name)
		_, _ = io.WriteString(conn, head(http.MethodPut, 1, fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n", documentBytes)))
		select {
		case <-mayContinue:
		case <-time.After(continueTimeout):
		}
		_, _ = conn.Write(simulator.Content(ids[1], documentBytes))
	}()

	reader := bufio.NewReader(&slowReader{Conn: conn, slow: slow})
	var result pipelineResult
	result.first = readAnswer(reader, http.MethodGet, ids[0], targets[0], longAnswer, nil)
	record.Line("answer %s: %s", ids[0], result.first)
	result.second = readAnswer(reader, http.MethodPut, ids[1], targets[1], 0, mayContinue)
	record.Line("answer %s: %s", ids[1], result.second)
	return result
}

// readAnswer reads interim answers and a final one, and compares its body with that of the server.
func readAnswer(reader *bufio.Reader, method, id, target string, length int, mayContinue chan<- struct{}) string {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			var network net.Error
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
				return "none: " + err.Error()
			}
			return "mixed: no answer in the protocol"
		}
		if response.StatusCode == http.StatusContinue {
			if mayContinue != nil {
				mayContinue <- struct{}{}
			}
			continue
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return "cut: " + err.Error()
		}
		if response.StatusCode != http.StatusOK {
			return fmt.Sprintf("status %d", response.StatusCode)
		}
		if got := response.Header.Get("Attempt-Id"); got != id {
			return "mixed: it has the ID " + got
		}
		want := append([]byte(simulator.Sign(id, target)), simulator.Content(id, length)...)
		if bytes.Equal(body, want) {
			return "whole"
		}
		at := 0
		for at < min(len(body), len(want)) && body[at] == want[at] {
			at++
		}
		return fmt.Sprintf("mixed: status 200 with signature %q, byte %d of %d differs, there stands %q",
			response.Header.Get("Response-Signature"), at, len(want), body[at:min(len(body), at+25)])
	}
}

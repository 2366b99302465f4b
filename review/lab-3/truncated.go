package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"time"

	"rhubarbtrack.example/platform/simulator"
)

const (
	// oldLimit and newLimit are max_body_bytes before and after the change of the configuration.
	oldLimit = 4 << 20
	newLimit = 1 << 20
	// firstBody is the length of the body of the first request, which a host passes on while it reads it. secondBody is that of the
	// second one, which comes in chunks.
	firstBody  = 200_000
	secondBody = 1_500_000
	// uploadWork is how long a request runs, so that the second request waits behind the first one for this time.
	uploadWork    = 2 * time.Second
	uploadClients = 9
	// changeAt is the time after the first bytes of the requests at which the operator changes the configuration.
	changeAt = time.Second
)

// uploadResult is what a client has seen of its two requests.
type uploadResult struct {
	ids      [2]string
	statuses [2]int
	begun    time.Time // before the first byte of the second request was sent
}

// playTruncated lowers the limit for bodies while requests wait on their connections that were sent under the old limit. A server must
// not run a request with another body than the client's.
func playTruncated(ctx context.Context, w *World, trouble bool) int {
	w.Store.Put("config", "main", limited(1, oldLimit), nil)
	for i := range 3 {
		for service, keyed := range map[string]bool{simulator.KeyedService: true, simulator.PlainService: false} {
			err := w.AddUpstream(ctx, simulator.UpstreamOptions{
				ID: fmt.Sprintf("i-%s%d", service[:1], i+1), Service: service, Domain: string(rune('a' + i%3)), Keyed: keyed, Slots: 8, Queue: 24,
				WorkTime: uploadWork, IsSteady: true,
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
	results := make([]uploadResult, uploadClients)
	for i := range results {
		group.Go(func() { results[i] = upload(w.Record, w.Hosts[i%len(w.Hosts)], i) })
	}
	sleep(ctx, changeAt)
	changed := time.Now()
	if trouble {
		w.Store.Put("config", "main", limited(2, newLimit), nil)
		w.Record.Print("the operator has written version 2 of the configuration, with a limit of %d bytes for bodies instead of %d", newLimit, oldLimit)
	}
	group.Wait()
	return judgeBodies(w, results, changed)
}

// judgeBodies applies the rule UNASKED: a server runs a request with its body changed.
func judgeBodies(w *World, results []uploadResult, changed time.Time) int {
	want := map[string]int{}
	statuses := map[string]int{}
	for _, r := range results {
		want[r.ids[0]], want[r.ids[1]] = firstBody, secondBody
		statuses[r.ids[0]], statuses[r.ids[1]] = r.statuses[0], r.statuses[1]
		if r.begun.After(changed) {
			w.Record.Print("request %s was sent after the change", r.ids[1])
			return exitNotRun
		}
	}
	broken, whole := 0, 0
	for _, run := range w.Runs() {
		if run.Digest == simulator.Digest(simulator.Content(run.Attempt, want[run.Attempt])) {
			whole++
			continue
		}
		broken++
		w.Record.Print("server %s ran %s with a body of %d bytes, the client sent %d; the client got status %d",
			run.Upstream, run.Attempt, run.Bytes, want[run.Attempt], statuses[run.Attempt])
	}
	w.Record.Print("%d requests were run with another body than the client's, %d with the whole body", broken, whole)
	switch {
	case broken > 0:
		return exitBroken
	case whole == 0:
		return exitNotRun
	}
	return exitHeld
}

// limited returns a configuration with a limit for bodies.
func limited(version, bodyBytes int) map[string]any {
	config := configuration(pipelineRoute, 5*time.Second)
	config["version"] = version
	config["limits"].(map[string]any)["max_body_bytes"] = bodyBytes
	return config
}

// upload sends two idempotent requests on one connection, the second one at once behind the first one, and reads the answers.
func upload(record *Record, host *Host, n int) uploadResult {
	result := uploadResult{ids: [2]string{fmt.Sprintf("u%02d-first", n), fmt.Sprintf("u%02d-second", n)}}
	conn, err := net.DialTimeout("tcp", host.Callers(), time.Second)
	if err != nil {
		return result
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(pipelineRoute))
	head := func(id, framing string) string {
		return fmt.Sprintf("PUT %sdocument HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n\r\n",
			simulator.PlainPrefix, simulator.Hostname, id, pipelineRoute.Milliseconds(), framing)
	}
	var second bytes.Buffer
	second.WriteString(head(result.ids[1], "Transfer-Encoding: chunked"))
	chunks := httputil.NewChunkedWriter(&second)
	for rest := simulator.Content(result.ids[1], secondBody); len(rest) > 0; rest = rest[min(len(rest), 64<<10):] {
		_, _ = chunks.Write(rest[:min(len(rest), 64<<10)]) // a buffer returns no error
	}
	_ = chunks.Close()
	second.WriteString("\r\n")
	record.Line("send %s and %s to %s", result.ids[0], result.ids[1], host.Name)
	result.begun = time.Now()
	go func() {
		_, _ = io.WriteString(conn, head(result.ids[0], fmt.Sprintf("Content-Length: %d", firstBody)))
		_, _ = conn.Write(simulator.Content(result.ids[0], firstBody))
		_, _ = conn.Write(second.Bytes())
		record.Line("sent %s", result.ids[1])
	}()
	reader := bufio.NewReader(conn)
	for i := range result.ids {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPut})
		if err != nil {
			record.Line("answer %s: %v", result.ids[i], err)
			return result
		}
		_, _ = io.Copy(io.Discard, response.Body)
		result.statuses[i] = response.StatusCode
		record.Line("answer %s: status %d", result.ids[i], response.StatusCode)
	}
	return result
}

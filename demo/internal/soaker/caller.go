package soaker

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/transporter"
)

const (
	callerCount = 12
	callerPause = 15 * time.Millisecond
	// keyCount is the number of different keys. It is small, so that several callers request the same key at the same
	// time.
	keyCount = 96
	// crashKey is the key of the requests that crash upstreams. No other request has it.
	crashKey = 1
	// uploadInterval is no multiple of three, so that all routes get uploads.
	uploadInterval = 25
	uploadBytes    = 1 << 20
	timeLeft       = 3 * time.Second
	// callerTimeout ends requests to paused hosts, which do not enforce timeLeft.
	callerTimeout = 3500 * time.Millisecond
)

// outcome is the result of one attempt at its caller. neverRepeat means that the request must not run more than once.
type outcome struct {
	attempt     string
	host        string
	neverRepeat bool
	key         int
	begin       time.Time
	end         time.Time
	simulator.Reply
	err error
}

// callers sends requests and records their outcomes. Half of the callers reuse their connections; the others open one
// for each request.
type callers struct {
	addresses []string
	accounts  *accounts // nil: callers send no keys of accounts
	uploads   bool      // every uploadInterval-th request of a caller has a long body
	cancel    context.CancelFunc
	group     sync.WaitGroup
	mutex     sync.Mutex
	outcomes  []outcome
}

func newCallers(addresses []string, a *accounts, uploads bool) *callers {
	return &callers{addresses: addresses, accounts: a, uploads: uploads}
}

func (c *callers) start(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	for i := range callerCount {
		c.group.Go(func() { c.run(ctx, i) })
	}
}

func (c *callers) stop() []outcome {
	c.cancel()
	c.group.Wait()
	return c.outcomes
}

func (c *callers) run(ctx context.Context, caller int) {
	client := &http.Client{Timeout: callerTimeout, Transport: transporter.New(&http.Transport{DisableKeepAlives: caller%2 == 0})}
	for n := 0; ctx.Err() == nil; n++ {
		o := c.request(client, c.addresses[rand.IntN(len(c.addresses))], caller, n)
		c.mutex.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mutex.Unlock()
		sleep(ctx, callerPause)
	}
}

func (c *callers) request(client *http.Client, address string, caller, n int) outcome {
	prefix := simulator.Prefixes[n%len(simulator.Prefixes)]
	o := outcome{
		attempt: fmt.Sprintf("%04x%012x", caller, n), host: address, neverRepeat: prefix == simulator.OrderPrefix,
		key: rand.IntN(keyCount) * (1 << 16 / keyCount), begin: time.Now(),
	}
	call := simulator.Call{Prefix: prefix, Name: o.attempt, Attempt: o.attempt, Key: o.key, TimeLeft: timeLeft}
	if c.uploads && n%uploadInterval == 0 {
		call.Body = simulator.Body{Bytes: uploadBytes}
	}
	if c.accounts != nil {
		call.Caller = credentials(lastingKey)
	}
	o.Reply, o.err = call.Send(client, address)
	o.end = time.Now()
	return o
}

func parseLines(data []byte) []simulator.Line {
	var lines []simulator.Line
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		if line, ok := simulator.ParseLine(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines
}

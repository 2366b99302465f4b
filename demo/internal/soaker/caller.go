package soaker

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
)

type osSignal = os.Signal

const (
	callerCount = 12
	callerPause = 15 * time.Millisecond
	// hotKeys is the number of different keys, few enough for the same key to be asked for by several callers.
	hotKeys  = 96
	timeLeft = "3000" // milliseconds
	// callerTimeout ends requests to hosts that are paused.
	callerTimeout = 3500 * time.Millisecond
)

// outcome is what a caller saw of one try.
type outcome struct {
	attempt string
	host    string
	order   bool
	key     int
	begin   time.Time
	status  int
	right   bool // the answer is the whole answer to this request
	retry   bool // the answer says when to come back
	err     error
}

// callers send requests and record what they see. Half of them keep their connections.
type callers struct {
	addresses []string
	cancel    context.CancelFunc
	group     sync.WaitGroup
	mutex     sync.Mutex
	outcomes  []outcome
}

func newCallers(addresses []string) *callers { return &callers{addresses: addresses} }

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
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: caller%2 == 0}}
	for n := 0; ctx.Err() == nil; n++ {
		o := c.request(client, c.addresses[rand.IntN(len(c.addresses))], caller, n)
		c.mutex.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mutex.Unlock()
		sleep(ctx, callerPause)
	}
}

func (c *callers) request(client *http.Client, address string, caller, n int) outcome {
	prefix := []string{simulator.ReadPrefix, simulator.OrderPrefix, simulator.PlainPrefix}[n%3]
	o := outcome{
		attempt: fmt.Sprintf("%04x%012x", caller, n), host: address, order: prefix == simulator.OrderPrefix,
		key: rand.IntN(hotKeys) * (1 << 16 / hotKeys), begin: time.Now(),
	}
	method := http.MethodGet
	if o.order {
		method = http.MethodPost
	}
	target := prefix + o.attempt
	request, err := http.NewRequest(method, "http://"+address+target, strings.NewReader(""))
	if err != nil {
		o.err = err
		return o
	}
	request.Host = simulator.Hostname
	request.Header.Set(translator.AttemptHeader, o.attempt)
	request.Header.Set(translator.TimeLeftHeader, timeLeft)
	request.Header.Set(translator.KeyHeader, strconv.Itoa(o.key))
	response, err := client.Do(request)
	if err != nil {
		o.err = err
		return o
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	o.status, o.err = response.StatusCode, err
	o.right = string(body) == simulator.Sign(o.attempt, target)
	o.retry = response.Header.Get("Retry-After") != ""
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

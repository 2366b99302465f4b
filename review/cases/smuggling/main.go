// Command smuggling uploads long bodies for keys whose owner has crashed, and checks that no upstream runs a request that
// no caller has sent.
//
// # Usage
//
//	smuggling ROOT FOLDER
//
// With TROUBLE=0 in the environment, no upstream crashes.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"rhubarbtrack.example/review/lab"
)

const (
	upstreams  = 7 // one of them crashes: 14%, at most 15% may
	hosts      = 3
	uploads    = 8
	timeLeft   = 1500 * time.Millisecond
	readyLimit = 20 * time.Second
)

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return lab.ExitFailed
}

// document returns the body of an upload: text in which another request, for the given key, is quoted.
func document(i, key int) []byte {
	quoted := lab.Request{
		Method: http.MethodPost, Target: "/order/quoted", Host: lab.Hostname, Attempt: fmt.Sprintf("quoted-%d", i), Key: key, Left: timeLeft,
	}
	text := bytes.Repeat([]byte("a line of the document, with 38 letters\n"), 3277) // 131,080 bytes
	text = append(text[:128<<10-1], bytes.Repeat([]byte("\r\n"), 500)...)
	text = append(text, quoted.Bytes()...)
	return append(text, bytes.Repeat([]byte("another line of the document\r\n"), 3000)...)
}

type judge struct {
	*lab.Lab
	mutex   sync.Mutex
	sent    map[string]bool
	foreign int // successes that belong to another request
}

func (j *judge) record(id string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.sent[id] = true
}

func (j *judge) exchange(c *lab.Conn, r lab.Request) lab.Answer {
	j.record(r.Attempt)
	j.Printf("caller: sends %s %s %s, key %d, body of %d bytes", r.Attempt, r.Method, r.Target, r.Key, len(r.Body))
	if _, err := c.Write(r.Bytes()); err != nil {
		return lab.Answer{Err: err}
	}
	a := c.Receive(r.Method, r.Left+time.Second)
	j.Printf("caller: for %s gets %v", r.Attempt, a)
	if a.Status/100 == 2 && a.Attempt != r.Attempt {
		j.mutex.Lock()
		j.foreign++
		j.mutex.Unlock()
	}
	return a
}

// upload sends a document and, on the same connection, an order.
func (j *judge) upload(address string, i, key, orderKey int) {
	c, err := lab.Dial(address)
	if err != nil {
		j.Printf("caller: cannot connect: %v", err)
		return
	}
	defer func() { _ = c.Close() }()
	a := j.exchange(c, lab.Request{
		Method: http.MethodPost, Target: "/upload/document", Host: lab.Hostname, Attempt: fmt.Sprintf("upload-%d", i), Key: key, Left: timeLeft,
		Body: document(i, orderKey),
	})
	if a.Err != nil || a.Close {
		return
	}
	j.exchange(c, lab.Request{
		Method: http.MethodPost, Target: "/order/next", Host: lab.Hostname, Attempt: fmt.Sprintf("order-%d", i), Key: orderKey, Left: timeLeft,
	})
}

func run(root, folder string, trouble bool) int {
	l, err := lab.New(root, folder)
	if err != nil {
		return fail(err)
	}
	defer l.Close()
	j := &judge{Lab: l, sent: map[string]bool{}}
	err = l.StartStore(lab.Configuration(7, []lab.ServiceOptions{{Name: "huvo11a", Keyed: true}}, []lab.RouteOptions{
		{Name: "r-upload", Prefix: "/upload/", Service: "huvo11a", TimeoutSeconds: 1.5},
		{Name: "r-order", Prefix: "/order/", Service: "huvo11a", TimeoutSeconds: 1.5},
	}))
	if err != nil {
		return fail(err)
	}
	var ups []*lab.Upstream
	for i := range upstreams {
		u, err := l.StartUpstream(lab.UpstreamOptions{
			ID: fmt.Sprintf("i-%d", i+1), Service: "huvo11a", Zone: "zone-a", Keyed: true,
			Work: func(*http.Request) time.Duration { return 20 * time.Millisecond },
		})
		if err != nil {
			return fail(err)
		}
		ups = append(ups, u)
	}
	var entry *lab.Host
	for i := range hosts {
		h, err := l.StartHost(fmt.Sprintf("host-%d", i+1), "zone-a")
		if err != nil {
			return fail(err)
		}
		if entry == nil {
			entry = h
		}
	}
	if err := entry.AwaitReady(readyLimit); err != nil {
		return fail(err)
	}
	// The owners of the first keys of all parts, before anything fails.
	time.Sleep(time.Second)
	key, orderKey, owner := -1, -1, (*lab.Upstream)(nil)
	for k := 0; k < 1<<16; k += 100 {
		for _, u := range ups {
			if u.Holds(k) && owner == nil {
				key, owner = k, u
			} else if u.Holds(k) && u != owner {
				orderKey = k
			}
		}
	}
	if owner == nil || orderKey < 0 {
		return fail(fmt.Errorf("the keys have no owners"))
	}
	if trouble {
		owner.Crash()
	}
	for i := range uploads {
		j.upload(entry.Callers, i+1, key, orderKey)
	}
	time.Sleep(timeLeft)
	return j.verdict(ups)
}

func (j *judge) verdict(ups []*lab.Upstream) int {
	unasked := 0
	for _, u := range ups {
		for _, r := range u.Runs() {
			if !j.sent[r.Attempt] {
				unasked++
				j.Printf("UNASKED: upstream %s has run %s %s %s, which no caller has sent", u.Options.ID, r.Attempt, r.Method, r.Target)
			}
		}
	}
	j.Printf("verdict: %d requests run that no caller sent; %d answers that belong to another request", unasked, j.foreign)
	fmt.Printf("%d requests run that no caller sent; %d answers that belong to another request\n", unasked, j.foreign)
	if unasked+j.foreign > 0 {
		return lab.ExitBroken
	}
	return lab.ExitHeld
}
